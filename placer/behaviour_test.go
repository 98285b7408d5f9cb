package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// fixture is a placer with a few workers of 8 cores and 16 GiB, three to a
// rack.
type fixture struct {
	*Placer
	c     *qt.C
	clock *timekeeper.Fake
}

func newFixture(t *testing.T, workers int, opts ...Option) *fixture {
	clock := timekeeper.NewFake(time.Unix(1_000_000, 0))
	p := &fixture{
		Placer: New(clock, opts...),
		c:      qt.New(t),
		clock:  clock,
	}
	for i := range workers {
		p.PutWorker(NewWorker(fmt.Sprint("w", i), fmt.Sprint("r", i/3), "dc", sizer.New(8000, 16*gigabyte, 0)))
		p.SetWorkerState(fmt.Sprint("w", i), Open)
	}
	return p
}

func newTasks(job string, count int, policy Policy, cores int64, opts ...TaskOption) []Task {
	var tasks []Task
	for i := range count {
		tasks = append(tasks, NewTask(namer.TaskID{
			Job:   job,
			Index: i,
		}, "team", policy, sizer.New(cores*1000, gigabyte, 0), opts...))
	}
	return tasks
}

// tickAfter advances the clock by d, ticks and returns the decisions of type D.
func tickAfter[D Decision](p *fixture, d time.Duration) []D {
	p.clock.Advance(d)
	var list []D
	for _, decision := range p.Tick() {
		if made, ok := decision.(D); ok {
			list = append(list, made)
		}
	}
	return list
}

func TestServiceIsSpread(t *testing.T) {
	p := newFixture(t, 9)
	p.Submit(newTasks("s", 9, ServicePolicy{}, 1)...)
	workers := make(map[string]int)
	racks := make(map[byte]int)
	for index, d := range tickAfter[Place](p, 0) {
		workers[d.worker]++
		racks[(d.worker[1]-'0')/3]++
		p.c.Assert(racks[(d.worker[1]-'0')/3], qt.Equals, index/3+1)
	}
	p.c.Assert(len(workers), qt.Equals, 9)
}

func TestBatchLeavesAcceleratorsFree(t *testing.T) {
	p := newFixture(t, 1)
	p.PutWorker(NewWorker("gpu", "r9", "dc", sizer.New(8000, 16*gigabyte, 4)))
	p.SetWorkerState("gpu", Open)
	p.Submit(newTasks("b", 8, BatchPolicy{}, 1)...)
	for _, d := range tickAfter[Place](p, 0) {
		p.c.Assert(d.worker, qt.Equals, "w0")
	}
}

func TestUrgentPreemptsAndKeepsTheRoom(t *testing.T) {
	p := newFixture(t, 1)
	p.Submit(newTasks("b", 4, BatchPolicy{}, 2)...)
	p.c.Assert(tickAfter[Place](p, 0), qt.HasLen, 4)
	p.Submit(newTasks("u", 1, BatchPolicy{}, 3, Urgent())...)
	p.Submit(newTasks("small", 9, BatchPolicy{}, 1)...)
	stopped := tickAfter[Preempt](p, 0)
	p.c.Assert(stopped, qt.HasLen, 2)
	p.c.Assert(stopped[0].checkpoint, qt.IsTrue)
	p.Ended(stopped[0].ref, Checkpointed)
	p.c.Assert(tickAfter[Place](p, 0), qt.HasLen, 0)
	// The second task does not save its work within the timeout.
	hard := tickAfter[Preempt](p, defaultCheckpointTimeout)
	p.c.Assert(hard, qt.HasLen, 1)
	p.c.Assert(hard[0].checkpoint, qt.IsFalse)
	p.Ended(hard[0].ref, Stopped)
	placed := tickAfter[Place](p, 0)
	p.c.Assert(placed[0].task.id.Job, qt.Equals, "u")
}

