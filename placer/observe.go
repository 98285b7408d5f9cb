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
	if usage.Fits(row.hold) {
		return
	}
	p.learnNeed(row.class, usage)
	p.grow(i, usage)
}

// grow gives a task more room as far as its worker has it.
func (p *Placer) grow(i int32, usage sizer.Size) {
	row := &p.tasks.rows[i]
	w := &p.workers.rows[row.worker]
	spare := w.free().Sub(w.claimed).Max(sizer.Size{})
	wanted := usage.Max(row.hold).Sub(row.hold)
	more := least(wanted, spare)
	if !more.IsZero() {
		p.uncount(i)
		row.hold = row.hold.Add(more)
		w.used = w.used.Add(more)
		team := &p.teams.rows[p.classes.rows[row.class].key.team]
		team.used = team.used.Add(more)
		p.count(i)
		p.refresh(row.worker)
	}
	if more == wanted || row.throttled {
		return
	}
	row.throttled = true
	p.decisions = append(p.decisions, Throttle{
		ref:    row.ref(),
		worker: w.name,
		limit:  row.hold,
	})
}

func least(a, b sizer.Size) sizer.Size {
	return sizer.New(
		min(a.MilliCores(), b.MilliCores()),
		min(a.Bytes(), b.Bytes()),
		min(a.Accelerators(), b.Accelerators()),
	)
}

// learnNeed makes later tasks of a class ask for what one was seen to use, if
// some worker can hold that.
func (p *Placer) learnNeed(c int32, usage sizer.Size) {
	class := &p.classes.rows[c]
	need := class.need.Max(usage)
	if need == class.need || !p.holdable(need) {
		return
	}
	class.need = need
	if class.queued {
		p.entry(c).need = need
	}
}

// holdable reports whether some worker is large enough.
func (p *Placer) holdable(need sizer.Size) bool {
	for i := range p.workers.rows {
		if p.workers.rows[i].known && need.Fits(p.workers.rows[i].capacity) {
			return true
		}
	}
	return false
}
