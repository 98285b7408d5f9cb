package dispatcher

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// gangMargin is how many times the term of a round a holder keeps room
	// for it. The home gives up after one term; so a confirmation comes too
	// late only if it was under way for two.
	reservationTermFactor = 3
	// gangRetries is how often a gang is started again after a failure.
	maxGangRestarts = 3
	// gangBackoff is the shortest, gangMaxBackoff the longest wait between two
	// rounds.
	minGangBackoff = 500 * time.Millisecond
	maxGangBackoff = 30 * time.Second
)

// gangState says where a gang is.
//
//	from       on                                         to
//	waiting    every unfinished task is idle              reserving
//	reserving  every task has room                        started
//	reserving  no member has room for the rest, or the
//	           term is over                               waiting
//	started    a task is lost or failed                   breaking
//	breaking   no task is held                            waiting
type gangState uint8

const (
	gangWaiting gangState = iota
	gangReserving
	gangStarted
	gangStopping
)

// gang is the home's side of a job whose tasks start together.
type gang struct {
	state gangState
	// round counts the tries; answers of earlier ones are ignored.
	round int
	// asked are the members that were asked in this round, in the order of
	// their names, in which every home asks.
	asked []string
	// reserved are the tasks that have room, by member.
	reserved map[string][]int
	// missing are the tasks that have none yet.
	unreserved []int
	// deadline is when the round is given up.
	deadline time.Time
	// retryAt is when the next round may begin.
	retryAt time.Time
	// misses counts the rounds in a row that found no room, failures the
	// starts that ended with a failure.
	failedRounds int
	failedStarts int
	// openings is what the tables counted when the gang last looked.
	takeoversSeen uint64
	reason        string
}

func reservationName(job string, round int) string {
	return job + "#" + strconv.Itoa(round)
}

// tendGang moves a gang on. It reports whether the gang needs no further look
// until something happens.
func (t *tables) advanceGang(j *homeJob) bool {
	g := j.gang
	switch g.state {
	case gangWaiting:
		t.resetBackoffAfterTakeover(g)
		t.beginRound(j)
	case gangReserving:
		if !t.now.Before(g.deadline) {
			t.endRound(j, "its members did not answer in time")
		}
	case gangStopping:
		if j.counts[taskHeld] == 0 {
			g.state = gangWaiting
		}
	case gangStarted:
		return true
	}
	return false
}

// noticeOpenings ends the growth of the wait for room once workers were taken
// over: the rounds before that found no room because nobody was allowed to give
// any, which says nothing of how contended it is. A wait after a failure stays.
func (t *tables) resetBackoffAfterTakeover(g *gang) {
	if g.takeoversSeen == t.takeoversSeen {
		return
	}
	g.takeoversSeen = t.takeoversSeen
	if g.failedRounds == 0 {
		return
	}
	planned := g.retryAt
	g.failedRounds = 0
	t.delayGang(g, g.failedRounds)
	g.retryAt = minTime(g.retryAt, planned)
}

// beginRound starts to reserve, if nothing of the gang runs.
func (t *tables) beginRound(j *homeJob) {
	g := j.gang
	if j.counts[taskIdle] == 0 || j.counts[taskHeld] > 0 || j.counts[taskUncertain] > 0 || t.now.Before(g.retryAt) {
		return
	}
	if !t.checkFit(j, j.counts[taskIdle]) {
		return
	}
	g.state = gangReserving
	g.round++
	g.asked = nil
	g.reserved = make(map[string][]int)
	g.unreserved = j.indexes(taskIdle)
	g.deadline = t.now.Add(t.settings.gangTerm)
	t.reserveNext(j)
}

// askNext asks the next member for room for what is missing.
func (t *tables) reserveNext(j *homeJob) {
	g := j.gang
	if len(g.asked) == len(t.members) {
		if t.settings.fault == faultPartialGang && len(g.reserved) > 0 {
			t.confirmRound(j)
			return
		}
		t.endRound(j, fmt.Sprintf("no room for %d of its tasks at once", len(g.unreserved)))
		return
	}
	member := t.members[len(g.asked)]
	g.asked = append(g.asked, member)
	t.send(member, Reserve{
		Job:         j.job,
		Round:       g.round,
		Indexes:     slices.Clone(g.unreserved),
		Term:        reservationTermFactor * t.settings.gangTerm,
		Checkpoints: j.checkpointsOf(g.unreserved),
	})
}

