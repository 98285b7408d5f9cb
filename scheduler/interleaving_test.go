package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// fault is one that is seeded into a model, to show that its checks find it.
type fault string

const (
	noFault fault = ""
	// tokensIgnored workers obey former owners.
	tokensIgnored fault = "workers ignore tokens"
	// stopsForgotten workers carry out a start that was stopped before it came.
	stopsForgotten fault = "workers forget stops"
	// writesLost stores tell that they have what they have not.
	writesLost fault = "the store loses writes"
	// acknowledgedEarly ends are forgotten by workers before they are stored.
	acknowledgedEarly fault = "ends are acknowledged before they are stored"
	// workersUnnamed jobs do not tell a next owner where they may run.
	workersUnnamed fault = "stored jobs name no workers"
	// leasesUnlimited owners grant leases that outlive the next owner's wait.
	leasesUnlimited fault = "former owners go on granting leases"
	// leasesIgnored workers run on after their lease.
	leasesIgnored fault = "workers run on after their lease"
)

// model is a cell of owners, workers and a store in which anything may happen
// between any two steps. It checks what the workers see.
type model struct {
	fault fault
	// draw returns a number below n.
	draw func(n int) int

	now     time.Time
	workers []*modelWorker
	owners  []*modelOwner
	// late holds the orders that had no answer and are yet to be carried out.
	late []func()

	jobs     []scheduler.Job
	progress map[string]scheduler.Progress
	inUse    []scheduler.WorkerEntry
	// done holds the tasks of which an end was acknowledged.
	done map[scheduler.TaskRef]bool
	// violation is the first broken promise.
	violation string
}

type modelWorker struct {
	entry  scheduler.WorkerEntry
	up     bool
	clock  time.Duration
	lease  time.Duration
	token  int64
	active map[scheduler.RunRef]sizer.Size
	ended  []scheduler.EndedRun
	number int64
	// uncounted is the number of the last end after which the lease ran out.
	// Such an end need not be taken note of: the task may be elsewhere by then.
	uncounted int64
	// stopped holds the highest attempt of a task that was stopped or ended.
	stopped map[scheduler.TaskRef]int64
	// cut tells which owners do not reach it: none, one with a token, or all.
	cut int64
}

// everyOwner stands for all owners in a cut.
const everyOwner = -1

func (w *modelWorker) cutFrom(o *modelOwner) bool {
	return w.cut == everyOwner || w.cut == o.token
}

type modelOwner struct {
	s       *scheduler.Scheduler
	token   int64
	effects []scheduler.Effect
	// writing is a write that is under way, and stored whether it is in the
	// store, of which the answer is yet to come.
	writing *scheduler.Write
	stored  bool
	over    bool
	// storeCut owners do not reach the store, and so do not learn of the next.
	storeCut bool
}

func newModel(seeded fault, draw func(int) int) *model {
	m := &model{
		fault:    seeded,
		draw:     draw,
		now:      time.Unix(1_700_000_000, 0),
		progress: make(map[string]scheduler.Progress),
		done:     make(map[scheduler.TaskRef]bool),
	}
	for range 3 {
		m.addWorker()
	}
	for i := range 3 {
		first := tasks(2, cores(1))
		second := tasks(1, cores(2))
		second.DependsOn = []int{0}
		second.Gang = i == 1
		if second.Gang {
			second.Tasks = 2
		}
		m.jobs = append(m.jobs, scheduler.Job{
			ID:       fmt.Sprintf("job%d", i),
			Queue:    deskQueue,
			Phases:   []scheduler.Phase{first, second},
			Accepted: m.now,
		})
	}
	m.takeOver()
	return m
}

func (m *model) addWorker() {
	id := fmt.Sprintf("w%d", len(m.workers))
	m.workers = append(m.workers, &modelWorker{
		entry: scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID:      id,
				Address: id + ":1",
			},
			Service: "desk",
			Total:   cores(4),
		},
		up:      true,
		clock:   time.Hour,
		active:  make(map[scheduler.RunRef]sizer.Size),
		stopped: make(map[scheduler.TaskRef]int64),
	})
}

