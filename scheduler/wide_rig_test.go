package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenacove/galenacove/scheduler"
)

// wideRig is a home owner and a delegate, each with two workers.
type wideRig struct {
	home, delegate *rig
	mark           scheduler.Mark
}

func newWideRig(t *testing.T) *wideRig {
	w := &wideRig{
		home:     newRig(t),
		delegate: newRig(t),
	}
	for i := range 2 {
		w.home.addWorker(fmt.Sprintf("home%d", i), cores(4))
		w.delegate.addWorker(fmt.Sprintf("other%d", i), cores(4))
	}
	for _, r := range []*rig{w.home, w.delegate} {
		r.updateDirectory()
		r.renewLeases()
		r.tick()
	}
	w.home.s.SetDelegates(0, map[string][]int{
		"desk": {1},
	})
	return w
}

// lastingApart returns a job of lasting tasks, one on each worker.
func (w *wideRig) lastingApart(id string, tasks int) scheduler.Job {
	phase := newPhase(tasks, cores(1))
	phase.Lasting = true
	phase.PerWorker = 1
	return w.home.job(id, phase)
}

// request returns what the home owner would tell the delegate.
func (w *wideRig) request() (scheduler.DelegationRequest, bool) {
	requests, _ := w.home.s.DelegationRequests(w.home.now)
	request, found := requests[1]
	request.Mark = w.mark
	return request, found
}

// askRoom lets the home owner ask the delegate for its room, if that is due.
func (w *wideRig) askRoom() {
	if queries := w.home.s.RoomRequests(w.home.now)[1]; len(queries) > 0 {
		w.home.s.RoomAnswered(1, queries, roomsOf(w.delegate.s, queries, w.delegate.now), w.home.now, w.home.now)
	}
}

// roomsOf returns what an owner answers to another one's queries.
func roomsOf(s *scheduler.Scheduler, queries []scheduler.RoomQuery, now time.Time) []scheduler.Room {
	var rooms []scheduler.Room
	for _, query := range queries {
		rooms = append(rooms, s.Room(query, now))
	}
	return rooms
}

func (w *wideRig) call() {
	if request, found := w.request(); found {
		reply := w.delegate.s.ServeHome(request, w.delegate.now)
		w.mark = reply.Mark
		w.home.s.DelegationAnswered(1, request, reply, w.home.now)
	}
}

// rounds lets both owners act for n times 100 ms.
func (w *wideRig) rounds(n int, calls bool) {
	for range n {
		w.home.round()
		w.delegate.round()
		if calls {
			w.askRoom()
			w.call()
		}
		w.home.write()
		w.delegate.write()
	}
}
