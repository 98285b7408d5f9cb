package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// job is a job with its state and its steps.
type job struct {
	record Job
	state  JobState
	// endedAt is the time at which a final state was reached.
	endedAt time.Time
	// stateStored is set once the final state is in the store. Only then is it
	// shown to callers.
	stateStored bool
	// lastBatch is the number of the last write that may hold changes of the job.
	lastBatch int64
	// expired is set once the state need not be kept any longer, and deletionDueAt is the
	// earliest time at which the deletion of the job's records is to be stored, again if it
	// has not been read.
	expired       bool
	deletionDueAt time.Time
	// held is set if it is not known what of the job has run. It has no steps, and its stored
	// progress is not replaced unless it is cancelled.
	held bool
	// nextOccurrence is the lowest occurrence that has not been created yet.
	nextOccurrence int
	// steps holds the steps of the occurrences that have become due, without those of
	// doneOccurrences.
	steps map[StepRef]*step
	// doneOccurrences holds the occurrences of a job that repeats of which all steps are
	// done. No occurrence in it has steps.
	doneOccurrences occurrenceSet
	// storedProgress is the progress that a former owner stored, for the steps
	// that are not created yet.
	storedProgress map[StepRef]StepProgress
	// recovered is set if the job was stored before this owner took over.
	recovered bool
	// workers holds the workers on which tasks may have been started. Each is
	// stored before a start is sent to it, so that a next owner knows which
	// workers may have runs of the job.
	workers map[string]bool
	// storedWorkers holds those of workers that are stored by now.
	storedWorkers map[string]bool
	// begun is set once a worker has begun a task of the job, as the answer to a start or a
	// report says, and begunStored once that is stored.
	begun, begunStored bool
	// doubtedAt is the last time at which a run of the job was or may have been lost without a
	// report of its end. None of its tasks starts until the ownership is known to have held then.
	doubtedAt time.Time
	// runCount counts the runs of the job on all workers, in any state. It is kept
	// only for jobs of an organisation.
	runCount int
	// formerEnding is the Ending that a former owner stored.
	formerEnding map[string]sizer.Size
	// formerUnfinished is what was unfinished of a job of an organisation when this owner
	// took over. Tasks that are done or cancelled since may still run on workers that
	// have not reported.
	formerUnfinished formerUse
	// grants holds the grants of the job's tasks to other owners, and lastGrant the highest
	// number of one.
	grants    []*grant
	lastGrant int64
	// delegates holds the partitions whose owners have or had a grant. The value is true once
	// the owner has stored that the job has ended.
	delegates map[int]bool
	// guest is set for a job of another partition, some tasks of which this owner runs.
	guest *guest
	// cancellations holds the stored cancellations that name the job and an organisation.
	cancellations []Cancellation
	// excess is set if the job is beyond the entitled rate of its organisation.
	excess bool
	// objective is the time within which an occurrence should be done once it
	// is due.
	objective time.Duration
	// criticalPaths holds, for each phase, the longest time from its start to
	// the end of everything that depends on it, by the estimates.
	criticalPaths []time.Duration
}

