package placer

import "time"

// tickFirstFit places waiting tasks by first-fit over all workers, as the
// baseline of the benchmarks.
func (p *Placer) tickFirstFit(now time.Time) {
	waiting := p.tasks.submissionOrder
	p.tasks.submissionOrder = p.tasks.submissionOrder[:0]
	for _, i := range waiting {
		if p.tasks.rows[i].state != StatePending {
			continue
		}
		worker := p.firstFit(i)
		if worker == none {
			p.tasks.submissionOrder = append(p.tasks.submissionOrder, i)
			continue
		}
		p.dequeueTask(i)
		p.start(i, worker, p.classes.rows[p.tasks.rows[i].class].need, now)
	}
}

func (p *Placer) firstFit(i int32) int32 {
	need := p.classes.rows[p.tasks.rows[i].class].need
	count := len(p.workers.rows)
	begin := 0
	if p.settings.randomFit && count > 0 {
		begin = p.random.IntN(count)
	}
	for offset := range count {
		w := (begin + offset) % count
		row := &p.workers.rows[w]
		if row.acceptsTasks() && need.Fits(row.free()) {
			return int32(w)
		}
	}
	return none
}
