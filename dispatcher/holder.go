package dispatcher

import (
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// overflowInterval is how long a task without room waits before it may be
	// given back to its home.
	overflowInterval = time.Second
	// maxOverflows is the most tasks that are given back in one look.
	maxOverflows = 200
)

// holding is a task that this member has from a home: on one of its workers, or
// waiting in the placer.
type holding struct {
	// home is the member to which the task is answered for.
	home string
	// job is the task's job as far as it is known.
	job recorder.Job
	// start is nil while the task waits.
	start *start
	// withdrawn is set once the home wants the task back.
	withdrawn bool
	// checkpoint is what an earlier start left.
	checkpoint string
	// since is when the task came to this member.
	since time.Time
	// gang is the reservation's name while the task has reserved room.
	gang string
}

// reservation is the room that is kept for a part of a gang.
type reservation struct {
	job    recorder.Job
	round  int
	home   string
	tasks  []int
	expiry time.Time
}

// applyAssign takes tasks over from a home.
func (t *tables) applyAssign(home string, item Assign) {
	if t.homeOf(item.Job.ID) != home {
		return
	}
	tasks := make([]placer.Task, 0, len(item.Indexes))
	for _, index := range item.Indexes {
		id := namer.TaskID{
			Job:   item.Job.ID,
			Index: index,
		}
		if h := t.held[id]; h != nil {
			h.withdrawn = false
			continue
		}
		t.hold(id, home, item.Job, item.Checkpoints[index])
		tasks = append(tasks, newTask(item.Job, index))
	}
	t.placer.Submit(tasks...)
}

func (t *tables) hold(id namer.TaskID, home string, job recorder.Job, checkpoint string) *holding {
	h := &holding{
		home:       home,
		job:        job,
		checkpoint: checkpoint,
		since:      t.now,
	}
	t.held[id] = h
	byIndex := t.heldOf[id.Job]
	if byIndex == nil {
		byIndex = make(map[int]struct{})
		t.heldOf[id.Job] = byIndex
	}
	byIndex[id.Index] = struct{}{}
	return h
}

func (t *tables) unhold(id namer.TaskID) {
	delete(t.held, id)
	delete(t.overflowed, id)
	delete(t.heldOf[id.Job], id.Index)
	if len(t.heldOf[id.Job]) == 0 {
		delete(t.heldOf, id.Job)
	}
}

// applyWithdraw gives tasks back: at once those that wait, the others once their
// end is certain.
func (t *tables) applyWithdraw(home string, item Withdraw) {
	if t.homeOf(item.Job) != home {
		return
	}
	indexes := item.Indexes
	if indexes == nil {
		indexes = t.indexesOf(item.Job)
	}
	returned := make([]int, 0, len(indexes))
	for _, index := range indexes {
		id := namer.TaskID{
			Job:   item.Job,
			Index: index,
		}
		h := t.held[id]
		if h == nil {
			returned = append(returned, index)
			continue
		}
		if h.gang != "" {
			t.releaseGang(h.gang)
			returned = append(returned, index)
			continue
		}
		t.placer.Cancel(id)
		if h.start == nil {
			t.unhold(id)
			returned = append(returned, index)
			continue
		}
		h.withdrawn = true
	}
	if len(returned) > 0 {
		t.send(home, Returned{
			Job:     item.Job,
			Indexes: returned,
		})
	}
}

func (t *tables) indexesOf(job string) []int {
	return sorted(t.heldOf[job])
}

// adoptHolding notes that this member has a task that it found on a worker.
func (t *tables) adoptHolding(id namer.TaskID, s *start, report connector.TaskReport) {
	home := t.homeOf(id.Job)
	h := t.held[id]
	if h == nil {
		h = t.hold(id, home, t.jobOf(id.Job, report), report.Checkpoint)
	}
	h.start = s
	t.send(home, Held{
		Job:     id.Job,
		Indexes: []int{id.Index},
	})
}

func (t *tables) startHolding(id namer.TaskID, s *start) {
	if h := t.held[id]; h != nil {
		h.start = s
		h.gang = ""
	}
}

func (t *tables) dropHolding(ref namer.TaskRef) {
	if h := t.held[ref.Task]; h != nil && h.start != nil && h.start.ref == ref {
		t.unhold(ref.Task)
	}
}

func (t *tables) keepCheckpoint(id namer.TaskID, checkpoint string) {
	if h := t.held[id]; h != nil && checkpoint != "" {
		h.checkpoint = checkpoint
	}
}

func (t *tables) checkpointOf(id namer.TaskID) string {
	if h := t.held[id]; h != nil {
		return h.checkpoint
	}
	return ""
}

// endHolding tells the home what the end of a start means for it. A task that
// the placer tries again is not spoken of.
func (t *tables) endHolding(s *start, outcome placer.Outcome, finished bool, reason string) {
	id := s.ref.Task
	h := t.held[id]
	if h == nil || h.start != s {
		if finished {
			t.send(t.homeOf(id.Job), Finished{
				Refs: []namer.TaskRef{s.ref},
			})
		}
		return
	}
	h.start = nil
	switch {
	case finished:
		t.unhold(id)
		t.send(h.home, Finished{
			Refs: []namer.TaskRef{s.ref},
		})
	case h.withdrawn, h.job.Policy == recorder.Gang:
		t.giveBack(id, h, Returned{
			Failed: outcome == placer.Failed && !h.withdrawn,
			Reason: reason,
		})
	}
}

