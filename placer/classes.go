package placer

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// policyKind is the type of a policy as a number, for keys and ordering.
type policyKind uint8

const (
	kindService policyKind = iota
	kindGang
	kindBatch
)

func kindOf(policy Policy) policyKind {
	switch policy.(type) {
	case ServicePolicy:
		return kindService
	case GangPolicy:
		return kindGang
	default:
		return kindBatch
	}
}

// classKey identifies a class of tasks with equal requirements: if one finds no
// capacity, none does.
type classKey struct {
	team      int32
	job       string
	spreadKey string
	size      sizer.Size
	runTime   time.Duration
	urgent    bool
	// externalGang is set for tasks of a gang that the caller tracks.
	externalGang bool
	policyKind   policyKind
}

// classRow holds the tasks of one job with equal requirements. They are placed
// in the order in which they began to wait.
type classRow struct {
	key    classKey
	policy Policy
	// need is the capacity that the next task is allocated: its declared size, or
	// more if tasks of the class were observed to use more.
	need sizer.Size
	// averageRunTime is a moving average of the run times of the finished tasks, 0
	// if there are none.
	averageRunTime time.Duration
	// firstPending and lastPending are the ends of the list of waiting tasks,
	// linked by next and prev.
	firstPending int32
	lastPending  int32
	// pending counts the tasks in that list, live all tasks of the class.
	pending int
	live    int
	// totalTasks counts all tasks that were ever in the class.
	totalTasks int
	// finishedRuns and failedRuns count the runs that finished and that failed.
	finishedRuns int
	failedRuns   int
	// lastFailedWorker is the worker on which the last failed run was, none if no
	// run failed.
	lastFailedWorker int32
	// failedOnSeveral reports that runs failed on more than one worker.
	failedOnSeveral bool
	// members are all the tasks of a gang. It is empty for other classes.
	members []int32
	// retryAt is the time at which a gang that found no capacity is retried.
	retryAt time.Time
	// blockedSince is the time since which the class has failed to find capacity,
	// moved forward whenever one of its tasks is placed; zero if the class was not
	// blocked since it was queued.
	blockedSince time.Time
	// claimingTasks counts the tasks in StateClaimed.
	claimingTasks int
	// gangClaim reports that capacity is claimed for a starving gang: each of its
	// tasks is in StateClaimed or StateReserved. The claim expires at
	// gangClaimExpiry.
	gangClaim       bool
	gangClaimExpiry time.Time
	// blockedBeforeClaim is the value of blockedSince before that claim.
	blockedBeforeClaim time.Time
	// arrivedAt is the time at which a task of the class first began to wait, and
	// arrivalSequence its number among all classes, 0 if none has waited.
	arrivedAt       time.Time
	arrivalSequence uint64
	// position is the rank of the class in the queue of its team. It is valid
	// while queued is true.
	position rank
	queued   bool
	// overflowPending reports that the class is in
	// classTable.overflowPending.
	overflowPending bool
	spread          *spreadCount
}

type classTable struct {
	rows    []classRow
	unused  []int32
	byKey   map[classKey]int32
	spreads map[spreadName]*spreadCount
	// arrivalSequence is the number of the last arrival of a class.
	arrivalSequence uint64
	// overflowPending lists classes with waiting tasks that may have to be
	// reported by Overflow at the end of the tick.
	overflowPending []int32
}

type spreadName struct {
	team int32
	key  string
}

// spreadCount counts the tasks under one spread key that have capacity
// allocated.
type spreadCount struct {
	// classes counts the classes that share the counts.
	classes     int
	workers     map[int32]int
	racks       map[int32]int
	dataCentres map[int32]int
}

func (t *classTable) init() {
	t.byKey = make(map[classKey]int32)
	t.spreads = make(map[spreadName]*spreadCount)
}

// addToClass adds a new task to its class.
func (p *Placer) addToClass(i int32) {
	row := &p.tasks.rows[i]
	team := p.teams.findOrAdd(row.team)
	key := classKey{
		team:         team,
		job:          row.id.Job,
		size:         row.size,
		runTime:      row.runTime,
		urgent:       row.urgent,
		externalGang: row.externalGang,
		policyKind:   kindOf(row.policy),
	}
	if key.policyKind == kindService {
		key.spreadKey = row.spreadKey
	}
	c, ok := p.classes.byKey[key]
	if !ok {
		c = p.classes.add(key, row.policy)
	}
	class := &p.classes.rows[c]
	class.live++
	class.totalTasks++
	if key.policyKind == kindGang {
		class.members = append(class.members, i)
	}
	row.class = c
}

