package placer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// step is one random call. What A, B and C select depends on the kind and on
// the state of the model.
type step struct {
	Kind int
	A    int
	B    int
	C    int
}

const (
	stepTick = iota
	stepSubmitBatch
	stepSubmitService
	stepSubmitUrgent
	stepSubmitGang
	stepCancel
	stepStarted
	stepFinished
	stepFailed
	stepStopped
	stepLapsed
	stepRefused
	stepObserve
	stepWorker
	stepRemove
	stepReserve
	stepConfirm
	stepRelease
	stepQuota
	stepRepeatEnded
	stepTickNow
	stepAdopt
	stepKinds
)

func steps(longest int) *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			A:    rapid.IntRange(0, 1<<16).Draw(t, "a"),
			B:    rapid.IntRange(0, 1<<16).Draw(t, "b"),
			C:    rapid.IntRange(0, 1<<16).Draw(t, "c"),
		}
	})
	return rapid.SliceOfN(one, longest/3, longest)
}

// run is a run of a task that the model expects to be on its worker.
type run struct {
	worker    string
	size      sizer.Size
	preempted bool
	external  bool
}

// model drives a placer and keeps its own record of what runs where.
type model struct {
	p     *Placer
	clock *timekeeper.Fake
	// workers are keyed by name; runs are those that may not have ended.
	workers map[string]Worker
	runs    map[namer.TaskRef]run
	ended   []namer.TaskRef
	// unfinished are the tasks that were submitted, confirmed or adopted, and that
	// have not finished or been cancelled or given up.
	unfinished map[namer.TaskID]Task
	// gangs has the live tasks of each gang, by job.
	gangs         map[string]map[namer.TaskID]bool
	jobCount      int
	workerCount   int
	reservations  map[string][]Reservation
	injectedFault fault
}

func newModel(seed uint64, injected fault, opts ...Option) *model {
	clock := timekeeper.NewFake(time.Unix(1_000_000, 0))
	opts = append(opts, WithSeed(seed), WithStarvation(3*time.Second), func(s *settings) { s.fault = injected })
	m := &model{
		p:             New(clock, opts...),
		clock:         clock,
		workers:       make(map[string]Worker),
		runs:          make(map[namer.TaskRef]run),
		unfinished:    make(map[namer.TaskID]Task),
		gangs:         make(map[string]map[namer.TaskID]bool),
		reservations:  make(map[string][]Reservation),
		injectedFault: injected,
	}
	for range 4 {
		m.addWorker(m.workerCount)
	}
	return m
}

// runSteps applies the steps and returns the first violation that a check
// finds.
func runSteps(list []step, injected fault) error {
	m := newModel(7, injected)
	for index, s := range list {
		if err := m.apply(s); err != nil {
			return fmt.Errorf("step %d %+v: %w", index, s, err)
		}
		if err := m.p.checkTables(); err != nil {
			return fmt.Errorf("step %d %+v: %w", index, s, err)
		}
	}
	return nil
}

func (m *model) addWorker(shape int) {
	w := NewWorker(
		fmt.Sprint("w", m.workerCount),
		fmt.Sprint("r", m.workerCount%3),
		fmt.Sprint("dc", m.workerCount%2),
		sizer.New(int64(4+shape%3*4)*1000, int64(8+shape%2*24)<<30, int64(shape%2*4)),
	)
	m.workerCount++
	m.workers[w.name] = w
	m.p.PutWorker(w)
	m.p.SetWorkerState(w.name, Open)
}

func (m *model) submit(s step, policy Policy, count int, opts ...TaskOption) {
	job := fmt.Sprint("j", m.jobCount)
	m.jobCount++
	size := sizer.New(int64(1+s.A%9)*1000, int64(1+s.B%16)<<30, int64(max(0, s.C%8-4)))
	if s.C%3 == 0 {
		opts = append(opts, RunTime(time.Duration(1+s.A%20)*time.Second))
	}
	var tasks []Task
	for i := range count {
		t := NewTask(namer.TaskID{
			Job:   job,
			Index: i,
		}, fmt.Sprint("t", s.B%3), policy, size, opts...)
		tasks = append(tasks, t)
		m.unfinished[t.id] = t
		if _, ok := policy.(GangPolicy); ok {
			m.gangMembers(t.id)[t.id] = true
		}
	}
	m.p.Submit(tasks...)
}

