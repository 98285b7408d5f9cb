package placer

import (
	"math/bits"

	"github.com/galenacove/galenacove/sizer"
)

// The levels of the index. A worker is on level n of a resource if it has at
// least 2^(n-1) units of it available, but fewer than 2^n; the last level has
// no upper bound. Accelerators are the exception: their level is their number,
// up to the last level.
const (
	coreLevels        = 12
	memoryLevels      = 14
	acceleratorLevels = 9

	// coreUnit is in thousandths of a core, memoryUnit in bytes.
	coreUnit   = 250
	memoryUnit = 256 << 20

	bucketCount = acceleratorLevels * coreLevels * memoryLevels
)

// candidateLimit is the most workers of one bucket that are compared.
const candidateLimit = 8

// capacityIndex finds workers by their available capacity. It holds the workers
// that accept tasks in buckets, one for each combination of resource levels, so
// that the cost of a search is bounded by the constant number of buckets and
// not by the number of workers.
type capacityIndex struct {
	buckets [bucketCount][]int32
	// memoryBits has, for each level of accelerators and cores, a bit for each
	// level of memory, set if the bucket is not empty.
	memoryBits [acceleratorLevels][coreLevels]uint16
	// workerCounts has the number of workers on each level of accelerators.
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

// update moves a worker to the bucket of its available capacity. A worker that
// is not indexed, or that is overcommitted in some resource, is in no bucket.
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

// bestFit returns the worker that a task of this size fills best, none if it
// fits on none. Workers with fewer available accelerators come first, so that
// work that needs none does not strand them; then those with the lowest
// leftoverScore.
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

// bestFitOnLevel searches one level of accelerators, in order of the total
// number of levels by which the available capacity exceeds the need.
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

// bestFitInBucket returns the worker with the lowest leftoverScore among the
// first candidateLimit workers on which the task fits.
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

// leftoverScore rates what would stay available on the worker, lower being
// better: the sum of the unused fractions of cores and memory plus the
// difference between them, since one resource is of little use without the
// other.
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
