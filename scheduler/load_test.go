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

// workload is a random stream of jobs of one kind.
type workload struct {
	queue scheduler.Queue
	// perSecond is the mean rate of jobs. It is multiplied by burstFactor from
	// burstFrom to burstTo.
	perSecond          float64
	burstFactor        float64
	burstFrom, burstTo time.Duration
	// meanWidth is the mean number of tasks of a phase, drawn from a lognormal
	// distribution and limited to maxWidth. meanPhases is the mean number of
	// phases, drawn from a geometric distribution.
	meanWidth  float64
	maxWidth   int
	meanPhases float64
	size       func(*rand.Rand) sizer.Size
	// meanWork is the mean run time of a task in seconds, drawn from a lognormal
	// distribution with workSpread. Estimates are off by up to the fraction
	// estimateError.
	meanWork, workSpread, estimateError float64
	gang, checkpoints                   bool
	// approvedShare is the share of workers that the adviser approves.
	approvedShare float64
	// meanValue is the mean value of a job.
	meanValue float64
}

// simulation runs workloads against a scheduler, in steps of simulated time.
type simulation struct {
	*rig
	random    *rand.Rand
	workers   []*fakeWorker
	workloads []workload
	// adviserFreeAt is the time at which each slot of the adviser is free, for
	// quick and for other calls.
	adviserFreeAt [2][]time.Time
	pendingCalls  []pendingCall
	// endsAt is the end of each run, on its worker's clock, and runTimes holds the
	// actual run times of the tasks of each step.
	endsAt     map[scheduler.RunRef]time.Duration
	runTimes   map[scheduler.StepRef][]time.Duration
	submitted  map[string]submittedJob
	jobRecords []scheduler.Job
	// storeStalled is set while the store takes no writes.
	storeStalled bool
	// cutFrom and cutTo are the times, after the start of the workloads, between
	// which a third of the workers is silent.
	cutFrom, cutTo time.Duration
	// adviserTime is the total cost of the calls to the adviser, and playedFor
	// the simulated time that the last play took.
	adviserTime, playedFor time.Duration
	// pendingStops holds the runs that were told to stop and have not ended yet.
	pendingStops []pendingStop
	// resumeTime is the time that a run takes to resume the work of another.
	resumeTime time.Duration
	// openJobs holds the jobs that have not ended.
	openJobs map[string]bool
	phases   map[scheduler.StepRef]scheduler.Phase
	// approvals holds the steps whose approved workers were drawn, and the
	// approved pairs of step and worker.
	approvals map[string]bool
}

type pendingCall struct {
	answerAt time.Time
	ask      scheduler.AskAdvice
}

type submittedJob struct {
	workload   int
	acceptedAt time.Time
	objective  time.Duration
	value      float64
}

const simulationStep = 10 * time.Millisecond

func newSimulation(t *testing.T, seed uint64, workers int, size sizer.Size, workloads ...workload) *simulation {
	w := &simulation{
		rig:       newRig(t),
		random:    rand.New(rand.NewPCG(seed, 1)),
		workloads: workloads,
		endsAt:    make(map[scheduler.RunRef]time.Duration),
		runTimes:  make(map[scheduler.StepRef][]time.Duration),
		submitted: make(map[string]submittedJob),
		openJobs:  make(map[string]bool),
		phases:    make(map[scheduler.StepRef]scheduler.Phase),
		approvals: make(map[string]bool),
	}
	for i := range workers {
		w.workers = append(w.workers, w.addWorker(workerName(i), size))
	}
	w.adviserFreeAt[0] = make([]time.Time, 3)
	w.adviserFreeAt[1] = make([]time.Time, 5)
	w.s.SetAskSlots(3, 5)
	w.updateDirectory()
	w.renewLeases()
	return w
}

// happens draws whether an event with that rate per second happens in one step.
func (w *simulation) happens(rate float64) bool {
	return w.random.Float64() < rate*simulationStep.Seconds()
}

