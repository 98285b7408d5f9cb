package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// minClockRate is the lowest rate of a worker's clock relative to true
	// time: the platform allows clocks that are 2% slow.
	minClockRate = 0.98
	// attemptsPerToken is the size of the range of attempt numbers that belongs
	// to one fencing token. Attempts thus rise from owner to owner although
	// starts are not stored.
	attemptsPerToken = 1 << 20
	// defaultAdviceCalls is the limit of concurrent calls to the adviser, for
	// quick and for other calls each, until SetAdviceLimits is called.
	defaultAdviceCalls = 4
	// retentionMargin is added to the promised retention of final states
	// before a job is forgotten.
	retentionMargin = 10 * time.Second
)

// Scheduler holds the tables of one owner and applies the scheduling rules to
// them.
type Scheduler struct {
	options options
	// token is the fencing token of this ownership. Attempt numbers are above
	// token * attemptsPerToken.
	token int64
	// lastAttempt is the last attempt number that was given out.
	lastAttempt int64
	// ownerSince is the time at which the ownership began.
	ownerSince time.Time
	// hasFormerOwner is set if there may have been one.
	hasFormerOwner bool
	// recoveryDone is set once no run of the former owner can be unknown any
	// more.
	recoveryDone bool

	jobs    map[string]*job
	workers map[string]*worker
	// formerIncarnations holds workers that are not in use any more and may be again, by identity.
	formerIncarnations map[string]formerIncarnation
	// earlyCancellations holds the cancellations that were read before their job.
	earlyCancellations earlyCancellations
	// openSteps holds the steps that have waiting tasks and whose dependencies
	// are done.
	openSteps map[StepRef]*step
	// copyableSteps holds the steps that have runs and whose phase allows
	// copies of them.
	copyableSteps map[StepRef]*step
	// jobsWithUncreatedSteps holds the jobs with occurrences that have no steps yet.
	jobsWithUncreatedSteps map[string]*job
	// adviceInFlight counts the calls to the adviser that are in flight, and
	// adviceLimits holds their limits. The key is true for calls that count as
	// quick, and false for all other calls.
	adviceInFlight, adviceLimits map[bool]int
	// queues holds the statistics of each queue, by name.
	queues map[string]*queueStats
	// assignmentConfirmedAt is the last time at which the partition is known to have been
	// assigned to this owner, and ownershipConfirmedAt the last one by which no later epoch had
	// been announced, which is not after it. confirmationDue is the latest time for which tasks
	// wait until it is known that none had.
	assignmentConfirmedAt, ownershipConfirmedAt, confirmationDue time.Time
	// endedWorkers holds the starts of the incarnations of workers that have certainly ended, for as
	// long as the directory lists these workers.
	endedWorkers map[string]time.Time
	// suspensions holds for how long the host was suspended, ordered by time.
	suspensions []suspension

	// reportsAwaited is set at the beginning of the ownership, while workers of the former
	// owner may be about to report, as of this tick.
	reportsAwaited bool
	// storeStalled is set while writes to the store are overdue, as of this
	// tick.
	storeStalled bool
	// plannedRuns holds the runs that are not sent to their worker until the
	// store lists that worker for the job.
	plannedRuns []*run
	// heldRuns holds the planned runs that wait for no write: of gangs, for members of other owners, and
	// on workers, for the answer to an acknowledgement.
	heldRuns []*run
	// refusedRuns holds the runs with refused, and some of which that is no longer so.
	refusedRuns []*run
	// plannedExplainedAt is the time of the last note on a planned run that waits for a
	// write.
	plannedExplainedAt time.Time
	// dirtyJobs holds the identities of the jobs with unwritten progress.
	dirtyJobs map[string]bool
	// nextBatch is the number of the next write of progress, and storedBatch
	// that of the last one that is stored.
	nextBatch, storedBatch int64
	// outdatedSince is the time since which the store lists workers in use that are
	// not in use any more, zero if it lists none. workersOutdated is set if so, and
	// rewriteWorkers once the list is to be written again.
	outdatedSince   time.Time
	workersOutdated bool
	rewriteWorkers  bool
	// placementsAllowed is set if the placements of lasting tasks may be stored.
	placementsAllowed bool
	// rangesAllowed is set if occurrences that are done may be stored as ranges.
	rangesAllowed bool
	// storedSilent holds the workers that the store may list as silent. They get no
	// lease and no run, as a next owner would rely on that.
	storedSilent map[string]bool
	// silenceUnknown is set while the store has a list of silent workers that cannot be
	// decoded, which may hold any worker.
	silenceUnknown bool
	// silenceDue is set if the silent workers are to be stored, silenceWrittenAt is
	// the time of the last such write, and silenceComplete is set once one has been
	// made since the end of the recovery.
	silenceDue       bool
	silenceWrittenAt time.Time
	silenceComplete  bool
	// tickedAt is the time of the current or last tick.
	tickedAt time.Time
	// expiredJobs holds the identities of the jobs that have expired, in that order, until
	// ExpiredJobs finds that they have been deleted.
	expiredJobs []string
	// droppedJobs holds the identities of the jobs whose progress the store can delete, and
	// droppedGuests those of the jobs of other partitions of which all that is stored can be.
	droppedJobs, droppedGuests map[string]bool
	// partition is that of this owner. delegates holds, by service, the partitions whose owners may run tasks for this one,
	// and grantsAllowed is set if tasks may be left to them.
	partition     int
	delegates     map[string][]int
	grantsAllowed bool
	// homeTokens holds the highest fencing token of each home owner, by partition.
	homeTokens map[int]int64
	// delegateTokens is the same for the owners that have answered as delegates.
	delegateTokens map[int]int64
	// crowdedSteps holds the steps of the last tick that have lacked room for roomMissingFor, in
	// the order in which they were placed.
	crowdedSteps []*step
	// rooms holds what other owners last said of their room, by service and partition.
	// roomAskedAt is the time at which some were last asked, and roomRound counts these times.
	// oddRoomAt is the time of the last note on an answer that cannot be.
	// roomsChanged is set if an answer came since tasks were last granted.
	rooms        map[string]map[int]*knownRoom
	roomAskedAt  time.Time
	roomRound    int
	oddRoomAt    time.Time
	roomsChanged bool
	// reserved holds the workers that were reserved in the last tick, and spare, by service, the
	// free capacity that was left then for others. spareLong holds how many thousandths of a
	// core of it were left for steps that leave headroom.
	reserved  map[*worker]bool
	spare     map[string]sizer.Size
	spareLong map[string]int64
	// grantingJobs holds the identities of the jobs with grants to other owners, guests
	// those of the jobs of other partitions, and heldGuests those of such jobs whose stored
	// state cannot be decoded. Nothing of the latter runs.
	grantingJobs, guests, heldGuests map[string]bool
	// endsByWorker caches the results of expectedEnds during placeSteps. A worker's
	// entry is dropped when a run is started there, and all entries are when runs
	// may have been stopped.
	endsByWorker map[*worker][]expectedEnd
	// suspects holds, by worker, the tasks that have an unconfirmed crash of that worker.
	suspects map[string][]TaskRef
	// endings holds the workers that have ended within endingsInterval.
	endings []ending
	effects []Effect
	notes   []Note
	losses  Losses

	// organisations holds the organisations by name, and overage the fraction of a
	// maximum by which one may exceed it.
	organisations map[string]Organisation
	overage       float64
	// organisationsPending is set while the organisations are not known. No task of a
	// job of an organisation may start then.
	organisationsPending bool
	// uses holds, by organisation, what has a run on a worker. unknownRuns holds the
	// runs of unknown jobs by the identity of the job.
	uses map[string]*organisationUse
	// doubtedUses holds, by organisation, the last time at which a run of one of its jobs was or
	// may have been lost without a report of its end.
	doubtedUses map[string]time.Time
	unknownRuns map[string][]*run
	// formerUses holds, by organisation, what former owners may have running on
	// workers that have not reported. It is nil if it has to be computed again.
	formerUses map[string]sizer.Size
	// waits holds, by organisation, what waited in the last tick for organisations
	// with a maximum.
	waits map[string]*organisationWait
	// blockedSteps holds the most important steps of each organisation that need advice
	// and that its maximum blocked in this tick, in the order of rank.
	blockedSteps []*step
	// maximumNotes counts, by organisation, the notes on steps that wait for its maximum.
	maximumNotes map[string]*maximumNotes
	// allotments is what this owner may have running of each organisation.
	allotments allotments
	// shares holds what is known of the organisations' use and rates.
	shares shareTable
}

