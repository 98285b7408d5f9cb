package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// load is a stream of jobs of one kind.
type load struct {
	queue scheduler.Queue
	// perSecond is how many jobs come, in turn with burst from burstFrom to
	// burstTo.
	perSecond          float64
	burst              float64
	burstFrom, burstTo time.Duration
	// width and phases are the means of lognormal and geometric draws.
	width    float64
	maxWidth int
	phases   float64
	size     func(*rand.Rand) sizer.Size
	// work is the mean of a lognormal draw with spread; an estimate is off by
	// up to off.
	work, spread, off float64
	gang, checkpoints bool
	// approved is the share of workers that the adviser approves.
	approved float64
	worth    float64
}

// world plays loads against a scheduler, in steps of simulated time.
type world struct {
	*rig
	random  *rand.Rand
	workers []*node
	loads   []load
	lanes   [2][]time.Time
	calls   []call
	ends    map[scheduler.RunRef]time.Duration
	lengths map[scheduler.StepRef][]time.Duration
	jobs    map[string]played
	records []scheduler.Job
	// stalled tells that the store takes no writes.
	stalled bool
	// cutFrom and cutTo tell when a third of the workers is silent, after the
	// load began.
	cutFrom, cutTo time.Duration
	// asked is how long the adviser worked, and played how long the last play
	// took.
	asked, played time.Duration
	// stops holds the runs that were told to stop and have not yet.
	stops []lateStop
	// restore is how long a run takes to resume the work of another.
	restore time.Duration
	// open holds the jobs that have not ended.
	open   map[string]bool
	phases map[scheduler.StepRef]scheduler.Phase
	// approvals are drawn once for a step and a worker.
	approvals map[string]bool
}

type call struct {
	at  time.Time
	ask scheduler.AskAdvice
}

type played struct {
	load      int
	came      time.Time
	objective time.Duration
	value     float64
}

const worldStep = 10 * time.Millisecond

func newWorld(t *testing.T, seed uint64, workers int, size sizer.Size, loads ...load) *world {
	w := &world{
		rig:       newRig(t),
		random:    rand.New(rand.NewPCG(seed, 1)),
		loads:     loads,
		ends:      make(map[scheduler.RunRef]time.Duration),
		lengths:   make(map[scheduler.StepRef][]time.Duration),
		jobs:      make(map[string]played),
		open:      make(map[string]bool),
		phases:    make(map[scheduler.StepRef]scheduler.Phase),
		approvals: make(map[string]bool),
	}
	for i := range workers {
		w.workers = append(w.workers, w.worker(nodeName(i), size))
	}
	w.lanes[0] = make([]time.Time, 3)
	w.lanes[1] = make([]time.Time, 5)
	w.s.SetAskSlots(3, 5)
	w.list()
	w.hold()
	return w
}

// poisson draws whether something with that rate happens in one step.
func (w *world) happens(rate float64) bool {
	return w.random.Float64() < rate*worldStep.Seconds()
}

func (w *world) arrivals(began time.Time) {
	for i, l := range w.loads {
		rate := l.perSecond
		if since := w.now.Sub(began); since >= l.burstFrom && since < l.burstTo {
			rate *= l.burst
		}
		if !w.happens(rate) {
			continue
		}
		id := fmt.Sprintf("%016x", len(w.jobs)+1)
		job, value := w.draw(l, id)
		w.open[id] = true
		w.jobs[id] = played{
			load:      i,
			came:      w.now,
			objective: w.objective(l, job),
			value:     value,
		}
		w.records = append(w.records, job)
		w.s.AddJob(job, nil, false, w.now)
	}
}