// step is one phase of one occurrence of a job.
type step struct {
	ref   StepRef
	job   *job
	phase *Phase
	tasks []task
	// waiting counts the tasks that are not done and have no run, and done
	// those that are done.
	waiting, done int
	// tasksElsewhere counts the tasks that belong to other owners.
	tasksElsewhere int
	dueAt          time.Time
	// objectiveAt is the time by which the occurrence should be done.
	objectiveAt time.Time
	adviceState adviceState
	// gangAttempt is the attempt that the members of a gang share, 0 before
	// the first.
	gangAttempt int64
	// gangFailures lists the failed attempts of a gang.
	gangFailures []int64
	// large is set if at most maxLargeFit of the tasks fit an empty worker.
	large bool
	// incompleteSince is the time since which some but not all members of a
	// gang have a run. It is zero while all or none have one.
	incompleteSince time.Time
	// retryAt is the earliest time at which the step is placed again after a
	// member of its gang was lost.
	retryAt time.Time
	// readyAt is the time at which the step's dependencies were done, startedAt
	// that at which its first task was started, and endedAt that at which its
	// last task was done.
	readyAt, startedAt, endedAt time.Time
	// tracksPlacements is set if the store lists for each task of the step the
	// workers on which it may run. A start then waits until its worker is listed for
	// the task, and after a takeover only the tasks wait whose workers have not
	// reported.
	tracksPlacements bool
	// starvedTasks is the number of tasks for which runs may be preempted, while the
	// step is one of the starved steps of its pool.
	starvedTasks int
	// fitSeenAt is the time at which there was last free capacity for tasks of the step,
	// and fitCount for how many. They are kept for organisations with a maximum.
	fitSeenAt time.Time
	fitCount  int
	// noRoom is how many of the waiting tasks the workers could not take at
	// shortageCheckedAt, and noPlaces how many they could not even if all runs had ended that
	// end by themselves.
	noRoom, noPlaces  shortage
	shortageCheckedAt time.Time
	// yields is set if the step left headroom to more urgent queues then. neverHere is set at a
	// delegate that has returned tasks which its workers could never take.
	yields, neverHere bool
	// order is what the home owner has decided for a gang of which several owners have
	// members. notReady is one more than the lowest partition whose owner holds no workers for
	// its members, 0 if all do. heldSince is the time since which one does, zero if none does,
	// and holdPause the pause after the last attempt in which not all did in time.
	order     GangOrder
	notReady  int
	heldSince time.Time
	holdPause time.Duration
	// returns holds the other owners that have returned tasks of the step, by partition.
	returns map[int]returned
	// explainedAt is the time at which the log last explained why the step
	// waits.
	explainedAt time.Time
	// totalRunTime and completedRuns are the total time and the number of the
	// runs that are done.
	totalRunTime  time.Duration
	completedRuns int
}

// task is one task of a step.
type task struct {
	done bool
	// elsewhere is set if the task belongs to another owner: at the home owner if it is
	// granted, at a delegate if it is not. Such a task is not done, has no run and does
	// not count as waiting.
	elsewhere bool
	// run is the run that is or may be active, nil if there is none, and copy a
	// second one at the same time, or one that was refused and that run replaces on its
	// worker. copy is nil whenever run is.
	run, copy *run
	// failedAttempts lists the attempts that failed.
	failedAttempts []int64
	// lostWorkers counts the workers that were lost with a run of the task under this
	// owner.
	lostWorkers int
	// crashes holds the workers that crashed with a run of the task, one entry each.
	crashes []Crash
	// checkpoint is the last checkpoint that a worker reported.
	checkpoint string
	// avoidWorkers lists the workers on which a run of the task failed or made
	// no progress, or that did not answer its start.
	avoidWorkers []string
	// storedWorkers holds the workers that the store lists for the task, and
	// formerWorkers those that it listed when this owner took over. Both are empty
	// unless the step's tracksPlacements is set.
	storedWorkers, formerWorkers []string
	// notRunningSince is the time since which a lasting task has not been in
	// service, zero while it is.
	notRunningSince time.Time
	// withoutRunSince is the time since which no worker has had a run of the task, as
	// far as this owner knows. It means nothing while a worker has one.
	withoutRunSince time.Time
}

// adviceState holds what is known about which workers may run a step.
type adviceState struct {
	// askedWorkers holds the workers about which the adviser was asked.
	askedWorkers map[string]bool
	// tickets holds the last ticket for each approved worker, also after its
	// expiry.
	tickets map[string]ticket
	// calls holds the calls in flight, oldest first: at most one renewal and one other call
	// that are not overdue.
	calls []adviceCall
	// expectedTasks is the number of tasks that can probably be placed with the
	// answer to the last call in flight.
	expectedTasks int
	// retryAt is the earliest time of the next call after one that failed.
	retryAt time.Time
	// deniedSince is the time since which a call for the step has been denied
	// because the limit of calls in flight is reached, and deniedSeenAt the time
	// at which it was last denied.
	deniedSince, deniedSeenAt time.Time
	// callCount is the number of calls that were made, and answeredAt the time of the last
	// answer, zero without one.
	callCount  int
	answeredAt time.Time
}