func TestWorkerThatFailsEverything(t *testing.T) {
	p := newFixture(t, 1, WithBackoff(time.Millisecond, time.Millisecond), WithTaskRetries(100))
	for i := range 3 {
		p.Submit(newTasks(fmt.Sprint("j", i), 1, BatchPolicy{}, 1)...)
	}
	for _, d := range tickAfter[Place](p, 0) {
		p.Ended(d.ref, Failed)
	}
	p.c.Assert(tickAfter[Place](p, time.Second), qt.HasLen, 0)
	why, _ := p.Why(newTasks("j0", 1, BatchPolicy{}, 1)[0].id)
	p.c.Assert(why.SetAside(), qt.Equals, 1)
	// The first probe fails, which doubles the wait; the second one finishes.
	probes := tickAfter[Place](p, defaultProbeInterval)
	p.c.Assert(probes, qt.HasLen, 1)
	p.Ended(probes[0].ref, Failed)
	p.c.Assert(tickAfter[Place](p, defaultProbeInterval), qt.HasLen, 0)
	probes = tickAfter[Place](p, defaultProbeInterval)
	p.c.Assert(probes, qt.HasLen, 1)
	p.Ended(probes[0].ref, Finished)
	p.c.Assert(tickAfter[Place](p, time.Second), qt.HasLen, 2)
}

func TestRetriesEnd(t *testing.T) {
	p := newFixture(t, 4, WithBackoff(time.Millisecond, time.Second), WithFailureLimit(1000, time.Second, time.Second))
	p.Submit(newTasks("g", 3, GangPolicy{}, 1)...)
	givenUp := 0
	for starts := 0; givenUp == 0; starts++ {
		p.c.Assert(starts <= defaultTaskRetries+1, qt.IsTrue)
		placed := tickAfter[Place](p, time.Minute)
		p.c.Assert(placed, qt.HasLen, 3)
		for _, d := range placed {
			outcome := Checkpointed
			if d.task.id.Index == 0 {
				outcome = Failed
			}
			p.Ended(d.ref, outcome)
		}
		givenUp = len(tickAfter[GiveUp](p, 0))
	}
	p.c.Assert(givenUp, qt.Equals, 3)
	p.c.Assert(p.Summary().Tasks(), qt.Equals, 0)
}

func TestGangKeepsRoomAndGivesItBack(t *testing.T) {
	p := newFixture(t, 2)
	p.Submit(newTasks("b", 2, BatchPolicy{}, 6, RunTime(time.Minute))...)
	held := tickAfter[Place](p, 0)
	p.c.Assert(held, qt.HasLen, 2)
	p.Submit(newTasks("g", 2, GangPolicy{}, 6)...)
	p.c.Assert(tickAfter[Place](p, 0), qt.HasLen, 0)
	p.c.Assert(tickAfter[Place](p, defaultStarvation), qt.HasLen, 0)
	p.Ended(held[0].ref, Finished)
	p.Submit(newTasks("late", 1, BatchPolicy{}, 6)...)
	p.c.Assert(tickAfter[Place](p, 0), qt.HasLen, 0)
	// The second worker is not freed in time: the gang's claim expires whole, and
	// the late task starts.
	late := tickAfter[Place](p, gangClaimTimeout)
	p.c.Assert(late, qt.HasLen, 1)
	p.c.Assert(late[0].task.id.Job, qt.Equals, "late")
}

func TestReservationExpiresWhole(t *testing.T) {
	p := newFixture(t, 2)
	expiry := p.clock.Now().Add(time.Second)
	list, ok := p.Reserve("g", newTasks("g", 2, GangPolicy{}, 8), expiry)
	p.c.Assert(ok, qt.IsTrue)
	p.c.Assert(list, qt.HasLen, 2)
	_, ok = p.Reserve("h", newTasks("h", 1, GangPolicy{}, 1), expiry)
	p.c.Assert(ok, qt.IsFalse)
	tickAfter[Place](p, 2*time.Second)
	p.c.Assert(p.Confirm("g"), qt.HasLen, 0)
	p.c.Assert(p.Summary().Available(), qt.Equals, p.Summary().Total())
}

func TestObserved(t *testing.T) {
	p := newFixture(t, 1)
	p.Submit(newTasks("b", 3, BatchPolicy{}, 2)...)
	placed := tickAfter[Place](p, 0)
	p.Observe(placed[0].ref, sizer.New(9000, gigabyte, 0))
	limits := tickAfter[Throttle](p, 0)
	p.c.Assert(limits, qt.HasLen, 1)
	p.c.Assert(limits[0].limit.MilliCores(), qt.Equals, int64(4000))
	p.c.Assert(p.Summary().Available().MilliCores(), qt.Equals, int64(0))
}