// applyReserved reads what a member could reserve.
func (t *tables) applyReserved(holder string, item Reserved) {
	j := t.homeJobs[item.Job]
	if j == nil || j.gang == nil {
		return
	}
	g := j.gang
	if g.state != gangReserving || item.Round != g.round {
		t.send(holder, Release{
			Job:   item.Job,
			Round: item.Round,
		})
		return
	}
	t.markDirty(j)
	if len(item.Indexes) > 0 {
		g.reserved[holder] = item.Indexes
		g.unreserved = subtract(g.unreserved, item.Indexes)
	}
	if len(g.unreserved) == 0 {
		t.confirmRound(j)
		return
	}
	t.reserveNext(j)
}

func subtract(indexes, taken []int) []int {
	removed := make(map[int]struct{}, len(taken))
	for _, index := range taken {
		removed[index] = struct{}{}
	}
	rest := make([]int, 0, len(indexes))
	for _, index := range indexes {
		if _, ok := removed[index]; !ok {
			rest = append(rest, index)
		}
	}
	return rest
}

// confirmRound starts the gang: every task has room.
func (t *tables) confirmRound(j *homeJob) {
	g := j.gang
	g.state = gangStarted
	g.failedRounds = 0
	g.reason = ""
	for _, member := range t.members {
		indexes := g.reserved[member]
		if len(indexes) == 0 {
			continue
		}
		for _, index := range indexes {
			j.setState(index, taskHeld)
			j.tasks[index].holder = member
		}
		t.send(member, Confirm{
			Job:   j.job.ID,
			Round: g.round,
		})
	}
	g.reserved = nil
}

// endRound gives all room back and waits, the longer the more rounds have
// failed, and each gang differently long.
func (t *tables) endRound(j *homeJob, reason string) {
	g := j.gang
	t.releaseRound(j)
	g.state = gangWaiting
	g.reason = reason
	g.failedRounds++
	t.delayGang(g, g.failedRounds)
	t.log.Infof("dispatcher: round %d of gang %s ended without a start, the next in %v at the earliest: %s",
		g.round, j.job.ID, g.retryAt.Sub(t.now), reason)
}

func (t *tables) delayGang(g *gang, tries int) {
	wait := minGangBackoff
	for range min(tries, 8) {
		wait = min(2*wait, maxGangBackoff)
	}
	g.retryAt = t.now.Add(wait/2 + time.Duration(t.random.Int64N(int64(wait))))
}

func (t *tables) releaseRound(j *homeJob) {
	g := j.gang
	if g.state != gangReserving {
		return
	}
	for _, member := range g.asked {
		t.send(member, Release{
			Job:   j.job.ID,
			Round: g.round,
		})
	}
	g.state = gangWaiting
	g.reserved = nil
}

// applyLost breaks a gang of which a part had no more room when it was started.
func (t *tables) applyLost(holder string, item Lost) {
	j := t.homeJobs[item.Job]
	if j == nil || j.gang == nil || j.gang.round != item.Round {
		return
	}
	t.markDirty(j)
	for index := range j.tasks {
		if j.tasks[index].state == taskHeld && j.tasks[index].holder == holder {
			j.setState(index, taskIdle)
		}
	}
	t.stopGang(j, "a part of its room was lost")
}

// gangReturned looks at a gang that lost a task.
func (t *tables) gangTaskReturned(j *homeJob, item Returned) {
	g := j.gang
	if item.Failed {
		g.failedStarts++
		if g.failedStarts > maxGangRestarts {
			t.failJob(j, fmt.Sprintf("task %d failed after %d restarts of the gang: %s", item.Indexes[0], maxGangRestarts, item.Reason))
			return
		}
	}
	t.updateGang(j)
}

// gangChanged stops what is left of a gang that is not whole.
func (t *tables) updateGang(j *homeJob) {
	g := j.gang
	switch {
	case j.counts[taskUncertain] > 0 || j.counts[taskHeld] == 0:
		if j.counts[taskHeld] == 0 && g.state == gangStarted && j.counts[taskIdle] > 0 {
			t.stopGang(j, "its tasks were lost")
		}
	case j.counts[taskIdle] > 0 && g.state != gangStopping:
		t.stopGang(j, "one of its tasks was lost")
	case j.counts[taskIdle] == 0:
		g.state = gangStarted
	}
}

// breakGang stops every task of a gang, to start all of them again.
func (t *tables) stopGang(j *homeJob, reason string) {
	g := j.gang
	if g.state == gangStopping {
		return
	}
	t.releaseRound(j)
	t.log.Infof("dispatcher: gang %s is started again: %s", j.job.ID, reason)
	g.state = gangStopping
	g.reason = reason
	t.delayGang(g, g.failedStarts)
	t.withdrawHeld(j)
	t.markDirty(j)
}