func (w *simulation) submitJobs(startedAt time.Time) {
	for i, l := range w.workloads {
		rate := l.perSecond
		if since := w.now.Sub(startedAt); since >= l.burstFrom && since < l.burstTo {
			rate *= l.burstFactor
		}
		if !w.happens(rate) {
			continue
		}
		id := fmt.Sprintf("%016x", len(w.submitted)+1)
		job, value := w.drawJob(l, id)
		w.openJobs[id] = true
		w.submitted[id] = submittedJob{
			workload:   i,
			acceptedAt: w.now,
			objective:  w.objective(l, job),
			value:      value,
		}
		w.jobRecords = append(w.jobRecords, job)
		w.s.AddJob(job, nil, false, w.now)
	}
}

// drawJob draws a job and the actual run times of its tasks. It returns the job
// and its value.
func (w *simulation) drawJob(l workload, id string) (scheduler.Job, float64) {
	job := scheduler.Job{
		ID:       id,
		Queue:    l.queue,
		Accepted: w.now,
	}
	phases := 1
	for float64(phases) < 4 && w.random.Float64() < 1-1/l.meanPhases {
		phases++
	}
	work := 0.0
	for i := range phases {
		const widthSpread = 0.8
		drawn := l.meanWidth * math.Exp(w.random.NormFloat64()*widthSpread-widthSpread*widthSpread/2)
		width := min(l.maxWidth, max(1, int(math.Round(drawn))))
		size := l.size(w.random)
		runTime := l.meanWork * math.Exp(w.random.NormFloat64()*l.workSpread-l.workSpread*l.workSpread/2)
		estimate := runTime * (1 + l.estimateError*(2*w.random.Float64()-1))
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
			d := runTime
			if !l.gang {
				d *= 0.85 + 0.3*w.random.Float64()
			}
			w.runTimes[ref] = append(w.runTimes[ref], time.Duration(d*float64(time.Second)))
		}
		work += runTime * float64(width) * (float64(size.MilliCores())/1000 + 8*float64(size.Accelerators()))
	}
	mean := l.meanWork * l.meanWidth * l.meanPhases * (float64(l.size(w.random).MilliCores())/1000 + 8*meanAccelerators(l, w.random))
	return job, l.meanValue * min(4, 0.3+0.7*work/mean)
}

func meanAccelerators(l workload, random *rand.Rand) float64 {
	total := 0.0
	for range 20 {
		total += float64(l.size(random).Accelerators())
	}
	return total / 20
}

// objective returns the time that the job should take, by the actual run times.
func (w *simulation) objective(l workload, job scheduler.Job) time.Duration {
	var criticalPath time.Duration
	for i := range job.Phases {
		var longest time.Duration
		for _, d := range w.runTimes[scheduler.StepRef{
			Job:   job.ID,
			Phase: i,
		}] {
			longest = max(longest, d)
		}
		criticalPath += longest
	}
	return time.Duration(l.queue.SlackFactor*float64(criticalPath)) + l.queue.Target
}

// step advances the simulation by one step.
func (w *simulation) step() {
	w.advance(simulationStep)
	for _, n := range w.workers {
		for ref := range n.activeRuns {
			if n.clock > n.leaseEnd {
				n.end(ref, scheduler.EndLapsed)
				continue
			}
			if n.clock >= w.endsAt[ref] {
				n.end(ref, scheduler.EndDone)
				if w.workloads[w.submitted[ref.Task.Step.Job].workload].gang {
					w.endGang(ref)
				}
			}
		}
	}
	w.s.Confirm(w.now)
	w.renewLeases()
	w.answerCalls()
	effects := w.s.Tick(w.now)
	if w.s.PlannedRuns() > 0 && !w.storeStalled {
		w.write()
		effects = append(effects, w.s.Tick(w.now)...)
	}
	pendingStops := w.pendingStops
	w.pendingStops = nil
	for _, stop := range pendingStops {
		if stop.dueAt.After(w.now) {
			w.pendingStops = append(w.pendingStops, stop)
			continue
		}
		w.finishStop(stop.order)
	}
	w.carryOut(slices.DeleteFunc(slices.Clone(effects), func(e scheduler.Effect) bool {
		stop, is := e.(scheduler.StopTask)
		if is && !w.workersByID[stop.Worker.ID].silent {
			w.s.StopAnswered(stop.Worker.ID, stop.Run, true, w.now)
			w.pendingStops = append(w.pendingStops, pendingStop{
				dueAt: w.now.Add(stopDuration),
				order: stop,
			})
			return true
		}
		return false
	}))
	for _, effect := range effects {
		switch effect := effect.(type) {
		case scheduler.StartTask:
			n := w.workersByID[effect.Worker.ID]
			runTime := w.runTimes[effect.Run.Task.Step][effect.Run.Task.Index]
			n.runTimes[effect.Run] = runTime
			w.endsAt[effect.Run] = n.clock + runTime
		case scheduler.AskAdvice:
			w.queueCall(effect)
		case scheduler.StopTask, scheduler.PaceTask:
		}
	}
	if !w.storeStalled {
		w.write()
	}
}

