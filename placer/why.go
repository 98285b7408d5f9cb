package placer

import (
	"fmt"
	"strings"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Cause is what a task waits for.
type Cause string

// The causes.
const (
	// CauseNone is the cause of a task that does not wait.
	CauseNone Cause = "none"
	// CauseBackoff is the wait before a failed task is retried.
	CauseBackoff Cause = "backoff"
	// CauseClaimed is the wait for claimed capacity that other tasks still hold.
	CauseClaimed Cause = "claimed"
	// CauseQuota is the quota of the team.
	CauseQuota Cause = "quota"
	// CauseGang is the wait for the other tasks of a gang.
	CauseGang Cause = "gang"
	// CauseCapacity is the lack of a worker with enough available capacity, which
	// the texts of reasons call room.
	CauseCapacity Cause = "room"
	// CauseTurn is the wait for the turn of the team, or for the next tick.
	CauseTurn Cause = "turn"
	// CauseNever is a size that no worker could hold even if it were empty.
	CauseNever Cause = "never"
	// CauseNoWorker is the absence of any worker.
	CauseNoWorker Cause = "noWorker"
)

// Reason explains why a task waits. Each worker that cannot take the task is
// counted under the first constraint that rules it out.
type Reason struct {
	cause Cause
	// state is the state of the task.
	state   TaskState
	waiting time.Duration
	workers int

	closed       int
	draining     int
	setAside     int
	tooSmall     int
	claimed      int
	cores        int
	memory       int
	accelerators int
	fitting      int

	// nearest is the largest part of the task's size that could run, zero if all
	// of the size could.
	nearest sizer.Size
	// detail is text for an operator that follows the cause.
	detail string
}

// Cause returns what the task waits for.
func (r Reason) Cause() Cause { return r.cause }

// State returns the state of the task.
func (r Reason) State() TaskState { return r.state }

// Waiting returns how long the task has waited.
func (r Reason) Waiting() time.Duration { return r.waiting }

// Workers returns the number of workers.
func (r Reason) Workers() int { return r.workers }

// Closed counts the workers that are silent or not taken over yet.
func (r Reason) Closed() int { return r.closed }

// Draining counts the workers that are draining.
func (r Reason) Draining() int { return r.draining }

// SetAside counts the workers that were set aside after failures, including one
// whose probe is under way.
func (r Reason) SetAside() int { return r.setAside }

// TooSmall counts the workers that could not hold the task even if they were
// empty.
func (r Reason) TooSmall() int { return r.tooSmall }

// Claimed counts the workers whose free capacity is claimed for other tasks.
func (r Reason) Claimed() int { return r.claimed }

// Cores counts the workers that lack cores.
func (r Reason) Cores() int { return r.cores }

// Memory counts the workers that have enough cores but lack memory.
func (r Reason) Memory() int { return r.memory }

// Accelerators counts the workers that lack only accelerators.
func (r Reason) Accelerators() int { return r.accelerators }

// Fitting counts the workers on which the task would fit now.
func (r Reason) Fitting() int { return r.fitting }

// Nearest returns the size nearest to the task's that could run. It is zero
// unless every worker is too small or the size exceeds the quota of the team.
func (r Reason) Nearest() sizer.Size { return r.nearest }

// String returns the reason as text for an operator.
func (r Reason) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", r.state, r.cause)
	if r.detail != "" {
		fmt.Fprintf(&b, " (%s)", r.detail)
	}
	if !r.nearest.IsZero() {
		fmt.Fprintf(&b, "; %s would run", r.nearest)
	}
	if r.workers == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "; of %d workers", r.workers)
	separator := " "
	for _, part := range r.parts() {
		if part.count == 0 {
			continue
		}
		fmt.Fprintf(&b, "%s%d %s", separator, part.count, part.text)
		separator = ", "
	}
	return b.String()
}

type reasonPart struct {
	count int
	text  string
}

func newPart(count int, text string) reasonPart {
	return reasonPart{
		count: count,
		text:  text,
	}
}

func (r Reason) parts() []reasonPart {
	return []reasonPart{
		newPart(r.closed, "are closed"),
		newPart(r.draining, "are draining"),
		newPart(r.setAside, "are set aside"),
		newPart(r.tooSmall, "are too small"),
		newPart(r.claimed, "keep their room for others"),
		newPart(r.cores, "lack cores"),
		newPart(r.memory, "lack memory"),
		newPart(r.accelerators, "lack accelerators"),
		newPart(r.fitting, "have room"),
	}
}

// Why returns why a task waits, and false if the task is not known. It examines
// all workers, and changes nothing.
func (p *Placer) Why(id namer.TaskID) (Reason, bool) {
	i, ok := p.tasks.byID[id]
	if !ok {
		return Reason{}, false
	}
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	now := p.clock.Now()
	if row.state.holdsCapacity() {
		return Reason{
			cause:  CauseNone,
			state:  row.state,
			detail: "on " + p.workers.rows[row.worker].name,
		}, true
	}
	r := p.countWorkers(class.need)
	r.state = row.state
	r.waiting = now.Sub(row.since)
	r.cause, r.detail = p.causeOf(i, r, now)
	return r, true
}

