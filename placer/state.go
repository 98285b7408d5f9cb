package placer

// TaskState is the state of a task.
type TaskState uint8

// The states of a task. A task has capacity allocated from StateReserved to
// StateUnknown only.
const (
	// StateNone is the state of a task that is not known, or no longer.
	StateNone TaskState = iota
	// StatePending waits for capacity or for the turn of its team.
	StatePending
	// StateBackoff waits before it is retried.
	StateBackoff
	// StateClaimed waits for claimed capacity that other tasks still hold.
	StateClaimed
	// StateReserved holds capacity for a gang that is not complete.
	StateReserved
	// StateStarting was placed, and its worker has not confirmed the start yet.
	StateStarting
	// StateRunning runs, according to its worker.
	StateRunning
	// StateStopping was asked to end, and has not certainly ended.
	StateStopping
	// StateUnknown may run: its worker is silent.
	StateUnknown

	stateCount = iota
)

// event is the cause of a transition between two states.
type event uint8

const (
	// eventSubmit adds a task that waits.
	eventSubmit event = iota
	// eventDelay makes a task wait before its next try.
	eventDelay
	// eventWake ends that wait.
	eventWake
	// eventClaim claims capacity that other tasks still hold.
	eventClaim
	// eventUnclaim gives up a claim.
	eventUnclaim
	// eventReserve allocates capacity to a task of a gang that is not complete.
	eventReserve
	// eventPlace starts a task.
	eventPlace
	// eventStarted is the worker's report that the task runs.
	eventStarted
	// eventAdopt takes over a running task.
	eventAdopt
	// eventWorkerSilent means that the worker no longer answers.
	eventWorkerSilent
	// eventStop asks a task to end.
	eventStop
	// eventRetry makes a task wait again after its run has certainly ended.
	eventRetry
	// eventForget removes a task that certainly does not run.
	eventForget

	eventCount = iota
)

// transitions holds every allowed transition. An event that is not listed leaves
// the task in its state.
//
//	from      submit   delay    wake     claim    unclaim  reserve   place     started  adopt    silence  stop      retry    forget
//	none      pending  -        -        -        -        reserved  -         -        running  -        -         -        -
//	pending   -        backoff  -        claimed  -        reserved  starting  -        running  -        -         -        none
//	backoff   -        -        pending  -        -        -         -         -        running  -        -         -        none
//	claimed   -        -        -        -        pending  reserved  starting  -        running  -        -         -        none
//	reserved  -        -        -        -        -        -         starting  -        running  -        -         pending  none
//	starting  -        -        -        -        -        -         -         running  running  unknown  stopping  pending  none
//	running   -        -        -        -        -        -         -         running  running  unknown  stopping  pending  none
//	stopping  -        -        -        -        -        -         -         -        -        -        stopping  pending  none
//	unknown   -        -        -        -        -        -         -         running  running  unknown  stopping  pending  none
var transitions = [stateCount][eventCount]TaskState{
	StateNone: {
		eventSubmit:  StatePending,
		eventReserve: StateReserved,
		eventAdopt:   StateRunning,
	},
	StatePending: {
		eventDelay:   StateBackoff,
		eventClaim:   StateClaimed,
		eventReserve: StateReserved,
		eventPlace:   StateStarting,
		eventAdopt:   StateRunning,
		eventForget:  StateNone,
	},
	StateBackoff: {
		eventWake:   StatePending,
		eventAdopt:  StateRunning,
		eventForget: StateNone,
	},
	StateClaimed: {
		eventUnclaim: StatePending,
		eventReserve: StateReserved,
		eventPlace:   StateStarting,
		eventAdopt:   StateRunning,
		eventForget:  StateNone,
	},
	StateReserved: {
		eventPlace:  StateStarting,
		eventAdopt:  StateRunning,
		eventRetry:  StatePending,
		eventForget: StateNone,
	},
	StateStarting: {
		eventStarted:      StateRunning,
		eventAdopt:        StateRunning,
		eventWorkerSilent: StateUnknown,
		eventStop:         StateStopping,
		eventRetry:        StatePending,
		eventForget:       StateNone,
	},
	StateRunning: {
		eventStarted:      StateRunning,
		eventAdopt:        StateRunning,
		eventWorkerSilent: StateUnknown,
		eventStop:         StateStopping,
		eventRetry:        StatePending,
		eventForget:       StateNone,
	},
	StateStopping: {
		eventStop:   StateStopping,
		eventRetry:  StatePending,
		eventForget: StateNone,
	},
	StateUnknown: {
		eventStarted:      StateRunning,
		eventAdopt:        StateRunning,
		eventWorkerSilent: StateUnknown,
		eventStop:         StateStopping,
		eventRetry:        StatePending,
		eventForget:       StateNone,
	},
}

// next returns the state after the event, and false if the event is not allowed
// in the state.
func (s TaskState) next(e event) (TaskState, bool) {
	to := transitions[s][e]
	if to == StateNone && e != eventForget {
		return s, false
	}
	return to, s != StateNone || e != eventForget
}

// holdsCapacity reports whether a task in this state has capacity allocated on
// a worker.
func (s TaskState) holdsCapacity() bool {
	return s >= StateReserved
}

// String returns the state as one word.
func (s TaskState) String() string {
	switch s {
	case StatePending:
		return "pending"
	case StateBackoff:
		return "backoff"
	case StateClaimed:
		return "claimed"
	case StateReserved:
		return "reserved"
	case StateStarting:
		return "starting"
	case StateRunning:
		return "running"
	case StateStopping:
		return "stopping"
	case StateUnknown:
		return "unknown"
	default:
		return "none"
	}
}
