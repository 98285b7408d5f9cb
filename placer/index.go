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
type capacityIndex struct {
	buckets [bucketCount][]int32
	// memories has, for each level of accelerators and processors, a bit for
	// each level of memory whose bucket is not empty.
	memoryBits [acceleratorLevels][coreLevels]uint16
	// counts has the number of workers on each level of accelerators.
	workerCounts [acceleratorLevels]int
}

func level(amount, unit int64, levels int) int {
	return min(bits.Len64(uint64(amount/unit)), levels-1)
}

func acceleratorLevel(n int64) int {
	return int(min(n, acceleratorLevels-1))
}

func bucketOf(available sizer.Size) int32 {
	a := acceleratorLevel(available.Accelerators())
	c := level(available.MilliCores(), coreUnit, coreLevels)
	m := level(available.Bytes(), memoryUnit, memoryLevels)
	return int32((a*coreLevels+c)*memoryLevels + m)
}

// put brings the place of a worker up to date. A worker that is not held, or
// that has less than nothing of a resource, is in no bucket.
func (x *capacityIndex) update(rows []workerRow, i int32, indexed bool) {
	w := &rows[i]
	to := none
	if indexed && !w.available.IsNegative() {
		to = bucketOf(w.available)
	}
	if to == w.bucket {
		return
	}
	if w.bucket != none {
		x.remove(rows, i)
	}
	w.bucket = to
	if to == none {
		return
	}
	w.bucketSlot = int32(len(x.buckets[to]))
	x.buckets[to] = append(x.buckets[to], i)
	x.updateCounts(to, 1)
}

func (x *capacityIndex) remove(rows []workerRow, i int32) {
	w := &rows[i]
	bucket := x.buckets[w.bucket]
	last := bucket[len(bucket)-1]
	bucket[w.bucketSlot] = last
	rows[last].bucketSlot = w.bucketSlot
	x.buckets[w.bucket] = bucket[:len(bucket)-1]
	x.updateCounts(w.bucket, -1)
}

func (x *capacityIndex) updateCounts(bucket int32, delta int) {
	m := int(bucket) % memoryLevels
	c := int(bucket) / memoryLevels % coreLevels
	a := int(bucket) / memoryLevels / coreLevels
	x.workerCounts[a] += delta
	if len(x.buckets[bucket]) > 0 {
		x.memoryBits[a][c] |= 1 << m
	} else {
		x.memoryBits[a][c] &^= 1 << m
	}
}

// tightest returns the worker that a task of this size fills best, none if it
// fits on none. Workers with fewer free accelerators come first, so that work
// that needs none does not strand them; then those with the least room to spare.
func (x *capacityIndex) bestFit(rows []workerRow, need sizer.Size) int32 {
	for a := acceleratorLevel(need.Accelerators()); a < acceleratorLevels; a++ {
		if x.workerCounts[a] == 0 {
			continue
		}
		if i := x.bestFitOnLevel(rows, need, a); i != none {
			return i
		}
	}
	return none
}

// tightestOn searches one level of accelerators, by the sum of the levels that
// the room is above the need.
func (x *capacityIndex) bestFitOnLevel(rows []workerRow, need sizer.Size, a int) int32 {
	c0 := level(need.MilliCores(), coreUnit, coreLevels)
	m0 := level(need.Bytes(), memoryUnit, memoryLevels)
	for sum := 0; sum <= coreLevels-1-c0+memoryLevels-1-m0; sum++ {
		for c := c0; c < coreLevels && c-c0 <= sum; c++ {
			m := m0 + sum - (c - c0)
			if m >= memoryLevels || x.memoryBits[a][c]&(1<<m) == 0 {
				continue
			}
			bucket := x.buckets[(a*coreLevels+c)*memoryLevels+m]
			if i := bestFitInBucket(rows, bucket, need); i != none {
				return i
			}
		}
	}
	return none
}

// tightestOf returns the worker with the least to spare among the first that
// the task fits on.
func bestFitInBucket(rows []workerRow, bucket []int32, need sizer.Size) int32 {
	best := none
	var bestScore float64
	seen := 0
	for _, i := range bucket {
		w := &rows[i]
		if !need.Fits(w.available) {
			continue
		}
		score := leftoverScore(w, need)
		if best == none || score < bestScore || (score == bestScore && i < best) {
			best = i
			bestScore = score
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
func leftoverScore(w *workerRow, need sizer.Size) float64 {
	left := w.available.Sub(need)
	cores := fraction(left.MilliCores(), w.capacity.MilliCores())
	memory := fraction(left.Bytes(), w.capacity.Bytes())
	return cores + memory + max(cores-memory, memory-cores)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