func (t *classTable) add(key classKey, policy Policy) int32 {
	row := classRow{
		key:              key,
		policy:           policy,
		need:             key.size,
		firstPending:     none,
		lastPending:      none,
		lastFailedWorker: none,
	}
	if key.policyKind == kindService {
		row.spread = t.spreadFor(spreadName{
			team: key.team,
			key:  key.spreadKey,
		})
	}
	var c int32
	if n := len(t.unused); n > 0 {
		c = t.unused[n-1]
		t.unused = t.unused[:n-1]
		row.overflowPending = t.rows[c].overflowPending
		t.rows[c] = row
	} else {
		c = int32(len(t.rows))
		t.rows = append(t.rows, row)
	}
	t.byKey[key] = c
	return c
}

func (t *classTable) spreadFor(name spreadName) *spreadCount {
	s, ok := t.spreads[name]
	if !ok {
		s = &spreadCount{
			workers:     make(map[int32]int),
			racks:       make(map[int32]int),
			dataCentres: make(map[int32]int),
		}
		t.spreads[name] = s
	}
	s.classes++
	return s
}

// removeFromClass removes a forgotten task from its class, and the class with
// its last task.
func (p *Placer) removeFromClass(i int32) {
	c := p.tasks.rows[i].class
	if c == none {
		return
	}
	class := &p.classes.rows[c]
	class.live--
	if index := slices.Index(class.members, i); index >= 0 {
		class.members = slices.Delete(class.members, index, index+1)
	}
	if class.live > 0 {
		p.retryGang(c)
		return
	}
	delete(p.classes.byKey, class.key)
	if class.spread != nil {
		p.classes.releaseSpread(class)
	}
	p.classes.unused = append(p.classes.unused, c)
}

// retryGang makes a gang that lost a task be tried again with the rest.
func (p *Placer) retryGang(c int32) {
	class := &p.classes.rows[c]
	if class.key.policyKind != kindGang {
		return
	}
	if class.gangClaim {
		p.dropGangClaim(c)
	}
	if !class.queued {
		return
	}
	p.queuedEntry(c).blocked = false
	p.teams.markFresh(class.key.team)
}

func (t *classTable) releaseSpread(class *classRow) {
	class.spread.classes--
	if class.spread.classes > 0 {
		return
	}
	delete(t.spreads, spreadName{
		team: class.key.team,
		key:  class.key.spreadKey,
	})
}

// enqueueTask appends a task in StatePending to the waiting tasks of its class.
func (p *Placer) enqueueTask(i int32, now time.Time) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	row.since = now
	row.next = none
	row.prev = class.lastPending
	if class.lastPending == none {
		class.firstPending = i
	} else {
		p.tasks.rows[class.lastPending].next = i
	}
	class.lastPending = i
	class.pending++
	if p.settings.firstFit {
		p.tasks.submissionOrder = append(p.tasks.submissionOrder, i)
		return
	}
	if !class.queued {
		p.enqueueClass(row.class, now)
	}
	if class.key.policyKind == kindGang {
		p.teams.markFresh(class.key.team)
	}
	p.listForOverflow(row.class)
}

// dequeueTask removes a task from the waiting tasks of its class.
func (p *Placer) dequeueTask(i int32) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	if row.prev == none {
		class.firstPending = row.next
	} else {
		p.tasks.rows[row.prev].next = row.next
	}
	if row.next == none {
		class.lastPending = row.prev
	} else {
		p.tasks.rows[row.next].prev = row.prev
	}
	row.next = none
	row.prev = none
	class.pending--
	if class.pending == 0 && class.queued {
		p.dequeueClass(row.class)
	}
}

// listForOverflow lists a class so that its waiting tasks are reported by
// Overflow at the end of the tick if the class is still blocked.
func (p *Placer) listForOverflow(c int32) {
	class := &p.classes.rows[c]
	if class.overflowPending {
		return
	}
	class.overflowPending = true
	p.classes.overflowPending = append(p.classes.overflowPending, c)
}

// emitOverflows reports the tasks that found no capacity, each once. New tasks
// are at the end of a class, so the walk from the end stops at the first task
// that was reported before.
func (p *Placer) emitOverflows() {
	for _, c := range p.classes.overflowPending {
		class := &p.classes.rows[c]
		class.overflowPending = false
		if class.live == 0 || class.blockedSince.IsZero() {
			continue
		}
		for i := class.lastPending; i != none && !p.tasks.rows[i].overflowed; i = p.tasks.rows[i].prev {
			p.tasks.rows[i].overflowed = true
			p.decisions = append(p.decisions, Overflow{
				task: p.tasks.rows[i].Task,
			})
		}
	}
	p.classes.overflowPending = p.classes.overflowPending[:0]
}
