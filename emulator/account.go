package emulator

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Account is what a worker was given since it was made.
type Account struct {
	// Worker is the worker's name.
	Worker string `json:"worker"`
	// Capacity is what the worker offers.
	Capacity sizer.Size `json:"capacity"`
	// MostUsed is the largest sum, in each dimension, of the sizes of tasks
	// that ran at once.
	MostUsed sizer.Size `json:"mostUsed"`
	// OverCommitted counts the starts after which the sum was over Capacity.
	OverCommitted int `json:"overCommitted"`
	// Doubled counts the starts of tasks that already ran here.
	Doubled int `json:"doubled"`
	// Intervals has each start that ran, in the order of their beginning.
	Intervals []Interval `json:"intervals"`
}

// Interval is the time during which one start ran.
type Interval struct {
	// Worker is where it ran.
	Worker string `json:"worker"`
	// Ref names the start.
	Ref namer.TaskRef `json:"ref"`
	// Size is what it was started with.
	Size sizer.Size `json:"size"`
	// From is when it began, To when it ended; To is zero while it runs.
	From time.Time `json:"from"`
	To   time.Time `json:"to,omitzero"`
	// State says how it ended.
	State connector.TaskState `json:"state"`
}

// Overlap is a pair of starts of one task that ran at the same time.
type Overlap struct {
	// First began no later than Second.
	First  Interval `json:"first"`
	Second Interval `json:"second"`
}

// Overlaps returns the starts of the same task that ran at the same time, on
// whichever of the workers. The workers' clocks have to be the same.
func Overlaps(accounts ...Account) []Overlap {
	byTask := make(map[namer.TaskID][]Interval)
	for _, account := range accounts {
		for _, interval := range account.Intervals {
			byTask[interval.Ref.Task] = append(byTask[interval.Ref.Task], interval)
		}
	}
	var overlaps []Overlap
	for _, intervals := range byTask {
		overlaps = append(overlaps, overlapsOf(intervals)...)
	}
	slices.SortFunc(overlaps, func(a, b Overlap) int {
		return compareRefs(a.Second.Ref, b.Second.Ref)
	})
	return overlaps
}

// overlapsOf compares each interval with the one before it that ends last.
func overlapsOf(intervals []Interval) []Overlap {
	slices.SortStableFunc(intervals, func(a, b Interval) int {
		return a.From.Compare(b.From)
	})
	var overlaps []Overlap
	for i := 1; i < len(intervals); i++ {
		last := intervals[i-1]
		if last.runsAt(intervals[i].From) {
			overlaps = append(overlaps, Overlap{
				First:  last,
				Second: intervals[i],
			})
		}
		if !intervals[i].To.IsZero() && (last.To.IsZero() || last.To.After(intervals[i].To)) {
			intervals[i] = last
		}
	}
	return overlaps
}

func (i Interval) runsAt(at time.Time) bool {
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
