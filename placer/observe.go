package placer

import (
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Observe reports what a task used recently. A task that uses more than its
// allocation is allocated more if its worker has free capacity, and is
// otherwise throttled to its allocation; later tasks of its job are placed with
// more. A task that uses less keeps its allocation, since it may still need it.
func (p *Placer) Observe(ref namer.TaskRef, usage sizer.Size) {
	i, ok := p.tasks.find(ref)
	if !ok {
		return
	}
	row := &p.tasks.rows[i]
	w := &p.workers.rows[row.worker]
	w.observed = w.observed.Add(usage).Sub(row.usage)
	row.usage = usage
	if usage.Fits(row.allocated) {
		return
	}
	p.raiseNeed(row.class, usage)
	p.growAllocation(i, usage)
}

// growAllocation raises the allocation of a task to its usage, as far as its
// worker has free capacity, and throttles the task if that is not enough.
func (p *Placer) growAllocation(i int32, usage sizer.Size) {
	row := &p.tasks.rows[i]
	w := &p.workers.rows[row.worker]
	spare := w.free().Sub(w.claimed).Max(sizer.Size{})
	wanted := usage.Max(row.allocated).Sub(row.allocated)
	more := minSize(wanted, spare)
	if !more.IsZero() {
		p.subtractStateSums(i)
		row.allocated = row.allocated.Add(more)
		w.used = w.used.Add(more)
		team := &p.teams.rows[p.classes.rows[row.class].key.team]
		team.used = team.used.Add(more)
		p.addStateSums(i)
		p.updateAvailable(row.worker)
	}
	if more == wanted || row.throttled {
		return
	}
	row.throttled = true
	p.decisions = append(p.decisions, Throttle{
		ref:    row.ref(),
		worker: w.name,
		limit:  row.allocated,
	})
}

func minSize(a, b sizer.Size) sizer.Size {
	return sizer.New(
		min(a.MilliCores(), b.MilliCores()),
		min(a.Bytes(), b.Bytes()),
		min(a.Accelerators(), b.Accelerators()),
	)
}

// raiseNeed raises the need of later tasks of a class to the observed usage, if
// some worker is large enough.
func (p *Placer) raiseNeed(c int32, usage sizer.Size) {
	class := &p.classes.rows[c]
	need := class.need.Max(usage)
	if need == class.need || !p.fitsAnyWorker(need) {
		return
	}
	class.need = need
	if class.queued {
		p.queuedEntry(c).need = need
	}
}

// fitsAnyWorker reports whether some worker is large enough.
func (p *Placer) fitsAnyWorker(need sizer.Size) bool {
	for i := range p.workers.rows {
		if p.workers.rows[i].present && need.Fits(p.workers.rows[i].capacity) {
			return true
		}
	}
	return false
}
