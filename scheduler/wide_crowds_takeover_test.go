package scheduler_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTakeoverAfterAnyStepOfACrowdedJob replaces the owner of the home shard, of the other one, or of
// both after each step on the way of jobs of a crowded shard: to their grant and their start, to
// their return as the other shard got crowded meanwhile, and of their cancelling. It guards against
// tasks that run twice, never, or after their job was cancelled.
func TestTakeoverAfterAnyStepOfACrowdedJob(t *testing.T) {
	const (
		// crowdRound is when the home shard gets crowded, and addRound when jobs are added that
		// cannot run there.
		crowdRound, addRound = 12, 15
		// otherRound is when the other shard gets crowded, freeRound when the home shard is not
		// any more, and cancelRound when the jobs are cancelled.
		otherRound, freeRound, cancelRound = 18, 26, 21
		silentRounds                       = 20
	)
	// ways holds the rounds after whose steps owners are replaced: the first, and the one after
	// the last.
	ways := map[string][2]int{
		"granted":   {18, 23},
		"returned":  {24, 31},
		"cancelled": {21, 25},
	}
	replaced := map[string][]int{
		"home":     {0},
		"delegate": {1},
		"both":     {0, 1},
	}
	for name, shards := range replaced {
		for _, silent := range []bool{false, true} {
			for way, window := range ways {
				t.Run(fmt.Sprintf("%s, silent %t, %s", name, silent, way), func(t *testing.T) {
					t.Parallel()
					for prefix, more := 0, true; more; prefix++ {
						c := newCrowds()
						c.empty = true
						w := newWideModelWith(noFault, 2, noTrouble, c)
						m := w.shards[0]
						crowded := 0
						steps := 0
						more = false
						for round := range window[1] {
							switch {
							case round == crowdRound:
								w.crowd(0)
							case round == addRound:
								m.addJob(m.newJob("s0lasting", smallLasting()))
								m.addJob(m.newJob("s0failing", newPhase(2, cores(2))))
							case round == otherRound && way == "returned":
								w.crowd(1)
							case round == cancelRound && way == "cancelled":
								w.cancel("s0lasting")
								w.cancel("s0failing")
							case round == freeRound && way == "returned":
								c.crowded[0] = false
								crowded = 1
							}
							w.roundSteps(func(step func()) bool {
								if round >= window[0] {
									steps++
								}
								more = steps > prefix
								if !more {
									step()
								}
								return !more
							})
							if more {
								break
							}
						}
						if !more {
							w.checkWay(t, way)
						}
						for _, shard := range shards {
							w.shards[shard].takeOver()
						}
						w.callsLost = silent
						for range silentRounds {
							w.round()
						}
						w.callsLost = false
						w.finishCrowded(crowded, 120)
						qt.Assert(t, w.violation(), qt.Equals, "", qt.Commentf("after step %d", prefix))
					}
				})
			}
		}
	}
}

// checkWay checks that the jobs went the way that the play without a takeover is about.
func (w *wideModel) checkWay(t *testing.T, way string) {
	t.Helper()
	comment := qt.Commentf("before the last takeover")
	for _, id := range []string{"s0lasting", "s0failing"} {
		qt.Assert(t, w.guests[1][id].LastGrant > 0, qt.IsTrue, comment)
	}
	at := func(shard int) int {
		n := 0
		for _, worker := range w.shards[shard].workers {
			for run := range worker.active {
				if run.Task.Step.Job == "s0lasting" {
					n++
				}
			}
		}
		return n
	}
	want := map[string][]int{
		"granted":   {0, 1},
		"returned":  {1, 0},
		"cancelled": {0, 0},
	}[way]
	qt.Assert(t, []int{at(0), at(1)}, qt.DeepEquals, want, comment)
}