func (m *model) gangMembers(id namer.TaskID) map[namer.TaskID]bool {
	if m.gangs[id.Job] == nil {
		m.gangs[id.Job] = make(map[namer.TaskID]bool)
	}
	return m.gangs[id.Job]
}

func (m *model) apply(s step) error {
	switch s.Kind {
	case stepTick:
		m.clock.Advance(time.Duration(s.A%4000) * time.Millisecond)
		return m.tick()
	case stepSubmitBatch:
		m.submit(s, BatchPolicy{}, 1+s.A%6)
	case stepSubmitService:
		m.submit(s, ServicePolicy{}, 1+s.A%4)
	case stepSubmitUrgent:
		m.submit(s, BatchPolicy{}, 1+s.A%2, Urgent())
	case stepSubmitGang:
		m.submit(s, GangPolicy{}, 2+s.A%4)
	case stepCancel:
		if id, ok := pick(m.unfinished, s.A, compareIDs); ok {
			m.p.Cancel(id)
			m.markOver(id)
		}
	case stepStarted, stepFinished, stepFailed, stepStopped, stepLapsed, stepRefused, stepObserve:
		return m.reportOnRun(s)
	case stepWorker:
		if name, ok := pick(m.workers, s.A, compareNames); ok {
			m.p.SetWorkerState(name, []WorkerState{Open, Open, Closed, Draining, SetAside}[s.B%5])
		}
	case stepRemove:
		if len(m.workers) > 3 {
			m.remove(s)
		} else {
			m.addWorker(s.A)
		}
	case stepReserve, stepConfirm, stepRelease:
		return m.gangStep(s)
	case stepQuota:
		m.p.SetTeam(fmt.Sprint("t", s.A%3), float64(1+s.B%4), sizer.New(int64(s.C%3)*12_000, 0, 0))
	case stepRepeatEnded:
		if len(m.ended) > 0 {
			ref := m.ended[s.A%len(m.ended)]
			m.p.Ended(ref, Outcome(1+s.B%6))
			m.p.Started(ref)
			m.p.Observe(ref, sizer.New(1, 1, 1))
		}
	case stepTickNow:
		return m.tick()
	case stepAdopt:
		m.adopt(s)
	}
	return nil
}

func (m *model) markOver(id namer.TaskID) {
	delete(m.unfinished, id)
	delete(m.gangMembers(id), id)
}

func (m *model) reportOnRun(s step) error {
	ref, ok := pick(m.runs, s.A, compareRefs)
	if !ok {
		return nil
	}
	r := m.runs[ref]
	switch s.Kind {
	case stepStarted:
		m.p.Started(ref)
		if v, known := m.p.Task(ref.Task); known && r.preempted && v.Ref() == ref && v.State() == StateRunning {
			return fmt.Errorf("%v was stopped and counts as running", ref)
		}
		return nil
	case stepObserve:
		m.p.Observe(ref, sizer.New(int64(s.B%9)*1000, int64(s.C%16)<<30, 0))
		return nil
	default:
	}
	outcome := Outcome(s.Kind - stepFinished + 1)
	if outcome >= Stopped && outcome < Lapsed && s.B%2 == 0 {
		outcome = Checkpointed
	}
	if s.Kind == stepLapsed {
		outcome = Lapsed
	}
	if s.Kind == stepRefused {
		outcome = Refused
	}
	delete(m.runs, ref)
	m.ended = append(m.ended, ref)
	m.p.Ended(ref, outcome)
	if _, service := m.unfinished[ref.Task].policy.(ServicePolicy); r.external || (outcome == Finished && !service) {
		m.markOver(ref.Task)
	}
	return nil
}

func (m *model) remove(s step) {
	name, _ := pick(m.workers, s.A, compareNames)
	delete(m.workers, name)
	for _, ref := range m.p.RemoveWorker(name) {
		delete(m.runs, ref)
		m.markOver(ref.Task)
	}
}