// giveBack hands one task back to its home.
func (t *tables) giveBack(id namer.TaskID, h *holding, item Returned) {
	t.unhold(id)
	t.placer.Cancel(id)
	item.Job = id.Job
	item.Indexes = []int{id.Index}
	if h.checkpoint != "" {
		item.Checkpoints = map[int]string{
			id.Index: h.checkpoint,
		}
	}
	t.send(h.home, item)
}

// decide carries the placer's decisions out.
func (t *tables) decide(decisions []placer.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case placer.Place:
			t.place(d)
		case placer.Preempt:
			t.stop(d.Ref(), d.Worker(), d.Checkpoint())
		case placer.Throttle:
			t.throttle(d)
		case placer.GiveUp:
			t.giveUp(d)
		case placer.Overflow:
			t.overflowed[d.Task().ID()] = struct{}{}
		}
	}
}

func (t *tables) throttle(d placer.Throttle) {
	l := t.links.byName[d.Worker()]
	if l == nil || l.client == nil || l.state != linkOwned {
		return
	}
	t.emit(throttleEffect{
		client: l.client,
		throttle: connector.Throttle{
			Epoch: t.epoch,
			Ref:   d.Ref(),
			Limit: d.Limit(),
		},
		timeout: t.settings.terms.renewal,
	})
}

func (t *tables) giveUp(d placer.GiveUp) {
	id := d.Task().ID()
	h := t.held[id]
	if h == nil {
		return
	}
	t.unhold(id)
	t.send(h.home, GaveUp{
		Task:   id,
		Reason: d.Reason(),
	})
}

// overflow gives tasks that found no room here back, if a peer has room.
func (t *tables) overflow() {
	if t.now.Before(t.overflowDue) {
		return
	}
	t.overflowDue = t.now.Add(overflowInterval)
	given := 0
	for _, id := range sortedTasks(t.overflowed) {
		h := t.held[id]
		if h == nil || h.start != nil || h.gang != "" {
			delete(t.overflowed, id)
			continue
		}
		if given >= maxOverflows {
			return
		}
		if t.now.Before(h.since.Add(overflowInterval)) || !t.peerHasRoom(h.job) {
			continue
		}
		given++
		t.giveBack(id, h, Returned{
			Overflow: true,
		})
	}
}

func (t *tables) peerHasRoom(job recorder.Job) bool {
	for _, ch := range t.channels {
		if ch.heard && ch.summary.hasRoom(job.Size) {
			return true
		}
	}
	return false
}

// applyReserve keeps room for as many tasks of a gang as there is.
func (t *tables) applyReserve(home string, item Reserve) {
	if t.homeOf(item.Job.ID) != home {
		return
	}
	name := gangName(item.Job.ID, item.Round)
	var taken []int
	if t.reservations[name] == nil && !t.leaving {
		taken = t.reserveMost(name, item)
	}
	if len(taken) > 0 {
		t.reservations[name] = &reservation{
			job:    item.Job,
			round:  item.Round,
			home:   home,
			tasks:  taken,
			expiry: t.now.Add(item.Term),
		}
		for _, index := range taken {
			h := t.hold(namer.TaskID{
				Job:   item.Job.ID,
				Index: index,
			}, home, item.Job, item.Checkpoints[index])
			h.gang = name
		}
	}
	t.send(home, Reserved{
		Job:     item.Job.ID,
		Round:   item.Round,
		Indexes: taken,
	})
}

// reserveMost reserves the longest prefix of the tasks that fits.
func (t *tables) reserveMost(name string, item Reserve) []int {
	tasks := make([]placer.Task, 0, len(item.Indexes))
	for _, index := range item.Indexes {
		if t.held[namer.TaskID{
			Job:   item.Job.ID,
			Index: index,
		}] != nil {
			return nil
		}
		tasks = append(tasks, newTask(item.Job, index))
	}
	until := t.now.Add(item.Term)
	if _, ok := t.placer.Reserve(name, tasks, until); ok {
		return item.Indexes
	}
	low, high := 0, len(tasks)
	for low+1 < high {
		middle := (low + high) / 2
		if _, ok := t.placer.Reserve(name, tasks[:middle], until); ok {
			t.placer.Release(name)
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return nil
	}
	if _, ok := t.placer.Reserve(name, tasks[:low], until); !ok {
		return nil
	}
	return item.Indexes[:low]
}

// applyConfirm starts what was reserved.
func (t *tables) applyConfirm(home string, item Confirm) {
	name := gangName(item.Job, item.Round)
	r := t.reservations[name]
	if r == nil || r.home != home {
		t.send(home, Lost(item))
		return
	}
	delete(t.reservations, name)
	t.decide(t.placer.Confirm(name))
	for _, index := range r.tasks {
		id := namer.TaskID{
			Job:   item.Job,
			Index: index,
		}
		if h := t.held[id]; h != nil && h.start == nil {
			t.giveBack(id, h, Returned{
				Reason: "its reserved room was lost",
			})
		}
	}
}

func (t *tables) applyRelease(home string, item Release) {
	name := gangName(item.Job, item.Round)
	if r := t.reservations[name]; r != nil && r.home == home {
		t.releaseGang(name)
	}
}

// releaseGang gives the room of a reservation back.
func (t *tables) releaseGang(name string) {
	r := t.reservations[name]
	if r == nil {
		return
	}
	delete(t.reservations, name)
	t.placer.Release(name)
	for _, index := range r.tasks {
		t.unhold(namer.TaskID{
			Job:   r.job.ID,
			Index: index,
		})
	}
}

// expireReservations releases what no home has confirmed in time.
func (t *tables) expireReservations() {
	for _, name := range sorted(t.reservations) {
		if !t.now.Before(t.reservations[name].expiry) {
			t.releaseGang(name)
		}
	}
}
