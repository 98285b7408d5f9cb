package scheduler

import (
	"cmp"
	"encoding/base64"
	"slices"
	"time"
)

const (
	// stepBytes is the size of the stored progress of a step besides the bits of its
	// tasks, and rangeBytes that of an OccurrenceRange.
	stepBytes  = 64
	rangeBytes = 32
	// placementBytes is the size of the stored placement of a lasting task.
	placementBytes = 40
	// stepsShare is the share of the largest record that the steps of a job may take up.
	// The rest is for its workers and for what has failed.
	stepsShare = 0.5
	// defaultRecordLimit is the size of the largest record that a store usually takes.
	defaultRecordLimit = 256 << 10
)

// OccurrenceRange is a range of occurrences of a job.
type OccurrenceRange struct {
	First int `json:"first,omitempty"`
	// End is the occurrence after the last one.
	End int `json:"end"`
}

// occurrenceSet is a set of occurrences: ranges in ascending order that neither overlap
// nor touch.
type occurrenceSet []OccurrenceRange

// search returns the index of the first range that does not end before the occurrence.
func (o occurrenceSet) search(occurrence int) int {
	i, _ := slices.BinarySearchFunc(o, occurrence, func(r OccurrenceRange, occurrence int) int {
		return cmp.Compare(r.End, occurrence)
	})
	return i
}

func (o occurrenceSet) contains(occurrence int) bool {
	i := o.search(occurrence + 1)
	return i < len(o) && o[i].First <= occurrence
}

// size returns the number of occurrences in the set.
func (o occurrenceSet) size() int {
	n := 0
	for _, r := range o {
		n += r.End - r.First
	}
	return n
}

// add returns the set with the occurrence, which may be in it already.
func (o occurrenceSet) add(occurrence int) occurrenceSet {
	if o.contains(occurrence) {
		return o
	}
	i := o.search(occurrence)
	touchesFormer := i < len(o) && o[i].End == occurrence
	next := i
	if touchesFormer {
		next++
	}
	touchesNext := next < len(o) && o[next].First == occurrence+1
	switch {
	case touchesFormer && touchesNext:
		o[i].End = o[next].End
		return slices.Delete(o, next, next+1)
	case touchesFormer:
		o[i].End++
		return o
	case touchesNext:
		o[next].First--
		return o
	default:
		return slices.Insert(o, i, OccurrenceRange{
			First: occurrence,
			End:   occurrence + 1,
		})
	}
}

// newOccurrenceSet returns the occurrences below end that are in any of the ranges, which
// may be invalid.
func newOccurrenceSet(ranges []OccurrenceRange, end int) occurrenceSet {
	var set occurrenceSet
	for _, r := range slices.SortedFunc(slices.Values(ranges), func(a, b OccurrenceRange) int { return cmp.Compare(a.First, b.First) }) {
		first, last := max(r.First, 0), min(r.End, end)
		if len(set) > 0 && first <= set[len(set)-1].End {
			set[len(set)-1].End = max(set[len(set)-1].End, last)
			continue
		}
		if first < last {
			set = append(set, OccurrenceRange{
				First: first,
				End:   last,
			})
		}
	}
	return set
}

// occurrenceBytes returns an estimate of the size of the stored progress of one occurrence,
// without failures and crashes.
func (j Job) occurrenceBytes() int {
	total := rangeBytes
	for _, phase := range j.Phases {
		total += stepBytes
		if phase.Lasting {
			total += placementBytes * phase.Tasks
		} else {
			total += base64.StdEncoding.EncodedLen(len(newBitSet(phase.Tasks)))
		}
	}
	return total
}

// Storable reports whether the progress of one occurrence of the job fits a record of the
// given size.
func (j Job) Storable(recordLimit int) bool {
	return j.occurrenceBytes() <= int(stepsShare*float64(recordLimit))
}