// queueStats holds the statistics of a queue.
type queueStats struct {
	// approvalRate is the share of workers that the adviser approves, as an
	// exponential moving average.
	approvalRate float64
	// runTimeFactor is the run time as a multiple of the estimate, as an
	// exponential moving average.
	runTimeFactor float64
	// waitingJobs counts the jobs that have neither begun nor ended.
	waitingJobs int
	// service and priority are those of the last job added to the queue.
	service  string
	priority int
}

// New returns a scheduler for the owner with that fencing token.
func New(token int64, now time.Time, opts ...Option) *Scheduler {
	s := &Scheduler{
		options: options{
			leaseDuration: 5 * time.Second,
			maxLease:      6 * time.Second,
			stopTimeout:   900 * time.Millisecond,
			retention:     120 * time.Second,
			remoteFactor:  1.5,
			recordLimit:   defaultRecordLimit,
			endsPerReport: defaultEndsPerReport,
		},
		token:                  token,
		lastAttempt:            token * attemptsPerToken,
		ownerSince:             now,
		assignmentConfirmedAt:  now,
		ownershipConfirmedAt:   now,
		silenceWrittenAt:       now,
		tickedAt:               now,
		jobs:                   make(map[string]*job),
		workers:                make(map[string]*worker),
		formerIncarnations:     make(map[string]formerIncarnation),
		openSteps:              make(map[StepRef]*step),
		copyableSteps:          make(map[StepRef]*step),
		jobsWithUncreatedSteps: make(map[string]*job),
		queues:                 make(map[string]*queueStats),
		endsByWorker:           make(map[*worker][]expectedEnd),
		adviceInFlight:         make(map[bool]int),
		adviceLimits: map[bool]int{
			true:  defaultAdviceCalls,
			false: defaultAdviceCalls,
		},
		organisations:      make(map[string]Organisation),
		uses:               make(map[string]*organisationUse),
		doubtedUses:        make(map[string]time.Time),
		unknownRuns:        make(map[string][]*run),
		waits:              make(map[string]*organisationWait),
		maximumNotes:       make(map[string]*maximumNotes),
		shares:             newShareTable(),
		placementsAllowed:  true,
		rangesAllowed:      true,
		earlyCancellations: newEarlyCancellations(),
		storedSilent:       make(map[string]bool),
		dirtyJobs:          make(map[string]bool),
		endedWorkers:       make(map[string]time.Time),
		droppedJobs:        make(map[string]bool),
		droppedGuests:      make(map[string]bool),
		homeTokens:         make(map[int]int64),
		delegateTokens:     make(map[int]int64),
		grantsAllowed:      true,
		grantingJobs:       make(map[string]bool),
		guests:             make(map[string]bool),
		heldGuests:         make(map[string]bool),
		rooms:              make(map[string]map[int]*knownRoom),
		reserved:           make(map[*worker]bool),
		spare:              make(map[string]sizer.Size),
		spareLong:          make(map[string]int64),
		nextBatch:          1,
		allotments:         newAllotments(),
		losses:             newLosses(),
		suspects:           make(map[string][]TaskRef),
	}
	for _, opt := range opts {
		opt(&s.options)
	}
	if !s.options.confirmedAt.IsZero() {
		s.assignmentConfirmedAt, s.ownershipConfirmedAt = s.options.confirmedAt, s.options.confirmedAt
	}
	return s
}

