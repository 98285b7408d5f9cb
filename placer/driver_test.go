package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// tickInterval is the interval at which the driver ticks.
const tickInterval = 50 * time.Millisecond

// endEvent is the scheduled end of a run, by finishing or by a checkpoint.
type endEvent struct {
	at      time.Time
	ref     namer.TaskRef
	outcome Outcome
}

type endHeap []endEvent

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(endEvent)) }
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// driver carries out the decisions of a placer: a task runs for the time that
// was drawn for it, and a checkpoint takes between 0.2 and 1.5 s.
type driver struct {
	*bench
	ends      endHeap
	startedAt map[namer.TaskRef]time.Time
	// remaining is how long each task still has to run. submitted is when it was
	// submitted, until it first starts.
	remaining map[namer.TaskID]time.Duration
	submitted map[namer.TaskID]time.Time
	// waits are the times from submission to the first start, by kind of task.
	waits    map[string][]time.Duration
	preempts int
	// checkpointRandom draws the times of checkpoints from a generator of its own,
	// so that the work is the same whatever is preempted.
	checkpointRandom *rand.Rand
}

func newDriver(workers, teams int, s clusterShape, scale float64, opts ...Option) *driver {
	return &driver{
		bench:            newBench(workers, teams, s, scale, opts...),
		startedAt:        make(map[namer.TaskRef]time.Time),
		remaining:        make(map[namer.TaskID]time.Duration),
		submitted:        make(map[namer.TaskID]time.Time),
		waits:            make(map[string][]time.Duration),
		checkpointRandom: rand.New(rand.NewPCG(3, 4)),
	}
}

func (d *driver) submitJob(team string, policy Policy, size sizer.Size, run time.Duration, count int, opts ...TaskOption) {
	d.jobs++
	var tasks []Task
	for i := range count {
		id := namer.TaskID{
			Job:   fmt.Sprint("job-", d.jobs),
			Index: i,
		}
		d.remaining[id] = run
		d.submitted[id] = d.clock.Now()
		tasks = append(tasks, NewTask(id, team, policy, size, opts...))
	}
	d.p.Submit(tasks...)
}

// step advances the clock by one tick.
func (d *driver) step() {
	d.clock.Advance(tickInterval)
	now := d.clock.Now()
	for len(d.ends) > 0 && !d.ends[0].at.After(now) {
		d.endRun(heap.Pop(&d.ends).(endEvent))
	}
	d.tick()
}

func (d *driver) endRun(e endEvent) {
	started, ok := d.startedAt[e.ref]
	if !ok {
		return
	}
	delete(d.startedAt, e.ref)
	d.remaining[e.ref.Task] -= e.at.Sub(started)
	if v, known := d.p.Task(e.ref.Task); known && kindOf(v.task.policy) == kindService {
		d.p.Cancel(e.ref.Task)
	}
	d.p.Ended(e.ref, e.outcome)
}

func (d *driver) tick() {
	now := d.clock.Now()
	for _, decision := range d.p.Tick() {
		switch made := decision.(type) {
		case Place:
			d.start(made, now)
		case Preempt:
			if _, ok := d.startedAt[made.ref]; ok && made.checkpoint {
				d.preempts++
				heap.Push(&d.ends, endEvent{
					at:      now.Add(200*time.Millisecond + time.Duration(d.checkpointRandom.Int64N(int64(1300*time.Millisecond)))),
					ref:     made.ref,
					outcome: Checkpointed,
				})
			}
		}
	}
}

func (d *driver) start(made Place, now time.Time) {
	d.p.Started(made.ref)
	d.startedAt[made.ref] = now
	heap.Push(&d.ends, endEvent{
		at:      now.Add(d.remaining[made.ref.Task]),
		ref:     made.ref,
		outcome: Finished,
	})
	if came, first := d.submitted[made.ref.Task]; first {
		delete(d.submitted, made.ref.Task)
		d.waits[kindName(made.task)] = append(d.waits[kindName(made.task)], now.Sub(came))
	}
}

func kindName(t Task) string {
	switch t.policy.(type) {
	case ServicePolicy:
		return "service"
	case GangPolicy:
		return "gang"
	default:
	}
	if t.urgent {
		return "urgent"
	}
	return "batch"
}

// quantile returns the wait that the given percentage of waits do not exceed.
func quantile(waits []time.Duration, of int) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[(len(waits)-1)*of/100]
}
