package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenacove/galenacove/namer"
)

// sortedKeys returns the keys of a map in order. Every loop over a map that has
// an effect uses a fixed order, so that the same inputs give the same effects.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// sortedTasks returns the keys of a map by task in order.
func sortedTasks[V any](m map[namer.TaskID]V) []namer.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

// sortedRefs returns the keys of a map by run in order.
func sortedRefs[V any](m map[namer.TaskRef]V) []namer.TaskRef {
	return slices.SortedFunc(maps.Keys(m), compareRefs)
}

func compareTasks(a, b namer.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Index, b.Index),
	)
}

func compareRefs(a, b namer.TaskRef) int {
	return cmp.Or(
		compareTasks(a.Task, b.Task),
		cmp.Compare(a.Attempt.Epoch, b.Attempt.Epoch),
		cmp.Compare(a.Attempt.Sequence, b.Attempt.Sequence),
		cmp.Compare(a.Attempt.Owner, b.Attempt.Owner),
	)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
