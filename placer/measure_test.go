package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// strategies are the options of the compared strategies: the placer itself
// (ours), first-fit, and first-fit from a random worker on (random).
var strategies = map[string][]Option{
	"firstFit": {WithFirstFit()},
	"random":   {WithFirstFit(), func(s *settings) { s.randomFit = true }},
	"ours":     nil,
}

var strategyNames = []string{"firstFit", "random", "ours"}

// BenchmarkPacking submits a backlog of batch work with a heavy tail at once
// and compares the time until all of it has run with a lower bound: the largest
// of the longest run time and, for each resource, the sum of use times run time
// over the total capacity. Wide tasks may need a whole worker.
func BenchmarkPacking(b *testing.B) {
	for _, s := range shapes {
		for _, wide := range []bool{false, true} {
			for _, name := range strategyNames {
				b.Run(fmt.Sprintf("%s/wide=%v/%s", s.name, wide, name), func(b *testing.B) {
					for b.Loop() {
						took, bound := runBacklog(s, wide, strategies[name])
						b.ReportMetric(took.Seconds(), "makespan-s")
						b.ReportMetric(bound.Seconds(), "bound-s")
						b.ReportMetric(took.Seconds()/bound.Seconds(), "of-bound")
					}
				})
			}
		}
	}
}

// runBacklog returns how long a backlog took, and the lower bound for it.
func runBacklog(s clusterShape, wide bool, opts []Option) (time.Duration, time.Duration) {
	tasks, scale := 16_000, 3.0
	if wide {
		tasks, scale = 6000, 8
	}
	d := newDriver(48, 3, s, scale, opts...)
	d.wide = wide
	var cores, memory, accelerators float64
	longest := time.Duration(0)
	for range tasks {
		size := d.size()
		run := time.Duration((5 + 25*d.random.Float64()) * float64(time.Second))
		longest = max(longest, run)
		cores += float64(size.MilliCores()) * run.Seconds()
		memory += float64(size.Bytes()) * run.Seconds()
		accelerators += float64(size.Accelerators()) * run.Seconds()
		d.submitJob(fmt.Sprint("team-", d.random.IntN(3)), BatchPolicy{}, size, run, 1, RunTime(run))
	}
	total := d.p.Summary().Total()
	bound := max(
		cores/float64(total.MilliCores()),
		memory/float64(total.Bytes()),
		accelerators/float64(total.Accelerators()),
		longest.Seconds(),
	)
	begin := d.clock.Now()
	d.tick()
	for d.p.Summary().Tasks() > 0 {
		d.step()
	}
	return d.clock.Now().Sub(begin), time.Duration(bound * float64(time.Second))
}

// BenchmarkFairness keeps three teams of weights 1, 2 and 4 supplied with work
// and reports how far the fraction of the dominant shares that each team holds
// deviates from its weight. Plain work needs no accelerators; other tasks may
// need 4 of the cluster's 104.
func BenchmarkFairness(b *testing.B) {
	for _, plain := range []bool{false, true} {
		for _, name := range []string{"firstFit", "ours"} {
			b.Run(fmt.Sprintf("plain=%v/%s", plain, name), func(b *testing.B) {
				for b.Loop() {
					worst, mean := measureFairness(plain, strategies[name])
					b.ReportMetric(worst, "worst-deviation")
					b.ReportMetric(mean, "mean-deviation")
				}
			})
		}
	}
}

func measureFairness(plain bool, opts []Option) (float64, float64) {
	weights := []float64{1, 2, 4}
	d := newDriver(48, 0, shapes[0], 2, opts...)
	d.plain = plain
	for t, weight := range weights {
		d.p.SetTeam(fmt.Sprint("team-", t), weight, sizer.Size{})
	}
	worst, sum, samples := 0.0, 0.0, 0.0
	for tickNumber := range 15 * 60 * 20 {
		for t := range weights {
			for d.waiting(t) < 200 {
				run := time.Duration((10 + 50*d.random.Float64()) * float64(time.Second))
				d.submitJob(fmt.Sprint("team-", t), BatchPolicy{}, d.size(), run, 1, RunTime(run))
			}
		}
		d.step()
		if tickNumber < 5*60*20 {
			continue
		}
		total := 0.0
		var shares []float64
		d.p.Teams(func(v TeamView) bool {
			shares = append(shares, v.DominantShare())
			total += v.DominantShare()
			return true
		})
		for t, weight := range weights {
			off := math.Abs(shares[t]/total - weight/7)
			worst = max(worst, off)
			sum += off
			samples++
		}
	}
	return worst, sum / samples
}

