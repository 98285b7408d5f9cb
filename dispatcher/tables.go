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
	// order has the names in order, nil if it has to be computed again.
	order []string
	// dueAt is when the links are scanned next.
	dueAt time.Time
	// lastNumber is the number of the last link that was added.
	lastNumber uint64
}

// tables hold the state of the dispatcher. They do no input or output: calls
// are requested as effects, and their results come back as events. The same
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

	// epoch is the epoch of the last accepted membership, and membershipOffset the
	// offset in the log at which it was accepted.
	epoch            namer.Epoch
	membershipOffset namer.Offset
	// members are sorted by name; member reports whether this entry is one of
	// them.
	members []string
	member  bool
	// epochLearnedAt is when this entry learned of the epoch.
	epochLearnedAt time.Time
	// logReadSentAt is when the last read of the log was sent that showed no
	// later epoch.
	logReadSentAt time.Time
	// peerEpoch is the latest epoch that a peer has named.
	peerEpoch namer.Epoch
	// leaving is set once Leave was called.
	leaving bool
	// sequence counts the runs that this entry has decided to start.
	sequence uint64
	// takeovers counts the workers that this entry has taken over.
	// takeoversSeen counts its own takeovers and the messages of peers that
	// reported new ones.
	takeovers     uint64
	takeoversSeen uint64

	// listed are the workers of this data centre in the host list, by name.
	listed     map[string]connector.Host
	hostsKnown bool
	links      linkTable
	// drained are the workers whose tasks operators want moved elsewhere.
	drained map[string]struct{}
	// finished are the finished runs that are not known to be recorded, each with
	// the link to its worker.
	finished map[namer.TaskRef]*link

	// jobs are all jobs of the data centre that have not ended.
	jobs map[string]replayer.JobState
	// homeJobs are the jobs whose home is this member. Of these, dirtyJobs have
	// changed since they were last processed, and waitingJobs are processed
	// again every homeScanInterval.
	homeJobs       map[string]*homeJob
	dirtyJobs      map[string]*homeJob
	waitingJobs    map[string]*homeJob
	nextHomeScanAt time.Time
	unknownJobs    unknownJobTable

	// held are the tasks that this member has, and heldIndexes their indexes by
	// job. overflowed are those for which the placer found no free capacity.
	held           map[namer.TaskID]*holding
	heldIndexes    map[string]map[int]struct{}
	overflowed     map[namer.TaskID]struct{}
	nextOverflowAt time.Time
	reservations   map[string]*reservation

	// streams are those to the other members.
	streams map[string]*memberStream
	// selfStream is the stream to this member itself.
	selfStream memberStream
	// censusSent is set once this member has sent its Census. censusComplete is
	// set once every member has sent its Census, and the leases that no member
	// knew of have lapsed.
	censusSent     bool
	censusComplete bool
	knownTeams     map[string]replayer.Team
	// nextSummaryAt is when this member's summary is updated next.
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
		streams:      make(map[string]*memberStream),
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

// tick processes everything that is due, in a fixed order.
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

// handle handles the result of an effect.
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
		// The report that shows the end of the tasks is requested at once.
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

// jobOf returns the job of a task that was found on a worker, as far as it is
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

// setTeams sets the weights and quotas of the teams.
func (t *tables) setTeams(teams map[string]replayer.Team) {
	for name := range t.knownTeams {
		if _, ok := teams[name]; !ok {
			t.placer.SetTeam(name, 1, sizer.Size{})
		}
	}
	t.knownTeams = teams
	t.setLocalQuotas()
}

// setLocalQuotas sets the quota of each team at this member: the team's quota
// less what its tasks hold at the peers.
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

// remainingQuota returns a quota less what the team's tasks hold at the peers.
// A bounded dimension stays at least 1, since 0 stands for no bound.
func (t *tables) remainingQuota(name string, quota sizer.Size) sizer.Size {
	left := quota
	for _, stream := range t.streams {
		left = left.Sub(stream.summary.Usage[name])
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