// stopDuration is the time that a worker takes to stop a run.
const stopDuration = 500 * time.Millisecond

type pendingStop struct {
	dueAt time.Time
	order scheduler.StopTask
}

// finishStop ends a run that was told to stop. If its workload uses checkpoints,
// its work so far is saved.
func (w *simulation) finishStop(order scheduler.StopTask) {
	n := w.workersByID[order.Worker.ID]
	if _, there := n.activeRuns[order.Run]; !there {
		return
	}
	ref := order.Run.Task
	if w.workloads[w.submitted[ref.Step.Job].workload].checkpoints {
		w.runTimes[ref.Step][ref.Index] = max(0, w.endsAt[order.Run]-n.clock) + w.resumeTime
	}
	n.end(order.Run, scheduler.EndStopped)
}

// endGang ends the other members of a gang as done.
func (w *simulation) endGang(ended scheduler.RunRef) {
	for _, n := range w.workers {
		for ref := range n.activeRuns {
			if ref.Task.Step == ended.Task.Step {
				n.end(ref, scheduler.EndDone)
			}
		}
	}
}

// queueCall queues a call to the adviser in the slot that is free first. Quick and
// other calls have separate slots.
func (w *simulation) queueCall(ask scheduler.AskAdvice) {
	adviserFreeAt := w.adviserFreeAt[1]
	if ask.Cost <= scheduler.QuickCall {
		adviserFreeAt = w.adviserFreeAt[0]
	}
	first := 0
	for i := range adviserFreeAt {
		if adviserFreeAt[i].Before(adviserFreeAt[first]) {
			first = i
		}
	}
	if adviserFreeAt[first].Before(w.now) {
		adviserFreeAt[first] = w.now
	}
	adviserFreeAt[first] = adviserFreeAt[first].Add(ask.Cost)
	w.adviserTime += ask.Cost
	w.pendingCalls = append(w.pendingCalls, pendingCall{
		answerAt: adviserFreeAt[first],
		ask:      ask,
	})
}

// approves reports whether the adviser approves a worker for a step. The approved
// workers of a step are drawn at its first call: a share of them, and always enough
// for all of its tasks.
func (w *simulation) approves(ref scheduler.StepRef, id string, share float64) bool {
	if _, drawn := w.approvals[ref.String()]; !drawn {
		w.approvals[ref.String()] = true
		phase := w.phases[ref]
		capacity := 0
		for _, i := range w.random.Perm(len(w.workers)) {
			if w.random.Float64() < share || capacity < phase.Tasks {
				n := w.workers[i]
				w.approvals[ref.String()+"/"+n.entry.Ref.ID] = true
				for free := n.entry.Total; phase.Size.Fits(free); free = free.Sub(phase.Size) {
					capacity++
				}
			}
		}
	}
	return w.approvals[ref.String()+"/"+id]
}

