package dispatcher

import (
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// overflowInterval is how long a task without free capacity waits before it
	// may be returned to its home, and the time between two scans for such
	// tasks.
	overflowInterval = time.Second
	// maxOverflows is the largest number of tasks that one scan returns.
	maxOverflows = 200
)

// holding is a task that this member holds for the home of its job: it runs on
// one of the member's workers or waits in the placer.
type holding struct {
	// home is the member that receives the reports about the task.
	home string
	// job is the task's job. For a job that this member has not read in the log
	// it has only what the worker reported.
	job recorder.Job
	// run is nil while the task waits.
	run *run
	// withdrawn is set once the home has asked for the task back.
	withdrawn bool
	// checkpoint is the last one that a run of the task saved, empty if none did.
	checkpoint string
	// heldSince is when the task came to this member.
	heldSince time.Time
	// reservedAs is the name of the reservation that holds capacity for the
	// task, empty if there is none.
	reservedAs string
}

// reservation is the capacity that is reserved for a part of a gang.
type reservation struct {
	job    recorder.Job
	round  int
	home   string
	tasks  []int
	expiry time.Time
}

// applyAssign accepts tasks from a home.
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
		t.addHolding(id, home, item.Job, item.Checkpoints[index])
		tasks = append(tasks, newTask(item.Job, index))
	}
	t.placer.Submit(tasks...)
}

func (t *tables) addHolding(id namer.TaskID, home string, job recorder.Job, checkpoint string) *holding {
	h := &holding{
		home:       home,
		job:        job,
		checkpoint: checkpoint,
		heldSince:  t.now,
	}
	t.held[id] = h
	byIndex := t.heldIndexes[id.Job]
	if byIndex == nil {
		byIndex = make(map[int]struct{})
		t.heldIndexes[id.Job] = byIndex
	}
	byIndex[id.Index] = struct{}{}
	return h
}

func (t *tables) removeHolding(id namer.TaskID) {
	delete(t.held, id)
	delete(t.overflowed, id)
	delete(t.heldIndexes[id.Job], id.Index)
	if len(t.heldIndexes[id.Job]) == 0 {
		delete(t.heldIndexes, id.Job)
	}
}