func (m *model) directory() []scheduler.WorkerEntry {
	var entries []scheduler.WorkerEntry
	for _, w := range m.workers {
		if w.up {
			entries = append(entries, w.entry)
		}
	}
	return entries
}

// takeOver has a next owner begin from what is stored. The former one does not
// know.
func (m *model) takeOver() {
	token := int64(len(m.owners) + 1)
	if token > 1 {
		m.current().storeCut = m.draw(2) == 0
	}
	o := &modelOwner{
		s:     scheduler.New(token, m.now),
		token: token,
	}
	o.s.Expect(m.inUse)
	o.s.SetWorkers(m.directory())
	for _, job := range m.jobs {
		var progress *scheduler.Progress
		if stored, found := m.progress[job.ID]; found {
			if m.fault == workersUnnamed {
				stored.Workers = nil
			}
			progress = &stored
		}
		o.s.AddJob(job, progress, token > 1, m.now)
	}
	m.owners = append(m.owners, o)
}

func (m *model) current() *modelOwner {
	return m.owners[len(m.owners)-1]
}

func (m *model) anyOwner() *modelOwner {
	// The latest one acts most often.
	if m.draw(3) > 0 {
		return m.current()
	}
	return m.owners[m.draw(len(m.owners))]
}

// step has one thing happen.
func (m *model) step() {
	o := m.anyOwner()
	w := m.workers[m.draw(len(m.workers))]
	switch m.draw(16) {
	case 0, 1:
		d := time.Duration(20+m.draw(400)) * time.Millisecond
		if m.draw(6) == 0 {
			// Leases run out.
			d += 3 * time.Second
		}
		m.pass(d)
	case 2, 3, 4:
		m.tick(o)
	case 5, 6, 7:
		m.carryOut(o)
	case 8, 9:
		m.hold(o, w)
	case 10, 11:
		m.write(o)
	case 12, 13:
		m.endOne(w)
	case 14:
		m.trouble(w)
	case 15:
		if len(m.late) > 0 {
			i := m.draw(len(m.late))
			order := m.late[i]
			m.late = slices.Delete(m.late, i, i+1)
			order()
		}
	}
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		w.clock += d
		if w.up && w.clock > w.lease && m.fault != leasesIgnored {
			for _, run := range w.runs() {
				w.end(run, scheduler.EndLapsed)
			}
		}
		if w.clock > w.lease {
			w.uncounted = w.number
		}
	}
}

func (m *model) trouble(w *modelWorker) {
	switch m.draw(6) {
	case 0:
		if len(m.owners) < 5 {
			m.takeOver()
		}
	case 1:
		if len(m.workers) < 6 && w.up {
			w.up = false
			m.addWorker()
			m.current().s.SetWorkers(m.directory())
		}
	case 2, 3:
		w.cut = m.current().token
	case 4:
		w.cut = everyOwner
	default:
		w.cut = 0
	}
}

func (m *model) tick(o *modelOwner) {
	if o.over {
		return
	}
	if o == m.current() || m.fault == leasesUnlimited {
		o.s.Confirm(m.now)
	}
	o.effects = append(o.effects, o.s.Tick(m.now)...)
}

// runs lists what works, in order.
func (w *modelWorker) runs() []scheduler.RunRef {
	var runs []scheduler.RunRef
	for run := range w.active {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b scheduler.RunRef) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}

func (w *modelWorker) end(run scheduler.RunRef, how scheduler.End) {
	delete(w.active, run)
	w.stopped[run.Task] = max(w.stopped[run.Task], run.Attempt)
	w.number++
	w.ended = append(w.ended, scheduler.EndedRun{
		Number: w.number,
		Run:    run,
		End:    how,
	})
}

func (m *model) endOne(w *modelWorker) {
	runs := w.runs()
	if !w.up || len(runs) == 0 {
		return
	}
	run := runs[m.draw(len(runs))]
	how := scheduler.EndDone
	if m.draw(8) == 0 {
		how = scheduler.EndStopped
	}
	w.end(run, how)
}

