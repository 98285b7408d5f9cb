package emulator

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Account records the task starts that a worker accepted since its creation.
type Account struct {
	// Worker is the worker's name.
	Worker string `json:"worker"`
	// Capacity is the worker's total capacity.
	Capacity sizer.Size `json:"capacity"`
	// MostUsed is the peak, in each dimension, of the sum of the sizes of tasks
	// that ran concurrently.
	MostUsed sizer.Size `json:"mostUsed"`
	// OverCommitted counts the starts after which this sum exceeded Capacity.
	OverCommitted int `json:"overCommitted"`
	// Doubled counts the starts of tasks that were already running on this
	// worker.
	Doubled int `json:"doubled"`
	// Intervals holds each start that ran, in the order in which they began.
	Intervals []Interval `json:"intervals"`
}

// Interval is the time during which one start ran.
type Interval struct {
	// Worker is the name of the worker on which it ran.
	Worker string `json:"worker"`
	// Ref identifies the start.
	Ref namer.TaskRef `json:"ref"`
	// Size is the declared size of the task.
	Size sizer.Size `json:"size"`
	// From is the time at which it began, To that at which it ended; To is zero
	// while it runs.
	From time.Time `json:"from"`
	To   time.Time `json:"to,omitzero"`
	// State is the state in which it ended, or TaskRunning.
	State connector.TaskState `json:"state"`
}

// Overlap is a pair of starts of one task that ran at the same time.
type Overlap struct {
	// First began no later than Second.
	First  Interval `json:"first"`
	Second Interval `json:"second"`
}

// Overlaps returns the pairs of starts of the same task that ran at the same
// time, on the same worker or on different ones. The workers must share a
// clock.
func Overlaps(accounts ...Account) []Overlap {
	byTask := make(map[namer.TaskID][]Interval)
	for _, account := range accounts {
		for _, interval := range account.Intervals {
			byTask[interval.Ref.Task] = append(byTask[interval.Ref.Task], interval)
		}
	}
	var overlaps []Overlap
	for _, intervals := range byTask {
		overlaps = append(overlaps, taskOverlaps(intervals)...)
	}
	slices.SortFunc(overlaps, func(a, b Overlap) int {
		return compareRefs(a.Second.Ref, b.Second.Ref)
	})
	return overlaps
}

// taskOverlaps returns the overlaps among the intervals of one task. It sorts
// the intervals by their beginning and compares each with the earlier one that
// ends last, which it carries forward by overwriting elements of intervals.
func taskOverlaps(intervals []Interval) []Overlap {
	slices.SortStableFunc(intervals, func(a, b Interval) int {
		return a.From.Compare(b.From)
	})
	var overlaps []Overlap
	for i := 1; i < len(intervals); i++ {
		latest := intervals[i-1]
		if latest.runningAt(intervals[i].From) {
			overlaps = append(overlaps, Overlap{
				First:  latest,
				Second: intervals[i],
			})
		}
		if !intervals[i].To.IsZero() && (latest.To.IsZero() || latest.To.After(intervals[i].To)) {
			intervals[i] = latest
		}
	}
	return overlaps
}

func (i Interval) runningAt(at time.Time) bool {
	return i.To.IsZero() || at.Before(i.To)
}

func (t *taskTable) account() Account {
	return Account{
		Worker:        t.worker,
		Capacity:      t.capacity,
		MostUsed:      t.mostUsed,
		OverCommitted: t.overCommitted,
		Doubled:       t.doubled,
		Intervals:     slices.Clone(t.intervals),
	}
}