// draw makes a job, and the seconds that its tasks take in truth.
func (w *world) draw(l load, id string) (scheduler.Job, float64) {
	job := scheduler.Job{
		ID:       id,
		Queue:    l.queue,
		Accepted: w.now,
	}
	phases := 1
	for float64(phases) < 4 && w.random.Float64() < 1-1/l.phases {
		phases++
	}
	work := 0.0
	for i := range phases {
		const widthSpread = 0.8
		drawn := l.width * math.Exp(w.random.NormFloat64()*widthSpread-widthSpread*widthSpread/2)
		width := min(l.maxWidth, max(1, int(math.Round(drawn))))
		size := l.size(w.random)
		length := l.work * math.Exp(w.random.NormFloat64()*l.spread-l.spread*l.spread/2)
		estimate := length * (1 + l.off*(2*w.random.Float64()-1))
		phase := scheduler.Phase{
			Tasks:       width,
			Size:        size,
			Estimate:    time.Duration(estimate * float64(time.Second)),
			Gang:        l.gang,
			Checkpoints: l.checkpoints,
		}
		if i > 0 {
			phase.DependsOn = []int{i - 1}
		}
		job.Phases = append(job.Phases, phase)
		ref := scheduler.StepRef{
			Job:   id,
			Phase: i,
		}
		w.phases[ref] = phase
		for range width {
			d := length
			if !l.gang {
				d *= 0.85 + 0.3*w.random.Float64()
			}
			w.lengths[ref] = append(w.lengths[ref], time.Duration(d*float64(time.Second)))
		}
		work += length * float64(width) * (float64(size.MilliCores())/1000 + 8*float64(size.Accelerators()))
	}
	mean := l.work * l.width * l.phases * (float64(l.size(w.random).MilliCores())/1000 + 8*meanCards(l, w.random))
	return job, l.worth * min(4, 0.3+0.7*work/mean)
}

func meanCards(l load, random *rand.Rand) float64 {
	total := 0.0
	for range 20 {
		total += float64(l.size(random).Accelerators())
	}
	return total / 20
}

// objective is what the job should take, by the true lengths.
func (w *world) objective(l load, job scheduler.Job) time.Duration {
	var chain time.Duration
	for i := range job.Phases {
		var longest time.Duration
		for _, d := range w.lengths[scheduler.StepRef{
			Job:   job.ID,
			Phase: i,
		}] {
			longest = max(longest, d)
		}
		chain += longest
	}
	return time.Duration(l.queue.SlackFactor*float64(chain)) + l.queue.Target
}

// step plays one step.
func (w *world) step() {
	w.pass(worldStep)
	for _, n := range w.workers {
		for ref := range n.active {
			if n.clock > n.lease {
				n.end(ref, scheduler.EndLapsed)
				continue
			}
			if n.clock >= w.ends[ref] {
				n.end(ref, scheduler.EndDone)
				if w.loads[w.jobs[ref.Task.Step.Job].load].gang {
					w.endGang(ref)
				}
			}
		}
	}
	w.s.Confirm(w.now)
	w.hold()
	w.answer()
	effects := w.s.Tick(w.now)
	if w.s.Planned() > 0 && !w.stalled {
		w.write()
		effects = append(effects, w.s.Tick(w.now)...)
	}
	stops := w.stops
	w.stops = nil
	for _, stop := range stops {
		if stop.at.After(w.now) {
			w.stops = append(w.stops, stop)
			continue
		}
		w.stopped(stop.order)
	}
	w.carryOut(slices.DeleteFunc(slices.Clone(effects), func(e scheduler.Effect) bool {
		stop, is := e.(scheduler.StopTask)
		if is && !w.nodes[stop.Worker.ID].silent {
			w.s.StopAnswered(stop.Worker.ID, stop.Run, true, w.now)
			w.stops = append(w.stops, lateStop{
				at:    w.now.Add(stopTakes),
				order: stop,
			})
			return true
		}
		return false
	}))
	for _, effect := range effects {
		switch effect := effect.(type) {
		case scheduler.StartTask:
			n := w.nodes[effect.Worker.ID]
			length := w.lengths[effect.Run.Task.Step][effect.Run.Task.Index]
			n.lengths[effect.Run] = length
			w.ends[effect.Run] = n.clock + length
		case scheduler.AskAdvice:
			w.queueCall(effect)
		case scheduler.StopTask, scheduler.PaceTask:
		}
	}
	if !w.stalled {
		w.write()
	}
}

// stopTakes is how long a worker takes to stop a run.
const stopTakes = 500 * time.Millisecond

type lateStop struct {
	at    time.Time
	order scheduler.StopTask
}

// stopped ends a run that was told to stop. What it did is saved, where its
// load does so.
func (w *world) stopped(order scheduler.StopTask) {
	n := w.nodes[order.Worker.ID]
	if _, there := n.active[order.Run]; !there {
		return
	}
	ref := order.Run.Task
	if w.loads[w.jobs[ref.Step.Job].load].checkpoints {
		w.lengths[ref.Step][ref.Index] = max(0, w.ends[order.Run]-n.clock) + w.restore
	}
	n.end(order.Run, scheduler.EndStopped)
}

// endGang ends the other members of a gang, done as well.
func (w *world) endGang(ended scheduler.RunRef) {
	for _, n := range w.workers {
		for ref := range n.active {
			if ref.Task.Step == ended.Task.Step {
				n.end(ref, scheduler.EndDone)
			}
		}
	}
}