// adviceCall is a call to the adviser that awaits its answer.
type adviceCall struct {
	workers []string
	// renewal is set if the call only renews tickets.
	renewal bool
	// quick is set if the call counts as quick.
	quick bool
	// calledAt is the time of the call, and answerDueAt that at which the answer is expected.
	calledAt, answerDueAt time.Time
}

type ticket struct {
	value     string
	expiresAt time.Time
	// startedAt is the time at which the incarnation of the worker began for which the
	// ticket is valid.
	startedAt time.Time
}

// runState is the state of a run.
type runState int

const (
	// runPlanned is a run that takes up capacity on its worker, but is not sent
	// until the store lists that worker for the job.
	runPlanned runState = iota
	// runStarting is a run whose start was sent and not yet answered.
	runStarting
	// runWorking is a run that the worker has.
	runWorking
	// runStopping is a run that was told to stop.
	runStopping
	// runUncertain is a run whose start had no answer. It is told to stop, and
	// takes up capacity until the stop is answered.
	runUncertain
)

// run is one start of a task on a worker. It takes up its size on the worker
// until it is known to have ended.
type run struct {
	ref    RunRef
	worker *worker
	size   sizer.Size
	// fullSize is the size of the task with the cores of best-effort tasks, which
	// size leaves out. It counts against the maximum of the organisation.
	fullSize sizer.Size
	// job is the job of the run, nil while it is unknown.
	job *job
	// fills is set for best-effort tasks, and serves for lasting tasks with a
	// response time target.
	fills     bool
	serves    bool
	state     runState
	startedAt time.Time
	// confirmedAt is the time at which the worker answered the start of the run, or else
	// first answered a stop of it or listed it in a report. It is zero until then. Reports
	// requested later list the run or its end. A run that they do not list does not
	// exist, and never will in that incarnation. Later answers show nothing more, so they do
	// not move it.
	confirmedAt time.Time
	// presentAt is the first time at which the worker certainly had the run, zero until
	// then.
	presentAt time.Time
	// mayArrive is set while an order to start the run may be on its way: until each of its orders
	// has an answer.
	mayArrive bool
	// unheardAt is the time at which another incarnation than the known one had answered the start, zero
	// if none has, or once a report lists the run. That one holds it with the longest lease.
	unheardAt time.Time
	// unanswered is set if an order to start the run had no answer, although a repeated one had.
	unanswered bool
	// ticketed is set if the start carries a ticket, which only one incarnation of the worker accepts, and
	// copies if the task may have two runs at the same time.
	ticketed, copies bool
	// refused is set while the worker's present incarnation does not have the run and refuses its start, as it
	// has answered a stop or the run has ended, but the next one may carry the start out.
	refused bool
	// leftRoom is set once a refused run has left its room to others. leftSize and leftFullSize are the sizes
	// before. replaces is set for a run that has the room of a refused one of the same task.
	leftRoom, replaces     bool
	leftSize, leftFullSize sizer.Size
	// listed is set once a report has listed the run as active.
	listed bool
	// sentBefore is set if the start was sent to a former incarnation of the worker, and
	// had no answer.
	sentBefore bool
	// formerStart is the start of a former incarnation of the worker that has ended with the run but
	// never listed it, zero if there is none or if a later one has listed the run.
	formerStart time.Time
	// watched is set if workers have crashed with an earlier run of the task. trialGroup
	// is the crash for which the task is tried, zero unless it was a suspect when it was
	// started.
	watched    bool
	trialGroup crashKey
	// stopSentAt is the time at which the last stop was sent, and stopInFlight
	// is set while it is not answered.
	stopSentAt   time.Time
	stopInFlight bool
	// stopPendingSince is the time at which the first stop was sent, zero if none was. stopsSent
	// and stopsAnswered count the stops, and stopAnsweredAt is the time of the last answer.
	stopPendingSince time.Time
	stopsSent        int
	stopsAnswered    int
	stopAnsweredAt   time.Time
	// nextStopNote is the age of the pending stop at which the next note on it is added.
	nextStopNote time.Duration
	// percent is the highest progress reported, and progressAt the time at
	// which it last rose.
	percent    int
	progressAt time.Time
	// estimate is the estimated run time.
	estimate time.Duration
	gang     bool
	lasting  bool
	// pace is the share of its full speed at which the run may work, in percent.
	pace int
	// tailLatency is the last tail response time reported, in nanoseconds.
	tailLatency int64
}