// Token returns the fencing token of this ownership.
func (s *Scheduler) Token() int64 {
	return s.token
}

// AllowPlacements sets whether the placements of lasting tasks and the silent workers
// may be stored. An owner of an older release would neither keep them up to date nor
// delete them, so they may not be stored while such an owner can follow. The default
// is true.
func (s *Scheduler) AllowPlacements(allowed bool) {
	changed := allowed && !s.placementsAllowed
	s.placementsAllowed = allowed
	if changed && s.recoveryDone {
		s.trackAllPlacements()
	}
}

// AddJob adds a job from the store, and cancels it if it was cancelled before. It does
// nothing for a job that is already known. progress is nil if none was stored. recovered
// reports whether the job was stored before this owner took over.
func (s *Scheduler) AddJob(record Job, progress *Progress, recovered bool, now time.Time) {
	if s.jobs[record.ID] != nil {
		return
	}
	j := s.addJob(record, progress, recovered, now)
	s.applyEarlyCancellations(j, now)
}

func (s *Scheduler) addJob(record Job, progress *Progress, recovered bool, now time.Time) *job {
	j := s.newJob(record)
	j.recovered = recovered
	s.jobs[record.ID] = j
	if s.droppedJobs[record.ID] {
		// The store has progress of a former job with that identity.
		delete(s.droppedJobs, record.ID)
		s.dirtyJobs[record.ID] = true
	}
	s.countUnknownRuns(j)
	s.formerUses = nil
	s.recordArrival(j)
	if progress != nil {
		j.restoreProgress(*progress)
		j.begun = progress.State != Pending
		j.begunStored = j.begun
		s.restoreGrants(j, *progress)
	}
	if j.state.Final() {
		return j
	}
	if len(j.doneOccurrences) > 0 && !s.storesRanges(j) {
		s.dirtyJobs[record.ID] = true
	}
	stats := s.stats(record.Queue.Name)
	stats.waitingJobs++
	stats.service = record.Queue.Service
	stats.priority = record.Queue.Priority
	if j.begun {
		stats.waitingJobs--
	}
	s.jobsWithUncreatedSteps[record.ID] = j
	s.createDueSteps(j, now)
	if recovered && record.Organisation != "" && !s.recoveryDone {
		j.formerUnfinished = j.unfinished()
	}
	return j
}

