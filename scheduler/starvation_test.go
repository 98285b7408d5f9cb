package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// advisedRig is a rig with an adviser that answers each call after its cost, and
// with runs that end after their run time.
type advisedRig struct {
	*rig
	// approves reports whether the adviser approves a worker for a step.
	approves     func(step scheduler.StepRef, worker string) bool
	validity     time.Duration
	pendingCalls []pendingCall
	// callCounts holds the number of calls for each job.
	callCounts map[string]int
}

func newAdvisedRig(t *testing.T) *advisedRig {
	return &advisedRig{
		rig:        newRig(t),
		validity:   1500 * time.Millisecond,
		callCounts: make(map[string]int),
	}
}

func (a *advisedRig) step() {
	a.advance(20 * time.Millisecond)
	a.s.ConfirmOwnership(a.now)
	for _, w := range a.workersByID {
		for ref := range w.activeRuns {
			runTime := w.runTime
			if own, found := w.runTimes[ref]; found {
				runTime = own
			}
			if w.clock-w.startedAt[ref] >= runTime {
				w.end(ref, scheduler.EndDone)
			}
		}
	}
	a.renewLeases()
	var unanswered []pendingCall
	for _, c := range a.pendingCalls {
		if c.answerAt.After(a.now) {
			unanswered = append(unanswered, c)
			continue
		}
		var approved []scheduler.Approval
		for _, id := range c.ask.Workers {
			if a.approves(c.ask.Step, id) {
				approved = append(approved, scheduler.Approval{
					WorkerID: id,
					Ticket:   "t",
				})
			}
		}
		a.s.AdviceAnswered(c.ask.Step, c.ask.Workers, approved, a.validity, a.now)
	}
	a.pendingCalls = unanswered
	a.tick()
	for _, effect := range a.effects {
		if ask, is := effect.(scheduler.AskAdvice); is {
			a.callCounts[ask.Step.Job]++
			a.pendingCalls = append(a.pendingCalls, pendingCall{
				answerAt: a.now.Add(ask.Cost),
				ask:      ask,
			})
		}
	}
	a.write()
}

func (a *advisedRig) steps(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		a.step()
	}
}

func (a *advisedRig) startsOf(id string) int {
	n := 0
	for _, w := range a.workersByID {
		for ref, count := range w.startCounts {
			if ref.Step.Job == id {
				n += count
			}
		}
	}
	return n
}

// TestLargeStepIsRenewedWhileAnotherKeepsHalf checks that large tasks start on free
// workers while more than half of the workers are reserved for another step. Large
// or lasting tasks would never start if their tickets were not renewed in that case.
// Six of the ten workers are reserved for the step "wide". The step "other" may run
// only on the remaining four, about which the adviser is asked while they are busy.
// They become free after three seconds, and stay free.
func TestLargeStepIsRenewedWhileAnotherKeepsHalf(t *testing.T) {
	c := qt.New(t)
	a := newAdvisedRig(t)
	queue := deskQueue
	queue.Advice = &scheduler.Advice{
		Decision:  200 * time.Millisecond,
		PerWorker: 3 * time.Millisecond,
		Validity:  a.validity,
	}
	queue.SlackFactor = 100
	for i := range 10 {
		a.addWorker(workerName(i), cores(8)).runTime = 4 * time.Second
	}
	a.updateDirectory()
	a.renewLeases()
	a.s.SetAdviceLimits(50, 50)
	forWide := func(id string) bool { return id < workerName(6) }
	a.approves = func(step scheduler.StepRef, worker string) bool { return (step.Job == "wide") == forWide(worker) }
	// Four workers are busy with tasks that need no advice.
	blocker := a.job("blocker", newPhase(4, cores(8)))
	blocker.Phases[0].Requires = "late"
	for i := 6; i < 10; i++ {
		a.workersByID[workerName(i)].entry.Labels = []string{"late"}
	}
	a.updateDirectory()
	a.s.AddJob(blocker, nil, false, a.now)
	a.steps(200 * time.Millisecond)
	c.Assert(a.startsOf("blocker"), qt.Equals, 4)
	wide := a.job("wide", newPhase(60, cores(8)))
	wide.Queue = queue
	a.s.AddJob(wide, nil, false, a.now)
	a.steps(400 * time.Millisecond)
	c.Assert(a.startsOf("wide"), qt.Equals, 6)
	other := a.job("other", newPhase(4, cores(8)))
	other.Queue = queue
	other.Queue.Priority = 1
	a.s.AddJob(other, nil, false, a.now)
	a.steps(12 * time.Second)
	c.Assert(a.startsOf("other"), qt.Equals, 4, qt.Commentf("12 s after it was accepted, 9 s after its workers became free"))
}

// TestGangDoesNotRenewWhatIsValid checks that a step behind a waiting gang gets its
// call to the adviser and starts on a free worker. The call would never be made if
// the gang kept renewing tickets that are still valid. The gang waits for two workers on
// which another gang makes no progress.
func TestGangDoesNotRenewWhatIsValid(t *testing.T) {
	c := qt.New(t)
	a := newAdvisedRig(t)
	queue := deskQueue
	queue.Advice = &scheduler.Advice{
		Decision:  700 * time.Millisecond,
		PerWorker: 10 * time.Millisecond,
		Validity:  a.validity,
	}
	for i := range 6 {
		a.addWorker(workerName(i), cores(8)).runTime = 4 * time.Second
	}
	// The reported progress stays below 1%.
	a.workersByID[workerName(0)].runTime = time.Hour
	a.workersByID[workerName(1)].runTime = time.Hour
	for _, id := range []string{workerName(0), workerName(1)} {
		a.workersByID[id].entry.Labels = []string{"slow"}
	}
	a.updateDirectory()
	a.renewLeases()
	a.s.SetAdviceLimits(1, 1)
	a.approves = func(step scheduler.StepRef, worker string) bool {
		return step.Job != "gang" || worker < workerName(2)
	}
	gang := newPhase(2, cores(8))
	gang.Gang = true
	stuckGang := gang
	stuckGang.Requires = "slow"
	a.s.AddJob(a.job("still", stuckGang), nil, false, a.now)
	a.steps(2 * time.Second)
	c.Assert(a.startsOf("still"), qt.Equals, 2)
	waitingGang := a.job("gang", gang)
	waitingGang.Queue = queue
	// Both results are of no more use to callers, as after a power failure.
	waitingGang.Accepted = a.now.Add(-time.Minute)
	a.s.AddJob(waitingGang, nil, false, a.now)
	a.steps(time.Second)
	single := a.job("single", newPhase(1, cores(1)))
	single.Queue = queue
	single.Queue.Priority = 1
	single.Accepted = waitingGang.Accepted.Add(time.Second)
	a.s.AddJob(single, nil, false, a.now)
	a.steps(20 * time.Second)
	c.Assert(a.startsOf("single"), qt.Equals, 1, qt.Commentf("calls %v", a.callCounts))
}