// worker is one incarnation of a worker.
type worker struct {
	entry WorkerEntry
	// startedAt is the time at which the latest incarnation of the worker began that this
	// owner knows of, zero if the worker does not say it. All that follows is of that
	// incarnation.
	startedAt time.Time
	// formerStarts holds the starts of the last incarnations that have ended, and restartKnownSince is
	// the time at which this owner learned that the present one had replaced another, zero if none.
	formerStarts      []time.Time
	restartKnownSince time.Time
	// token is the fencing token of the calls to the worker, never below that of the owner. nextToken is
	// the one that takes its place once it is stored, 0 if none does.
	token, nextToken int64
	// raisedAt is the time at which a renewal was first sent with a token that the former incarnation
	// has not seen, and raised is set once one was answered. From then on the worker refuses all calls
	// that were meant for the former one.
	raisedAt time.Time
	raised   bool
	// unfencedSince is the last sign of the former incarnation until the present one has answered
	// a call with its own token, else zero.
	unfencedSince time.Time
	// lapses holds the runs of the present incarnation that were given up with its lease.
	lapses map[RunRef]lapse
	// listed is set while the directory lists the worker.
	listed bool
	runs   map[RunRef]*run
	used   sizer.Size
	// servingRuns and fillingRuns count the runs with serves and with fills.
	servingRuns int
	fillingRuns int
	// watchedRuns and trials count the runs with watched and with a trialGroup.
	watchedRuns int
	trials      int
	// reported is set once the worker has reported its runs to this owner, or
	// is known to have ended.
	reported bool
	// endsRead is set once no report can leave out the end of a run that a former owner started: one
	// has listed all ends, or one of a run that this owner knew of, or the worker's lease has lapsed. It
	// means nothing before reported is set.
	endsRead bool
	// gone is set once the present incarnation is known to have ended.
	gone bool
	// leasesOver is set for a worker that has not reported once every lease of former
	// owners has certainly expired. It then has no runs.
	leasesOver bool
	// formerSilence is the time before this ownership for which no owner has
	// granted the worker a lease, as far as the store says.
	formerSilence time.Duration
	// former is set if a former owner may have runs on the worker.
	former bool
	// recorded is set once the store lists the worker as in use. Nothing is
	// started on the worker before, so that a next owner asks it for its runs
	// even if the directory no longer lists it by then.
	recorded bool
	// clockReading is a lower bound of the worker's clock at clockReadAt. Both
	// are from the report that gives the highest bound for later times.
	clockReading time.Duration
	clockReadAt  time.Time
	// lastReportAt is the time at which the last report arrived, or was asked for if the host was
	// suspended since.
	lastReportAt time.Time
	// lastReportSent is the time at which the last report was requested, and lastReportEnds the
	// number of ends that it lists.
	lastReportSent time.Time
	lastReportEnds int
	// leaseWithheld is set while the worker gets no lease, as a stop has been pending for longer
	// than maxPendingStop although the worker reports.
	leaseWithheld bool
	// aliveAt is the latest time at which the worker was certainly up, as far as this
	// owner knows.
	aliveAt time.Time
	// leaseEnd is the latest expiry of a lease that was granted, on the
	// worker's clock.
	leaseEnd time.Duration
	// leaseSentAt is the latest time at which a call was sent that names a lease.
	leaseSentAt time.Time
	// formerOrdersEnd is the time by which runs have certainly ended that the worker may
	// start on orders to its former incarnation.
	formerOrdersEnd time.Time
	// silentSince is the time since which renewals have had no answer, zero
	// while they are answered.
	silentSince time.Time
	// lastEndNumber is the highest number of an end that was processed.
	lastEndNumber int64
	// pendingAcks holds the ends that are acknowledged once they are stored, in
	// order, and ackedNumber the number of the last one that is.
	pendingAcks []pendingAck
	ackedNumber int64
	// forgottenEnds is the number up to which the worker has answered an acknowledgement, and sentAck
	// the one that is under way.
	forgottenEnds int64
	sentAck       sentAcknowledgement
	// failedJobs holds the jobs whose runs failed on the worker since a run
	// last succeeded there, and failureStreak the number of those failures.
	failedJobs    map[string]bool
	failureStreak int
	// setAsideUntil is the time until which nothing is started on the worker,
	// and setAsideCount how often it was set aside for failures since a run
	// last succeeded.
	setAsideUntil time.Time
	setAsideCount int
	// slowness is the run time on this worker as a multiple of that on other
	// workers, as an exponential moving average.
	slowness float64
}

