package scheduler

import (
	"slices"
	"time"
)

const (
	// gangHoldTimeout is how long workers may be held for a gang that other owners run too,
	// while one of these has no room.
	gangHoldTimeout = 1500 * time.Millisecond
	// gangHoldPause is the shortest pause after that, which rises with each time up to
	// maxGangHoldPause, so that gangs that wait for each other's workers get them in turn.
	gangHoldPause    = 250 * time.Millisecond
	maxGangHoldPause = 4 * time.Second
)

// GangStage is how far the members of a gang that several owners run may go.
type GangStage int

// The stages of an attempt of such a gang, in this order.
const (
	// GangNone means that nothing is to be prepared. Runs go on.
	GangNone GangStage = iota
	// GangPrepare means that each owner holds workers for its members.
	GangPrepare
	// GangGo means that all members are started.
	GangGo
	// GangStop means that all members are stopped.
	GangStop
)

// String implements fmt.Stringer.
func (g GangStage) String() string {
	names := []string{"none", "prepare", "go", "stop"}
	if g >= 0 && int(g) < len(names) {
		return names[g]
	}
	return "invalid"
}

// GangOrder is what the home owner of a gang has decided for all members.
type GangOrder struct {
	// Attempt is shared by all members, and rises.
	Attempt    int64
	Stage      GangStage
	Checkpoint string
}

// GangState is the state of the members of a gang at a delegate.
type GangState struct {
	// Order is the last order that the delegate has applied.
	Order GangOrder
	// Settled is set once the delegate knows all of its runs.
	Settled bool
	// Ready is set while workers are held for all members that the delegate has, and Members
	// is their number. It may have returned others that the home owner does not know of yet.
	Ready   bool
	Members int
	// Running counts the members that run, and RunAttempt is their attempt.
	Running    int
	RunAttempt int64
	// Done is set if a member has ended so, which may not be stored yet.
	Done bool
	// Failures lists the failed attempts.
	Failures   []int64
	Checkpoint string
}

// members counts the tasks of the step that belong to this owner.
func (st *step) members() int {
	return len(st.tasks) - st.tasksElsewhere
}

// isGangPart reports whether other owners have members of the gang.
func (st *step) isGangPart() bool {
	if !st.phase.Gang {
		return false
	}
	return st.job.guest != nil || len(st.gangGrants()) > 0
}

// gangGrants returns the grants of members to other owners.
func (st *step) gangGrants() []*grant {
	var grants []*grant
	for _, g := range st.job.grants {
		if g.step(st.job.record.ID) == st.ref && len(g.Tasks)+len(g.returning) > 0 {
			grants = append(grants, g)
		}
	}
	return grants
}

// holds reports whether the start of a planned run waits for the other owners of its gang.
func (st *step) holds(r *run) bool {
	return st.isGangPart() && (st.order.Stage != GangGo || st.order.Attempt != r.ref.Attempt)
}

// placeGangPart holds workers for this owner's members of a gang, once that is its turn.
func (s *Scheduler) placeGangPart(st *step, p *pool, now time.Time) {
	if st.order.Stage != GangPrepare || st.waiting < st.members() || !st.prepares(s.partition) {
		return
	}
	s.startGang(st, p, func() int64 { return st.order.Attempt }, now)
}

// prepares reports whether it is the turn of a partition's owner to hold workers: the owners
// of lower partitions do. So two gangs cannot wait for each other's workers.
func (st *step) prepares(partition int) bool {
	if st.job.guest != nil {
		return true
	}
	return st.notReady <= 0 || partition <= st.notReady-1
}

// isReady reports whether workers are held for all of this owner's members.
func (st *step) isReady() bool {
	if st.waiting > 0 {
		return false
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.elsewhere {
			continue
		}
		if t.run == nil || t.run.state != runPlanned || t.run.ref.Attempt != st.order.Attempt || !st.mayBeSent(t.run, t) {
			return false
		}
	}
	return true
}

// runningMembers counts this owner's members that run or are about to be started, and returns
// their attempt. Those that are told to stop do not count.
func (st *step) runningMembers() (n int, attempt int64) {
	for i := range st.tasks {
		r := st.tasks[i].run
		if r != nil && r.state != runStopping && (r.state != runPlanned || !st.holds(r)) {
			n++
			attempt = max(attempt, r.ref.Attempt)
		}
	}
	return n, attempt
}

