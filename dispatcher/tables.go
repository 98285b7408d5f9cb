package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/sizer"
)

// linkTable holds the workers that this member owns.
type linkTable struct {
	byName map[string]*link
	// order has the names in order, nil if it has to be made again.
	order []string
	// due is when the links are looked at next.
	dueAt time.Time
	// count numbers the links.
	lastNumber uint64
}

// tables hold everything that the dispatcher knows. They do no input or output:
// calls are asked for as effects, and their ends come back as events. The same
// inputs at the same times give the same effects.
type tables struct {
	self       string
	dataCentre string
	settings   *settings
	log        log.Interface
	metrics    *metrics
	placer     *placer.Placer
	random     *rand.Rand
	// now is the time of the current step.
	now time.Time

	// epoch is the last membership's, and acceptedAt its offset in the log.
	epoch      namer.Epoch
	acceptedAt namer.Offset
	// members are sorted; member says whether this entry is one of them.
	members []string
	member  bool
	// adoptedAt is when this entry learned of the epoch.
	epochLearnedAt time.Time
	// logContact is the sending of the last read of the log that showed no
	// later epoch.
	logReadSentAt time.Time
	// heardEpoch is the latest epoch that a peer has spoken of.
	peerEpoch namer.Epoch
	// leaving is set once the entry hands over.
	leaving bool
	// sequence counts this entry's starts.
	sequence uint64
	// takeovers counts the workers that this entry has taken over, and
	// openings the times when it heard of takeovers, its own among them.
	takeovers     uint64
	takeoversSeen uint64

	// listed is the host list, as far as it is of this data centre's workers.
	listed     map[string]connector.Host
	hostsKnown bool
	links      linkTable
	// drained are the workers whose tasks operators want moved.
	drained map[string]struct{}
	// finished says on which worker a finished start waits to be recorded.
	finished map[namer.TaskRef]*link

	// jobs are all jobs of the data centre that have not ended.
	jobs map[string]replayer.JobState
	// homes are those whose home this member is. Of them something has
	// happened to those in fresh, and those in active wait for something.
	homeJobs       map[string]*homeJob
	dirtyJobs      map[string]*homeJob
	waitingJobs    map[string]*homeJob
	nextHomeScanAt time.Time
	unknownJobs    unknownJobTable

	// held are the tasks that this member has, and heldOf their indexes.
	held           map[namer.TaskID]*holding
	heldIndexes    map[string]map[int]struct{}
	overflowed     map[namer.TaskID]struct{}
	nextOverflowAt time.Time
	reservations   map[string]*reservation

	// channels lead to the other members.
	channels map[string]*channel
	// own is the channel to this member itself.
	selfChannel channel
	// reported is set once this member's census is out, certain once every
	// member's is in and the leases that none knew have lapsed.
	censusSent     bool
	censusComplete bool
	knownTeams     map[string]replayer.Team
	// localDue is when the own summary is made again.
	nextSummaryAt time.Time

	effects []effect
}

func newTables(self, dataCentre string, s *settings, m *metrics) *tables {
	t := &tables{
		self:       self,
		dataCentre: dataCentre,
		settings:   s,
		log:        s.logger,
		metrics:    m,
		random:     rand.New(rand.NewPCG(s.seed, s.seed)),
		links: linkTable{
			byName: make(map[string]*link),
		},
		drained:      make(map[string]struct{}),
		finished:     make(map[namer.TaskRef]*link),
		jobs:         make(map[string]replayer.JobState),
		homeJobs:     make(map[string]*homeJob),
		dirtyJobs:    make(map[string]*homeJob),
		waitingJobs:  make(map[string]*homeJob),
		held:         make(map[namer.TaskID]*holding),
		heldIndexes:  make(map[string]map[int]struct{}),
		overflowed:   make(map[namer.TaskID]struct{}),
		reservations: make(map[string]*reservation),
		channels:     make(map[string]*channel),
		knownTeams:   make(map[string]replayer.Team),
	}
	t.unknownJobs.init()
	opts := append([]placer.Option{
		placer.WithAttempts(t.nextAttempt),
		placer.WithSeed(s.seed),
	}, s.placer...)
	t.placer = placer.New(s.clock, opts...)
	return t
}

func (t *tables) nextAttempt() namer.Attempt {
	t.sequence++
	return namer.Attempt{
		Epoch:    t.epoch,
		Sequence: t.sequence,
		Owner:    t.self,
	}
}

// tick runs the systems over the tables, in a fixed order.
func (t *tables) tick(now time.Time) {
	t.now = now
	if !t.member {
		return
	}
	t.scanLinks()
	t.expireReservations()
	t.updateCensus()
	t.rejectReportsOfEndedJobs()
	t.applyLocal()
	t.scanHomes()
	t.applyLocal()
	t.applyDecisions(t.placer.Tick())
	t.returnOverflow()
	t.applyLocal()
	t.updateSummary()
	t.sendMessages()
}

