package placer

import (
	"math/bits"

	"github.com/galenacove/galenacove/sizer"
)

// The levels of the index. A worker is on level n of a resource if it has room
// for 2^(n-1) units of it or more, but not for 2^n; the last level has no end.
const (
	coreLevels        = 12
	memoryLevels      = 14
	acceleratorLevels = 9

	// coreUnit is in thousandths of a core, memoryUnit in bytes.
	coreUnit   = 250
	memoryUnit = 256 << 20

	bucketCount = acceleratorLevels * coreLevels * memoryLevels
)

// candidateLimit is how many workers of one bucket are compared.
const candidateLimit = 8

// roomIndex finds workers by the room they have. It holds the workers that take
// tasks, in buckets by the level of each resource, so that a search costs the
// number of buckets, which is constant, and not that of the workers.
type roomIndex struct {
	buckets [bucketCount][]int32
	// memories has, for each level of accelerators and processors, a bit for
	// each level of memory whose bucket is not empty.
	memories [acceleratorLevels][coreLevels]uint16
	// counts has the number of workers on each level of accelerators.
	counts [acceleratorLevels]int
}

func level(amount, unit int64, levels int) int {
	return min(bits.Len64(uint64(amount/unit)), levels-1)
}

func acceleratorLevel(n int64) int {
	return int(min(n, acceleratorLevels-1))
}

func bucketOf(room sizer.Size) int32 {
	a := acceleratorLevel(room.Accelerators())
	c := level(room.MilliCores(), coreUnit, coreLevels)
	m := level(room.Bytes(), memoryUnit, memoryLevels)
	return int32((a*coreLevels+c)*memoryLevels + m)
}

// put brings the place of a worker up to date. A worker that is not held, or
// that has less than nothing of a resource, is in no bucket.
func (x *roomIndex) put(rows []workerRow, i int32, held bool) {
	w := &rows[i]
	to := none
	if held && !w.room.IsNegative() {
		to = bucketOf(w.room)
	}
	if to == w.bucket {
		return
	}
	if w.bucket != none {
		x.take(rows, i)
	}
	w.bucket = to
	if to == none {
		return
	}
	w.slot = int32(len(x.buckets[to]))
	x.buckets[to] = append(x.buckets[to], i)
	x.mark(to, 1)
}

func (x *roomIndex) take(rows []workerRow, i int32) {
	w := &rows[i]
	bucket := x.buckets[w.bucket]
	last := bucket[len(bucket)-1]
	bucket[w.slot] = last
	rows[last].slot = w.slot
	x.buckets[w.bucket] = bucket[:len(bucket)-1]
	x.mark(w.bucket, -1)
}

func (x *roomIndex) mark(bucket int32, by int) {
	m := int(bucket) % memoryLevels
	c := int(bucket) / memoryLevels % coreLevels
	a := int(bucket) / memoryLevels / coreLevels
	x.counts[a] += by
	if len(x.buckets[bucket]) > 0 {
		x.memories[a][c] |= 1 << m
	} else {
		x.memories[a][c] &^= 1 << m
	}
}

// tightest returns the worker that a task of this size fills best, none if it
// fits on none. Workers with fewer free accelerators come first, so that work
// that needs none does not strand them; then those with the least room to spare.
func (x *roomIndex) tightest(rows []workerRow, need sizer.Size) int32 {
	for a := acceleratorLevel(need.Accelerators()); a < acceleratorLevels; a++ {
		if x.counts[a] == 0 {
			continue
		}
		if i := x.tightestOn(rows, need, a); i != none {
			return i
		}
	}
	return none
}

// tightestOn searches one level of accelerators, by the sum of the levels that
// the room is above the need.
func (x *roomIndex) tightestOn(rows []workerRow, need sizer.Size, a int) int32 {
	c0 := level(need.MilliCores(), coreUnit, coreLevels)
	m0 := level(need.Bytes(), memoryUnit, memoryLevels)
	for sum := 0; sum <= coreLevels-1-c0+memoryLevels-1-m0; sum++ {
		for c := c0; c < coreLevels && c-c0 <= sum; c++ {
			m := m0 + sum - (c - c0)
			if m >= memoryLevels || x.memories[a][c]&(1<<m) == 0 {
				continue
			}
			bucket := x.buckets[(a*coreLevels+c)*memoryLevels+m]
			if i := tightestOf(rows, bucket, need); i != none {
				return i
			}
		}
	}
	return none
}

// tightestOf returns the worker with the least to spare among the first that
// the task fits on.
func tightestOf(rows []workerRow, bucket []int32, need sizer.Size) int32 {
	best := none
	var bestSpare float64
	seen := 0
	for _, i := range bucket {
		w := &rows[i]
		if !need.Fits(w.room) {
			continue
		}
		spare := spareOf(w, need)
		if best == none || spare < bestSpare || (spare == bestSpare && i < best) {
			best = i
			bestSpare = spare
		}
		seen++
		if seen == candidateLimit {
			break
		}
	}
	return best
}

// spareOf returns how much of the worker stays free, as the sum of the shares of
// its resources and the largest difference between them: room of one resource
// without the other is of little use.
func spareOf(w *workerRow, need sizer.Size) float64 {
	left := w.room.Sub(need)
	cores := shareOf(left.MilliCores(), w.capacity.MilliCores())
	memory := shareOf(left.Bytes(), w.capacity.Bytes())
	return cores + memory + max(cores-memory, memory-cores)
}

func shareOf(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