// hasRuns reports whether a task of the step has a run, or one is planned.
func (st *step) hasRuns() bool {
	return slices.ContainsFunc(st.tasks, func(t task) bool { return t.run != nil })
}

// driveGangs takes the steps that are due for the gangs that other owners run too.
func (s *Scheduler) driveGangs(now time.Time) {
	if !s.recoveryDone {
		return
	}
	for id := range s.grantingJobs {
		j := s.jobs[id]
		if j == nil || j.state.Final() {
			continue
		}
		for _, st := range j.steps {
			if st.isGangPart() && st.done < len(st.tasks) {
				s.driveGang(st, now)
			}
		}
	}
}

func (s *Scheduler) driveGang(st *step, now time.Time) {
	grants := st.gangGrants()
	if slices.ContainsFunc(grants, func(g *grant) bool { return !g.stored || !g.acknowledged || !g.heard || !g.gang.Settled }) {
		// A delegate is about to answer. What it has may run on.
		return
	}
	switch st.order.Stage {
	case GangNone:
		s.beginGang(st, grants, now)
	case GangPrepare:
		s.prepareGang(st, grants, now)
	case GangGo:
		if s.isBroken(st, grants) {
			s.breakGang(st, "a member was lost", now)
		}
	case GangStop:
		s.awaitStopped(st, grants, now)
	}
}

// beginGang begins an attempt, unless members of a former one run.
func (s *Scheduler) beginGang(st *step, grants []*grant, now time.Time) {
	running, attempt := st.runningMembers()
	highest := max(attempt, st.order.Attempt)
	complete := running == st.members()
	others := 0
	for _, g := range grants {
		complete = complete && g.gang.Running == len(g.Tasks) && (attempt == 0 || g.gang.RunAttempt == attempt)
		others += g.gang.Running
		attempt = max(attempt, g.gang.RunAttempt)
		highest = max(highest, g.gang.RunAttempt, g.gang.Order.Attempt)
	}
	switch {
	case running+others == 0 && !st.hasRuns():
		if now.Before(st.retryAt) || !st.dependenciesDone() || st.noPlaces.tasks > 0 {
			return
		}
		s.lastAttempt = max(s.newAttempt(), highest+1)
		st.order = GangOrder{
			Attempt:    s.lastAttempt,
			Stage:      GangPrepare,
			Checkpoint: st.tasks[0].checkpoint,
		}
		st.heldSince = time.Time{}
		st.incompleteSince = time.Time{}
		s.prepareGang(st, grants, now)
	case complete:
		// A former owner has started it.
		st.order = GangOrder{
			Attempt: attempt,
			Stage:   GangGo,
		}
		st.incompleteSince = time.Time{}
	case st.incompleteSince.IsZero():
		st.incompleteSince = now
	case now.Sub(st.incompleteSince) > incompleteGangTimeout:
		st.incompleteSince = time.Time{}
		st.order.Attempt = highest
		s.breakGang(st, "members are missing", now)
	}
}

// prepareGang starts the gang once all owners hold workers for it.
func (s *Scheduler) prepareGang(st *step, grants []*grant, now time.Time) {
	notReady := -1
	held := false
	consider := func(partition int, ready bool) {
		held = held || ready
		if !ready && (notReady < 0 || partition < notReady) {
			notReady = partition
		}
	}
	if st.members() > 0 {
		consider(s.partition, st.isReady())
	}
	granted := make(map[int]int)
	for _, g := range grants {
		granted[g.Partition] += len(g.Tasks)
	}
	for _, g := range grants {
		if g.gang.Order.Attempt > st.order.Attempt {
			// A former home owner has begun another one.
			st.order.Attempt = g.gang.Order.Attempt
			s.breakGang(st, "a delegate has a later attempt", now)
			return
		}
		// What was returned belongs to this owner only once that is stored.
		complete := len(g.returning) == 0 && g.gang.Members == granted[g.Partition]
		consider(g.Partition, complete && g.gang.Ready && g.gang.Order.Attempt == st.order.Attempt)
	}
	st.notReady = notReady + 1
	switch {
	case notReady < 0:
		st.order.Stage = GangGo
		st.holdPause = 0
	case !held && st.noPlaces.tasks > 0:
		s.breakGang(st, "workers lack places for its members", now)
	case !held:
		st.heldSince = time.Time{}
	case st.heldSince.IsZero():
		st.heldSince = now
	case now.Sub(st.heldSince) > gangHoldTimeout:
		st.holdPause = min(maxGangHoldPause, max(gangHoldPause, 2*st.holdPause))
		s.breakGang(st, "another owner has no room for its members", now)
		st.retryAt = now.Add(st.holdPause)
	}
}

