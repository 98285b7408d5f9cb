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
	Spare sizer.Size
	// LongMilliCores is how many thousandths of a core of it are left for steps that leave
	// headroom to more urgent queues.
	LongMilliCores int64
	Groups         []RoomGroup
}

// valid reports whether the room can be that of a shard.
func (r Room) valid() bool {
	if len(r.Groups) > maxRoomGroups || r.Spare.IsNegative() || r.LongMilliCores < 0 {
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
		Spare:          s.spare[query.Service].Max(sizer.Size{}),
		LongMilliCores: max(0, s.spareLong[query.Service]),
	}
	for _, w := range s.workers {
		if w.entry.Service != query.Service || !s.available(w, now) || s.storedAsSilent(w.entry.Ref.ID) {
			continue
		}
		group := RoomGroup{
			Workers: 1,
			Fills:   w.fillingRuns > 0,
			Serves:  w.servingRuns > 0,
		}
		group.Single = w.failureStreak >= setAsideAfter
		if !s.reserved[w] && (!group.Single || !s.hasTriedRun(w, now)) && !s.hasTrial(w, now) {
			group.Free = w.freeCapacity().Max(sizer.Size{})
		}
		group.Ever = group.Free
		if query.Ever {
			group.Ever = w.capacityWithoutLasting()
		}
		if !query.AtLeast.Fits(group.Free) && !query.AtLeast.Fits(group.Ever) {
			continue
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
	return s.withoutGuests(query.Service, room)
}

// withoutGuests takes off the room what tasks of other owners' jobs are about to take, which have no
// run yet.
func (s *Scheduler) withoutGuests(service string, room Room) Room {
	for id := range s.guests {
		j := s.jobs[id]
		if j == nil || j.state.Final() || j.record.Queue.Service != service {
			continue
		}
		for _, st := range j.steps {
			if st.waiting > 0 {
				room.shrink(taskSize(st.phase), st.waiting)
			}
		}
		for _, g := range j.guest.grants {
			if !g.stored && g.Phase < len(j.record.Phases) {
				room.shrink(taskSize(&j.record.Phases[g.Phase]), len(g.Tasks))
			}
		}
	}
	return room
}

// shrink takes what n tasks need off the sums of the room.
func (r *Room) shrink(size sizer.Size, n int) {
	r.Spare = r.Spare.Sub(size.Times(int64(n))).Max(sizer.Size{})
	r.LongMilliCores = max(0, r.LongMilliCores-size.MilliCores()*int64(n))
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
	if milliCores := taskSize(st.phase).MilliCores(); !ever && st.yields && milliCores > 0 {
		n = min(n, int(k.room.LongMilliCores/milliCores))
	}
	return n
}

// largest returns the maximum of each resource that a worker of the room has.
func (k *knownRoom) largest() sizer.Size {
	var largest sizer.Size
	for _, g := range k.room.Groups {
		largest = largest.Max(g.Free).Max(g.Ever)
	}
	return largest
}

// take takes n tasks of the step off the room, from the groups that they fill best. A worker that
// gets any counts as full.
func (k *knownRoom) take(st *step, n int) {
	k.room.shrink(taskSize(st.phase), n)
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
