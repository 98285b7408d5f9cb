package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// none is the index of no row.
const none int32 = -1

// WorkerState says whether a worker takes new tasks.
type WorkerState uint8

// The states of a worker.
const (
	// Closed takes nothing: it was not yet taken over, or it is silent.
	Closed WorkerState = iota
	// Open takes tasks.
	Open
	// Draining takes nothing, and its tasks are moved.
	Draining
	// SetAside takes nothing, since what it started failed.
	SetAside
	// Probing takes one task, whose end decides whether it is open again.
	Probing
)

// String returns the state as one word.
func (s WorkerState) String() string {
	switch s {
	case Open:
		return "open"
	case Draining:
		return "draining"
	case SetAside:
		return "setAside"
	case Probing:
		return "probing"
	default:
		return "closed"
	}
}

// Worker is a host that runs tasks.
type Worker struct {
	name       string
	rack       string
	dataCentre string
	// capacity is what the worker offers. No dimension is negative.
	capacity sizer.Size
}

// NewWorker returns a worker that offers capacity.
func NewWorker(name, rack, dataCentre string, capacity sizer.Size) Worker {
	return Worker{
		name:       name,
		rack:       rack,
		dataCentre: dataCentre,
		capacity:   capacity,
	}
}

// Name returns the name, which is unique.
func (w Worker) Name() string { return w.name }

// Rack returns the name of the rack, which is unique in its data centre.
func (w Worker) Rack() string { return w.rack }

// DataCentre returns the name of the data centre.
func (w Worker) DataCentre() string { return w.dataCentre }

// Capacity returns what the worker offers.
func (w Worker) Capacity() sizer.Size { return w.capacity }

type workerRow struct {
	Worker
	// known is false for a free row.
	present bool
	state   WorkerState
	// used is the room of all tasks on the worker. It fits the capacity, unless
	// the capacity shrank or a former owner gave out too much.
	used sizer.Size
	// claimed is the room that is kept for tasks in StateClaimed.
	claimed sizer.Size
	// preemptible is the part of used that urgent work may take.
	preemptible sizer.Size
	// leaving is the part of used of tasks in StateStopping.
	stopping sizer.Size
	// room is capacity less used and claimed if the worker takes tasks, and
	// zero otherwise. It is what the index knows.
	available sizer.Size
	// first is the first of the worker's tasks, linked by next and prev.
	firstTask int32
	// claims are the tasks that room is kept for, oldest first.
	claims []int32
	// claimUntil is when the room of a claim without preemption is expected.
	claimReadyAt time.Time
	rack         int32
	// bucket and slot say where the index holds the worker; bucket is none if
	// the index does not hold it.
	bucket     int32
	bucketSlot int32
	// dirty says that room was freed since the last tick.
	freed  bool
	health workerHealth
	// observed is the sum of what the tasks were last seen to use.
	observed sizer.Size
}

func (w *workerRow) free() sizer.Size {
	return w.capacity.Sub(w.used)
}

type workerTable struct {
	rows       []workerRow
	unused     []int32
	byName     map[string]int32
	racks      rackTable
	byCapacity capacityIndex
	// dirty lists the workers on which room was freed since the last tick.
	freed []int32
}

func (t *workerTable) init() {
	t.byName = make(map[string]int32)
	t.racks.init()
}

func (t *workerTable) add(w Worker) int32 {
	row := workerRow{
		Worker:    w,
		present:   true,
		state:     Closed,
		firstTask: none,
		rack:      t.racks.findOrAdd(w.dataCentre, w.rack),
		bucket:    none,
		health: workerHealth{
			lastFailedClass: none,
		},
	}
	var i int32
	if n := len(t.unused); n > 0 {
		i = t.unused[n-1]
		t.unused = t.unused[:n-1]
		row.freed = t.rows[i].freed
		t.rows[i] = row
	} else {
		i = int32(len(t.rows))
		t.rows = append(t.rows, row)
	}
	t.byName[w.name] = i
	t.racks.addWorker(row.rack, i)
	return i
}

func (t *workerTable) remove(i int32) {
	row := &t.rows[i]
	delete(t.byName, row.name)
	t.racks.removeWorker(row.rack, i)
	row.present = false
	row.claims = nil
	t.unused = append(t.unused, i)
}

