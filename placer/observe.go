package placer

import (
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Observe says what a task used a while ago. A task that uses more than it was
// given gets more room if its worker has it free, and is throttled to what it
// holds if not; later tasks of its job are placed with more. A task that uses
// less keeps its room: it may need it yet.
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

// grow gives a task more room as far as its worker has it.
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

// learnNeed makes later tasks of a class ask for what one was seen to use, if
// some worker can hold that.
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

// holdable reports whether some worker is large enough.
func (p *Placer) fitsAnyWorker(need sizer.Size) bool {
	for i := range p.workers.rows {
		if p.workers.rows[i].present && need.Fits(p.workers.rows[i].capacity) {
			return true
		}
	}
	return false
}
