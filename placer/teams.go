package placer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// A size of sizeUnit/levelScale has level 1.
const levelScale = 1 << 16

// runTimeLevelsPerDoubling is the number of run-time levels for each
// doubling of the run time.
const runTimeLevelsPerDoubling = 4

// sizeUnit is the reference for size levels: 64 cores, 256 GiB, 8 accelerators.
var sizeUnit = sizer.New(64_000, 256<<30, 8)

// sizeLevel returns the level of a size: the smallest size of each level is twice
// that of the level below. A size does not fit in capacity of a lower level.
func sizeLevel(size sizer.Size) int {
	return bits.Len64(uint64(size.DominantShare(sizeUnit) * levelScale))
}

// arrivalStepSize is the granularity of arrival times in a rank: within a band,
// work that arrived in an earlier step goes first, whatever its size.
const arrivalStepSize = 10 * time.Second

// priorityBand is the first criterion by which the work of a team is ordered.
type priorityBand uint8

const (
	bandUrgent priorityBand = iota
	bandService
	bandGang
	bandBatch
)

// rank is the position of a class in the queue of its team: by band, then by
// arrival in steps of arrivalStepSize, then larger sizes first, then longer run
// times first, so that a backlog ends with small and short work, then by the
// exact order of arrival.
type rank struct {
	priorityBand priorityBand
	arrivalStep  int64
	level        int
	// runTimeLevel is the level of the run time, see runTimeLevelOf.
	runTimeLevel int
	sequence     uint64
}

func (r rank) compare(other rank) int {
	return cmp.Or(
		cmp.Compare(r.priorityBand, other.priorityBand),
		cmp.Compare(r.arrivalStep, other.arrivalStep),
		cmp.Compare(other.level, r.level),
		cmp.Compare(other.runTimeLevel, r.runTimeLevel),
		cmp.Compare(r.sequence, other.sequence),
	)
}

// queueEntry is a class with waiting tasks in the queue of its team.
type queueEntry struct {
	rank  rank
	need  sizer.Size
	class int32
	// blocked reports that the class found no capacity, so that it is tried again
	// only on workers where some was freed since.
	blocked bool
}

type teamRow struct {
	name string
	// weight is above 0.
	weight float64
	// quota is the most that the team's tasks may hold; a dimension of 0 is not
	// limited.
	quota sizer.Size
	// used is the capacity allocated to the team's tasks.
	used  sizer.Size
	queue []queueEntry
	// minNeeds summarises the needs in the queue; minNeedsStale reports that it
	// still includes a class that was removed.
	minNeeds      needSummary
	minNeedsStale bool
	// share is the dominant share divided by the weight, valid during a tick.
	share float64
	// cursor is the index of the first entry of the queue that this tick has not
	// tried.
	cursor int
	// waitingIndex is the index of the team in teamTable.waiting, none if its
	// queue is empty.
	waitingIndex int32
	// fresh reports that the team is in teamTable.freshRows.
	fresh bool
}

type teamTable struct {
	rows   []teamRow
	byName map[string]int32
	// waiting lists the teams with a queue, freshRows those with something new to
	// try: work that was not tried yet, or capacity freed under the quota.
	waiting   []int32
	freshRows []int32
	// byShare is the heap of the teams that may have something to place.
	byShare shareHeap
}

func (t *teamTable) init() {
	t.byName = make(map[string]int32)
	t.byShare.teams = t
}

// findOrAdd returns the row of a team, which it adds if there is none.
func (t *teamTable) findOrAdd(name string) int32 {
	if i, ok := t.byName[name]; ok {
		return i
	}
	i := int32(len(t.rows))
	t.rows = append(t.rows, teamRow{
		name:         name,
		weight:       1,
		waitingIndex: none,
	})
	t.byName[name] = i
	return i
}

// SetTeam sets the weight of a team and the most that its tasks may hold at
// once. A weight that is not above 0 is ignored. A dimension of the quota that
// is 0 is not limited. A team for which SetTeam was not called has weight 1 and
// no quota.
func (p *Placer) SetTeam(name string, weight float64, quota sizer.Size) {
	i := p.teams.findOrAdd(name)
	row := &p.teams.rows[i]
	if weight > 0 {
		row.weight = weight
	}
	row.quota = quota
	p.teams.markFresh(i)
}

// markFresh records that a team has something new to try.
func (t *teamTable) markFresh(i int32) {
	row := &t.rows[i]
	if row.fresh {
		return
	}
	row.fresh = true
	t.freshRows = append(t.freshRows, i)
}

// updateWaiting adds a team to the list of teams with a queue, or removes it.
func (t *teamTable) updateWaiting(i int32) {
	row := &t.rows[i]
	switch {
	case len(row.queue) > 0 && row.waitingIndex == none:
		row.waitingIndex = int32(len(t.waiting))
		t.waiting = append(t.waiting, i)
	case len(row.queue) == 0 && row.waitingIndex != none:
		last := t.waiting[len(t.waiting)-1]
		t.waiting[row.waitingIndex] = last
		t.rows[last].waitingIndex = row.waitingIndex
		t.waiting = t.waiting[:len(t.waiting)-1]
		row.waitingIndex = none
	}
}

// firstAtLevel returns the index of the first entry that has the band and
// arrival step of position and at most the given size level, or of the first
// entry after those.
func (t *teamRow) firstAtLevel(position rank, level int) int {
	position.level = level
	position.runTimeLevel = math.MaxInt
	position.sequence = 0
	index, _ := t.findRank(position)
	return index
}

