package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lendFor is the term of a lent credit, lendMost how many are asked for.
	lendFor  = 200 * time.Millisecond
	lendMost = 4
)

// shares is the way that was weighed against owners: each entry has a share of
// every minion's slots, and lends credits to the others for a term.
type shares struct {
	cell *simCell
	mu   sync.Mutex
	// free are the credits that an entry may use now, by minion.
	free [measureEntries][measureMinions]int
	// queues are the requests that wait at each entry, in their order.
	queues [measureEntries][]chan int
	// asking is set while an entry asks others for credits.
	asking [measureEntries]bool
}

func newShares(l *simCell) system {
	s := &shares{
		cell: l,
	}
	for e := range s.free {
		for m := range s.free[e] {
			s.free[e][m] = defaultSlots / measureEntries
		}
	}
	return s
}

func (s *shares) stop() {}

// take uses a credit of the entry: the better of two minions at random.
func (s *shares) take(entry int) (int, bool) {
	var with []int
	for m, n := range s.free[entry] {
		if n > 0 {
			with = append(with, m)
		}
	}
	if len(with) == 0 {
		return 0, false
	}
	a, b := with[rand.IntN(len(with))], with[rand.IntN(len(with))]
	if s.free[entry][b] > s.free[entry][a] {
		a = b
	}
	s.free[entry][a]--
	return a, true
}

// give hands a credit to the first that waits, or keeps it.
func (s *shares) give(entry, m int) {
	if len(s.queues[entry]) == 0 {
		s.free[entry][m]++
		return
	}
	s.queues[entry][0] <- m
	s.queues[entry] = s.queues[entry][1:]
}

// borrow asks the entry with the most free credits for some. They go back when
// their term has passed and they are free.
func (s *shares) borrow(entry int) {
	time.Sleep(2 * measureHop)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking[entry] = false
	lender, most := -1, 0
	for e := range s.free {
		sum := 0
		for _, n := range s.free[e] {
			sum += n
		}
		if e != entry && sum > most {
			lender, most = e, sum
		}
	}
	if lender < 0 {
		return
	}
	for range min(lendMost, (most+1)/2) {
		m, ok := s.take(lender)
		if !ok {
			return
		}
		s.give(entry, m)
		time.AfterFunc(lendFor, func() { s.takeBack(lender, entry, m) })
	}
}

func (s *shares) takeBack(lender, borrower, m int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free[borrower][m] == 0 {
		time.AfterFunc(measureHop, func() { s.takeBack(lender, borrower, m) })
		return
	}
	s.free[borrower][m]--
	s.give(lender, m)
}

func (s *shares) do(ctx context.Context, entry int, nominal time.Duration) error {
	var err error
	for range maxAttempts {
		err = s.try(ctx, entry, nominal)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (s *shares) try(ctx context.Context, entry int, nominal time.Duration) error {
	s.mu.Lock()
	m, ok := s.take(entry)
	if !ok {
		got := make(chan int, 1)
		s.queues[entry] = append(s.queues[entry], got)
		if !s.asking[entry] {
			s.asking[entry] = true
			time.AfterFunc(0, func() { s.borrow(entry) })
		}
		s.mu.Unlock()
		select {
		case m = <-got:
		case <-ctx.Done():
			return s.leave(entry, got, ctx.Err())
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	err := s.cell.serve(ctx, m, nominal)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.give(entry, m)
	return err
}

// leave takes a request out of the queue.
func (s *shares) leave(entry int, got chan int, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queues[entry] {
		if other == got {
			s.queues[entry] = append(s.queues[entry][:i], s.queues[entry][i+1:]...)
			return err
		}
	}
	s.give(entry, <-got)
	return err
}