// waiting returns the number of waiting tasks of a team.
func (d *driver) waiting(team int) int {
	count := 0
	for i := range d.p.classes.rows {
		if class := &d.p.classes.rows[i]; class.live > 0 && class.key.team == int32(team) {
			count += class.pending
		}
	}
	return count
}

// BenchmarkWaiting runs a mix of services, batch, gangs of four and urgent work
// for 90 minutes of the fake clock, or 20 minutes if the load exceeds the
// capacity. It reports how long each kind waits from its submission to its
// first start.
func BenchmarkWaiting(b *testing.B) {
	for _, load := range []int{80, 95, 130} {
		for _, name := range []string{"firstFit", "ours"} {
			b.Run(fmt.Sprintf("load=%d/%s", load, name), func(b *testing.B) {
				for b.Loop() {
					d := runMixedLoad(float64(load)/100, strategies[name])
					for kind, waits := range d.waits {
						b.ReportMetric(quantile(waits, 50).Seconds(), kind+"-p50-s")
						b.ReportMetric(quantile(waits, 99).Seconds(), kind+"-p99-s")
					}
					b.ReportMetric(quantile(d.waits["urgent"], 100).Seconds(), "urgent-max-s")
					b.ReportMetric(float64(len(d.waits["urgent"])), "urgent-started")
					b.ReportMetric(float64(d.preempts), "preempted")
				}
			})
		}
	}
}

// runMixedLoad runs a mix of jobs that asks for the given fraction of the cores
// of Omuti's cluster.
func runMixedLoad(load float64, opts []Option) *driver {
	const run = 90 * time.Second
	ends := 90 * time.Minute
	if load > 1 {
		ends = 20 * time.Minute
	}
	d := newDriver(48, 20, shapes[0], 2, opts...)
	// work becomes the mean demand of a job, in thousandths of a core times
	// seconds.
	work := 0.0
	for range 20_000 {
		count, _, size := d.drawJob()
		work += float64(count) * float64(size.MilliCores()) * run.Seconds()
	}
	work /= 20_000
	rate := load * float64(d.p.Summary().Total().MilliCores()) / work
	begin := d.clock.Now()
	next := begin
	for d.clock.Now().Sub(begin) < ends {
		for !next.After(d.clock.Now()) {
			next = next.Add(time.Duration(d.random.ExpFloat64() / rate * float64(time.Second)))
			count, task, size := d.drawJob()
			took := time.Duration(d.random.ExpFloat64() * float64(run))
			d.submitJob(fmt.Sprint("team-", d.random.IntN(20)), task.policy, size, took, count, task.opts...)
		}
		d.step()
	}
	return d
}

type jobKind struct {
	policy Policy
	opts   []TaskOption
}

func newJobKind(policy Policy, opts ...TaskOption) jobKind {
	return jobKind{
		policy: policy,
		opts:   opts,
	}
}

// drawJob draws a job: of a hundred, 10 are services, 5 are gangs, 2 are urgent
// and the rest batch.
func (d *driver) drawJob() (int, jobKind, sizer.Size) {
	size := d.size()
	switch kind := d.random.IntN(100); {
	case kind < 10:
		return 1, newJobKind(ServicePolicy{}), size
	case kind < 15:
		return 4, newJobKind(GangPolicy{}), sizer.New(2000, 4*gigabyte, 0)
	case kind < 17:
		return 1, newJobKind(BatchPolicy{}, Urgent()), size
	default:
		return 1, newJobKind(BatchPolicy{}, RunTime(90*time.Second)), size
	}
}
