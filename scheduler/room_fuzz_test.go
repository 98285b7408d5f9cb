package scheduler_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// FuzzRoomAnswer guards against a panic, or a grant of more tasks than wait, on whatever another
// owner says of its room.
func FuzzRoomAnswer(f *testing.F) {
	for _, rooms := range [][]scheduler.Room{
		nil,
		{{}},
		{
			{
				Spare: cores(8),
				Groups: []scheduler.RoomGroup{
					{
						Workers: 2,
						Free:    cores(4),
						Ever:    cores(4),
					},
				},
			},
		},
	} {
		var encoded bytes.Buffer
		qt.Assert(f, gob.NewEncoder(&encoded).Encode(rooms), qt.IsNil)
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		var rooms []scheduler.Room
		if err := gob.NewDecoder(bytes.NewReader(answer)).Decode(&rooms); err != nil {
			return
		}
		w := newCrowdedRig(t)
		phase := newPhase(3, cores(2))
		w.home.s.AddJob(w.home.job("waiting", phase), nil, false, w.home.now)
		gang := newPhase(3, cores(2))
		gang.Gang = true
		w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
		for range 15 {
			w.rounds(1, false)
			if queries := w.home.s.RoomRequests(w.home.now)[1]; len(queries) > 0 {
				w.home.s.RoomAnswered(1, queries, rooms, w.home.now, w.home.now)
			}
		}
		qt.Assert(t, w.home.s.GrantedTasks() <= 6, qt.IsTrue)
	})
}

// FuzzGrantMessage guards against a panic on whatever an owner says of the tasks that it leaves to
// this one, and of what became of tasks that this one left to it.
func FuzzGrantMessage(f *testing.F) {
	for number := range int64(3) {
		var encoded bytes.Buffer
		qt.Assert(f, gob.NewEncoder(&encoded).Encode(scheduler.GrantMessage{
			Grant: scheduler.Grant{
				Number: number,
				Tasks:  []int{0, -1, 1 << 40},
				Failed: map[int]int{
					0:  1 << 40,
					-1: -1,
				},
			},
			Checkpoints: map[int]string{
				0: "c",
				7: "d",
			},
		}), qt.IsNil)
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var told scheduler.GrantMessage
		if err := gob.NewDecoder(bytes.NewReader(message)).Decode(&told); err != nil {
			return
		}
		w := newWideRig(t)
		job := w.home.job("told", newPhase(2, cores(1)))
		for range 3 {
			w.delegate.s.ServeHome(scheduler.DelegationRequest{
				Token: 1,
				Jobs: []scheduler.DelegatedJob{
					{
						ID:     "told",
						Job:    &job,
						Grants: []scheduler.GrantMessage{told},
					},
				},
			}, w.delegate.now)
			w.rounds(5, false)
		}
	})
}
