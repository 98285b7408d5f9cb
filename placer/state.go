package placer

// TaskState says where a task is on its way.
type TaskState uint8

// The states of a task. Only those from StateReserved to StateUnknown hold room.
const (
	// StateNone is no state: the task is not known, or no longer.
	StateNone TaskState = iota
	// StatePending waits for room or for the turn of its team.
	StatePending
	// StateBackoff waits before it is tried again.
	StateBackoff
	// StateClaimed waits for room that others are leaving for it.
	StateClaimed
	// StateReserved holds room for a gang that is not complete.
	StateReserved
	// StateStarting was placed, and its worker has not said so yet.
	StateStarting
	// StateRunning runs, as its worker says.
	StateRunning
	// StateStopping was asked to end, and its end is not certain.
	StateStopping
	// StateUnknown may run: its worker is silent.
	StateUnknown

	stateCount = iota
)

// event is what moves a task from one state to another.
type event uint8

const (
	// eventSubmit brings a task that waits.
	eventSubmit event = iota
	// eventDelay makes a task wait for its next try.
	eventDelay
	// eventWake ends such a wait.
	eventWake
	// eventClaim keeps room for a task that others are leaving.
	eventClaim
	// eventUnclaim gives such room back.
	eventUnclaim
	// eventReserve takes room for a task of a gang.
	eventReserve
	// eventPlace starts a task.
	eventPlace
	// eventStarted is the word of the worker that the task runs.
	eventStarted
	// eventAdopt takes over a task that runs.
	eventAdopt
	// eventSilence is a worker that is no longer heard.
	eventWorkerSilent
	// eventStop asks a task to end.
	eventStop
	// eventRetry brings a task whose start has certainly ended back to wait.
	eventRetry
	// eventForget drops a task that certainly does not run.
	eventForget

	eventCount = iota
)

// transitions is the one table of how a task may move. What is not listed does
// not happen: move leaves the task as it is.
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

// next returns the state after the event, and false if it cannot happen.
func (s TaskState) next(e event) (TaskState, bool) {
	to := transitions[s][e]
	if to == StateNone && e != eventForget {
		return s, false
	}
	return to, s != StateNone || e != eventForget
}

// holdsRoom reports whether a task in this state has room on a worker.
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