// pendingAck is an end that may be acknowledged once the write with the number
// batch is stored.
type pendingAck struct {
	endNumber int64
	batch     int64
}

// WorkerRef identifies one incarnation of a worker, with its network address.
type WorkerRef struct {
	ID      string
	Address string
}

// WorkerEntry is a worker's entry in the directory.
type WorkerEntry struct {
	Ref        WorkerRef
	Service    string
	DataCentre string
	// StartedAt is the time at which this incarnation of the worker began, as the worker
	// says. It is zero if the worker does not say it; then each incarnation has an identity
	// of its own.
	StartedAt time.Time `json:",omitzero"`
	// Token is the highest fencing token of calls to the worker, 0 if that is the owner's. Only the
	// store lists it.
	Token int64 `json:",omitzero"`
	// Dropped is set if the worker is not in use, and only its token counts: it may be listed again, and
	// refuses lower ones. Only the store lists it.
	Dropped bool `json:",omitzero"`
	// Total is the whole capacity of the worker.
	Total  sizer.Size
	Labels []string
	// Rack is the label of the worker's rack, or empty if it has none.
	Rack string
	// Leaving is set if the worker is draining and accepts no new runs.
	Leaving bool
	// Remaining is the minimum time for which a leaving worker stays, counted
	// from Read.
	Remaining time.Duration
	Read      time.Time
}

// SilentWorker is a worker to which no owner has granted a lease for some time, since
// it did not report its runs to them.
type SilentWorker struct {
	ID string `json:"id"`
	// For is the time for which no lease has been granted, at the time of the write.
	For time.Duration `json:"for"`
}

func (w *worker) freeCapacity() sizer.Size {
	return w.entry.Total.Sub(w.used)
}

// clockAt returns a lower bound of the worker's clock at the given time.
func (w *worker) clockAt(now time.Time) time.Duration {
	return w.clockReading + time.Duration(float64(now.Sub(w.clockReadAt))*minClockRate)
}

// leaseExpired reports whether every lease granted to the worker has certainly
// expired.
func (w *worker) leaseExpired(now time.Time) bool {
	return w.clockAt(now) > w.leaseEnd
}

// addRun adds a run to the worker. It is called by Scheduler.addRun only, which also
// counts the run for its organisation.
func (w *worker) addRun(r *run) {
	w.runs[r.ref] = r
	w.used = w.used.Add(r.size)
	if r.fills {
		w.fillingRuns++
	}
	if r.serves {
		w.servingRuns++
	}
	if r.watched {
		w.watchedRuns++
	}
	if r.trialGroup != (crashKey{}) {
		w.trials++
	}
}

// removeRun removes the run with the reference of r. It returns that run, or nil if the
// worker has none. It is called by Scheduler.removeRun only.
func (w *worker) removeRun(r *run) *run {
	found := w.runs[r.ref]
	if found == nil {
		return nil
	}
	delete(w.runs, r.ref)
	w.used = w.used.Sub(r.size)
	if r.fills {
		w.fillingRuns--
	}
	if r.serves {
		w.servingRuns--
	}
	if r.watched {
		w.watchedRuns--
	}
	if r.trialGroup != (crashKey{}) {
		w.trials--
	}
	return found
}