// queueCall puts a call for advice in the lane that is free first.
func (w *world) queueCall(ask scheduler.AskAdvice) {
	lanes := w.lanes[1]
	if ask.Cost <= scheduler.QuickCall {
		lanes = w.lanes[0]
	}
	best := 0
	for i := range lanes {
		if lanes[i].Before(lanes[best]) {
			best = i
		}
	}
	if lanes[best].Before(w.now) {
		lanes[best] = w.now
	}
	lanes[best] = lanes[best].Add(ask.Cost)
	w.asked += ask.Cost
	w.calls = append(w.calls, call{
		at:  lanes[best],
		ask: ask,
	})
}

// approves draws which workers may run a step: a share of them, and always
// enough for all of its tasks.
func (w *world) approves(ref scheduler.StepRef, id string, share float64) bool {
	if _, drawn := w.approvals[ref.String()]; !drawn {
		w.approvals[ref.String()] = true
		phase := w.phases[ref]
		room := 0
		for _, i := range w.random.Perm(len(w.workers)) {
			if w.random.Float64() < share || room < phase.Tasks {
				n := w.workers[i]
				w.approvals[ref.String()+"/"+n.entry.Ref.ID] = true
				for free := n.entry.Total; phase.Size.Fits(free); free = free.Sub(phase.Size) {
					room++
				}
			}
		}
	}
	return w.approvals[ref.String()+"/"+id]
}

// answer gives the advice that is due.
func (w *world) answer() {
	rest := w.calls[:0]
	for _, c := range w.calls {
		if c.at.After(w.now) {
			rest = append(rest, c)
			continue
		}
		share := w.loads[w.jobs[c.ask.Step.Job].load].approved
		var approved []scheduler.Approval
		for _, id := range c.ask.Workers {
			if w.approves(c.ask.Step, id, share) {
				approved = append(approved, scheduler.Approval{
					WorkerID: id,
					Ticket:   "t",
				})
			}
		}
		w.s.AdviceAnswered(c.ask.Step, c.ask.Workers, approved, 2*time.Second, w.now)
	}
	w.calls = rest
}

// result is what a load earned of what it could.
type result struct {
	owed, earned float64
}

func (r result) share() float64 {
	return r.earned / r.owed
}

// play has jobs come for some time, and goes on for at most as long as told
// until all have ended. It returns the result of each load.
func (w *world) play(coming, after time.Duration) []result {
	began := w.now
	results := make([]result, len(w.loads))
	for w.now.Sub(began) < coming+after {
		if w.cutTo > 0 {
			since := w.now.Sub(began)
			for i, n := range w.workers {
				n.silent = i%3 == 0 && since >= w.cutFrom && since < w.cutTo
			}
		}
		if w.now.Sub(began) < coming {
			w.arrivals(began)
		} else if len(w.open) == 0 {
			break
		}
		w.step()
		for id := range w.open {
			if state, _ := w.s.State(id); state != scheduler.Completed {
				continue
			}
			delete(w.open, id)
			j := w.jobs[id]
			switch took := w.now.Sub(j.came); {
			case took <= j.objective:
				results[j.load].earned += j.value
			case took <= 3*j.objective:
				results[j.load].earned += 0.2 * j.value
			}
		}
	}
	for _, j := range w.jobs {
		results[j.load].owed += j.value
	}
	w.played = w.now.Sub(began)
	return results
}

// unfinished describes the jobs that have not ended.
func (w *world) unfinished() []string {
	var left []string
	for id := range w.open {
		l := w.loads[w.jobs[id].load]
		left = append(left, fmt.Sprintf("%s of %s, %+v", id, l.queue.Name, w.phases[scheduler.StepRef{
			Job: id,
		}]))
	}
	return left
}

const gpuMemory = 512 * gibibyte

func visionQueue(name string, priority int, slack float64, target time.Duration, decision, perWorker float64) scheduler.Queue {
	return scheduler.Queue{
		Name:        name,
		Service:     "desk",
		Priority:    priority,
		MaxAttempts: 3,
		SlackFactor: slack,
		Target:      target,
		Advice: &scheduler.Advice{
			Decision:  time.Duration(decision * float64(time.Millisecond)),
			PerWorker: time.Duration(perWorker * float64(time.Millisecond)),
			Validity:  2 * time.Second,
		},
	}
}

