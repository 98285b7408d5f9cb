package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	gigabyte = 1 << 30
	// tasksPerWorker is 9,200 tasks over 680 workers.
	tasksPerWorker = 9200.0 / 680
)

// clusterShape has the worker sizes of one user's cluster: of every 48 workers,
// 35 are general and 13 have accelerators.
type clusterShape struct {
	name    string
	general sizer.Size
	special sizer.Size
}

var shapes = []clusterShape{
	{
		name:    "omuti",
		general: sizer.New(16_000, 64*gigabyte, 0),
		special: sizer.New(128_000, 512*gigabyte, 8),
	},
	{
		name:    "parcelguard",
		general: sizer.New(64_000, 128*gigabyte, 0),
		special: sizer.New(32_000, 128*gigabyte, 8),
	},
}

// bench generates random work for a placer. The same seed gives the same work.
type bench struct {
	p       *Placer
	clock   *timekeeper.Fake
	random  *rand.Rand
	teams   int
	jobs    int
	running []namer.TaskRef
	// scale is the approximate mean number of cores of a task.
	scale float64
	// clusterShape has the sizes of the workers. If wide is set, a task may fill a
	// whole worker; otherwise a task has at most 14 cores.
	clusterShape clusterShape
	wide         bool
	// plain means that no task needs accelerators.
	plain bool
}

func newBench(workers, teams int, s clusterShape, scale float64, opts ...Option) *bench {
	clock := timekeeper.NewFake(time.Unix(1_000_000, 0))
	b := &bench{
		p:            New(clock, opts...),
		clock:        clock,
		random:       rand.New(rand.NewPCG(1, 2)),
		teams:        teams,
		scale:        scale,
		clusterShape: s,
	}
	for i := range workers {
		rack, size := fmt.Sprint("general-", i/48*7+i%48/5), s.general
		if i%48 >= 35 {
			rack, size = fmt.Sprint("special-", i/48*5+(i%48-35)/3), s.special
		}
		b.p.PutWorker(NewWorker(fmt.Sprint("worker-", i), rack, fmt.Sprint("dc-", i%3), size))
		b.p.SetWorkerState(fmt.Sprint("worker-", i), Open)
	}
	for t := range teams {
		b.p.SetTeam(fmt.Sprint("team-", t), float64(1+t%4), sizer.Size{})
	}
	return b
}

// size draws a size from a heavy-tailed distribution; one task in twenty needs
// accelerators.
func (b *bench) size() sizer.Size {
	widest := 14.0
	if b.wide {
		widest = 1000
	}
	cores := min(widest, b.scale*0.45*math.Pow(1-b.random.Float64(), -1/1.5))
	memory := cores * (1 + 5*b.random.Float64())
	accelerators := 0
	if b.random.IntN(20) == 0 && !b.plain {
		accelerators = 1 << b.random.IntN(3)
	}
	size := sizer.New(int64(cores*1000), int64(memory*gigabyte), int64(accelerators))
	if b.wide && accelerators == 0 {
		return minSize(size, largestWorker(b.clusterShape))
	}
	if accelerators == 0 {
		return size
	}
	return minSize(size, b.clusterShape.special)
}

// largestWorker returns the size of the worker with the most cores.
func largestWorker(s clusterShape) sizer.Size {
	if s.general.MilliCores() > s.special.MilliCores() {
		return s.general
	}
	return s.special
}

// submitRandom submits one job: of twenty, four are services and one is a gang
// on average; the rest are batch.
func (b *bench) submitRandom() {
	b.jobs++
	count, policy := 1, Policy(BatchPolicy{})
	size := b.size()
	switch kind := b.random.IntN(20); {
	case kind < 4:
		policy = ServicePolicy{}
	case kind == 4:
		count, policy = 4, GangPolicy{}
		size = sizer.New(1000, gigabyte, 0)
	}
	team := fmt.Sprint("team-", b.random.IntN(b.teams))
	for i := range count {
		b.p.Submit(NewTask(namer.TaskID{
			Job:   fmt.Sprint("job-", b.jobs),
			Index: i,
		}, team, policy, size, RunTime(time.Minute)))
	}
}

func (b *bench) tick() int {
	placed := 0
	for _, decision := range b.p.Tick() {
		if d, ok := decision.(Place); ok {
			b.running = append(b.running, d.ref)
			b.p.Started(d.ref)
			placed++
		}
	}
	return placed
}

// fill submits jobs until the given number of tasks run, or none of the new
// ones is placed.
func (b *bench) fill(tasks int) {
	for len(b.running) < tasks {
		before := len(b.running)
		for range max(1, (tasks-len(b.running))/5) {
			b.submitRandom()
		}
		b.tick()
		if len(b.running) == before {
			return
		}
	}
}

// finishRandom ends a random running task; a service is cancelled first, so
// that it does not restart.
func (b *bench) finishRandom() {
	index := b.random.IntN(len(b.running))
	ref := b.running[index]
	b.running[index] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	if v, ok := b.p.Task(ref.Task); ok && kindOf(v.task.policy) == kindService {
		b.p.Cancel(ref.Task)
	}
	b.p.Ended(ref, Finished)
}

// useFirstFit switches a filled placer to first-fit.
func (b *bench) useFirstFit() {
	b.p.settings.firstFit = true
	for i := range b.p.tasks.rows {
		if b.p.tasks.rows[i].state == StatePending {
			b.p.tasks.submissionOrder = append(b.p.tasks.submissionOrder, int32(i))
		}
	}
}

// BenchmarkDecision ends one task, submits one job and ticks, in a cluster
// filled with tasksPerWorker tasks for each worker, without and with a backlog
// of waiting tasks.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{48, 680, 17_000} {
		for _, waiting := range []int{0, 2000} {
			for _, strategy := range []string{"firstFit", "indexed"} {
				b.Run(fmt.Sprintf("workers=%d/waiting=%d/%s", workers, waiting, strategy), func(b *testing.B) {
					benchmarkDecision(b, workers, waiting, strategy == "firstFit")
				})
			}
		}
	}
}

func benchmarkDecision(b *testing.B, workers, waiting int, firstFit bool) {
	scale := 3.1
	if waiting > 0 {
		scale = 5
	}
	cluster := newBench(workers, min(1000, workers), shapes[0], scale)
	cluster.fill(int(float64(workers) * tasksPerWorker))
	for waiting > 0 && len(cluster.p.tasks.byID)-len(cluster.running) < waiting {
		cluster.submitRandom()
	}
	cluster.tick()
	full := len(cluster.p.tasks.byID)
	if firstFit {
		cluster.useFirstFit()
	}
	took := make([]time.Duration, 0, 1<<16)
	placed := 0
	b.ReportAllocs()
	for b.Loop() {
		cluster.clock.Advance(time.Millisecond)
		start := time.Now()
		cluster.finishRandom()
		if len(cluster.p.tasks.byID) < full {
			cluster.submitRandom()
		}
		placed += cluster.tick()
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "decisions/s")
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds())/1000, "p99-us")
	sums := cluster.p.Summary()
	b.ReportMetric(100-100*float64(sums.Available().MilliCores())/float64(sums.Total().MilliCores()), "%cores")
	b.ReportMetric(float64(len(cluster.running)), "running")
	b.ReportMetric(float64(len(cluster.p.tasks.byID)-len(cluster.running)), "waiting")
}
