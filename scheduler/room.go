package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// maxRoomAge is the age up to which the summary of another owner is used.
	maxRoomAge = time.Second
	// maxRoomGroups limits the groups of workers in a summary, maxRoomLabels the labels that
	// one is asked for, and maxRoomWorkers the workers that one may name.
	maxRoomGroups  = 64
	maxRoomLabels  = 16
	maxRoomWorkers = 100_000
)

// RoomQuery asks the owner of another partition what its workers have for a service.
type RoomQuery struct {
	Service string
	// AtLeast is the capacity below which a worker is of no use.
	AtLeast sizer.Size
	// Labels lists the labels that make a difference.
	Labels []string
	// Ever is set if workers count that will have the capacity once all runs that end by
	// themselves have ended.
	Ever bool
}

// RoomGroup is a number of workers of a service that are alike.
type RoomGroup struct {
	Workers int
	// Free is the capacity without runs of each, and Ever what it is without runs that last.
	Free, Ever sizer.Size
	// Labels lists those of the labels asked for that the workers have.
	Labels []string
	// Fills and Serves are set if best-effort tasks, or lasting ones with a response time
	// target, run there.
	Fills, Serves bool
	// Single is set if each takes one task at a time for now, as the last runs there failed.
	Single bool
}

// Room is the answer to a RoomQuery.
type Room struct {
	// Spare is the free capacity of all workers, less what the owner's own steps are about to
	// take.
	Spare  sizer.Size
	Groups []RoomGroup
}

// valid reports whether the room can be that of a shard.
func (r Room) valid() bool {
	if len(r.Groups) > maxRoomGroups || r.Spare.IsNegative() {
		return false
	}
	return !slices.ContainsFunc(r.Groups, func(g RoomGroup) bool {
		return g.Workers < 1 || g.Workers > maxRoomWorkers || g.Free.IsNegative() || g.Ever.IsNegative() || len(g.Labels) > maxRoomLabels
	})
}

// Room returns what this owner's workers have for a service, as of the last tick. Workers that
// are reserved for its own steps do not count.
func (s *Scheduler) Room(query RoomQuery, now time.Time) Room {
	if !s.recoveryDone {
		return Room{}
	}
	room := Room{
		Spare: s.spare[query.Service].Max(sizer.Size{}),
	}
	for _, w := range s.workers {
		if w.entry.Service != query.Service || !w.available(now) || s.storedAsSilent(w.entry.Ref.ID) {
			continue
		}
		group := RoomGroup{
			Workers: 1,
			Ever:    w.capacityWithoutLasting(),
			Fills:   w.fillingRuns > 0,
			Serves:  w.servingRuns > 0,
		}
		group.Single = w.failureStreak >= setAsideAfter
		if !s.reserved[w] && (!group.Single || !s.hasTriedRun(w, now)) && !s.hasTrial(w, now) {
			group.Free = w.freeCapacity().Max(sizer.Size{})
		}
		if !query.AtLeast.Fits(group.Free) && (!query.Ever || !query.AtLeast.Fits(group.Ever)) {
			continue
		}
		if !query.Ever {
			group.Ever = group.Free
		}
		for _, label := range query.Labels[:min(len(query.Labels), maxRoomLabels)] {
			if slices.Contains(w.entry.Labels, label) {
				group.Labels = append(group.Labels, label)
			}
		}
		if i := slices.IndexFunc(room.Groups, group.isLike); i >= 0 {
			room.Groups[i].Workers++
			continue
		}
		room.Groups = append(room.Groups, group)
	}
	slices.SortFunc(room.Groups, func(a, b RoomGroup) int {
		return cmp.Or(compareSizes(b.Free, a.Free), compareSizes(b.Ever, a.Ever), slices.Compare(a.Labels, b.Labels), cmp.Compare(b.Workers, a.Workers))
	})
	room.Groups = room.Groups[:min(len(room.Groups), maxRoomGroups)]
	return room
}

// compareSizes orders sizes by their cores, then by what else they have.
func compareSizes(a, b sizer.Size) int {
	return cmp.Or(cmp.Compare(a.MilliCores(), b.MilliCores()), cmp.Compare(a.Accelerators(), b.Accelerators()), cmp.Compare(a.Bytes(), b.Bytes()))
}

func (g RoomGroup) isLike(other RoomGroup) bool {
	return g.Free == other.Free && g.Ever == other.Ever && g.Fills == other.Fills && g.Serves == other.Serves && g.Single == other.Single && slices.Equal(g.Labels, other.Labels)
}

// capacityWithoutLasting returns the capacity that the worker would have if all runs had ended
// that end by themselves.
func (w *worker) capacityWithoutLasting() sizer.Size {
	capacity := w.entry.Total
	for _, r := range w.runs {
		if r.lasting {
			capacity = capacity.Sub(r.size)
		}
	}
	return capacity.Max(sizer.Size{})
}

// takes returns how many tasks of the step the workers of the group could take each: now, and
// if ever is set, once all runs that end by themselves have ended.
func (g RoomGroup) takes(st *step, ever bool) int {
	if st.phase.Requires != "" && !slices.Contains(g.Labels, st.phase.Requires) {
		return 0
	}
	if st.phase.Fills && g.Serves || st.servesRequests() && g.Fills {
		return 0
	}
	capacity := g.Free
	if ever {
		capacity = g.Ever
	}
	n := countFitting(taskSize(st.phase), capacity)
	if st.phase.PerWorker > 0 {
		n = min(n, st.phase.PerWorker)
	}
	if g.Single && !ever {
		n = min(n, 1)
	}
	return n
}

// knownRoom is the room of another owner as it last answered, less what was granted to it since.
type knownRoom struct {
	room Room
	at   time.Time
}

// tasksFor returns how many tasks of the step the workers could take.
func (k *knownRoom) tasksFor(st *step, ever bool) int {
	n := 0
	for _, g := range k.room.Groups {
		n += g.Workers * g.takes(st, ever)
	}
	if !ever {
		n = min(n, countFitting(taskSize(st.phase), k.room.Spare))
	}
	return n
}

// take takes n tasks of the step off the room, from the groups that they fill best. A worker that
// gets any counts as full.
func (k *knownRoom) take(st *step, n int) {
	k.room.Spare = k.room.Spare.Sub(taskSize(st.phase).Times(int64(n))).Max(sizer.Size{})
	for i := len(k.room.Groups) - 1; i >= 0 && n > 0; i-- {
		g := &k.room.Groups[i]
		each := g.takes(st, false)
		if each == 0 {
			continue
		}
		workers := min(g.Workers, (n+each-1)/each)
		g.Workers -= workers
		n -= workers * each
	}
	k.room.Groups = slices.DeleteFunc(k.room.Groups, func(g RoomGroup) bool { return g.Workers == 0 })
}
