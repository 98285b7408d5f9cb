package scheduler_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// noTrouble is a source of numbers with which nothing gets lost in a model.
func noTrouble(n int) int { return n - 1 }

// TestTakeoverAfterAnyStepOfAGrant replaces the owner of the home shard, of the other one, or of
// both after each step on the way from a job that no shard can run alone to its last start, and of
// its cancelling, also while the owners do not reach each other for a while. It guards against
// tasks that run twice, never, or after their job was cancelled.
func TestTakeoverAfterAnyStepOfAGrant(t *testing.T) {
	const (
		// firstRound is before the first grant, and lastRound after the last start.
		firstRound, lastRound, cancelRound = 18, 26, 23
		silentRounds                       = 20
	)
	replaced := map[string][]int{
		"home":     {0},
		"delegate": {1},
		"both":     {0, 1},
	}
	for name, shards := range replaced {
		for _, silent := range []bool{false, true} {
			for _, cancels := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, silent %t, cancelled %t", name, silent, cancels), func(t *testing.T) {
					t.Parallel()
					for prefix, more := 0, true; more; prefix++ {
						w := newWideModel(noFault, 2, noTrouble)
						steps := 0
						more = false
						for round := range lastRound {
							if cancels && round == cancelRound {
								w.cancel("s0lasting")
							}
							w.roundSteps(func(step func()) bool {
								if round >= firstRound {
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
						if !more && !cancels {
							qt.Assert(t, w.running("s0lasting"), qt.Equals, 5, qt.Commentf("before the last takeover"))
						}
						for _, shard := range shards {
							w.shards[shard].takeOver()
						}
						w.callsLost = silent
						for range silentRounds {
							w.round()
						}
						w.callsLost = false
						w.finishWithin(120)
						qt.Assert(t, w.violation(), qt.Equals, "", qt.Commentf("after step %d", prefix))
					}
				})
			}
		}
	}
}
