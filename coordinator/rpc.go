package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// rpcName is the name of the RPC service between entries.
const rpcName = "Coordinator"

// rpc serves the calls of other entries.
type rpc struct {
	coordinator *Coordinator
}

// StateArgs asks for the state of a job.
type StateArgs struct {
	Partition int
	ID        string
	// Organisation is the organisation that asks. For it, a job of another
	// organisation does not exist.
	Organisation string
}

// StateReply answers StateArgs.
type StateReply struct {
	State scheduler.JobState
	Found bool
	// Foreign reports that the job is not found since it belongs to another organisation.
	// Owners of older releases do not set it.
	Foreign bool
	// Queue is the name of the queue for which the job was accepted, if it is found. Owners of older
	// releases do not set it.
	Queue string
	// Unconfirmed reports that the store has not lately confirmed that the entry is the owner. Owners of older
	// releases do not set it.
	Unconfirmed bool
}

// State returns the state of a job in a partition that this entry owns.
func (r *rpc) State(args StateArgs, reply *StateReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var err error
	*reply, err = stateAt(ctx, own, args)
	reply.Unconfirmed = !r.coordinator.isMember()
	return err
}

// jobOwner is the part of a conductor that stateAt needs.
type jobOwner interface {
	State(ctx context.Context, id, organisation string) (scheduler.JobState, bool, error)
	Foreign(id, organisation string) bool
	QueueOf(id string) string
}

var _ jobOwner = (*conductor.Conductor)(nil)

func stateAt(ctx context.Context, own jobOwner, args StateArgs) (StateReply, error) {
	state, found, err := own.State(ctx, args.ID, args.Organisation)
	reply := StateReply{
		State:   state,
		Found:   found,
		Foreign: err == nil && !found && own.Foreign(args.ID, args.Organisation),
	}
	if found {
		reply.Queue = own.QueueOf(args.ID)
	}
	return reply, err
}

// WaitingArgs asks for the number of jobs of a queue that have not begun.
type WaitingArgs struct {
	Partition int
	Queue     string
}

// WaitingReply answers WaitingArgs.
type WaitingReply struct {
	Jobs int
	// Unconfirmed is as in StateReply.
	Unconfirmed bool
}

// Waiting counts the jobs of a queue that have not begun.
func (r *rpc) Waiting(args WaitingArgs, reply *WaitingReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	var err error
	reply.Jobs, err = own.WaitingJobs(args.Queue)
	reply.Unconfirmed = !r.coordinator.isMember()
	return err
}

// AppendArgs carries a record for the jobs topic.
type AppendArgs struct {
	Partition int
	Record    storer.Record
}

// AppendReply answers AppendArgs.
type AppendReply struct {
	// Unknown reports that the store may or may not have taken the record.
	Unknown bool
}

// Append stores a record on behalf of an entry that the store does not answer, or
// that leaves its appends to the owner.
func (r *rpc) Append(args AppendArgs, reply *AppendReply) error {
	err := r.coordinator.appendHere(context.Background(), args.Partition, args.Record)
	if errors.Is(err, storer.ErrUnknown) {
		reply.Unknown = true
		return nil
	}
	return err
}

// Config returns the configuration in force. Only entries of releases before the RPC
// Evidence call it.
func (r *rpc) Config(_ struct{}, reply *receiver.Config) error {
	config, known := r.coordinator.receiver.Config()
	if !known {
		return errNoConfig
	}
	*reply = config
	return nil
}

// errNoConfig is returned by an entry that has no configuration.
var errNoConfig = errors.New("coordinator: no configuration yet")

// Nudge has this entry join the group at once, to learn which partitions are
// assigned to it.
func (r *rpc) Nudge(_ struct{}, _ *struct{}) error {
	r.coordinator.requestJoin()
	return nil
}

// AliveReply answers a probe.
type AliveReply struct {
	// Stores reports whether the store answers the entry.
	Stores bool
	// Slow reports whether the store takes several times as long as usual.
	Slow bool
	// Member reports whether the entry is a member of the group and not stopping.
	Member bool
}

// Alive answers a probe.
func (r *rpc) Alive(_ struct{}, reply *AliveReply) error {
	reply.Member = r.coordinator.isMember()
	reply.Slow = r.coordinator.store.slow()
	reply.Stores = r.coordinator.store.serves()
	return nil
}

// AdviseArgs asks for advice through this entry's connection to the adviser.
type AdviseArgs struct {
	Step    scheduler.StepRef
	Workers []string
	// Cost is how long the adviser is expected to take.
	Cost time.Duration
}

// AdviseReply answers AdviseArgs.
type AdviseReply struct {
	Approved []scheduler.Approval
	Validity time.Duration
	// Busy is how long the entry's other calls for advice are expected to take from
	// now on.
	Busy time.Duration
	// Refused reports that the call was not made, because too many calls are under
	// way.
	Refused bool
}

// Advise asks the adviser on behalf of another entry.
func (r *rpc) Advise(args AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	var err error
	*reply, err = r.coordinator.adviceLimiter.call(ctx, args)
	return err
}

// callAny calls a method at the entries in turn, until one answers or the outcome
// of a call is unknown. A call that fails as the context is over shows nothing of the entry.
func (c *Coordinator) callAny(ctx context.Context, addresses []string, method string, args, reply any) error {
	err := fmt.Errorf("%w: %w", messenger.ErrUnreachable, errors.New("coordinator: no peer can serve the call"))
	for _, address := range addresses {
		if ctx.Err() != nil {
			// A call without time would show nothing of the entry.
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		err = c.pool.Call(callCtx, address, rpcName+"."+method, args, reply)
		cancel()
		if err == nil || ctx.Err() == nil {
			c.entryPool.recordAnswer(address, err)
		}
		if err == nil {
			if appended, ok := reply.(*AppendReply); ok && appended.Unknown {
				return fmt.Errorf("%w: %w", messenger.ErrUnknown, errors.New("coordinator: the store did not answer a peer"))
			}
			return nil
		}
		if errors.Is(err, messenger.ErrUnknown) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