func (m *model) gangStep(s step) error {
	name := fmt.Sprint("g", s.A%3)
	switch s.Kind {
	case stepReserve:
		var tasks []Task
		for i := range 2 + s.B%3 {
			tasks = append(tasks, NewTask(namer.TaskID{
				Job:   fmt.Sprint("x", m.jobCount),
				Index: i,
			}, "t0", GangPolicy{}, sizer.New(int64(1+s.C%6)*1000, 1<<30, 0)))
		}
		m.jobCount++
		if list, ok := m.p.Reserve(name, tasks, m.clock.Now().Add(2*time.Second)); ok {
			m.reservations[name] = list
			if len(list) < 2 {
				return fmt.Errorf("gang %s has %d reservations", name, len(list))
			}
		}
	case stepConfirm:
		decisions := m.p.Confirm(name)
		if n := len(m.reservations[name]); len(decisions) != 0 && len(decisions) != n {
			return fmt.Errorf("gang %s starts %d of %d", name, len(decisions), n)
		}
		for _, d := range decisions {
			m.unfinished[d.(Place).task.id] = d.(Place).task
		}
		return m.carryOut(decisions, true)
	default:
		m.p.Release(name)
	}
	return nil
}

// adopt reports a run that another owner started, either of a waiting task or of
// an unknown one. A worker never reports more than it can hold.
func (m *model) adopt(s step) {
	name, ok := pick(m.workers, s.A, compareNames)
	if !ok {
		return
	}
	id, known := pick(m.unfinished, s.B, compareIDs)
	task := m.unfinished[id]
	if _, batch := task.policy.(BatchPolicy); !known || !batch || s.C%4 == 0 {
		m.jobCount++
		task = NewTask(namer.TaskID{
			Job: fmt.Sprint("a", m.jobCount),
		}, "t1", BatchPolicy{}, sizer.New(1000, 1<<30, 0))
	}
	for ref := range m.runs {
		if ref.Task == task.id {
			return
		}
	}
	if !task.size.Fits(m.p.workers.rows[m.p.workers.byName[name]].free()) {
		return
	}
	m.jobCount++
	ref := namer.TaskRef{
		Task: task.id,
		Attempt: namer.Attempt{
			Epoch:    1,
			Sequence: uint64(m.jobCount),
		},
	}
	m.p.Adopt(name, task, ref, connector.TaskReport{
		Ref:   ref,
		State: connector.TaskRunning,
		Size:  task.size,
	})
	m.unfinished[task.id] = task
	m.runs[ref] = run{
		worker: name,
		size:   task.size,
	}
}

func (m *model) tick() error {
	if err := m.carryOut(m.p.Tick(), false); err != nil {
		return err
	}
	return m.checkAfterTick()
}

// carryOut applies decisions to the model and checks them.
func (m *model) carryOut(decisions []Decision, external bool) error {
	placed := make(map[string]int)
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Place:
			if err := m.start(d, external); err != nil {
				return err
			}
			placed[d.task.id.Job]++
		case Preempt:
			if r, ok := m.runs[d.ref]; ok {
				r.preempted = true
				m.runs[d.ref] = r
			}
		case GiveUp:
			m.markOver(d.task.id)
		}
	}
	for job, count := range placed {
		if live := len(m.gangs[job]); live > 0 && !external && count != live {
			return fmt.Errorf("%d of %d tasks of gang %s start", count, live, job)
		}
	}
	return nil
}

func (m *model) start(d Place, external bool) error {
	for ref, r := range m.runs {
		if ref.Task == d.ref.Task {
			return fmt.Errorf("%v starts on %s beside %v on %s", d.ref, d.worker, ref, r.worker)
		}
	}
	m.runs[d.ref] = run{
		worker:   d.worker,
		size:     d.size,
		external: external,
	}
	used := sizer.Size{}
	for _, r := range m.runs {
		if r.worker == d.worker {
			used = used.Add(r.size)
		}
	}
	if !used.Fits(m.workers[d.worker].capacity) {
		return fmt.Errorf("%s holds %v of %v", d.worker, used, m.workers[d.worker].capacity)
	}
	return nil
}

