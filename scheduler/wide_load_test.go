package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenacove/galenacove/scheduler"
)

const (
	// skewedWorkers is the number of workers of a shard, of four cores each.
	skewedWorkers = 8
	// skewedLoad is the part of all cores that is used on average.
	skewedLoad = 0.7
	// skewedStep is the time between two ticks, and skewedTime the time in which jobs arrive.
	skewedStep = 50 * time.Millisecond
	skewedTime = 60 * time.Second
)

// skewedJob is a job of one step, and the shard where it is accepted.
type skewedJob struct {
	job     scheduler.Job
	shard   int
	runTime time.Duration
}

// skewedJobs returns jobs of unlike sizes, in the order in which they are accepted. The first half of the shards
// gets skew times as many as the others.
func skewedJobs(shards, skew int, seed uint64) []skewedJob {
	random := rand.New(rand.NewPCG(seed, 7))
	begin := time.Unix(1_700_000_000, 0).Add(2 * time.Second)
	capacity := skewedLoad * float64(shards*skewedWorkers*4) * skewedTime.Seconds()
	var jobs []skewedJob
	for used := 0.0; used < capacity; {
		shard := random.IntN(shards / 2)
		if random.IntN(skew+1) == 0 {
			shard += shards / 2
		}
		size := int64(1) << random.IntN(3)
		phase := newPhase(1+random.IntN(4), cores(size))
		phase.Estimate = time.Duration(200+random.IntN(1800)) * time.Millisecond
		used += float64(phase.Tasks) * float64(size) * phase.Estimate.Seconds()
		jobs = append(jobs, skewedJob{
			job: scheduler.Job{
				ID:       fmt.Sprintf("job%d", len(jobs)),
				Queue:    deskQueue,
				Phases:   []scheduler.Phase{phase},
				Accepted: begin.Add(time.Duration(random.Int64N(int64(skewedTime)))),
			},
			shard:   shard,
			runTime: phase.Estimate,
		})
	}
	slices.SortFunc(jobs, func(a, b skewedJob) int { return a.job.Accepted.Compare(b.job.Accepted) })
	return jobs
}

// skewedShard is a shard with its owner.
type skewedShard struct {
	*rig
	marks map[int]scheduler.Mark
}

// lateRoom is an answer on the way.
type lateRoom struct {
	at       time.Time
	from, to int
	queries  []scheduler.RoomQuery
	rooms    []scheduler.Room
}

// playSkewed returns the waits of all tasks, sorted, and the number of those that did not start. With
// one owner, it has the workers of all shards.
func playSkewed(t testing.TB, shards, owners int, jobs []skewedJob, age time.Duration) (waits []time.Duration, missing int) {
	byID := make(map[string]skewedJob)
	all := make([]*skewedShard, owners)
	for i := range all {
		all[i] = &skewedShard{
			rig:   newRigOf(t),
			marks: make(map[int]scheduler.Mark),
		}
		for j := range skewedWorkers * shards / owners {
			all[i].addWorker(fmt.Sprintf("s%dw%d", i, j), cores(4))
		}
		all[i].updateDirectory()
		var others []int
		for j := range owners {
			if j != i {
				others = append(others, j)
			}
		}
		if len(others) > 0 {
			all[i].s.SetDelegates(i, map[string][]int{
				"desk": others,
			})
		}
	}
	started := make(map[scheduler.TaskRef]bool)
	var late []lateRoom
	tasks := 0
	for range int((skewedTime + 60*time.Second) / skewedStep) {
		now := all[0].now.Add(skewedStep)
		for len(jobs) > 0 && !jobs[0].job.Accepted.After(now) {
			all[jobs[0].shard%owners].s.AddJob(jobs[0].job, nil, false, now)
			byID[jobs[0].job.ID] = jobs[0]
			tasks += jobs[0].job.Phases[0].Tasks
			jobs = jobs[1:]
		}
		for _, shard := range all {
			shard.advance(skewedStep)
			for _, worker := range shard.workersByID {
				for run := range worker.activeRuns {
					if worker.clock-worker.startedAt[run] >= byID[run.Task.Step.Job].runTime {
						worker.end(run, scheduler.EndDone)
					}
				}
			}
			shard.renewLeases()
			shard.tick()
			shard.write()
			for _, worker := range shard.workersByID {
				for run := range worker.activeRuns {
					if !started[run.Task] {
						started[run.Task] = true
						waits = append(waits, now.Sub(byID[run.Task.Step.Job].job.Accepted))
					}
				}
			}
		}
		for i, shard := range all {
			for to, queries := range shard.s.RoomRequests(now) {
				late = append(late, lateRoom{
					at:      now.Add(age),
					from:    to,
					to:      i,
					queries: queries,
					rooms:   roomsOf(all[to].s, queries, now),
				})
			}
			requests, _ := shard.s.DelegationRequests(now)
			for to, request := range requests {
				request.Mark = shard.marks[to]
				reply := all[to].s.ServeHome(request, now)
				shard.marks[to] = reply.Mark
				shard.s.DelegationAnswered(to, request, reply, now)
			}
		}
		for len(late) > 0 && !late[0].at.After(now) {
			all[late[0].to].s.RoomAnswered(late[0].from, late[0].queries, late[0].rooms, now.Add(-age), now)
			late = late[1:]
		}
	}
	slices.Sort(waits)
	return waits, tasks - len(waits)
}

// BenchmarkSkewedShards reports the waits of tasks if the load of the shards of a service is unlike, and
// those with one owner that sees all workers.
func BenchmarkSkewedShards(b *testing.B) {
	percentile := func(waits []time.Duration, p float64) float64 {
		return waits[int(p*float64(len(waits)-1))].Seconds()
	}
	for _, shards := range []int{4, 16} {
		for _, skew := range []int{1, 3, 10} {
			jobs := skewedJobs(shards, skew, 1)
			for _, setting := range []struct {
				name   string
				owners int
				age    time.Duration
			}{
				{
					name:   "one owner",
					owners: 1,
				},
				{
					name:   "answers 0 s old",
					owners: shards,
				},
				{
					name:   "answers 1 s old",
					owners: shards,
					age:    time.Second,
				},
			} {
				b.Run(fmt.Sprintf("%d shards, 1 to %d, %s", shards, skew, setting.name), func(b *testing.B) {
					for range b.N {
						waits, missing := playSkewed(b, shards, setting.owners, jobs, setting.age)
						b.ReportMetric(percentile(waits, 0.5), "s-p50")
						b.ReportMetric(percentile(waits, 0.99), "s-p99")
						b.ReportMetric(float64(missing), "not-started")
						b.ReportMetric(float64(len(waits)), "tasks")
					}
				})
			}
		}
	}
}