func TestDrainMovesTasks(t *testing.T) {
	p := newFixture(t, 2)
	p.Submit(newTasks("s", 1, ServicePolicy{}, 1)...)
	placed := tickAfter[Place](p, 0)
	p.SetWorkerState(placed[0].worker, Draining)
	moved := tickAfter[Preempt](p, 0)
	p.c.Assert(moved, qt.HasLen, 1)
	p.Ended(moved[0].ref, Checkpointed)
	again := tickAfter[Place](p, 0)
	p.c.Assert(again, qt.HasLen, 1)
	p.c.Assert(again[0].worker, qt.Not(qt.Equals), placed[0].worker)
}

func TestReasons(t *testing.T) {
	p := newFixture(t, 2)
	p.SetTeam("team", 1, sizer.New(10_000, 0, 0))
	p.Submit(newTasks("b", 3, BatchPolicy{}, 5)...)
	p.Submit(newTasks("huge", 1, BatchPolicy{}, 9)...)
	tickAfter[Place](p, 0)
	p.Submit(newTasks("g", 2, GangPolicy{}, 3)...)
	tickAfter[Place](p, 0)
	for job, want := range map[string]string{
		"b/0":    "starting: none .on w.*",
		"b/2":    "pending: quota .team team holds 10 cores.*",
		"huge/0": "pending: never; 8 cores, 1024 MiB, 0 accelerators would run; of 2 workers 2 are too small",
		"g/1":    "pending: quota.*",
	} {
		var id namer.TaskID
		_, err := fmt.Sscanf(job[len(job)-1:], "%d", &id.Index)
		p.c.Assert(err, qt.IsNil)
		id.Job = job[:len(job)-2]
		why, ok := p.Why(id)
		p.c.Assert(ok, qt.IsTrue)
		p.c.Check(why.String(), qt.Matches, want)
	}
	never, ok := p.CanEverRun(newTasks("x", 1, BatchPolicy{}, 9)[0])
	p.c.Assert(ok, qt.IsFalse)
	p.c.Assert(never.Nearest(), qt.Equals, sizer.New(8000, gigabyte, 0))
	_, ok = p.CanEverRun(newTasks("x", 1, BatchPolicy{}, 8)[0])
	p.c.Assert(ok, qt.IsTrue)
}

// TestSameInputsSameDecisions checks that two runs with the same calls, clock
// and seed give the same decisions.
func TestSameInputsSameDecisions(t *testing.T) {
	c := qt.New(t)
	var runs [2]string
	for index := range runs {
		b := newBench(48, 7, shapes[1], 4)
		for range 300 {
			b.submitRandom()
		}
		for range 50 {
			b.clock.Advance(time.Second)
			runs[index] += fmt.Sprint(b.p.Tick())
		}
	}
	c.Assert(runs[0], qt.Equals, runs[1])
}

// BenchmarkAllocations counts the allocations for submitting, placing and
// ending a task that was created beforehand.
func BenchmarkAllocations(b *testing.B) {
	cluster := newBench(680, 1, shapes[0], 2)
	tasks := newTasks("j", 1000, BatchPolicy{}, 1)
	b.ReportAllocs()
	for b.Loop() {
		cluster.p.Submit(tasks...)
		for _, d := range cluster.p.Tick() {
			cluster.p.Ended(d.(Place).ref, Finished)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(tasks)), "ns/task")
}

// BenchmarkCancel cancels many tasks at once: half of them wait, half run.
func BenchmarkCancel(b *testing.B) {
	for _, count := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				cluster := newBench(680, 1000, shapes[0], 2)
				ids := make([]namer.TaskID, 0, count)
				for index := range count {
					ids = append(ids, namer.TaskID{
						Job:   fmt.Sprint("j", index%100),
						Index: index / 100,
					})
					cluster.p.Submit(NewTask(ids[index], fmt.Sprint("team-", index%1000), BatchPolicy{}, cluster.size()))
					if index == count/2 {
						cluster.tick()
					}
				}
				b.StartTimer()
				cluster.p.Cancel(ids...)
				cluster.p.Tick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/task")
		})
	}
}