// answerCalls answers the calls to the adviser that are due.
func (w *simulation) answerCalls() {
	unanswered := w.pendingCalls[:0]
	for _, c := range w.pendingCalls {
		if c.answerAt.After(w.now) {
			unanswered = append(unanswered, c)
			continue
		}
		share := w.workloads[w.submitted[c.ask.Step.Job].workload].approvedShare
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
	w.pendingCalls = unanswered
}

// result is the value that a workload earned, and the possible value.
type result struct {
	possible, earned float64
}

func (r result) share() float64 {
	return r.earned / r.possible
}

// play submits jobs during arrivalTime, and then goes on until all have ended, for
// at most drainTime. It returns the result of each workload.
func (w *simulation) play(arrivalTime, drainTime time.Duration) []result {
	startedAt := w.now
	results := make([]result, len(w.workloads))
	for w.now.Sub(startedAt) < arrivalTime+drainTime {
		if w.cutTo > 0 {
			since := w.now.Sub(startedAt)
			for i, n := range w.workers {
				n.silent = i%3 == 0 && since >= w.cutFrom && since < w.cutTo
			}
		}
		if w.now.Sub(startedAt) < arrivalTime {
			w.submitJobs(startedAt)
		} else if len(w.openJobs) == 0 {
			break
		}
		w.step()
		for id := range w.openJobs {
			if state, _ := w.s.State(id); state != scheduler.Completed {
				continue
			}
			delete(w.openJobs, id)
			j := w.submitted[id]
			switch took := w.now.Sub(j.acceptedAt); {
			case took <= j.objective:
				results[j.workload].earned += j.value
			case took <= 3*j.objective:
				results[j.workload].earned += 0.2 * j.value
			}
		}
	}
	for _, j := range w.submitted {
		results[j.workload].possible += j.value
	}
	w.playedFor = w.now.Sub(startedAt)
	return results
}

// unfinished describes the jobs that have not ended.
func (w *simulation) unfinished() []string {
	var jobs []string
	for id := range w.openJobs {
		l := w.workloads[w.submitted[id].workload]
		jobs = append(jobs, fmt.Sprintf("%s of %s, %+v", id, l.queue.Name, w.phases[scheduler.StepRef{
			Job: id,
		}]))
	}
	return jobs
}

const gpuMemory = 512 * gibibyte

func newAdvisedQueue(name string, priority int, slack float64, target time.Duration, decision, perWorker float64) scheduler.Queue {
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

// acceleratorWorkloads returns a workload of gangs that need whole workers, and one
// of tasks that need a single accelerator, called a card.
func acceleratorWorkloads(rate float64) []workload {
	return []workload{
		{
			queue:      newAdvisedQueue("gangs", 1, 2.2, time.Second, 490, 7),
			perSecond:  1.84 * rate,
			meanWidth:  1.5,
			maxWidth:   9,
			meanPhases: 1,
			size: func(r *rand.Rand) sizer.Size {
				return sizer.New(62000, 250*gibibyte, []int64{2, 4, 8, 8}[r.IntN(4)])
			},
			meanWork:      3.6,
			workSpread:    0.5,
			estimateError: 0.9,
			gang:          true,
			// In the load that is modelled, nine of ten have checkpoints.
			checkpoints:   true,
			approvedShare: 0.3,
			meanValue:     3.23,
		},
		{
			queue:      newAdvisedQueue("cards", 2, 4, 3*time.Second, 140, 2),
			perSecond:  1.9 * rate,
			meanWidth:  4.1,
			maxWidth:   20,
			meanPhases: 1,
			size: func(*rand.Rand) sizer.Size {
				return sizer.New(11000, 46*gibibyte, 1)
			},
			meanWork:      3.8,
			workSpread:    0.5,
			estimateError: 0.9,
			// In the load that is modelled, eight of ten have checkpoints.
			checkpoints:   true,
			approvedShare: 0.45,
			meanValue:     1.95,
		},
	}
}

// newAcceleratorSimulation has 13 workers with 8 accelerators each.
func newAcceleratorSimulation(t *testing.T, seed uint64, rate float64) *simulation {
	w := newSimulation(t, seed, 13, sizer.New(128000, gpuMemory, 8), acceleratorWorkloads(rate)...)
	w.resumeTime = 100 * time.Millisecond
	return w
}

// memoryWorkloads returns a workload of gangs whose members take most of a worker's
// memory, however few accelerators they use, and one of tasks that need a single
// accelerator.
func memoryWorkloads(rate float64) []workload {
	loads := acceleratorWorkloads(rate)
	loads[0].queue = newAdvisedQueue("gangs", 1, 2.2, time.Second, 430, 6.1)
	loads[0].size = func(r *rand.Rand) sizer.Size {
		return sizer.New(15000, 81*gibibyte, []int64{2, 4, 8, 8}[r.IntN(4)])
	}
	loads[0].estimateError = 0.5
	loads[1].queue = newAdvisedQueue("cards", 2, 4, 3*time.Second, 150, 2.2)
	loads[1].size = func(*rand.Rand) sizer.Size {
		return sizer.New(2800, 15*gibibyte, 1)
	}
	loads[1].perSecond = 1.53 * rate
	loads[1].meanWidth = 6.4
	loads[1].maxWidth = 32
	loads[1].meanWork = 3
	loads[1].estimateError = 0.5
	for i := range loads {
		loads[i].queue.Advice.Validity = 1500 * time.Millisecond
	}
	return loads
}

// deskWorkloads returns a workload of many short checks on which callers wait, and
// one of long batches that are less urgent and can be resumed.
func deskWorkloads(rate float64) []workload {
	drawSize := func(cores, memory float64) func(*rand.Rand) sizer.Size {
		return func(r *rand.Rand) sizer.Size {
			spread := math.Exp(0.4 * r.NormFloat64())
			return sizer.New(int64(cores*1000*spread), int64(memory*spread*gibibyte), 0)
		}
	}
	return []workload{
		{
			queue:         newAdvisedQueue("checks", 0, 1.5, 250*time.Millisecond, 14, 0.2),
			perSecond:     16.9 * rate,
			burstFactor:   2.3,
			burstFrom:     8 * time.Second,
			burstTo:       12 * time.Second,
			meanWidth:     6,
			maxWidth:      36,
			meanPhases:    1.5,
			size:          drawSize(1.5, 5.6),
			meanWork:      0.56,
			workSpread:    0.5,
			estimateError: 0.2,
			approvedShare: 0.7,
			meanValue:     0.615,
		},
		{
			queue:         newAdvisedQueue("batches", 2, 4, 3*time.Second, 170, 2.4),
			perSecond:     0.8 * rate,
			meanWidth:     8.8,
			maxWidth:      44,
			meanPhases:    2,
			size:          drawSize(3.3, 12),
			meanWork:      5.6,
			workSpread:    0.5,
			estimateError: 0.5,
			checkpoints:   true,
			approvedShare: 0.45,
			meanValue:     4.63,
		},
	}
}

// newDeskSimulation has 30 workers with 16 cores each.
func newDeskSimulation(t *testing.T, seed uint64, rate float64) *simulation {
	w := newSimulation(t, seed, 30, sizer.New(16000, 64*gibibyte, 0), deskWorkloads(rate)...)
	w.resumeTime = 100 * time.Millisecond
	return w
}

// withoutGangs lets the tasks of gangs run independently.
func (w *simulation) withoutGangs() *simulation {
	for i := range w.workloads {
		w.workloads[i].gang = false
	}
	return w
}

// newMemorySimulation has 13 workers with 8 accelerators each, on which memory is
// the scarce resource.
func newMemorySimulation(t *testing.T, seed uint64, rate float64) *simulation {
	w := newSimulation(t, seed, 13, sizer.New(32000, 128*gibibyte, 8), memoryWorkloads(rate)...)
	w.resumeTime = 600 * time.Millisecond
	return w
}

// TestGangsBesideSingleCards guards against the starvation of gangs that need whole
// workers by a stream of tasks that need a single accelerator, at 1.2 times the
// usual load. All jobs, also the widest gangs, are done within 60 s after the last
// arrival.
func TestGangsBesideSingleCards(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newAcceleratorSimulation(t, seed, 1.2)
			w.play(10*time.Second, 60*time.Second)
			jobs := w.unfinished()
			w.c.Assert(jobs, qt.HasLen, 0)
		})
	}
}