// visionLoads are gangs that want whole workers, beside single cards.
func visionLoads(rate float64) []load {
	return []load{
		{
			queue:     visionQueue("gangs", 1, 2.2, time.Second, 490, 7),
			perSecond: 1.84 * rate,
			width:     1.5,
			maxWidth:  9,
			phases:    1,
			size: func(r *rand.Rand) sizer.Size {
				return sizer.New(62000, 250*gibibyte, []int64{2, 4, 8, 8}[r.IntN(4)])
			},
			work:   3.6,
			spread: 0.5,
			off:    0.9,
			gang:   true,
			// Nine of ten do.
			checkpoints: true,
			approved:    0.3,
			worth:       3.23,
		},
		{
			queue:     visionQueue("cards", 2, 4, 3*time.Second, 140, 2),
			perSecond: 1.9 * rate,
			width:     4.1,
			maxWidth:  20,
			phases:    1,
			size: func(*rand.Rand) sizer.Size {
				return sizer.New(11000, 46*gibibyte, 1)
			},
			work:   3.8,
			spread: 0.5,
			off:    0.9,
			// Eight of ten do.
			checkpoints: true,
			approved:    0.45,
			worth:       1.95,
		},
	}
}

// visionWorld has 13 workers of 8 cards.
func visionWorld(t *testing.T, seed uint64, rate float64) *world {
	w := newWorld(t, seed, 13, sizer.New(128000, gpuMemory, 8), visionLoads(rate)...)
	w.restore = 100 * time.Millisecond
	return w
}

// memoryLoads are gangs of which a member takes most of a worker's memory,
// however few cards it has, beside single cards.
func memoryLoads(rate float64) []load {
	loads := visionLoads(rate)
	loads[0].queue = visionQueue("gangs", 1, 2.2, time.Second, 430, 6.1)
	loads[0].size = func(r *rand.Rand) sizer.Size {
		return sizer.New(15000, 81*gibibyte, []int64{2, 4, 8, 8}[r.IntN(4)])
	}
	loads[0].off = 0.5
	loads[1].queue = visionQueue("cards", 2, 4, 3*time.Second, 150, 2.2)
	loads[1].size = func(*rand.Rand) sizer.Size {
		return sizer.New(2800, 15*gibibyte, 1)
	}
	loads[1].perSecond = 1.53 * rate
	loads[1].width = 6.4
	loads[1].maxWidth = 32
	loads[1].work = 3
	loads[1].off = 0.5
	for i := range loads {
		loads[i].queue.Advice.Validity = 1500 * time.Millisecond
	}
	return loads
}

// deskLoads are many short checks that callers wait for at a door, beside long
// batches that may take a while and can be resumed.
func deskLoads(rate float64) []load {
	desk := func(cores, memory float64) func(*rand.Rand) sizer.Size {
		return func(r *rand.Rand) sizer.Size {
			spread := math.Exp(0.4 * r.NormFloat64())
			return sizer.New(int64(cores*1000*spread), int64(memory*spread*gibibyte), 0)
		}
	}
	return []load{
		{
			queue:     visionQueue("checks", 0, 1.5, 250*time.Millisecond, 14, 0.2),
			perSecond: 16.9 * rate,
			burst:     2.3,
			burstFrom: 8 * time.Second,
			burstTo:   12 * time.Second,
			width:     6,
			maxWidth:  36,
			phases:    1.5,
			size:      desk(1.5, 5.6),
			work:      0.56,
			spread:    0.5,
			off:       0.2,
			approved:  0.7,
			worth:     0.615,
		},
		{
			queue:       visionQueue("batches", 2, 4, 3*time.Second, 170, 2.4),
			perSecond:   0.8 * rate,
			width:       8.8,
			maxWidth:    44,
			phases:      2,
			size:        desk(3.3, 12),
			work:        5.6,
			spread:      0.5,
			off:         0.5,
			checkpoints: true,
			approved:    0.45,
			worth:       4.63,
		},
	}
}

// deskWorld has 30 workers of 16 cores.
func deskWorld(t *testing.T, seed uint64, rate float64) *world {
	w := newWorld(t, seed, 30, sizer.New(16000, 64*gibibyte, 0), deskLoads(rate)...)
	w.restore = 100 * time.Millisecond
	return w
}

// apart has the tasks for whole workers run each by itself, not as gangs.
func (w *world) apart() *world {
	for i := range w.loads {
		w.loads[i].gang = false
	}
	return w
}

// memoryWorld has 13 workers of 8 cards whose memory is what is short.
func memoryWorld(t *testing.T, seed uint64, rate float64) *world {
	w := newWorld(t, seed, 13, sizer.New(32000, 128*gibibyte, 8), memoryLoads(rate)...)
	w.restore = 600 * time.Millisecond
	return w
}

