package dispatcher

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// byteCounter counts the bytes that are written to it.
type byteCounter int

func (c *byteCounter) Write(data []byte) (int, error) {
	*c += byteCounter(len(data))
	return len(data), nil
}

// BenchmarkTakeover measures the times from a new epoch until the workers of a
// former owner are taken over, until every member has reported, and until the
// first task starts anywhere and on those workers, in virtual time with the
// default timings. lost/op is the number of running tasks that the takeover lost.
func BenchmarkTakeover(b *testing.B) {
	for _, cause := range []string{"kill", "freeze", "cutOff"} {
		b.Run(cause, func(b *testing.B) {
			var first, owned, census, started, lost time.Duration
			var bound time.Duration
			for i := range b.N {
				r, running := steadyRig(uint64(i+1), 3, 30, 5, defaultSettings().timings)
				victim := r.entries["entry-0"]
				formerWorkers := make(map[string]bool)
				for name := range victim.tables.links.byName {
					formerWorkers[name] = true
				}
				switch cause {
				case "kill":
					victim.dead = true
				case "freeze":
					victim.frozenUntil = r.clock.Now().Add(time.Hour)
				default:
					victim.logCutOff = true
				}
				r.run(3 * time.Second)
				epoch := r.epoch("entry-1", "entry-2")
				r.append(testJob("after", recorder.Batch, 60, cores(2), time.Hour))
				begin := r.clock.Now()
				bound += r.timings.expiryDelay() + 2*r.timings.delivery + 2*tickInterval + 200*time.Millisecond
				noteFirst := func(elapsed *time.Duration, done bool) bool {
					if done && *elapsed == 0 {
						*elapsed = r.clock.Now().Sub(begin)
					}
					return *elapsed != 0
				}
				var ownedAfter, censusAfter, firstAfter, startedAfter time.Duration
				r.runUntil(time.Minute, func() bool {
					all := noteFirst(&firstAfter, r.running("after") > 0)
					all = noteFirst(&ownedAfter, r.owned("entry-1")+r.owned("entry-2") == 30) && all
					all = noteFirst(&censusAfter, r.censusCompleteIn("entry-1", epoch)) && all
					return noteFirst(&startedAfter, r.runningAt("after", formerWorkers) > 0) && all
				})
				first += firstAfter
				owned += ownedAfter
				census += censusAfter
				started += startedAfter
				if now := r.running("steady"); now < running {
					lost += time.Duration(running - now)
				}
				if len(formerWorkers) == 0 || len(r.violations) > 0 {
					b.Fatal(len(formerWorkers), r.violations)
				}
			}
			n := float64(b.N)
			b.ReportMetric(owned.Seconds()/n, "s-owned/op")
			b.ReportMetric(census.Seconds()/n, "s-census/op")
			b.ReportMetric(first.Seconds()/n, "s-firstStart/op")
			b.ReportMetric(started.Seconds()/n, "s-firstStartThere/op")
			b.ReportMetric(bound.Seconds()/n, "s-bound/op")
			b.ReportMetric(float64(lost)/n, "lost/op")
		})
	}
}

// steadyRig runs the given number of tasks on each worker until all have
// started, and returns how many there are.
func steadyRig(seed uint64, entries, workers, tasks int, timings timings) (*rig, int) {
	r := newRig(seed)
	r.timings = timings
	names := make([]string, 0, entries)
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i))
		r.addEntry(names[i])
	}
	for i := range workers {
		r.addWorker(fmt.Sprintf("worker-%d", i), cores(int64(2*tasks+4)), false)
	}
	r.epoch(names...)
	running := workers * tasks
	r.append(testJob("steady", recorder.Batch, running, cores(2), 10*time.Hour))
	r.runUntil(2*time.Minute, func() bool { return r.running("steady") == running })
	return r, running
}

func (r *rig) owned(entry string) int {
	n := 0
	for _, l := range r.entries[entry].tables.links.byName {
		if l.state == linkOwned {
			n++
		}
	}
	return n
}

func (r *rig) running(job string) int {
	n := 0
	for id, runs := range r.runs {
		if id.Job == job {
			n += len(runs)
		}
	}
	return n
}

func (r *rig) censusCompleteIn(entry string, epoch namer.Epoch) bool {
	t := r.entries[entry].tables
	return t.epoch == epoch && t.censusComplete
}

func (r *rig) runningAt(job string, workers map[string]bool) int {
	n := 0
	for id, runs := range r.runs {
		for _, w := range runs {
			if id.Job == job && workers[w.host.Name] {
				n++
			}
		}
	}
	return n
}