const seeds = 5

// BenchmarkScenarios reports the share of the possible value that the first and the
// second workload of each scenario earn, and both together, at the usual load. With
// a cut, a third of the workers is silent for a while. With an overload, jobs arrive
// at 1.3 times the usual rate. It also reports the cost of the calls to the adviser
// per second of arrivals, and the time until all jobs are done after that.
func BenchmarkScenarios(b *testing.B) {
	scenarios := map[string]func(*testing.T, uint64, float64) *simulation{
		"cards":  newAcceleratorSimulation,
		"desk":   newDeskSimulation,
		"memory": newMemorySimulation,
		"large": func(t *testing.T, seed uint64, rate float64) *simulation {
			return newAcceleratorSimulation(t, seed, rate).withoutGangs()
		},
		"largeMemory": func(t *testing.T, seed uint64, rate float64) *simulation {
			return newMemorySimulation(t, seed, rate).withoutGangs()
		},
	}
	for name, newSimulation := range scenarios {
		for _, cut := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/cut=%t", name, cut), func(b *testing.B) {
				benchmarkScenario(b, newSimulation, 1, cut)
			})
		}
		b.Run(name+"/overload", func(b *testing.B) {
			benchmarkScenario(b, newSimulation, 1.3, false)
		})
	}
}

