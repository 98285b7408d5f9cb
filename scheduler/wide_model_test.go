package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenacove/galenacove/scheduler"
)

const (
	// maxJobsAge is the age of the last read of the jobs from which on a home owner tells
	// delegates nothing.
	maxJobsAge = time.Second
	// cancelBound is the time after a cancelling from which on nothing of the job may start.
	cancelBound = 3 * time.Second
)

// wideModel has several shards of one service, each a model with owners of its own, and jobs
// that no shard can run alone. Calls between owners are lost, answered too late, or carried
// out late by any owner.
type wideModel struct {
	fault  fault
	draw   func(int) int
	shards []*model
	// count is the number of the shards, some of which may not be there yet.
	count int
	// guests is what the delegates have stored, by shard and job.
	guests []map[string]scheduler.Guest
	// lateCalls holds calls that may be carried out later.
	lateCalls []func()
	// callsLost is set while no call arrives.
	callsLost bool
	// cancelledAt holds the times of the cancellings.
	cancelledAt map[string]time.Time
	// crowds is set in plays with crowded shards, nil in others.
	crowds *crowds
}

// labelled is the label of the workers of the last shard.
const labelled = "labelled"

func newWideModel(seeded fault, shards int, draw func(int) int, gangOptions ...func(*scheduler.Phase)) *wideModel {
	return newWideModelWith(seeded, shards, draw, nil, gangOptions...)
}