// checkAfterTick checks that every unfinished task is known and has a reason to
// wait, and that none waits although it could be placed.
func (m *model) checkAfterTick() error {
	for id, task := range m.unfinished {
		why, ok := m.p.Why(id)
		if !ok {
			return fmt.Errorf("%v is lost", id)
		}
		if why.cause == "" {
			return fmt.Errorf("%v waits without a cause", id)
		}
		if _, gang := task.policy.(GangPolicy); !gang && why.state == StatePending && why.cause == CauseTurn {
			return fmt.Errorf("%v waits although there is room: %v", id, why)
		}
	}
	return m.checkGangs()
}

// checkGangs checks that no complete gang waits while there is capacity for all
// of it.
func (m *model) checkGangs() error {
	now := m.clock.Now()
	for i := range m.p.classes.rows {
		class := &m.p.classes.rows[i]
		if class.live == 0 || !class.queued || class.key.policyKind != kindGang || class.pending < class.live || now.Before(class.retryAt) {
			continue
		}
		if m.p.teams.rows[class.key.team].overQuota(class.placementSize()) {
			continue
		}
		if _, ok := m.p.planGang(slices.Repeat([]sizer.Size{class.need}, class.pending)); ok {
			return fmt.Errorf("gang %s waits although there is room", class.key.job)
		}
	}
	return nil
}

// checkTables checks the sums and indexes of the tables against their rows.
func (p *Placer) checkTables() error {
	teams := make(map[int32]sizer.Size)
	used := make(map[int32]sizer.Size)
	preemptible := make(map[int32]sizer.Size)
	stopping := make(map[int32]sizer.Size)
	claimed := make(map[int32]sizer.Size)
	for i := range p.tasks.rows {
		t := &p.tasks.rows[i]
		claimed[t.worker] = claimed[t.worker].Add(t.claim)
		if !t.state.holdsCapacity() {
			continue
		}
		team := p.classes.rows[t.class].key.team
		teams[team] = teams[team].Add(t.allocated)
		used[t.worker] = used[t.worker].Add(t.allocated)
		if t.preemptible() {
			preemptible[t.worker] = preemptible[t.worker].Add(t.allocated)
		}
		if t.state == StateStopping {
			stopping[t.worker] = stopping[t.worker].Add(t.allocated)
		}
	}
	totalAvailable := sizer.Size{}
	for i := range p.workers.rows {
		w := &p.workers.rows[i]
		if !w.present {
			continue
		}
		n := int32(i)
		if w.used != used[n] || w.preemptible != preemptible[n] || w.stopping != stopping[n] || w.claimed != claimed[n] {
			return fmt.Errorf("the sums of worker %s do not match its tasks", w.name)
		}
		if !w.used.Fits(w.capacity) {
			return fmt.Errorf("%s holds %v of %v", w.name, w.used, w.capacity)
		}
		if indexed := w.acceptsTasks() && !w.available.IsNegative(); indexed != (w.bucket != none) || (indexed && bucketOf(w.available) != w.bucket) {
			return fmt.Errorf("the index has %s in bucket %d", w.name, w.bucket)
		}
		totalAvailable = totalAvailable.Add(w.available.Max(sizer.Size{}))
	}
	if totalAvailable != p.totalAvailable {
		return fmt.Errorf("available capacity is %v, not %v", totalAvailable, p.totalAvailable)
	}
	for i := range p.teams.rows {
		if p.teams.rows[i].used != teams[int32(i)] {
			return fmt.Errorf("team %s uses %v, not %v", p.teams.rows[i].name, teams[int32(i)], p.teams.rows[i].used)
		}
	}
	return nil
}

// pick returns the key at index n modulo the length in sorted order, and false
// for an empty map.
func pick[K comparable, V any](from map[K]V, n int, compare func(a, b K) int) (K, bool) {
	if len(from) == 0 {
		var zero K
		return zero, false
	}
	keys := slices.SortedFunc(maps.Keys(from), compare)
	return keys[n%len(keys)], true
}

func compareNames(a, b string) int { return slices.Compare([]byte(a), []byte(b)) }

func compareIDs(a, b namer.TaskID) int { return compareNames(a.String(), b.String()) }

func compareRefs(a, b namer.TaskRef) int {
	return compareNames(fmt.Sprint(a), fmt.Sprint(b))
}