// restoreProgress restores what a former owner has stored of a new job.
func (j *job) restoreProgress(progress Progress) {
	j.state = progress.State
	j.endedAt = progress.Ended
	j.stateStored = progress.State.Final()
	j.formerEnding = progress.Ending
	j.doneOccurrences = newOccurrenceSet(progress.DoneOccurrences, j.record.occurrences())
	for _, id := range progress.Workers {
		j.workers[id] = true
		j.storedWorkers[id] = true
	}
	for _, stepProgress := range progress.Steps {
		if j.doneOccurrences.contains(stepProgress.Occurrence) {
			continue
		}
		j.storedProgress[StepRef{
			Job:        j.record.ID,
			Occurrence: stepProgress.Occurrence,
			Phase:      stepProgress.Phase,
		}] = stepProgress
	}
}

// HoldJob adds a job from the store whose stored progress cannot be decoded. As it may have
// ended, nothing of it starts, and what workers report of it is stopped. It is shown as running
// until it is cancelled.
func (s *Scheduler) HoldJob(record Job, now time.Time) {
	if s.jobs[record.ID] != nil {
		return
	}
	j := s.newJob(record)
	j.state = Running
	j.begun = true
	j.begunStored = true
	j.recovered = true
	j.held = true
	s.jobs[record.ID] = j
	s.countUnknownRuns(j)
	s.applyEarlyCancellations(j, now)
}

func (s *Scheduler) newJob(record Job) *job {
	return &job{
		record:         record,
		state:          Pending,
		steps:          make(map[StepRef]*step),
		storedProgress: make(map[StepRef]StepProgress),
		workers:        make(map[string]bool),
		storedWorkers:  make(map[string]bool),
		delegates:      make(map[int]bool),
		objective:      record.objective(),
		criticalPaths:  record.criticalPaths(),
		// A write under way may hold changes of a former job of that identity.
		lastBatch: s.nextBatch - 1,
	}
}

func (s *Scheduler) createStep(j *job, occurrence, phase int, dueAt, now time.Time) {
	ref := StepRef{
		Job:        j.record.ID,
		Occurrence: occurrence,
		Phase:      phase,
	}
	st := &step{
		ref:         ref,
		job:         j,
		phase:       &j.record.Phases[phase],
		dueAt:       dueAt,
		objectiveAt: dueAt.Add(j.objective),
		adviceState: adviceState{
			askedWorkers: make(map[string]bool),
			tickets:      make(map[string]ticket),
		},
	}
	st.tasks = make([]task, st.phase.Tasks)
	st.waiting = len(st.tasks)
	stored := j.storedProgress[ref]
	delete(j.storedProgress, ref)
	complete := !j.recovered || s.recoveryDone || len(j.workers) == 0
	st.tracksPlacements = st.tasksRunAlone() && (stored.HasPlacements || complete && s.placementsAllowed)
	for _, id := range stored.Approved {
		// The ticket has expired, but the worker need not be found again.
		st.adviceState.askedWorkers[id] = true
		st.adviceState.tickets[id] = ticket{}
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		t.notRunningSince = now
		t.withoutRunSince = now
		t.failedAttempts = stored.Failures[i]
		t.storedWorkers = stored.Placements[i]
		t.formerWorkers = stored.Placements[i]
		s.restoreCrashes(st, i, stored.Crashes[i])
		if hasBit(stored.Done, i) {
			t.done = true
			st.done++
			st.waiting--
		}
	}
	if st.phase.Gang {
		st.gangFailures = stored.Failures[0]
	}
	j.leaveGranted(st)
	j.steps[ref] = st
}

// openIfReady adds a step to openSteps if it has waiting tasks and its
// dependencies are done.
func (s *Scheduler) openIfReady(st *step, now time.Time) {
	if st == nil || st.waiting == 0 || !st.dependenciesDone() {
		return
	}
	if st.readyAt.IsZero() {
		st.readyAt = now
	}
	s.openSteps[st.ref] = st
}

