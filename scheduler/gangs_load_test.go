package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// valuationWorkers is the number of workers of the service that valuationWorkloads
// load.
const valuationWorkers = 350

// valuationWorkloads returns the load of a service of which gangs of up to 120 tasks
// use half of the processors: the gangs, batches of independent tasks, and short
// checks, of which three in ten are gangs. It is scaled to that share of the
// service's workers.
func valuationWorkloads(share float64) []workload {
	drawSize := func(cores, spread, memory, memorySpread, maxCores, maxMemory float64) func(*rand.Rand) sizer.Size {
		return func(r *rand.Rand) sizer.Size {
			c := min(maxCores, cores*math.Exp(spread*r.NormFloat64()-spread*spread/2))
			m := min(maxMemory, memory*math.Exp(memorySpread*r.NormFloat64()-memorySpread*memorySpread/2))
			return sizer.New(int64(1000*c), int64(m*gibibyte), 0)
		}
	}
	queue := func(name string, priority int, slack float64, target time.Duration, decision, perWorker float64) scheduler.Queue {
		q := newAdvisedQueue(name, priority, slack, target, decision, perWorker)
		q.MaxAttempts = 4
		return q
	}
	checks := workload{
		queue:         queue("checks", 0, 1.5, 250*time.Millisecond, 14.3, 0.21),
		perSecond:     62 * share,
		burstFactor:   2.3,
		burstFrom:     6 * time.Second,
		burstTo:       10 * time.Second,
		meanWidth:     3.2,
		maxWidth:      19,
		meanPhases:    1,
		size:          drawSize(9.9, 0.45, 20, 0.6, 30, 61),
		meanWork:      1,
		workSpread:    0.5,
		failShare:     0.005,
		estimateError: 0.5,
		approvedShare: 0.7,
		meanValue:     0.431,
	}
	gangChecks := checks
	gangChecks.perSecond = 26 * share
	gangChecks.gang = true
	return []workload{
		{
			queue:         queue("chains", 1, 2.2, time.Second, 442, 6.37),
			perSecond:     5.6 * share,
			burstFactor:   1.5,
			burstFrom:     18 * time.Second,
			burstTo:       22 * time.Second,
			meanWidth:     20,
			maxWidth:      120,
			meanPhases:    1.2,
			size:          drawSize(18, 0.4, 67, 0.5, 30, 130),
			meanWork:      4,
			workSpread:    0.5,
			failShare:     0.005,
			estimateError: 0.9,
			gang:          true,
			checkpoints:   true,
			approvedShare: 0.3,
			meanValue:     7.29,
		},
		{
			queue:         queue("batches", 2, 4, 3*time.Second, 104, 1.43),
			perSecond:     11.6 * share,
			meanWidth:     25,
			maxWidth:      150,
			meanPhases:    1.5,
			size:          drawSize(6.9, 0.45, 14, 0.6, 21, 43),
			meanWork:      2.2,
			workSpread:    0.5,
			failShare:     0.02,
			estimateError: 0.9,
			checkpoints:   true,
			approvedShare: 0.45,
			meanValue:     2.21,
		},
		checks,
		gangChecks,
	}
}

// newValuationSimulation returns a simulation of an owner of that share of the
// service's workers.
func newValuationSimulation(t *testing.T, seed uint64, share, rate float64) *simulation {
	workers := int(math.Round(valuationWorkers * share))
	sim := newSimulation(t, seed, workers, sizer.New(64000, 256*gibibyte, 0), valuationWorkloads(share*rate)...)
	sim.resumeTime = 100 * time.Millisecond
	sim.speeds = []float64{0.8, 1, 1.25}
	sim.shareOfService = share
	longCalls := int(30 * share)
	quickCalls := int(12 * share)
	sim.adviserFreeAt[0] = make([]time.Time, quickCalls)
	sim.adviserFreeAt[1] = make([]time.Time, longCalls)
	sim.s.SetAdviceLimits(4*quickCalls, longCalls)
	return sim
}

// BenchmarkGangsAmongOthers reports the share of the possible value that each
// workload of valuationWorkloads earns, by the share of the service's workers that
// an owner has.
func BenchmarkGangsAmongOthers(b *testing.B) {
	for _, share := range []float64{1. / 3, 0.5, 1} {
		b.Run(fmt.Sprintf("share=%.2f", share), func(b *testing.B) {
			results := make([][]result, b.N)
			unfinished := make([]int, b.N)
			var group errgroup.Group
			group.SetLimit(runtime.GOMAXPROCS(0))
			for seed := range results {
				group.Go(func() error {
					sim := newValuationSimulation(&testing.T{}, uint64(seed), share, 1)
					results[seed] = sim.play(34*time.Second, 14*time.Second)
					unfinished[seed] = len(sim.unfinished())
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				b.Fatal(err)
			}
			var total [4]result
			var all result
			left := 0
			for seed := range results {
				left += unfinished[seed]
				for i, r := range results[seed] {
					total[i].possible += r.possible
					total[i].earned += r.earned
					all.possible += r.possible
					all.earned += r.earned
				}
			}
			for i, name := range []string{"chains", "batches", "checks", "gangChecks"} {
				b.ReportMetric(total[i].share(), name)
			}
			b.ReportMetric(all.share(), "all")
			b.ReportMetric(float64(left)/float64(b.N), "unfinished")
		})
	}
}
