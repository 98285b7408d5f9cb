package dispatcher

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// A holder keeps a reservation for reservationTermFactor times the gang
	// term. The home ends a round after one gang term, so a Confirm is too late
	// only if its delivery takes two.
	reservationTermFactor = 3
	// maxGangRestarts is how often a gang is restarted after a failure.
	maxGangRestarts = 3
	// minGangBackoff and maxGangBackoff bound the mean wait between two rounds.
	minGangBackoff = 500 * time.Millisecond
	maxGangBackoff = 30 * time.Second
)

// gangState is the state of a gang.
//
//	from       on                                              to
//	waiting    every unfinished task is idle, and retryAt
//	           has passed                                      reserving
//	reserving  capacity is reserved for every task             started
//	reserving  no member has capacity for the rest, the gang
//	           term is over, or the job is cancelled or fails  waiting
//	started    a task is returned, or the reservation had
//	           expired when it was confirmed                   stopping
//	stopping   no task is held                                 waiting
//
// In a new epoch, every gang that is not stopping becomes waiting. Once none of its
// tasks is uncertain, its state becomes started if holders have all of its
// unfinished tasks, and stopping if they have only some of these tasks.
type gangState uint8

const (
	gangWaiting gangState = iota
	gangReserving
	gangStarted
	gangStopping
)

// gang is the home's state of a job whose tasks start together.
type gang struct {
	state gangState
	// round is the number of the last round. The capacity that a member reserved
	// for an earlier one is released.
	round int
	// asked are the members that were sent a Reserve in this round. Every home
	// asks the members in the order of their names.
	asked []string
	// reserved are the tasks for which capacity is reserved, by member.
	reserved map[string][]int
	// unreserved are the tasks without reserved capacity.
	unreserved []int
	// deadline is when the round ends if the gang is not started before.
	deadline time.Time
	// retryAt is the earliest time of the next round.
	retryAt time.Time
	// failedRounds counts the consecutive rounds that found too little
	// capacity, and failedRuns the runs of tasks that ended with a failure.
	failedRounds int
	failedRuns   int
	// takeoversSeen is tables.takeoversSeen as of the gang's last check.
	takeoversSeen uint64
	// reason is why the gang waits or was stopped, as Why reports it. Its texts
	// say room for free capacity.
	reason string
}

func reservationName(job string, round int) string {
	return job + "#" + strconv.Itoa(round)
}

// advanceGang advances the state of a gang. It reports whether the gang needs no
// further call until its job is marked dirty again.
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

// resetBackoffAfterTakeover shortens the wait for capacity after workers were
// taken over: the rounds before that found no capacity because no member could
// give any yet, which says nothing about contention. A wait after a failed run
// is kept.
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

// beginRound begins to reserve capacity, if no task of the gang runs.
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

// reserveNext asks the next member to reserve capacity for the tasks that have
// none reserved yet.
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

// applyReserved handles a member's answer to a Reserve.
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

// confirmRound starts the gang: capacity is reserved for every task.
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

// endRound releases the reservations of a round and sets the wait before the
// next one, which grows with the number of failed rounds.
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

// delayGang sets retryAt after the given number of consecutive failures. The
// wait is drawn between 0.5 and 1.5 times its mean, so that gangs that contend
// for the same capacity do not all try again at the same time.
func (t *tables) delayGang(g *gang, failures int) {
	wait := minGangBackoff
	for range min(failures, 8) {
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

// applyLost stops a gang if one of its reservations no longer existed when it
// was confirmed.
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

// gangTaskReturned handles a gang task that its holder has returned.
func (t *tables) gangTaskReturned(j *homeJob, item Returned) {
	g := j.gang
	if item.Failed {
		g.failedRuns++
		if g.failedRuns > maxGangRestarts {
			t.failJob(j, fmt.Sprintf("task %d failed after %d restarts of the gang: %s", item.Indexes[0], maxGangRestarts, item.Reason))
			return
		}
	}
	t.updateGang(j)
}

// updateGang marks a gang as started once holders have all of its unfinished
// tasks. If they have only some of them, it stops these. A gang that is being
// stopped stays so until no task is held.
func (t *tables) updateGang(j *homeJob) {
	g := j.gang
	switch {
	case g.state == gangStopping:
		// Its holders were asked to return every task.
	case j.counts[taskUncertain] > 0 || j.counts[taskHeld] == 0:
		if j.counts[taskHeld] == 0 && g.state == gangStarted && j.counts[taskIdle] > 0 {
			t.stopGang(j, "its tasks were lost")
		}
	case j.counts[taskIdle] > 0:
		t.stopGang(j, "one of its tasks was lost")
	default:
		g.state = gangStarted
	}
}

// stopGang stops every task of a gang, so that all of them can start again
// together.
func (t *tables) stopGang(j *homeJob, reason string) {
	g := j.gang
	if g.state == gangStopping {
		return
	}
	t.releaseRound(j)
	t.log.Infof("dispatcher: gang %s is stopped to be restarted: %s", j.job.ID, reason)
	g.state = gangStopping
	g.reason = reason
	t.delayGang(g, g.failedRuns)
	t.withdrawHeld(j)
	t.markDirty(j)
}