// isBroken reports whether a member of a gang that was started does not run any more, or was
// not started.
func (s *Scheduler) isBroken(st *step, grants []*grant) bool {
	for _, g := range grants {
		if g.gang.Done {
			return false
		}
	}
	for _, g := range grants {
		if g.gang.Order.Attempt == st.order.Attempt && g.gang.Order.Stage == GangGo && g.gang.Running < len(g.Tasks) {
			return true
		}
	}
	return st.waiting > 0
}

// breakGang has all members stopped.
func (s *Scheduler) breakGang(st *step, reason string, now time.Time) {
	st.order.Stage = GangStop
	st.heldSince = time.Time{}
	st.retryAt = latest(st.retryAt, now.Add(gangRetryDelay))
	s.addNote("gang broken: "+reason, TaskRef{
		Step: st.ref,
	}, "", now.Sub(st.dueAt))
	s.stopGang(st, reason, now)
}

// awaitStopped ends an attempt once no member runs.
func (s *Scheduler) awaitStopped(st *step, grants []*grant, now time.Time) {
	if st.hasRuns() {
		s.stopGang(st, "members are missing", now)
		return
	}
	for _, g := range grants {
		stopped := g.gang.Order.Stage == GangStop && g.gang.Order.Attempt >= st.order.Attempt
		if !stopped || g.gang.Running > 0 {
			return
		}
	}
	st.order.Stage = GangNone
}

// orderFor returns what a delegate is told about the members of a gang that it has.
func (st *step) orderFor(g *grant) GangOrder {
	switch {
	case st.done == len(st.tasks):
		return GangOrder{
			Attempt: st.order.Attempt,
			Stage:   GangStop,
		}
	case st.order.Stage == GangNone, st.order.Stage == GangPrepare && !st.prepares(g.Partition):
		return GangOrder{}
	}
	return st.order
}

// applyOrder applies an order of the home owner. Late orders are ignored.
func (s *Scheduler) applyOrder(st *step, order GangOrder, now time.Time) {
	switch {
	case order.Stage == GangNone:
		if st.order.Stage == GangPrepare {
			st.order.Stage = GangNone
			s.dropHeld(st, now)
		}
		return
	case order.Attempt < st.order.Attempt, order.Attempt == st.order.Attempt && order.Stage < st.order.Stage:
		return
	}
	if order.Attempt > st.order.Attempt {
		s.dropHeld(st, now)
	}
	if order.Stage == GangPrepare {
		st.setCheckpoint(0, order.Checkpoint)
	}
	st.order = order
	if order.Stage == GangStop {
		s.stopGang(st, "the home owner stops it", now)
	}
}

// dropHeld drops the planned runs of a gang.
func (s *Scheduler) dropHeld(st *step, now time.Time) {
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.state == runPlanned {
			s.stopRun(r, now, "the home owner holds no workers any more")
		}
	}
}

// gangState returns the state of a gang's members that is told to the home owner. stored is set
// if all changes of the job are.
func (s *Scheduler) gangState(st *step, stored bool) GangState {
	running, attempt := st.runningMembers()
	state := GangState{
		Order:      st.order,
		Settled:    s.recoveryDone,
		Ready:      st.order.Stage == GangPrepare && st.isReady(),
		Members:    st.members(),
		Running:    running,
		RunAttempt: attempt,
		Done:       slices.ContainsFunc(st.tasks, func(t task) bool { return t.done }),
	}
	for i := range st.tasks {
		state.Checkpoint = max(state.Checkpoint, st.tasks[i].checkpoint)
	}
	if stored {
		state.Failures = slices.Clone(st.gangFailures)
	}
	return state
}

// applyGangState records the state of members at a delegate.
func (s *Scheduler) applyGangState(st *step, g *grant, state GangState, now time.Time) {
	if state.Checkpoint != "" && state.Checkpoint != g.gang.Checkpoint {
		st.setCheckpoint(0, state.Checkpoint)
	}
	g.gang = state
	g.heard = true
	for _, attempt := range state.Failures {
		if !slices.Contains(st.gangFailures, attempt) && !st.job.state.Final() {
			s.dirtyJobs[st.job.record.ID] = true
			s.addTaskFailure(st, &st.tasks[0], attempt, now)
		}
	}
}