func (m *model) find(id string) *modelWorker {
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.entry.Ref.ID == id })
	return m.workers[i]
}

// obeys tells whether the worker does what an owner with that token says.
func (m *model) obeys(w *modelWorker, token int64) bool {
	if token < w.token && m.fault != tokensIgnored {
		return false
	}
	w.token = max(w.token, token)
	return true
}

// carryOut carries out one order of an owner, with or without an answer.
func (m *model) carryOut(o *modelOwner) {
	if len(o.effects) == 0 {
		return
	}
	i := m.draw(len(o.effects))
	effect := o.effects[i]
	o.effects = slices.Delete(o.effects, i, i+1)
	switch effect := effect.(type) {
	case scheduler.StartTask:
		w := m.find(effect.Worker.ID)
		outcome := scheduler.StartUnknown
		switch {
		case !w.up:
			outcome = scheduler.StartWorkerGone
		case w.cutFrom(o) || m.draw(8) == 0:
			if m.draw(2) == 0 {
				m.late = append(m.late, func() { m.start(w, o.token, effect) })
			}
		default:
			outcome = m.start(w, o.token, effect)
		}
		o.s.StartAnswered(effect.Worker.ID, effect.Run, outcome, m.now)
		if outcome == scheduler.StartSuperseded {
			o.over = true
		}
	case scheduler.StopTask:
		w := m.find(effect.Worker.ID)
		answered := w.up && !w.cutFrom(o) && m.draw(8) > 0
		if answered && m.obeys(w, o.token) {
			m.stop(w, effect.Run)
		}
		o.s.StopAnswered(effect.Worker.ID, effect.Run, answered, m.now)
	case scheduler.AskAdvice, scheduler.PaceTask:
	}
}

// start has a worker carry out a start, and checks it.
func (m *model) start(w *modelWorker, token int64, order scheduler.StartTask) scheduler.StartOutcome {
	run := order.Run
	switch {
	case !w.up:
		return scheduler.StartWorkerGone
	case !m.obeys(w, token):
		return scheduler.StartSuperseded
	case run.Attempt <= w.stopped[run.Task] && m.fault != stopsForgotten, order.Lease <= w.clock:
		return scheduler.StartRefused
	}
	w.lease = max(w.lease, order.Lease)
	if _, there := w.active[run]; there {
		return scheduler.StartDone
	}
	if m.done[run.Task] {
		m.violate("%v starts after its end was taken note of", run.Task)
	}
	size := m.sizeOf(run.Task)
	used := size
	for _, other := range m.workers {
		for active, taken := range other.active {
			if other.up && active.Task == run.Task {
				m.violate("%v runs twice, on %s and %s", run.Task, other.entry.Ref.ID, w.entry.Ref.ID)
			}
			if other == w {
				used = used.Add(taken)
			}
		}
	}
	if !used.Fits(w.entry.Total) {
		m.violate("%s has more than it has room for", w.entry.Ref.ID)
	}
	w.active[run] = size
	return scheduler.StartDone
}

func (m *model) stop(w *modelWorker, run scheduler.RunRef) {
	if _, there := w.active[run]; there {
		w.end(run, scheduler.EndStopped)
	}
	w.stopped[run.Task] = max(w.stopped[run.Task], run.Attempt)
}

func (m *model) sizeOf(task scheduler.TaskRef) sizer.Size {
	for _, job := range m.jobs {
		if job.ID == task.Step.Job {
			return job.Phases[task.Step.Phase].Size
		}
	}
	return sizer.Size{}
}