// newWideModelWith is newWideModel with crowded shards, unless crowded is nil.
func newWideModelWith(seeded fault, shards int, draw func(int) int, crowded *crowds, gangOptions ...func(*scheduler.Phase)) *wideModel {
	w := &wideModel{
		crowds:      crowded,
		fault:       seeded,
		draw:        draw,
		count:       shards,
		cancelledAt: make(map[string]time.Time),
	}
	acknowledged := make(map[scheduler.TaskRef]bool)
	for i := range shards {
		w.guests = append(w.guests, make(map[string]scheduler.Guest))
		lasting := newPhase(5, cores(1))
		lasting.Lasting = true
		lasting.PerWorker = 1
		elsewhere := newPhase(2, cores(1))
		elsewhere.Requires = labelled
		newModel(seeded, draw, func(m *model) {
			w.shards = append(w.shards, m)
			m.wide = w
			m.acknowledgedTasks = acknowledged
			for j := range m.workers {
				w.nameWorker(m, j)
			}
			m.jobs = m.jobs[:2]
			for j := range m.jobs {
				m.jobs[j].ID = fmt.Sprintf("s%djob%d", i, j)
			}
			gang := newPhase(5, cores(1))
			gang.Gang = true
			gang.PerWorker = 1
			for _, option := range gangOptions {
				option(&gang)
			}
			for id, phases := range map[string][]scheduler.Phase{
				"gang":      {gang},
				"lasting":   {lasting},
				"elsewhere": {elsewhere, newPhase(1, cores(1))},
			} {
				if len(phases) > 1 {
					phases[1].DependsOn = []int{0}
				}
				m.jobs = append(m.jobs, scheduler.Job{
					ID:       fmt.Sprintf("s%d%s", i, id),
					Queue:    deskQueue,
					Phases:   phases,
					Accepted: m.now,
				})
			}
			if crowded != nil {
				crowded.changeJobs(m, i)
			}
			slices.SortFunc(m.jobs, func(a, b scheduler.Job) int { return compareStrings(a.ID, b.ID) })
		})
	}
	for i, m := range w.shards {
		m.current().s.SetDelegates(i, w.delegates(i))
	}
	return w
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// delegates returns the other shards' partitions.
func (w *wideModel) delegates(shard int) map[string][]int {
	var others []int
	for i := range w.shards {
		if i != shard {
			others = append(others, i)
		}
	}
	return map[string][]int{
		"desk": others,
	}
}

func (w *wideModel) jobs() []scheduler.Job {
	var jobs []scheduler.Job
	for _, m := range w.shards {
		jobs = append(jobs, m.jobs...)
	}
	return jobs
}

// restore passes a new owner what only wide models have.
func (w *wideModel) restore(m *model, o *modelOwner) {
	shard := slices.Index(w.shards, m)
	o.s.SetDelegates(shard, w.delegates(shard))
	if w.fault == guestsUnnamed {
		return
	}
	for _, job := range w.jobs() {
		if stored, found := w.guests[shard][job.ID]; found {
			o.s.RestoreGuest(stored, m.now)
		}
	}
}

func (w *wideModel) store(m *model, stored scheduler.JobProgress) {
	w.guests[slices.Index(w.shards, m)][stored.ID] = *stored.Guest
}

// checkStart checks that a task that starts in a shard has no run in another one, and that no
// delegate ordered that long after its job was cancelled.
func (w *wideModel) checkStart(at *model, order scheduler.StartTask) {
	task := order.Run.Task
	for i, m := range w.shards {
		if m == at {
			continue
		}
		for _, worker := range m.workers {
			for active := range worker.active {
				if worker.up && active.Task == task {
					at.violate("%v runs in shard %d and starts in shard %d", task, i, slices.Index(w.shards, at))
				}
			}
		}
	}
	cancelledAt, found := w.cancelledAt[task.Step.Job]
	atHome := slices.ContainsFunc(at.jobs, func(job scheduler.Job) bool { return job.ID == task.Step.Job })
	if late := order.NotAfter.Sub(cancelledAt); found && !atHome && late > cancelBound {
		at.violate("a start of %v may be sent %v after its job was cancelled", task, late)
	}
	if w.crowds != nil {
		w.checkAttempts(at, task)
	}
}

// advance advances the time in all shards.
func (w *wideModel) advance(d time.Duration) {
	for _, m := range w.shards {
		m.advance(d)
	}
}

// call lets an owner of a shard tell that of another one what it has to, and takes a random
// course.
func (w *wideModel) call(home, to int, lossless bool) {
	if w.callsLost {
		return
	}
	m, other := w.shards[home], w.shards[to]
	o := m.anyOwner()
	if lossless {
		o = m.current()
	}
	if o == m.current() || !o.storeUnreachable {
		o.readAt = m.now
		for id := range w.cancelledAt {
			o.s.Cancel(id, m.now)
		}
	}
	if o.superseded || m.now.Sub(o.readAt) > maxJobsAge {
		return
	}
	requests, _ := o.s.DelegationRequests(m.now)
	request, found := requests[to]
	if !found {
		return
	}
	request.Mark = o.marks[to]
	course := w.draw(8)
	if lossless {
		course = 0
	}
	delegate := other.current()
	switch course {
	case 1:
		w.lateCalls = append(w.lateCalls, func() { w.serve(other, other.current(), request) })
	case 2:
		w.serve(other, delegate, request)
	case 3:
	case 4:
		delegate = other.anyOwner()
		fallthrough
	default:
		if delegate.superseded {
			return
		}
		reply := w.serve(other, delegate, request)
		o.marks[to] = reply.Mark
		o.s.DelegationAnswered(to, request, reply, m.now)
	}
}

// askRoom lets an owner of a shard ask others for their room, any of which may not answer.
func (w *wideModel) askRoom(home int, lossless bool) {
	if w.callsLost {
		return
	}
	m := w.shards[home]
	o := m.anyOwner()
	if lossless {
		o = m.current()
	}
	if o.superseded {
		return
	}
	requests := o.s.RoomRequests(m.now)
	for to := range w.shards {
		queries := requests[to]
		if len(queries) == 0 || !lossless && w.draw(4) == 0 {
			continue
		}
		delegate := w.shards[to].current()
		if !lossless && w.draw(4) == 0 {
			delegate = w.shards[to].anyOwner()
		}
		if !delegate.superseded {
			o.s.RoomAnswered(to, queries, roomsOf(delegate.s, queries, m.now), m.now, m.now)
		}
	}
}

func (w *wideModel) serve(m *model, delegate *modelOwner, request scheduler.DelegationRequest) scheduler.DelegationReply {
	if w.fault == failuresUnsaid {
		request = withoutFailures(request)
	}
	return delegate.s.ServeHome(request, m.now)
}

func (w *wideModel) doRandomAction() {
	home := w.draw(len(w.shards))
	m := w.shards[home]
	switch w.draw(8) {
	case 0, 1, 2:
		w.askRoom(home, false)
		for range 1 + w.draw(3) {
			w.call(home, (home+1+w.draw(len(w.shards)-1))%len(w.shards), false)
		}
	case 3:
		if len(w.lateCalls) > 0 {
			i := w.draw(len(w.lateCalls))
			call := w.lateCalls[i]
			w.lateCalls = slices.Delete(w.lateCalls, i, i+1)
			call()
		}
	case 4:
		d := time.Duration(50+w.draw(400)) * time.Millisecond
		if w.draw(8) == 0 {
			d += 3 * time.Second
		}
		w.advance(d)
	default:
		m.doRandomActionAt(w)
	}
	if w.draw(250) == 0 {
		w.cancel(fmt.Sprintf("s%dlasting", home))
	}
	if w.crowds != nil {
		w.changeCrowds()
	}
}

// doRandomActionAt is doRandomAction, but the time stays as it is in all shards.
func (m *model) doRandomActionAt(w *wideModel) {
	before := m.now
	m.doRandomAction()
	if d := m.now.Sub(before); d > 0 {
		for _, other := range w.shards {
			if other != m {
				other.advance(d)
			}
		}
	}
}

func (w *wideModel) cancel(id string) {
	if _, cancelled := w.cancelledAt[id]; cancelled {
		return
	}
	for _, m := range w.shards {
		if slices.ContainsFunc(m.jobs, func(job scheduler.Job) bool { return job.ID == id }) {
			w.cancelledAt[id] = m.now
			m.cancelled = append(m.cancelled, id)
			m.current().s.Cancel(id, m.now)
		}
	}
}

// round lets the current owners of all shards act for 100 ms without trouble.
func (w *wideModel) round() {
	w.roundSteps(func(step func()) bool {
		step()
		return true
	})
}

// roundSteps is round in steps, each of which is passed to do, until that returns false.
func (w *wideModel) roundSteps(do func(step func()) bool) {
	steps := []func(){func() { w.advance(100 * time.Millisecond) }}
	for i, m := range w.shards {
		steps = append(steps, func() { w.endRuns(m) })
		for range 3 {
			steps = append(steps, func() { m.write(m.current()) })
		}
		steps = append(steps, func() { m.tick(m.current()) }, func() { m.carryOutAll() })
		steps = append(steps, func() { w.askRoom(i, true) })
		for to := range w.shards {
			if to != i {
				steps = append(steps, func() { w.call(i, to, true) })
			}
		}
	}
	for _, step := range steps {
		if !do(step) {
			return
		}
	}
}

// endRuns ends most runs that do not last, and renews all leases.
func (w *wideModel) endRuns(m *model) {
	for _, worker := range m.workers {
		for _, run := range worker.runs() {
			switch phase := m.phaseOf(run.Task); {
			case !worker.up || phase.Lasting || w.draw(4) == 0 || w.isKept(m, run):
			case w.failsAlways(run):
				w.fail(worker, run)
			case phase.Gang:
				w.endGang(worker, run, scheduler.EndDone)
			default:
				worker.end(run, scheduler.EndDone)
			}
		}
		m.renewLease(m.current(), worker)
	}
}

// endGang ends a member of a gang. All members are done together, and only if all are there.
func (w *wideModel) endGang(worker *modelWorker, run scheduler.RunRef, how scheduler.End) {
	if _, there := worker.active[run]; !there {
		return
	}
	if how != scheduler.EndDone {
		worker.end(run, how)
		return
	}
	type member struct {
		run    scheduler.RunRef
		worker *modelWorker
	}
	var members []member
	tasks := 0
	for _, m := range w.shards {
		tasks = max(tasks, m.phaseOf(run.Task).Tasks)
		for _, other := range m.workers {
			for _, active := range other.runs() {
				if other.up && active.Task.Step == run.Task.Step && active.Attempt == run.Attempt {
					members = append(members, member{
						run:    active,
						worker: other,
					})
				}
			}
		}
	}
	if len(members) < tasks {
		return
	}
	for _, m := range members {
		m.worker.end(m.run, scheduler.EndDone)
	}
}

func (m *model) carryOutAll() {
	for o := m.current(); len(o.effects) > 0; {
		m.carryOut(o)
	}
}