func (p *Placer) causeOf(i int32, r Reason, now time.Time) (Cause, string) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	team := &p.teams.rows[class.key.team]
	switch {
	case row.state == StateBackoff:
		return CauseBackoff, fmt.Sprintf("failed %d times, lost its worker %d times, next try in %s",
			row.failures, row.lapses, p.backoffLeft(i, now))
	case row.state == StateClaimed:
		return CauseClaimed, "room is kept on " + p.workers.rows[row.worker].name
	case r.workers == 0:
		return CauseNoWorker, ""
	case r.tooSmall == r.workers:
		return CauseNever, ""
	case team.overQuota(class.placementSize()):
		return CauseQuota, fmt.Sprintf("team %s holds %s of %s", team.name, team.used, team.quota)
	case class.key.policyKind == kindGang && class.pending < class.live:
		return CauseGang, fmt.Sprintf("%d of %d tasks wait", class.pending, class.live)
	case class.key.policyKind == kindGang && r.fitting > 0:
		return CauseGang, fmt.Sprintf("no room for all %d tasks together", class.pending)
	case r.fitting > 0:
		return CauseTurn, ""
	default:
		return CauseCapacity, ""
	}
}

// placementSize returns the size of what is placed at once: all waiting tasks
// of a gang, or one task.
func (c *classRow) placementSize() sizer.Size {
	if c.key.policyKind == kindGang {
		return c.need.Times(int64(c.pending))
	}
	return c.need
}

// backoffLeft returns how long a task in StateBackoff still waits.
func (p *Placer) backoffLeft(i int32, now time.Time) time.Duration {
	return p.tasks.rows[i].wakeTime.Sub(now).Round(time.Millisecond)
}

// countWorkers counts the workers by the first constraint that rules them out
// for a task of this size.
func (p *Placer) countWorkers(need sizer.Size) Reason {
	r := Reason{}
	for i := range p.workers.rows {
		w := &p.workers.rows[i]
		if !w.present {
			continue
		}
		r.workers++
		r.countWorker(w, need)
	}
	if r.workers > 0 && r.tooSmall == r.workers {
		r.nearest = p.nearest(need)
	}
	return r
}

func (r *Reason) countWorker(w *workerRow, need sizer.Size) {
	free := w.free()
	switch {
	case !need.Fits(w.capacity):
		r.tooSmall++
	case w.state == Closed:
		r.closed++
	case w.state == Draining:
		r.draining++
	case !w.acceptsTasks():
		r.setAside++
	case need.Fits(w.available):
		r.fitting++
	case need.Fits(free):
		r.claimed++
	case need.MilliCores() > free.MilliCores():
		r.cores++
	case need.Bytes() > free.Bytes():
		r.memory++
	default:
		r.accelerators++
	}
}

// nearest returns the largest part of need that some worker could hold: the part
// that leaves out the smallest share of need.
func (p *Placer) nearest(need sizer.Size) sizer.Size {
	var best sizer.Size
	bestLoss := 0.0
	for i := range p.workers.rows {
		w := &p.workers.rows[i]
		if !w.present {
			continue
		}
		part := minSize(need, w.capacity)
		loss := need.Sub(part).DominantShare(need)
		if best.IsZero() || loss < bestLoss {
			best = part
			bestLoss = loss
		}
	}
	return best
}

// CanEverRun reports whether a task could run if all workers were empty and
// open, within the quota of its team. If not, the reason has the nearest size
// that could.
func (p *Placer) CanEverRun(task Task) (Reason, bool) {
	r := p.countWorkers(task.size)
	r.state = StateNone
	if i, ok := p.teams.byName[task.team]; ok {
		team := p.teams.rows[i]
		team.used = sizer.Size{}
		if team.overQuota(task.size) {
			r.cause = CauseQuota
			r.detail = fmt.Sprintf("the quota of team %s is %s", team.name, team.quota)
			r.nearest = quotaPart(task.size, team.quota)
			return r, false
		}
	}
	switch {
	case r.workers == 0:
		r.cause = CauseNoWorker
		return r, false
	case r.tooSmall == r.workers:
		r.cause = CauseNever
		return r, false
	default:
		r.cause = CauseNone
		return r, true
	}
}

// quotaPart returns the part of need that a quota allows.
func quotaPart(need, quota sizer.Size) sizer.Size {
	return sizer.New(
		capAt(need.MilliCores(), quota.MilliCores()),
		capAt(need.Bytes(), quota.Bytes()),
		capAt(need.Accelerators(), quota.Accelerators()),
	)
}

func capAt(amount, limit int64) int64 {
	if limit == 0 {
		return amount
	}
	return min(amount, limit)
}