// hasAllOpenOccurrences reports whether the job has as many occurrences that are created and
// not done as its progress may hold. Further ones wait until one of them is done.
func (s *Scheduler) hasAllOpenOccurrences(j *job) bool {
	most := max(1, int(stepsShare*float64(s.options.recordLimit))/j.record.occurrenceBytes())
	return len(j.steps) >= most*len(j.record.Phases)
}

// dropOccurrenceIfDone drops the steps of an occurrence if all of them are done and no call for
// advice is in flight. Only the number of the occurrence is kept.
func (s *Scheduler) dropOccurrenceIfDone(j *job, occurrence int) {
	if j.record.Repetitions == 0 || j.guest != nil || j.state.Final() {
		return
	}
	ref := StepRef{
		Job:        j.record.ID,
		Occurrence: occurrence,
	}
	for ref.Phase = range j.record.Phases {
		if st := j.steps[ref]; st == nil || st.done < len(st.tasks) || len(st.adviceState.calls) > 0 {
			return
		}
	}
	for ref.Phase = range j.record.Phases {
		delete(j.steps, ref)
	}
	j.doneOccurrences = j.doneOccurrences.add(occurrence)
}

// AllowOccurrenceRanges sets whether occurrences that are done may be stored as ranges. An
// owner of an older release would run them again, so they may not while such an owner can
// follow, unless a record cannot hold them otherwise. The default is true.
func (s *Scheduler) AllowOccurrenceRanges(allowed bool) {
	if s.rangesAllowed == allowed {
		return
	}
	s.rangesAllowed = allowed
	for id, j := range s.jobs {
		if len(j.doneOccurrences) > 0 && !j.state.Final() {
			s.dirtyJobs[id] = true
		}
	}
}

// storesRanges reports whether the occurrences of the job that are done are stored as ranges.
func (s *Scheduler) storesRanges(j *job) bool {
	return s.rangesAllowed ||
		j.doneOccurrences.size()*j.record.occurrenceBytes() > int(stepsShare*float64(s.options.recordLimit))
}

// doneSteps returns the progress of the steps of all occurrences that are done, as older
// releases store it.
func (j *job) doneSteps() []StepProgress {
	var steps []StepProgress
	for _, r := range j.doneOccurrences {
		for occurrence := r.First; occurrence < r.End; occurrence++ {
			for i, phase := range j.record.Phases {
				stepProgress := StepProgress{
					Occurrence: occurrence,
					Phase:      i,
					Done:       newBitSet(phase.Tasks),
				}
				for task := range phase.Tasks {
					setBit(stepProgress.Done, task)
				}
				steps = append(steps, stepProgress)
			}
		}
	}
	return steps
}

// createDueSteps creates the steps of those occurrences of a job that have become
// due, and adds the steps that are ready to openSteps.
func (s *Scheduler) createDueSteps(j *job, now time.Time) {
	for ; j.nextOccurrence < j.record.occurrences(); j.nextOccurrence++ {
		if j.doneOccurrences.contains(j.nextOccurrence) {
			continue
		}
		dueAt := j.record.dueAt(j.nextOccurrence)
		if j.record.Repetitions > 0 && dueAt.After(now) || s.hasAllOpenOccurrences(j) {
			return
		}
		s.createSteps(j, j.nextOccurrence, now)
		for i := range j.record.Phases {
			s.openIfReady(j.steps[StepRef{
				Job:        j.record.ID,
				Occurrence: j.nextOccurrence,
				Phase:      i,
			}], now)
		}
		s.dropOccurrenceIfDone(j, j.nextOccurrence)
	}
	delete(s.jobsWithUncreatedSteps, j.record.ID)
	s.completeIfDone(j, now)
}

// createSteps creates the steps of an occurrence, unless they exist already. It does
// not open them.
func (s *Scheduler) createSteps(j *job, occurrence int, now time.Time) {
	for i := range j.record.Phases {
		ref := StepRef{
			Job:        j.record.ID,
			Occurrence: occurrence,
			Phase:      i,
		}
		if j.steps[ref] == nil {
			s.createStep(j, occurrence, i, j.record.dueAt(occurrence), now)
		}
	}
}