// hold renews the leases of a worker. The answer may be lost after it was.
func (m *model) hold(o *modelOwner, w *modelWorker) {
	order, known := o.s.HoldOrder(w.entry.Ref.ID, m.now)
	if o.over || !known {
		return
	}
	switch {
	case !w.up:
		o.s.WorkerGone(w.entry.Ref.ID, m.now)
		return
	case w.cutFrom(o):
		o.s.HoldFailed(w.entry.Ref.ID, m.now)
		return
	case !m.obeys(w, o.token):
		o.over = true
		return
	}
	w.lease = max(w.lease, order.Lease)
	acknowledged := order.Acknowledge
	if m.fault == acknowledgedEarly {
		acknowledged = w.number
	}
	report := scheduler.Report{
		Clock: w.clock,
		Ended: slices.Clone(w.ended),
	}
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		if w.ended[0].End == scheduler.EndDone && w.ended[0].Number > w.uncounted {
			m.done[w.ended[0].Run.Task] = true
		}
		w.ended = w.ended[1:]
	}
	for _, run := range w.runs() {
		report.Active = append(report.Active, scheduler.ActiveRun{
			Run: run,
		})
	}
	if m.draw(8) == 0 {
		o.s.HoldFailed(w.entry.Ref.ID, m.now)
		return
	}
	o.s.Report(w.entry.Ref.ID, report, m.now, m.now)
}

// write begins a write, stores it, or tells that it is stored.
func (m *model) write(o *modelOwner) {
	switch {
	case o.over, o.storeCut:
	case o.writing == nil:
		if some, _ := o.s.Unwritten(); some {
			write := o.s.NextWrite()
			o.writing = &write
		}
	case !o.stored:
		if o != m.current() {
			// The store knows a later owner.
			o.over = true
			return
		}
		o.stored = true
		if m.fault == writesLost && m.draw(2) == 0 {
			return
		}
		for _, part := range o.writing.Jobs {
			m.progress[part.ID] = part.Progress
		}
		if o.writing.Workers != nil {
			m.inUse = o.writing.Workers
		}
	default:
		o.s.Written(*o.writing)
		o.writing, o.stored = nil, false
	}
}

func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// finish mends all troubles, and tells whether all jobs end.
func (m *model) finish() {
	for _, w := range m.workers {
		w.cut = 0
	}
	o := m.current()
	o.over = false
	for range 300 {
		m.pass(100 * time.Millisecond)
		for _, w := range m.workers {
			for _, run := range w.runs() {
				if w.up && m.draw(4) > 0 {
					w.end(run, scheduler.EndDone)
				}
			}
			m.hold(o, w)
		}
		for range 3 {
			m.write(o)
		}
		m.tick(o)
		for len(o.effects) > 0 {
			m.carryOut(o)
		}
		if o.s.Jobs() == 0 {
			return
		}
	}
	m.violate("%d jobs do not end", o.s.Jobs())
}

// playModel plays a model, and returns the first broken promise.
func playModel(seeded fault, draw func(int) int) string {
	m := newModel(seeded, draw)
	for range 250 {
		m.step()
	}
	m.finish()
	return m.violation
}

// TestAnyInterleavingKeepsThePromises has owners, workers and the store act in
// any order, with answers lost, orders carried out late, owners that do not know
// that they are former ones, workers cut off and gone: no task runs twice or
// after its end was taken note of, no worker has too much, and all jobs end.
func TestAnyInterleavingKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<16)
		violation := playModel(noFault, func(n int) int { return number.Draw(t, "n") % n })
		if violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestModelFindsSeededFaults has each fault break a promise for some seed. The
// search for the rarest begins near the seed that first found it.
func TestModelFindsSeededFaults(t *testing.T) {
	for _, test := range []struct {
		fault fault
		from  uint64
	}{
		{
			fault: tokensIgnored,
		},
		{
			fault: stopsForgotten,
		},
		{
			fault: writesLost,
		},
		{
			fault: acknowledgedEarly,
		},
		{
			fault: workersUnnamed,
		},
		{
			fault: leasesUnlimited,
			from:  9000,
		},
		{
			fault: leasesIgnored,
		},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			for seed := test.from; seed < test.from+2000; seed++ {
				random := rand.New(rand.NewPCG(seed, 7))
				if violation := playModel(test.fault, random.IntN); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			qt.Check(t, "no seed", qt.Equals, "a broken promise")
		})
	}
}

// TestManyInterleavingsKeepThePromises plays more of them than rapid does.
func TestManyInterleavingsKeepThePromises(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		qt.Assert(t, playModel(noFault, random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
