package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// slowStore makes one append at a time, each when it is released.
type slowStore struct {
	storer.Store
	release chan error
	entered chan int
}

func (s *slowStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	s.entered <- len(records)
	select {
	case err := <-s.release:
		if err != nil {
			return 0, err
		}
	case <-ctx.Done():
		return 0, storer.ErrUnknown
	}
	return s.Store.Append(context.WithoutCancel(ctx), to, writer, records...)
}

// TestSubmitsShareAnAppend guards against one append per caller at a slow store:
// all records that arrive during one append must be in the next.
func TestSubmitsShareAnAppend(t *testing.T) {
	c := qt.New(t)
	store := &slowStore{
		Store:   storer.NewMemory(timekeeper.System()),
		release: make(chan error),
		entered: make(chan int, 10),
	}
	s := newSubmitBatcher(store)
	var group errgroup.Group
	submit := func(i int) {
		group.Go(func() error {
			return s.append(context.Background(), 3, storer.Record{
				Key:   fmt.Sprintf("job%d", i),
				Value: []byte("x"),
			})
		})
	}
	submit(0)
	c.Assert(<-store.entered, qt.Equals, 1)
	for i := 1; i <= 9; i++ {
		submit(i)
	}
	for s.queued(3) < 9 {
		time.Sleep(time.Millisecond)
	}
	store.release <- nil
	c.Assert(<-store.entered, qt.Equals, 9)
	store.release <- nil
	c.Assert(group.Wait(), qt.IsNil)
}

func (s *submitBatcher) queued(partition int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queues[partition].waiting)
}

// TestSubmitBehindASilentStoreIsNotStored checks a caller that waits behind an
// append without an answer: its record is never sent, and the error says so.
func TestSubmitBehindASilentStoreIsNotStored(t *testing.T) {
	c := qt.New(t)
	store := &slowStore{
		Store:   storer.NewMemory(timekeeper.System()),
		release: make(chan error),
		entered: make(chan int, 10),
	}
	s := newSubmitBatcher(store)
	var group errgroup.Group
	group.Go(func() error {
		err := s.append(context.Background(), 0, storer.Record{
			Key: "first",
		})
		if !errors.Is(err, storer.ErrUnknown) {
			return fmt.Errorf("first: %w", err)
		}
		return nil
	})
	<-store.entered
	err := s.append(context.Background(), 0, storer.Record{
		Key: "second",
	})
	c.Assert(errors.Is(err, storer.ErrUnavailable), qt.IsTrue)
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(store.entered, qt.HasLen, 0)
}

// TestSubmitsAreDividedAmongAppends guards against an append that the store rejects as too
// large, with jobs that it would take one by one.
func TestSubmitsAreDividedAmongAppends(t *testing.T) {
	c := qt.New(t)
	store := &slowStore{
		Store:   storer.NewMemory(timekeeper.System()),
		release: make(chan error),
		entered: make(chan int, 10),
	}
	s := newSubmitBatcher(store)
	var group errgroup.Group
	submit := func(i int) {
		group.Go(func() error {
			return s.append(context.Background(), 3, storer.Record{
				Key:   fmt.Sprintf("job%d", i),
				Value: make([]byte, 250_000),
			})
		})
	}
	submit(0)
	c.Assert(<-store.entered, qt.Equals, 1)
	for i := 1; i <= 9; i++ {
		submit(i)
	}
	for s.queued(3) < 9 {
		time.Sleep(time.Millisecond)
	}
	store.release <- nil
	// A call takes 2 MiB.
	for _, records := range []int{8, 1} {
		c.Assert(<-store.entered, qt.Equals, records)
		store.release <- nil
	}
	c.Assert(group.Wait(), qt.IsNil)
}