// handle takes the end of an effect.
func (t *tables) handle(now time.Time, e event) {
	t.now = now
	if !t.member {
		return
	}
	switch e := e.(type) {
	case renewedEvent:
		t.handleRenewed(e)
	case startedEvent:
		t.handleStarted(e)
	case exchangedEvent:
		t.handleExchanged(e)
	case committedEvent:
		t.handleCommitted(e)
	case stoppedEvent:
		// The report that shows the end is asked for at once.
		if l := t.links.byName[e.worker]; l != nil {
			t.renewOnNextTick(l)
		}
	case throttledEvent:
	}
	t.applyLocal()
}

func (t *tables) emit(e effect) {
	t.effects = append(t.effects, e)
}

func (t *tables) takeEffects() []effect {
	effects := t.effects
	t.effects = nil
	return effects
}

// homeOf returns the member that is the home of a job, empty if there is none.
func (t *tables) homeOf(job string) string {
	home, _ := namer.Owner(job, t.members)
	return home
}

func (t *tables) kindOf(job, reported string) recorder.JobKind {
	if state, ok := t.jobs[job]; ok {
		return state.Job().Policy
	}
	for index := range t.heldIndexes[job] {
		return t.held[namer.TaskID{
			Job:   job,
			Index: index,
		}].job.Policy
	}
	return recorder.JobKind(reported)
}

// jobOf returns the job of a task that was found at a worker, as far as it is
// known.
func (t *tables) jobOf(job string, report connector.TaskReport) recorder.Job {
	if state, ok := t.jobs[job]; ok {
		return state.Job()
	}
	return recorder.Job{
		ID:         job,
		Team:       report.Team,
		Policy:     recorder.JobKind(report.Kind),
		Size:       report.Size,
		DataCentre: t.dataCentre,
	}
}

func (t *tables) taskOf(id namer.TaskID, report connector.TaskReport) placer.Task {
	return newTask(t.jobOf(id.Job, report), id.Index)
}

func newTask(job recorder.Job, index int) placer.Task {
	id := namer.TaskID{
		Job:   job.ID,
		Index: index,
	}
	opts := []placer.TaskOption{
		placer.RunTime(job.RunTime),
	}
	if job.Urgent {
		opts = append(opts, placer.Urgent())
	}
	return placer.NewTask(id, job.Team, policyOf(job.Policy), job.Size, opts...)
}

func policyOf(kind recorder.JobKind) placer.Policy {
	switch kind {
	case recorder.Service:
		return placer.ServicePolicy{}
	case recorder.Gang:
		return placer.GangPolicy{}
	default:
		return placer.BatchPolicy{}
	}
}

func kindOfPolicy(policy placer.Policy) recorder.JobKind {
	switch policy.(type) {
	case placer.ServicePolicy:
		return recorder.Service
	case placer.GangPolicy:
		return recorder.Gang
	default:
		return recorder.Batch
	}
}

// setTeams takes the teams' weights and quotas.
func (t *tables) setTeams(teams map[string]replayer.Team) {
	for name := range t.knownTeams {
		if _, ok := teams[name]; !ok {
			t.placer.SetTeam(name, 1, sizer.Size{})
		}
	}
	t.knownTeams = teams
	t.setLocalQuotas()
}

// shareQuotas lets this member give each team what of its quota the peers have
// not given.
func (t *tables) setLocalQuotas() {
	for _, name := range sortedKeys(t.knownTeams) {
		team := t.knownTeams[name]
		quota := team.Quota
		if !quota.IsZero() {
			quota = t.remainingQuota(name, quota)
		}
		t.placer.SetTeam(name, team.Weight, quota)
	}
}

// quotaLeft returns a quota less what the peers hold, in no dimension that it
// bounds below the least amount, since zero stands for no bound.
func (t *tables) remainingQuota(name string, quota sizer.Size) sizer.Size {
	left := quota
	for _, ch := range t.channels {
		left = left.Sub(ch.summary.Usage[name])
	}
	return sizer.New(
		atLeastOne(quota.MilliCores(), left.MilliCores()),
		atLeastOne(quota.Bytes(), left.Bytes()),
		atLeastOne(quota.Accelerators(), left.Accelerators()),
	)
}

func atLeastOne(quota, left int64) int64 {
	if quota == 0 {
		return 0
	}
	return max(left, 1)
}

func (t *tables) audit(what, reason string) {
	if t.settings.audit == nil {
		return
	}
	t.settings.audit(recorder.Audit{
		Who:      t.self,
		What:     what,
		Accepted: true,
		Reason:   reason,
	})
}