// applyWithdraw returns tasks to their home: those that wait at once, those that
// may run once they have certainly ended.
func (t *tables) applyWithdraw(home string, item Withdraw) {
	if t.homeOf(item.Job) != home {
		return
	}
	indexes := item.Indexes
	if indexes == nil {
		indexes = t.heldIndexesOf(item.Job)
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
		if h.reservedAs != "" {
			t.releaseReservation(h.reservedAs)
			returned = append(returned, index)
			continue
		}
		t.placer.Cancel(id)
		if h.run == nil {
			t.removeHolding(id)
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

func (t *tables) heldIndexesOf(job string) []int {
	return sortedKeys(t.heldIndexes[job])
}

// adoptHolding records a task that was found running on a worker, and reports
// it to its home.
func (t *tables) adoptHolding(id namer.TaskID, s *run, report connector.TaskReport) {
	home := t.homeOf(id.Job)
	h := t.held[id]
	if h == nil {
		h = t.addHolding(id, home, t.jobOf(id.Job, report), report.Checkpoint)
	}
	h.run = s
	t.send(home, Held{
		Job:     id.Job,
		Indexes: []int{id.Index},
	})
}

func (t *tables) setHoldingRun(id namer.TaskID, s *run) {
	if h := t.held[id]; h != nil {
		h.run = s
		h.reservedAs = ""
	}
}

func (t *tables) removeHoldingOfRun(ref namer.TaskRef) {
	if h := t.held[ref.Task]; h != nil && h.run != nil && h.run.ref == ref {
		t.removeHolding(ref.Task)
	}
}

func (t *tables) saveCheckpoint(id namer.TaskID, checkpoint string) {
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

// reportRunEnd reports the end of a run to the task's home, unless the placer
// will start the task again.
func (t *tables) reportRunEnd(s *run, outcome placer.Outcome, finished bool, reason string) {
	id := s.ref.Task
	h := t.held[id]
	if h == nil || h.run != s {
		if finished {
			t.send(t.homeOf(id.Job), Finished{
				Refs: []namer.TaskRef{s.ref},
			})
		}
		return
	}
	h.run = nil
	switch {
	case finished:
		t.removeHolding(id)
		t.send(h.home, Finished{
			Refs: []namer.TaskRef{s.ref},
		})
	case h.withdrawn, h.job.Policy == recorder.Gang:
		t.returnTask(id, h, Returned{
			Failed: outcome == placer.Failed && !h.withdrawn,
			Reason: reason,
		})
	}
}

// returnTask returns one task to its home.
func (t *tables) returnTask(id namer.TaskID, h *holding, item Returned) {
	t.removeHolding(id)
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

// applyDecisions carries out the placer's decisions.
func (t *tables) applyDecisions(decisions []placer.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case placer.Place:
			t.startTask(d)
		case placer.Preempt:
			t.requestStop(d.Ref(), d.Worker(), d.Checkpoint())
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
		timeout: t.settings.timings.renewal,
	})
}

func (t *tables) giveUp(d placer.GiveUp) {
	id := d.Task().ID()
	h := t.held[id]
	if h == nil {
		return
	}
	t.removeHolding(id)
	t.send(h.home, GaveUp{
		Task:   id,
		Reason: d.Reason(),
	})
}

// returnOverflow returns to their homes the tasks for which a peer has free
// capacity and this member has none.
func (t *tables) returnOverflow() {
	if t.now.Before(t.nextOverflowAt) {
		return
	}
	t.nextOverflowAt = t.now.Add(overflowInterval)
	returned := 0
	for _, id := range sortedTasks(t.overflowed) {
		h := t.held[id]
		if h == nil || h.run != nil || h.reservedAs != "" {
			delete(t.overflowed, id)
			continue
		}
		if returned >= maxOverflows {
			return
		}
		if t.now.Before(h.heldSince.Add(overflowInterval)) || !t.peerHasCapacity(h.job) {
			continue
		}
		returned++
		t.returnTask(id, h, Returned{
			Overflow: true,
		})
	}
}

func (t *tables) peerHasCapacity(job recorder.Job) bool {
	for _, stream := range t.streams {
		if stream.summaryKnown && stream.summary.hasFreeCapacity(job.Size) {
			return true
		}
	}
	return false
}

// applyReserve reserves capacity for as many tasks of a gang as possible.
func (t *tables) applyReserve(home string, item Reserve) {
	if t.homeOf(item.Job.ID) != home {
		return
	}
	name := reservationName(item.Job.ID, item.Round)
	var reserved []int
	if t.reservations[name] == nil && !t.leaving {
		reserved = t.reservePrefix(name, item)
	}
	if len(reserved) > 0 {
		t.reservations[name] = &reservation{
			job:    item.Job,
			round:  item.Round,
			home:   home,
			tasks:  reserved,
			expiry: t.now.Add(item.Term),
		}
		for _, index := range reserved {
			h := t.addHolding(namer.TaskID{
				Job:   item.Job.ID,
				Index: index,
			}, home, item.Job, item.Checkpoints[index])
			h.reservedAs = name
		}
	}
	t.send(home, Reserved{
		Job:     item.Job.ID,
		Round:   item.Round,
		Indexes: reserved,
	})
}

// reservePrefix reserves capacity for the longest prefix of the tasks that
// fits, and returns their indexes.
func (t *tables) reservePrefix(name string, item Reserve) []int {
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
	expiry := t.now.Add(item.Term)
	if _, ok := t.placer.Reserve(name, tasks, expiry); ok {
		return item.Indexes
	}
	low, high := 0, len(tasks)
	for low+1 < high {
		middle := (low + high) / 2
		if _, ok := t.placer.Reserve(name, tasks[:middle], expiry); ok {
			t.placer.Release(name)
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return nil
	}
	if _, ok := t.placer.Reserve(name, tasks[:low], expiry); !ok {
		return nil
	}
	return item.Indexes[:low]
}

// applyConfirm starts the tasks of a reservation.
func (t *tables) applyConfirm(home string, item Confirm) {
	name := reservationName(item.Job, item.Round)
	r := t.reservations[name]
	if r == nil || r.home != home {
		t.send(home, Lost(item))
		return
	}
	delete(t.reservations, name)
	t.applyDecisions(t.placer.Confirm(name))
	for _, index := range r.tasks {
		id := namer.TaskID{
			Job:   item.Job,
			Index: index,
		}
		if h := t.held[id]; h != nil && h.run == nil {
			t.returnTask(id, h, Returned{
				Reason: "its reserved room was lost",
			})
		}
	}
}

func (t *tables) applyRelease(home string, item Release) {
	name := reservationName(item.Job, item.Round)
	if r := t.reservations[name]; r != nil && r.home == home {
		t.releaseReservation(name)
	}
}

// releaseReservation frees the capacity of a reservation.
func (t *tables) releaseReservation(name string) {
	r := t.reservations[name]
	if r == nil {
		return
	}
	delete(t.reservations, name)
	t.placer.Release(name)
	for _, index := range r.tasks {
		t.removeHolding(namer.TaskID{
			Job:   r.job.ID,
			Index: index,
		})
	}
}

// expireReservations releases the reservations that their homes have not
// confirmed in time.
func (t *tables) expireReservations() {
	for _, name := range sortedKeys(t.reservations) {
		if !t.now.Before(t.reservations[name].expiry) {
			t.releaseReservation(name)
		}
	}
}