// BenchmarkSteady measures the messages and bytes per second that one of four
// entries sends and reads, and the processor time of its tables and of
// encoding. Each entry has the given number of workers with the given number of
// long tasks, and starts 13 tasks per second.
func BenchmarkSteady(b *testing.B) {
	for _, load := range []struct{ workers, tasks int }{{34, 3}, {34, 13}, {170, 13}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", load.workers, load.tasks), func(b *testing.B) {
			const entries = 4
			const span = 60 * time.Second
			for range b.N {
				r, _ := steadyRig(1, entries, entries*load.workers, load.tasks, defaultSettings().timings)
				r.bytes = make(map[string]int)
				clear(r.messages)
				for i := range int(span / time.Second) {
					r.append(testJob(fmt.Sprintf("short-%d", i), recorder.Batch, 13*entries, cores(1), 2*time.Second))
				}
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				r.tablesTime = 0
				r.run(span)
				runtime.ReadMemStats(&after)
				each := span.Seconds() * entries
				for kind, count := range r.messages {
					b.ReportMetric(float64(count)/each, kind+"/s")
					b.ReportMetric(float64(r.bytes[kind])/each, kind+"-B/s")
				}
				b.ReportMetric(r.tablesTime.Seconds()/each*1000, "tables-ms/s")
				b.ReportMetric(r.codecTime.Seconds()/each*1000, "codec-ms/s")
				b.ReportMetric(float64(after.HeapAlloc)/(1<<20), "heap-MiB-all")
			}
		})
	}
}

// countBytes counts the bytes of a call and of its answer as encoded on the
// wire.
func (r *rig) countBytes(kind string, parts ...any) {
	if r.bytes == nil {
		return
	}
	begin := time.Now()
	for _, part := range parts {
		if m, ok := part.(*Message); ok {
			if r.encoder == nil {
				r.encoder = gob.NewEncoder(&r.encodedBytes)
			}
			before := r.encodedBytes
			_ = r.encoder.Encode(m)
			r.bytes[kind] += int(r.encodedBytes - before)
			continue
		}
		data, _ := json.Marshal(part)
		r.bytes[kind] += len(data)
		r.measureDecoding(data, part)
	}
	r.codecTime += time.Since(begin)
}

// measureDecoding decodes a report, so that codecTime includes the work of the
// receiver.
func (r *rig) measureDecoding(data []byte, part any) {
	switch part.(type) {
	case connector.Report:
		var report connector.Report
		_ = json.Unmarshal(data, &report)
	default:
	}
}

// BenchmarkUrgent measures the time from the acceptance of an urgent job until
// the first and the last of its tasks run, on workers that are full of batch
// tasks, in virtual time with the default timings.
func BenchmarkUrgent(b *testing.B) {
	var first, last time.Duration
	for i := range b.N {
		r := newRig(uint64(i + 1))
		r.timings = defaultSettings().timings
		for _, name := range []string{"entry-0", "entry-1", "entry-2"} {
			r.addEntry(name)
		}
		for i := range 30 {
			r.addWorker(fmt.Sprintf("worker-%d", i), cores(8), false)
		}
		r.epoch("entry-0", "entry-1", "entry-2")
		r.append(testJob("filler", recorder.Batch, 30*4, cores(2), time.Hour))
		r.runUntil(time.Minute, func() bool { return r.running("filler") == 30*4 })
		r.run(time.Duration(r.random.Int64N(int64(3 * time.Second))))
		urgent := testJob("urgent", recorder.Batch, 10, cores(4), time.Hour)
		urgent.Urgent = true
		r.append(urgent)
		begin := r.clock.Now()
		var firstStart time.Duration
		done := r.runUntil(time.Minute, func() bool {
			if n := r.running("urgent"); n > 0 && firstStart == 0 {
				firstStart = r.clock.Now().Sub(begin)
			}
			return r.running("urgent") == 10
		})
		if !done || len(r.violations) > 0 {
			b.Fatal(done, r.violations)
		}
		first += firstStart
		last += r.clock.Now().Sub(begin)
	}
	b.ReportMetric(first.Seconds()/float64(b.N), "s-first/op")
	b.ReportMetric(last.Seconds()/float64(b.N), "s-last/op")
}

// BenchmarkCancelWave measures the time from the cancellation of 10,000 tasks
// until their jobs have ended, in virtual time, and the processor time that the
// tables of the three entries spend on it together.
func BenchmarkCancelWave(b *testing.B) {
	for _, jobs := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			var ended, tablesTime time.Duration
			for i := range b.N {
				r, _ := steadyRig(uint64(i+1), 3, 30, 3, defaultSettings().timings)
				for i := range jobs {
					r.append(testJob(fmt.Sprintf("wave-%d", i), recorder.Batch, 10_000/jobs, cores(6), time.Hour))
				}
				r.run(5 * time.Second)
				for i := range jobs {
					r.append(recorder.JobCancel{
						Job: fmt.Sprintf("wave-%d", i),
					})
				}
				r.tablesTime = 0
				begin := r.clock.Now()
				done := r.runUntil(time.Minute, func() bool {
					homeJobs := 0
					for _, e := range r.entries {
						homeJobs += len(e.tables.homeJobs)
					}
					return homeJobs == 1
				})
				if !done || len(r.violations) > 0 {
					b.Fatal(done, r.violations)
				}
				ended += r.clock.Now().Sub(begin)
				tablesTime += r.tablesTime
			}
			b.ReportMetric(ended.Seconds()/float64(b.N), "s-ended/op")
			b.ReportMetric(tablesTime.Seconds()*1000/float64(b.N), "tables-ms/op")
		})
	}
}
