package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// none is the index of no row.
const none int32 = -1

// WorkerState is the state of a worker, which determines whether it accepts new
// tasks.
type WorkerState uint8

// The states of a worker.
const (
	// Closed accepts no tasks: the worker was not taken over yet, or is silent.
	Closed WorkerState = iota
	// Open accepts tasks.
	Open
	// Draining accepts no tasks, and its tasks are moved elsewhere.
	Draining
	// SetAside accepts no tasks, since runs there kept failing or starts being
	// refused.
	SetAside
	// Probing accepts one task, whose outcome decides whether the worker is open
	// again.
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
	// present is false for an unused row.
	present bool
	state   WorkerState
	// used is the capacity allocated to all tasks on the worker. It fits the
	// capacity, unless the capacity shrank or a former owner overcommitted the
	// worker.
	used sizer.Size
	// claimed is the capacity claimed for tasks in StateClaimed.
	claimed sizer.Size
	// preemptible is the part of used that urgent work may preempt.
	preemptible sizer.Size
	// stopping is the part of used that belongs to tasks in StateStopping.
	stopping sizer.Size
	// available is the capacity less used and claimed if the worker accepts tasks,
	// and zero otherwise. The index is kept by this value.
	available sizer.Size
	// firstTask is the head of the list of the worker's tasks, linked by next and
	// prev.
	firstTask int32
	// claimingTasks are the tasks with a claim on this worker, oldest first.
	claimingTasks []int32
	// claimReadyAt is the time at which claims for starving work are expected to
	// be covered by free capacity.
	claimReadyAt time.Time
	rack         int32
	// bucket and bucketSlot are the worker's position in the index; bucket is none
	// if the worker is not indexed.
	bucket     int32
	bucketSlot int32
	// freed reports that capacity was freed since the last tick.
	freed  bool
	health workerHealth
	// observed is the sum of the last observed usage of the tasks.
	observed sizer.Size
}

// free returns the capacity that is not allocated, including what is claimed.
func (w *workerRow) free() sizer.Size {
	return w.capacity.Sub(w.used)
}

type workerTable struct {
	rows       []workerRow
	unused     []int32
	byName     map[string]int32
	racks      rackTable
	byCapacity capacityIndex
	// freed lists the workers on which capacity was freed since the last tick.
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
	row.claimingTasks = nil
	t.unused = append(t.unused, i)
}

// PutWorker adds a worker, which is closed at first, or updates a known worker.
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

// RemoveWorker removes a worker and returns the runs that it held. They count as
// certainly ended: call RemoveWorker only when their leases have lapsed, or when
// the worker goes to another owner together with its tasks. The tasks of the
// runs are removed too; a caller that wants them started elsewhere submits them
// again.
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

// SetWorkerState sets whether a worker accepts new tasks. A worker that is
// closed counts as silent: its tasks may still run, and stay allocated. The
// tasks of a draining worker are moved elsewhere. A worker that is set aside is
// probed after a while, even if another state is set meanwhile. Probing cannot
// be set.
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

// addWorkerSpread adds delta to the spread counts for each service task on a
// worker.
func (p *Placer) addWorkerSpread(i int32, delta int) {
	for t := p.workers.rows[i].firstTask; t != none; t = p.tasks.rows[t].next {
		if s := p.classes.rows[p.tasks.rows[t].class].spread; s != nil {
			p.addSpread(s, i, delta)
		}
	}
}

// markTasksUnknown marks the tasks of a silent worker as unknown.
func (p *Placer) markTasksUnknown(i int32) {
	for t := p.workers.rows[i].firstTask; t != none; t = p.tasks.rows[t].next {
		p.transition(t, eventWorkerSilent)
	}
}

// acceptsTasks reports whether the worker may be given a task now.
func (w *workerRow) acceptsTasks() bool {
	return w.present && w.state == Open && w.health.acceptsTasks()
}

// updateAvailable recomputes a worker's available capacity, the total and the
// index.
func (p *Placer) updateAvailable(i int32) {
	w := &p.workers.rows[i]
	available := sizer.Size{}
	indexed := w.acceptsTasks()
	if indexed {
		available = w.free().Sub(w.claimed)
	}
	p.totalAvailable = p.totalAvailable.Add(available.Max(sizer.Size{})).Sub(w.available.Max(sizer.Size{}))
	w.available = available
	p.workers.byCapacity.update(p.workers.rows, i, indexed)
}

// markFreed records that a worker may have more free capacity than at the last
// tick.
func (p *Placer) markFreed(i int32) {
	w := &p.workers.rows[i]
	if w.freed || !w.present || p.settings.fault == faultIdleCapacity {
		return
	}
	w.freed = true
	p.workers.freed = append(p.workers.freed, i)
}
