package storer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

var partition = storer.Partition{
	Topic: "t",
}

func TestAllNewestReadsAllPages(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	ctx := context.Background()
	for i := range 1234 {
		_, err := store.Append(ctx, partition, nil, storer.Record{
			Key:   fmt.Sprintf("k%04d", i),
			Value: []byte("v"),
		})
		c.Assert(err, qt.IsNil)
	}
	store.Trim(partition, 1000)
	_, err := store.Read(ctx, partition, 999, 0)
	c.Assert(err, qt.ErrorIs, storer.ErrTrimmed)
	records, end, err := storer.AllNewest(ctx, store, partition)
	c.Assert(err, qt.IsNil)
	c.Assert(end, qt.Equals, int64(1234))
	c.Assert(records, qt.HasLen, 1234)
}

func TestAppendAtHasOneWinner(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	ctx := context.Background()
	record := storer.Record{
		Key:   "k",
		Value: []byte("v"),
	}
	_, err := store.AppendAt(ctx, partition, 0, record)
	c.Assert(err, qt.IsNil)
	_, err = store.AppendAt(ctx, partition, 0, record)
	c.Assert(err, qt.ErrorIs, storer.ErrConflict)
}

// TestAppendAtHasOneWinnerOfARace checks that of several appends at the same end
// offset at the same time one succeeds.
func TestAppendAtHasOneWinnerOfARace(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	for end := range int64(2000) {
		var winners atomic.Int64
		var group errgroup.Group
		for range 8 {
			group.Go(func() error {
				_, err := store.AppendAt(context.Background(), partition, end, storer.Record{
					Key:   "k",
					Value: []byte("v"),
				})
				if err == nil {
					winners.Add(1)
				}
				return nil
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(winners.Load(), qt.Equals, int64(1), qt.Commentf("at offset %d", end))
	}
}

// TestPartitionHasOneHolder checks that a partition never has two owners: when a
// member joins while another owns all partitions, it gets its share only after
// the former owner has seen the new generation.
func TestPartitionHasOneHolder(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	store := storer.NewMemory(clock, storer.Partitions(4))
	ctx := context.Background()
	join := func(member string, generation int64) storer.Assignment {
		assignment, err := store.Join(ctx, "g", member, []string{"t"}, time.Second, generation)
		c.Assert(err, qt.IsNil)
		return assignment
	}
	first := join("a", 0)
	c.Assert(first.Partitions, qt.HasLen, 4)
	second := join("b", 0)
	c.Assert(second.Partitions, qt.HasLen, 0)
	first = join("a", second.Generation)
	c.Assert(first.Partitions, qt.HasLen, 2)
	c.Assert(join("b", second.Generation).Partitions, qt.HasLen, 2)
	// A member that does not join again in time loses its partitions.
	clock.Advance(900 * time.Millisecond)
	join("a", first.Generation)
	clock.Advance(200 * time.Millisecond)
	c.Assert(join("a", first.Generation).Partitions, qt.HasLen, 4)
}

// TestPartitionIsDealtOnceInAGeneration guards against a model of the store that is worse than
// the store: a partition that moves twice within a heartbeat was listed to two members in one
// generation, which then wrote with the same epoch.
func TestPartitionIsDealtOnceInAGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type dealt struct {
			generation int64
			partition  storer.Partition
		}
		const group, ttl = "g", time.Second
		clock := timekeeper.NewFake(time.Unix(0, 0))
		store := storer.NewMemory(clock, storer.Partitions(4))
		ctx := context.Background()
		generations := make(map[string]int64)
		holders := make(map[dealt]string)
		member := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				name := member.Draw(t, "member")
				assignment, err := store.Join(ctx, group, name, []string{"t"}, ttl, generations[name])
				if err != nil {
					t.Fatal(err)
				}
				if assignment.Generation < generations[name] {
					t.Fatalf("generation %d after %d", assignment.Generation, generations[name])
				}
				if rapid.Bool().Draw(t, "answered") {
					generations[name] = assignment.Generation
				}
				for _, part := range assignment.Partitions {
					key := dealt{
						generation: assignment.Generation,
						partition:  part,
					}
					if other, found := holders[key]; found && other != name {
						t.Fatalf("%v is dealt to %s and %s in generation %d", part, other, name, assignment.Generation)
					}
					holders[key] = name
				}
			},
			"leave": func(t *rapid.T) {
				if err := store.Leave(ctx, group, member.Draw(t, "member")); err != nil {
					t.Fatal(err)
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"revoke": func(*rapid.T) {
				store.Revoke(group)
			},
		})
	})
}

// TestMemoryServesNoCallWithoutTime guards against a stand-in that answers calls whose time is over, behind which a call
// that never gets an answer passes its test (issue 78).
func TestMemoryServesNoCallWithoutTime(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	partition := storer.Partition{
		Topic: "t",
	}
	calls := map[string]func() error{
		"append":    func() error { _, err := store.Append(ctx, partition, nil); return err },
		"append at": func() error { _, err := store.AppendAt(ctx, partition, 0); return err },
		"read":      func() error { _, err := store.Read(ctx, partition, 0, 0); return err },
		"newest":    func() error { _, err := store.Newest(ctx, partition, ""); return err },
		"join":      func() error { _, err := store.Join(ctx, "g", "m", nil, time.Second, 0); return err },
		"leave":     func() error { return store.Leave(ctx, "g", "m") },
		"owners":    func() error { _, err := store.Owners(ctx, "g"); return err },
	}
	for name, call := range calls {
		c.Check(call(), qt.ErrorIs, storer.ErrUnavailable, qt.Commentf(name))
	}
}
