package scheduler

import "time"

// Effect is an action that the caller of Tick must carry out.
type Effect interface {
	isEffect()
}

// StartTask orders a worker to start a run. The caller reports the outcome with
// StartAnswered.
type StartTask struct {
	Run    RunRef
	Worker WorkerRef
	// WorkerStartedAt is the start of the incarnation of the worker for which the order was made, as
	// in WorkerEntry. Lease is on the clock of that incarnation.
	WorkerStartedAt time.Time
	// Token is the fencing token of the call.
	Token int64
	Spec  string
	// Checkpoint is what the run resumes from, or empty if there is none.
	Checkpoint string
	// Ticket is the adviser's permission to run on the worker, or empty if the
	// queue needs no advice.
	Ticket string
	// Lease is the expiry of the lease, on the worker's clock. The worker ends
	// the run then unless the lease was renewed.
	Lease time.Duration
	// MinClock is a lower bound of that clock when the order was made.
	MinClock time.Duration
	// NotAfter is the time after which the order must not be sent any more, by a clock that does not
	// count suspensions of the host, as Scheduler.MaySend does. A worker that has started again
	// meanwhile cannot tell that it is outdated.
	NotAfter time.Time
	// WithoutRunSince is the time since which a lasting task has had no run, as far as
	// this owner knows. It is zero for other tasks.
	WithoutRunSince time.Time
}

// StopTask orders a worker to stop a run, or never to start it if the start has
// not arrived yet. The caller reports the outcome with StopAnswered.
type StopTask struct {
	Run    RunRef
	Worker WorkerRef
	// WorkerStartedAt is as in StartTask.
	WorkerStartedAt time.Time
	// Token is the fencing token of the call.
	Token int64
	// Reason is for the log.
	Reason string
	// Number counts the stops of the run by this owner, from 1.
	Number int
}

// AskAdvice asks the adviser which of the workers may run a step. The caller
// reports the outcome with AdviceAnswered or AdviceFailed.
type AskAdvice struct {
	Step    StepRef
	Workers []string
	// Cost is the time that the adviser needs for the call.
	Cost    time.Duration
	Purpose AskPurpose
}

// AskPurpose is the reason for a call to the adviser.
type AskPurpose int

// The purposes of a call to the adviser.
const (
	// AskFirst is the first call of this owner for a step.
	AskFirst AskPurpose = iota
	// AskMore includes workers about which the adviser was not asked before
	// for this step.
	AskMore
	// AskRenewal includes only workers about which the adviser was asked before
	// for this step, to get new tickets.
	AskRenewal
)

// String implements fmt.Stringer.
func (p AskPurpose) String() string {
	switch p {
	case AskFirst:
		return "first"
	case AskMore:
		return "more"
	case AskRenewal:
		return "renewal"
	}
	return "invalid"
}

// PaceTask sets the share of its full speed at which a run may work.
type PaceTask struct {
	Run    RunRef
	Worker WorkerRef
	// Percent is between 0 and 100.
	Percent int
}

func (StartTask) isEffect() {}
func (StopTask) isEffect()  {}
func (AskAdvice) isEffect() {}
func (PaceTask) isEffect()  {}

// StartOutcome is the outcome of a start.
type StartOutcome int

// The outcomes of a start.
const (
	// StartDone means that the worker has the run, or had it.
	StartDone StartOutcome = iota
	// StartDoneByAnother is like StartDone, by another incarnation of the worker than the one for which
	// the order was made.
	StartDoneByAnother
	// StartRefused means that the worker does not have the run and never will.
	StartRefused
	// StartUnhealthy is like StartRefused, by a worker that accepts no runs at
	// present.
	StartUnhealthy
	// StartNoTicket is like StartRefused, because the ticket is missing or
	// invalid.
	StartNoTicket
	// StartUnknown means that the worker may have the run, or may yet start it.
	StartUnknown
	// StartSuperseded means that the worker has seen the fencing token of a
	// later owner.
	StartSuperseded
	// StartWorkerGone means that this incarnation of the worker has ended.
	StartWorkerGone
)

// Done reports whether the worker has the run, or had it.
func (o StartOutcome) Done() bool {
	return o == StartDone || o == StartDoneByAnother
}

// Refused reports whether no incarnation of the worker has carried out the start, or ever will.
func (o StartOutcome) Refused() bool {
	return o == StartRefused || o == StartUnhealthy || o == StartNoTicket
}

// clockResolution is that of the readings of workers' clocks, which may be cut to whole milliseconds.
const clockResolution = time.Millisecond

// DoneAt returns the outcome if a worker answers with that reading of its clock that it has the run. Each
// incarnation has a clock of its own. One whose clock is ahead holds the run no longer than the lease says.
func (o *StartTask) DoneAt(clock time.Duration) StartOutcome {
	if !o.WorkerStartedAt.IsZero() && clock < o.MinClock-clockResolution {
		return StartDoneByAnother
	}
	return StartDone
}

// String implements fmt.Stringer.
func (o StartOutcome) String() string {
	switch o {
	case StartDone:
		return "done"
	case StartDoneByAnother:
		return "done by another incarnation"
	case StartRefused:
		return "refused"
	case StartUnhealthy:
		return "unhealthy"
	case StartNoTicket:
		return "no ticket"
	case StartUnknown:
		return "unknown"
	case StartSuperseded:
		return "superseded"
	case StartWorkerGone:
		return "worker gone"
	}
	return "invalid"
}
