package coordinator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
)

// admitTimeout bounds the question to the owner whether a job is accepted. A caller
// waits for it before its job is stored.
const admitTimeout = 300 * time.Millisecond

// AdmitArgs asks the owner of a partition whether a job is accepted.
type AdmitArgs struct {
	Partition int
	// Job comes without its Spec, of which SpecBytes is the length.
	Job       scheduler.Job
	SpecBytes int
}

// AdmitReply answers AdmitArgs.
type AdmitReply struct {
	// Refused is the cause of a refusal, or empty if the job is accepted.
	Refused scheduler.RefusalCause
	// RetryAfter is the time after which a refused caller should try again.
	RetryAfter time.Duration
	// Unconfirmed is as in StateReply.
	Unconfirmed bool
}

// Admit decides whether a job of a partition that this entry owns is accepted.
func (r *rpc) Admit(args AdmitArgs, reply *AdmitReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	if err := args.Job.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	*reply = askAdmission(ctx, own, args)
	reply.Unconfirmed = !r.coordinator.isMember()
	return nil
}

func askAdmission(ctx context.Context, own *conductor.Conductor, args AdmitArgs) AdmitReply {
	admission := own.Admit(ctx, args.Job, args.SpecBytes)
	return AdmitReply{
		Refused:    admission.Refused,
		RetryAfter: admission.RetryAfter,
	}
}

// admit asks the owner of the partition whether a job is accepted, and returns a
// receiver.RefusedError if it is not. Without an answer the job is accepted, and so is
// one of no organisation.
func (c *Coordinator) admit(ctx context.Context, partition int, job scheduler.Job) error {
	if job.Organisation == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	args := AdmitArgs{
		Partition: partition,
		Job:       job,
		SpecBytes: len(job.Spec),
	}
	args.Job.Spec = ""
	reply, err := callOwner(ctx, c, ownerCall[AdmitReply]{
		partition: partition,
		method:    "Admit",
		args:      args,
		local: func(ctx context.Context, own *conductor.Conductor) (AdmitReply, error) {
			return askAdmission(ctx, own, args), nil
		},
		once:        true,
		unconfirmed: func(reply AdmitReply) bool { return reply.Unconfirmed },
	})
	if err != nil {
		// An owner of an older release does not know the call.
		c.settings.logger.WithError(err).WithField("id", job.ID).Debug("coordinator: job accepted without an answer of its owner")
		return nil
	}
	if reply.Refused == "" {
		return nil
	}
	return &receiver.RefusedError{
		Cause:      fmt.Sprintf("organisation %s: %s", job.Organisation, reply.Refused),
		RetryAfter: reply.RetryAfter,
	}
}

// jobPart returns an upper bound of the fraction of an organisation's jobs that the
// partition gets. The jobs of a service are spread over its partitions by their
// identities. A partition that holds shards of several services gets at most the
// largest of their fractions, however the organisation divides its jobs between the
// services.
func (s *shards) jobPart(partition int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := 0.0
	for _, partitions := range s.servicePartitions {
		if slices.Contains(partitions, partition) {
			part = max(part, 1/float64(len(partitions)))
		}
	}
	if part == 0 {
		return 1
	}
	return part
}