// dependenciesDone reports whether all steps that this one depends on are
// done.
func (st *step) dependenciesDone() bool {
	if st.job.guest != nil {
		// The home owner grants only tasks of steps that are ready.
		return true
	}
	for _, index := range st.phase.DependsOn {
		dependency := st.ref
		dependency.Phase = index
		if other := st.job.steps[dependency]; other != nil && other.done < len(other.tasks) {
			return false
		}
	}
	return true
}

// Cancel ends a job, unless it has ended. It reports whether the job is known.
func (s *Scheduler) Cancel(id string, now time.Time) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		s.endJob(j, Cancelled, now)
	}
	return true
}

// endJob gives a job its final state and stops its runs.
func (s *Scheduler) endJob(j *job, state JobState, now time.Time) {
	if !j.begun {
		s.stats(j.record.Queue.Name).waitingJobs--
	}
	j.state = state
	j.endedAt = now
	j.stateStored = false
	s.addNote("job "+string(state)+": "+j.history(), TaskRef{
		Step: StepRef{
			Job: j.record.ID,
		},
	}, "", now.Sub(j.record.Accepted))
	s.dirtyJobs[j.record.ID] = true
	delete(s.jobsWithUncreatedSteps, j.record.ID)
	for ref, st := range j.steps {
		delete(s.openSteps, ref)
		delete(s.copyableSteps, ref)
		for i := range st.tasks {
			for _, r := range []*run{st.tasks[i].copy, st.tasks[i].run} {
				if r != nil {
					s.stopRun(r, now, "job "+string(state))
				}
			}
		}
	}
}

// markJobBegun records that a worker has begun a task of the job, if the job is known.
func (s *Scheduler) markJobBegun(id string) {
	j := s.jobs[id]
	if j != nil && j.guest != nil && !j.guest.begun && !j.state.Final() {
		j.guest.begun = true
		s.dirtyJobs[id] = true
	}
	if j == nil || j.begun || j.state.Final() {
		return
	}
	j.begun = true
	j.state = Running
	s.stats(j.record.Queue.Name).waitingJobs--
}

// keepBegun has it stored that the job has begun, as one of its runs has ended. As long as it
// runs, a next owner learns it from the worker.
func (s *Scheduler) keepBegun(j *job) {
	if j.begun && !j.begunStored && !j.state.Final() {
		s.dirtyJobs[j.record.ID] = true
	}
}

// completeIfDone completes a job if the steps of all its occurrences are created
// and done.
func (s *Scheduler) completeIfDone(j *job, now time.Time) {
	if j.state.Final() || j.guest != nil || j.nextOccurrence < j.record.occurrences() {
		return
	}
	for _, st := range j.steps {
		if st.done < len(st.tasks) {
			return
		}
	}
	s.endJob(j, Completed, now)
}

// State returns the state to show to a caller, and whether the job is known.
func (s *Scheduler) State(id string) (JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && !j.stateStored {
		// The final state is shown only once it is stored, so that no later
		// owner can show another one. Until then the former state holds.
		if j.begun {
			return Running, true
		}
		return Pending, true
	}
	return j.state, true
}

// WaitingJobs counts the jobs of a queue of which no worker has begun a task.
func (s *Scheduler) WaitingJobs(queue string) int {
	return s.stats(queue).waitingJobs
}

// QueueOf returns the name of the queue for which a job was accepted, or "" if the job is not known.
func (s *Scheduler) QueueOf(id string) string {
	if j := s.jobs[id]; j != nil {
		return j.record.Queue.Name
	}
	return ""
}

// Jobs counts the jobs that are not final.
func (s *Scheduler) Jobs() int {
	n := 0
	for _, j := range s.jobs {
		if !j.state.Final() {
			n++
		}
	}
	return n
}

// stats returns the statistics of a queue, which it creates if needed.
func (s *Scheduler) stats(queue string) *queueStats {
	q := s.queues[queue]
	if q == nil {
		q = &queueStats{
			approvalRate:  0.5,
			runTimeFactor: 1,
		}
		s.queues[queue] = q
	}
	return q
}

// emit adds an effect to those that the next Tick returns.
func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// taskSize returns the capacity that a task of the phase takes up on a worker.
func taskSize(phase *Phase) sizer.Size {
	if !phase.Fills {
		return phase.Size
	}
	return sizer.New(0, phase.Size.Bytes(), phase.Size.Accelerators())
}