// runTimeLevelOf returns the level of a run time: 0 up to a second, then
// lengthLevels for each doubling.
func runTimeLevelOf(run time.Duration) int {
	if run <= time.Second {
		return 0
	}
	return int(runTimeLevelsPerDoubling * math.Log2(run.Seconds()))
}

// overQuota reports whether allocating size more would exceed the quota of the
// team.
func (t *teamRow) overQuota(size sizer.Size) bool {
	after := t.used.Add(size)
	return exceedsLimit(after.MilliCores(), t.quota.MilliCores()) ||
		exceedsLimit(after.Bytes(), t.quota.Bytes()) ||
		exceedsLimit(after.Accelerators(), t.quota.Accelerators())
}

func exceedsLimit(amount, limit int64) bool {
	return limit > 0 && amount > limit
}

// charge adds an allocation to the usage of the task's team and to its spread
// counts.
func (p *Placer) charge(i int32, size sizer.Size) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	team := &p.teams.rows[class.key.team]
	team.used = team.used.Add(size)
	if class.spread != nil {
		p.addSpread(class.spread, row.worker, 1)
	}
}

// discharge reverts charge.
func (p *Placer) discharge(i int32, size sizer.Size) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	team := &p.teams.rows[class.key.team]
	team.used = team.used.Sub(size)
	if class.spread != nil {
		p.addSpread(class.spread, row.worker, -1)
	}
	if !team.quota.IsZero() {
		p.teams.markFresh(class.key.team)
	}
}

func (p *Placer) addSpread(s *spreadCount, worker int32, delta int) {
	rack := p.workers.rows[worker].rack
	dataCentre := p.workers.racks.rows[rack].dataCentre
	addCount(s.workers, worker, delta)
	addCount(s.racks, rack, delta)
	addCount(s.dataCentres, dataCentre, delta)
}

func addCount(counts map[int32]int, key int32, delta int) {
	counts[key] += delta
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// enqueueClass adds a class with waiting tasks to the queue of its team. The
// class keeps the position of its first arrival, so that work that was
// preempted or lost its worker does not wait behind everything that arrived
// later.
func (p *Placer) enqueueClass(c int32, now time.Time) {
	class := &p.classes.rows[c]
	if class.arrivalSequence == 0 {
		p.classes.arrivalSequence++
		class.arrivalSequence = p.classes.arrivalSequence
		class.arrivedAt = now
	}
	class.position = rank{
		priorityBand: class.priorityBand(),
		arrivalStep:  class.arrivedAt.UnixNano() / int64(arrivalStepSize),
		level:        sizeLevel(class.key.size),
		runTimeLevel: runTimeLevelOf(class.expectedRunTime()),
		sequence:     class.arrivalSequence,
	}
	class.queued = true
	class.blockedSince = time.Time{}
	team := &p.teams.rows[class.key.team]
	index, _ := team.findRank(class.position)
	team.queue = slices.Insert(team.queue, index, queueEntry{
		rank:  class.position,
		need:  class.need,
		class: c,
	})
	if index < team.cursor {
		team.cursor++
	}
	if len(team.queue) == 1 {
		team.minNeeds.clear()
		team.minNeedsStale = false
	}
	team.minNeeds.add(class.need)
	p.teams.updateWaiting(class.key.team)
	p.teams.markFresh(class.key.team)
}

// dequeueClass removes a class from the queue of its team.
func (p *Placer) dequeueClass(c int32) {
	class := &p.classes.rows[c]
	team := &p.teams.rows[class.key.team]
	index, _ := team.findRank(class.position)
	team.queue = slices.Delete(team.queue, index, index+1)
	if index < team.cursor {
		team.cursor--
	}
	team.minNeedsStale = true
	class.queued = false
	class.blockedSince = time.Time{}
	p.teams.updateWaiting(class.key.team)
}

// findRank returns the index of a rank in the queue of the team, and whether it
// is there.
func (t *teamRow) findRank(position rank) (int, bool) {
	return slices.BinarySearchFunc(t.queue, position, func(e queueEntry, r rank) int {
		return e.rank.compare(r)
	})
}

// queuedEntry returns the queue entry of a queued class.
func (p *Placer) queuedEntry(c int32) *queueEntry {
	class := &p.classes.rows[c]
	team := &p.teams.rows[class.key.team]
	index, _ := team.findRank(class.position)
	return &team.queue[index]
}

func (c *classRow) priorityBand() priorityBand {
	if c.key.urgent {
		return bandUrgent
	}
	switch c.policy.(type) {
	case ServicePolicy:
		return bandService
	case GangPolicy:
		return bandGang
	default:
		return bandBatch
	}
}

// shareHeap orders the teams by weighted dominant share, the smallest share first.
type shareHeap struct {
	teams   *teamTable
	numbers []int32
}

// Len returns the number of teams.
func (h *shareHeap) Len() int { return len(h.numbers) }

// Less compares two teams by share, then by number.
func (h *shareHeap) Less(i, j int) bool {
	a, b := h.numbers[i], h.numbers[j]
	return cmp.Or(
		cmp.Compare(h.teams.rows[a].share, h.teams.rows[b].share),
		cmp.Compare(a, b),
	) < 0
}

// Swap exchanges two teams.
func (h *shareHeap) Swap(i, j int) {
	h.numbers[i], h.numbers[j] = h.numbers[j], h.numbers[i]
}

// Push adds a team.
func (h *shareHeap) Push(x any) {
	h.numbers = append(h.numbers, x.(int32))
}

// Pop removes the last team.
func (h *shareHeap) Pop() any {
	last := h.numbers[len(h.numbers)-1]
	h.numbers = h.numbers[:len(h.numbers)-1]
	return last
}