// playAll runs a simulation for each seed in parallel, with arrivals for that time,
// until all jobs have ended. It returns the results of each workload, summed over
// the seeds.
func playAll(t *testing.T, seeds uint64, arrivalTime time.Duration, newSimulation func(seed uint64) *simulation) []result {
	simulations := make([]*simulation, seeds)
	results := make([][]result, seeds)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range simulations {
		group.Go(func() error {
			simulations[seed] = newSimulation(uint64(seed))
			results[seed] = simulations[seed].play(arrivalTime, 60*time.Second)
			return nil
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	total := make([]result, len(results[0]))
	for seed, w := range simulations {
		qt.Assert(t, w.unfinished(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for i, r := range results[seed] {
			total[i].possible += r.possible
			total[i].earned += r.earned
		}
	}
	return total
}

func benchmarkScenario(b *testing.B, newSimulation func(*testing.T, uint64, float64) *simulation, rate float64, cut bool) {
	const arrivalTime = 40 * time.Second
	simulations := make([]*simulation, b.N)
	results := make([][]result, b.N)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range simulations {
		group.Go(func() error {
			w := newSimulation(&testing.T{}, uint64(seed), rate)
			if cut {
				w.cutFrom, w.cutTo = 18*time.Second, 23500*time.Millisecond
			}
			simulations[seed] = w
			results[seed] = w.play(arrivalTime, 60*time.Second)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	var total [2]result
	var adviserTime, drainTime time.Duration
	for seed, w := range simulations {
		for i, r := range results[seed] {
			total[i].possible += r.possible
			total[i].earned += r.earned
		}
		adviserTime += w.adviserTime
		drainTime += w.playedFor - arrivalTime
	}
	b.ReportMetric(total[0].share(), "gangs")
	b.ReportMetric(total[1].share(), "cards")
	b.ReportMetric((total[0].earned+total[1].earned)/(total[0].possible+total[1].possible), "both")
	b.ReportMetric(adviserTime.Seconds()/arrivalTime.Seconds()/float64(b.N), "advice")
	b.ReportMetric(drainTime.Seconds()/float64(b.N), "lastS")
}

// TestGangsOutliveOwnersAndCuts has takeovers, silent workers and a stalled store
// under load. All jobs are done in the end.
func TestGangsOutliveOwnersAndCuts(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newAcceleratorSimulation(t, seed, 1)
			for range 6 {
				w.play(time.Duration(500+w.random.IntN(2500))*time.Millisecond, 0)
				for _, n := range w.workers {
					n.silent = w.random.Float64() < 0.2
				}
				w.play(time.Duration(500+w.random.IntN(6000))*time.Millisecond, 0)
				w.storeStalled = w.random.Float64() < 0.5
				w.play(time.Duration(500+w.random.IntN(4000))*time.Millisecond, 0)
				w.storeStalled = false
				if w.random.Float64() < 0.5 {
					w.pendingCalls = nil
					w.takeOver(w.jobRecords...)
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
