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

// slowStore makes one append at a time, each when it is let go.
type slowStore struct {
	storer.Store
	let     chan error
	entered chan int
}

func (s *slowStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	s.entered <- len(records)
	select {
	case err := <-s.let:
		if err != nil {
			return 0, err
		}
	case <-ctx.Done():
		return 0, storer.ErrUnknown
	}
	return s.Store.Append(context.WithoutCancel(ctx), to, writer, records...)
}

// TestSubmitsShareAnAppend answers the pattern of many callers at a slow store:
// what comes during one append is in the next.
func TestSubmitsShareAnAppend(t *testing.T) {
	c := qt.New(t)
	store := &slowStore{
		Store:   storer.NewMemory(timekeeper.System()),
		let:     make(chan error),
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
	store.let <- nil
	c.Assert(<-store.entered, qt.Equals, 9)
	store.let <- nil
	c.Assert(group.Wait(), qt.IsNil)
}

func (s *submitBatcher) queued(partition int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queues[partition].waiting)
}

// TestSubmitBehindASilentStoreIsNotStored has a caller behind an append that
// is not answered: its own record was never sent, and it is told so.
func TestSubmitBehindASilentStoreIsNotStored(t *testing.T) {
	c := qt.New(t)
	store := &slowStore{
		Store:   storer.NewMemory(timekeeper.System()),
		let:     make(chan error),
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