// PutWorker adds a worker, which is closed at first, or changes what is known
// of one.
func (p *Placer) PutWorker(w Worker) {
	i, ok := p.workers.byName[w.name]
	if !ok {
		p.workers.add(w)
		p.total = p.total.Add(w.capacity)
		return
	}
	row := &p.workers.rows[i]
	if row.Worker == w {
		return
	}
	p.total = p.total.Add(w.capacity).Sub(row.capacity)
	p.addWorkerSpread(i, -1)
	p.workers.racks.removeWorker(row.rack, i)
	row.Worker = w
	row.rack = p.workers.racks.findOrAdd(w.dataCentre, w.rack)
	p.workers.racks.addWorker(row.rack, i)
	p.addWorkerSpread(i, 1)
	p.updateAvailable(i)
	p.markFreed(i)
}

// RemoveWorker forgets a worker and returns the starts that it held. They count
// as certainly ended: call it only when their leases have lapsed, or when the
// worker goes to another owner together with its tasks. The tasks are forgotten
// with it; whoever wants them started elsewhere submits them again.
func (p *Placer) RemoveWorker(name string) []namer.TaskRef {
	i, ok := p.workers.byName[name]
	if !ok {
		return nil
	}
	p.dropWorkerClaims(i)
	var refs []namer.TaskRef
	for t := p.workers.rows[i].firstTask; t != none; t = p.workers.rows[i].firstTask {
		refs = append(refs, p.tasks.rows[t].ref())
		p.release(t)
		p.forget(t)
	}
	p.workers.rows[i].state = Closed
	p.updateAvailable(i)
	p.total = p.total.Sub(p.workers.rows[i].capacity)
	p.workers.remove(i)
	return refs
}

// SetWorkerState says whether a worker takes new tasks. A worker that closes is
// silent: its tasks may run, and keep their room. A worker that drains has its
// tasks moved. A worker that is set aside is probed after a while, whatever else
// it is told; Probing cannot be asked for.
func (p *Placer) SetWorkerState(name string, s WorkerState) {
	i, ok := p.workers.byName[name]
	if !ok {
		return
	}
	row := &p.workers.rows[i]
	if s == SetAside {
		p.setAside(i)
		return
	}
	if row.state == s || s == Probing {
		return
	}
	row.state = s
	switch s {
	case Closed:
		p.markTasksUnknown(i)
	case Draining:
		p.drain(i)
	default:
	}
	if s != Open {
		p.dropWorkerClaims(i)
	}
	p.updateAvailable(i)
	p.markFreed(i)
}

// respread counts the services of a worker in or out where it stands.
func (p *Placer) addWorkerSpread(i int32, delta int) {
	for t := p.workers.rows[i].firstTask; t != none; t = p.tasks.rows[t].next {
		if s := p.classes.rows[p.tasks.rows[t].class].spread; s != nil {
			p.addSpread(s, i, delta)
		}
	}
}

// silence marks what a silent worker runs as unknown.
func (p *Placer) markTasksUnknown(i int32) {
	for t := p.workers.rows[i].firstTask; t != none; t = p.tasks.rows[t].next {
		p.transition(t, eventWorkerSilent)
	}
}

// takes reports whether the worker may be given a task now.
func (w *workerRow) acceptsTasks() bool {
	return w.present && w.state == Open && w.health.acceptsTasks()
}

// refresh brings the index up to date with a worker.
func (p *Placer) updateAvailable(i int32) {
	w := &p.workers.rows[i]
	available := sizer.Size{}
	indexed := w.acceptsTasks()
	if indexed {
		available = w.free().Sub(w.claimed)
	}
	p.available = p.available.Add(available.Max(sizer.Size{})).Sub(w.available.Max(sizer.Size{}))
	w.available = available
	p.workers.byCapacity.update(p.workers.rows, i, indexed)
}

// freed notes that a worker may have more room than at the last tick.
func (p *Placer) markFreed(i int32) {
	w := &p.workers.rows[i]
	if w.freed || !w.present || p.settings.fault == faultIdleCapacity {
		return
	}
	w.freed = true
	p.workers.freed = append(p.workers.freed, i)
}
