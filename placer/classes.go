package placer

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// kind is a policy as a number, for keys and orders.
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

// classKey says which tasks are alike: where one finds no room, none does.
type classKey struct {
	team      int32
	job       string
	spreadKey string
	size      sizer.Size
	runTime   time.Duration
	urgent    bool
	// external tasks belong to a gang that the caller counts.
	externalGang bool
	kind         policyKind
}

// classRow is the tasks of one job that are alike. They are placed in the order
// in which they came to wait.
type classRow struct {
	key    classKey
	policy Policy
	// need is the room that the next task gets: what is declared, or more where
	// tasks of the class were seen to use more.
	need sizer.Size
	// usual is the mean run time of the finished tasks, 0 if there are none.
	averageRunTime time.Duration
	// first and last of the waiting tasks, linked by next and prev.
	firstPending int32
	lastPending  int32
	// pending counts the tasks in that list, live all tasks of the class.
	pending int
	live    int
	// total counts all tasks that the class ever had.
	totalTasks int
	// finished and retries count the starts that finished, and that failed.
	finishedStarts int
	failedStarts   int
	// failedOn is the worker on which the last start failed, none if none did.
	lastFailedWorker int32
	// failedApart says that starts failed on more than one worker.
	failedOnSeveral bool
	// members are all the tasks of a gang; other classes keep no such list.
	members []int32
	// retryAt is when a gang that found no room is tried again.
	retryAt time.Time
	// blockedSince is when the class last came to find no room, zero if it did
	// not since a task of it was placed.
	blockedSince time.Time
	// claims counts the tasks in StateClaimed.
	claimedTasks int
	// kept says that room is kept for all tasks of a gang: each is in StateClaimed
	// or StateReserved.
	gangClaim       bool
	gangClaimExpiry time.Time
	// keptSince is when the gang came to find no room before that.
	blockedBeforeClaim time.Time
	// arrived is when a task of the class first came to wait, and arrival the
	// number of that among all classes, 0 if there was none.
	arrivedAt       time.Time
	arrivalSequence uint64
	// position is the class's place in the order of its team. It is valid while
	// queued is true.
	position rank
	queued   bool
	// overflowing says that the class is listed for Overflow.
	overflowListed bool
	spread         *spreadCount
}

type classTable struct {
	rows    []classRow
	unused  []int32
	byKey   map[classKey]int32
	spreads map[spreadName]*spreadCount
	// sequence numbers the arrivals of classes.
	arrivalSequence uint64
	// overflowing lists classes with waiting tasks that found no room and were
	// not said to.
	overflowCandidates []int32
}

type spreadName struct {
	team int32
	key  string
}

// spreadCount counts the tasks under one spread key that have room.
type spreadCount struct {
	// users counts the classes that share the count.
	classes     int
	workers     map[int32]int
	racks       map[int32]int
	dataCentres map[int32]int
}

func (t *classTable) init() {
	t.byKey = make(map[classKey]int32)
	t.spreads = make(map[spreadName]*spreadCount)
}

// classify puts a new task into its class.
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
		kind:         kindOf(row.policy),
	}
	if key.kind == kindService {
		key.spreadKey = row.spreadKey
	}
	c, ok := p.classes.byKey[key]
	if !ok {
		c = p.classes.add(key, row.policy)
	}
	class := &p.classes.rows[c]
	class.live++
	class.totalTasks++
	if key.kind == kindGang {
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
	if key.kind == kindService {
		row.spread = t.spreadFor(spreadName{
			team: key.team,
			key:  key.spreadKey,
		})
	}
	var c int32
	if n := len(t.unused); n > 0 {
		c = t.unused[n-1]
		t.unused = t.unused[:n-1]
		row.overflowListed = t.rows[c].overflowListed
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

// declassify takes a forgotten task out of its class, and drops the class with
// its last task.
func (p *Placer) removeFromClass(i int32) {
	c := p.tasks.rows[i].class
	if c == none {
		return
	}
	class := &p.classes.rows[c]
	class.live--
	if at := slices.Index(class.members, i); at >= 0 {
		class.members = slices.Delete(class.members, at, at+1)
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

// regroup makes a gang that has lost a task be tried again.
func (p *Placer) retryGang(c int32) {
	class := &p.classes.rows[c]
	if class.key.kind != kindGang {
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

// enqueue puts a task in StatePending at the end of its class.
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
		p.tasks.order = append(p.tasks.order, i)
		return
	}
	if !class.queued {
		p.enqueueClass(row.class, now)
	}
	if class.key.kind == kindGang {
		p.teams.markFresh(class.key.team)
	}
	p.listForOverflow(row.class)
}

// dequeue takes a task out of the waiting ones of its class.
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

// noteOverflow lists a class so that its waiting tasks are offered elsewhere at
// the end of the tick, if it finds no room.
func (p *Placer) listForOverflow(c int32) {
	class := &p.classes.rows[c]
	if class.overflowListed {
		return
	}
	class.overflowListed = true
	p.classes.overflowCandidates = append(p.classes.overflowCandidates, c)
}

// sayOverflows offers the tasks that found no room elsewhere, each once. New
// tasks are at the end of a class, so that each is looked at once.
func (p *Placer) emitOverflows() {
	for _, c := range p.classes.overflowCandidates {
		class := &p.classes.rows[c]
		class.overflowListed = false
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
	p.classes.overflowCandidates = p.classes.overflowCandidates[:0]
}