// TestGangsBesideSingleCards answers the pattern of gangs that want whole
// workers while single cards are asked for, at the usual load and a burst above
// it: once the load ends all of it is done, the widest gangs too, before the
// last of it could have run by itself, one after the other, on its own workers.
func TestGangsBesideSingleCards(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := visionWorld(t, seed, 1.2)
			w.play(10*time.Second, 60*time.Second)
			left := w.unfinished()
			w.c.Assert(left, qt.HasLen, 0)
		})
	}
}

const seeds = 5

// BenchmarkVision reports what gangs and single cards earn, and together, at
// the usual load; with a cut, a third of the workers is silent for a while, and
// in an overload a third more comes. It also reports the seconds of advice that were asked for in each second.
func BenchmarkVision(b *testing.B) {
	worlds := map[string]func(*testing.T, uint64, float64) *world{
		"cards":  visionWorld,
		"desk":   deskWorld,
		"memory": memoryWorld,
		"large": func(t *testing.T, seed uint64, rate float64) *world {
			return visionWorld(t, seed, rate).apart()
		},
		"largeMemory": func(t *testing.T, seed uint64, rate float64) *world {
			return memoryWorld(t, seed, rate).apart()
		},
	}
	for name, newWorld := range worlds {
		for _, cut := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/cut=%t", name, cut), func(b *testing.B) {
				benchmarkWorld(b, newWorld, 1, cut)
			})
		}
		b.Run(name+"/overload", func(b *testing.B) {
			benchmarkWorld(b, newWorld, 1.3, false)
		})
	}
}

// playAll plays a world for each seed at once, for that time and as long after
// as it takes, and returns the results of each load over all of them.
func playAll(t *testing.T, seeds uint64, coming time.Duration, newWorld func(seed uint64) *world) []result {
	worlds := make([]*world, seeds)
	results := make([][]result, seeds)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range worlds {
		group.Go(func() error {
			worlds[seed] = newWorld(uint64(seed))
			results[seed] = worlds[seed].play(coming, 60*time.Second)
			return nil
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	total := make([]result, len(results[0]))
	for seed, w := range worlds {
		qt.Assert(t, w.unfinished(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for i, r := range results[seed] {
			total[i].owed += r.owed
			total[i].earned += r.earned
		}
	}
	return total
}

func benchmarkWorld(b *testing.B, newWorld func(*testing.T, uint64, float64) *world, rate float64, cut bool) {
	const coming = 40 * time.Second
	worlds := make([]*world, b.N)
	results := make([][]result, b.N)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range worlds {
		group.Go(func() error {
			w := newWorld(&testing.T{}, uint64(seed), rate)
			if cut {
				w.cutFrom, w.cutTo = 18*time.Second, 23500*time.Millisecond
			}
			worlds[seed] = w
			results[seed] = w.play(coming, 60*time.Second)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	var total [2]result
	var asked, last time.Duration
	for seed, w := range worlds {
		for i, r := range results[seed] {
			total[i].owed += r.owed
			total[i].earned += r.earned
		}
		asked += w.asked
		last += w.played - coming
	}
	b.ReportMetric(total[0].share(), "gangs")
	b.ReportMetric(total[1].share(), "cards")
	b.ReportMetric((total[0].earned+total[1].earned)/(total[0].owed+total[1].owed), "both")
	b.ReportMetric(asked.Seconds()/coming.Seconds()/float64(b.N), "advice")
	b.ReportMetric(last.Seconds()/float64(b.N), "lastS")
}

// TestGangsOutliveOwnersAndCuts has owners follow each other and workers fall
// silent under load: all of it is done in the end.
func TestGangsOutliveOwnersAndCuts(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := visionWorld(t, seed, 1)
			for range 6 {
				w.play(time.Duration(500+w.random.IntN(2500))*time.Millisecond, 0)
				for _, n := range w.workers {
					n.silent = w.random.Float64() < 0.2
				}
				w.play(time.Duration(500+w.random.IntN(6000))*time.Millisecond, 0)
				w.stalled = w.random.Float64() < 0.5
				w.play(time.Duration(500+w.random.IntN(4000))*time.Millisecond, 0)
				w.stalled = false
				if w.random.Float64() < 0.5 {
					w.calls = nil
					w.takeOver(w.records...)
					w.s.SetAskSlots(3, 5)
				}
			}
			for _, n := range w.workers {
				n.silent = false
			}
			w.play(0, 90*time.Second)
			w.c.Assert(w.unfinished(), qt.HasLen, 0)
		})
	}
}
