package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// creditTerm is how long a credit is lent. maxBorrowed is the most credits
	// that are lent at once.
	creditTerm  = 200 * time.Millisecond
	maxBorrowed = 4
)

// slotShares is an alternative to owners, for comparison. A credit is the right to
// have one request at a minion. Each entry has credits for a share of every minion's
// slots, and lends credits to other entries for a term.
type slotShares struct {
	cluster *measuredCluster
	mu      sync.Mutex
	// credits is the number of credits that each entry may use now, by minion.
	credits [measureEntries][measureMinions]int
	// queues holds the waiting requests of each entry, in order of arrival. Each
	// channel receives the index of the minion for which the request gets a credit.
	queues [measureEntries][]chan int
	// borrowing is set while an entry asks another one for credits.
	borrowing [measureEntries]bool
}

func newSlotShares(l *measuredCluster) system {
	s := &slotShares{
		cluster: l,
	}
	for e := range s.credits {
		for m := range s.credits[e] {
			s.credits[e][m] = defaultSlots / measureEntries
		}
	}
	return s
}

func (s *slotShares) stop() {}

// takeCredit takes one of the entry's credits, for the one of two random minions for
// which it has more. It returns the minion's index, and false if there is no credit.
func (s *slotShares) takeCredit(entry int) (int, bool) {
	var available []int
	for m, n := range s.credits[entry] {
		if n > 0 {
			available = append(available, m)
		}
	}
	if len(available) == 0 {
		return 0, false
	}
	a, b := available[rand.IntN(len(available))], available[rand.IntN(len(available))]
	if s.credits[entry][b] > s.credits[entry][a] {
		a = b
	}
	s.credits[entry][a]--
	return a, true
}

// giveCredit gives a credit for minion m to the entry's first waiting request. If none
// waits, it adds the credit to those that the entry may use.
func (s *slotShares) giveCredit(entry, m int) {
	if len(s.queues[entry]) == 0 {
		s.credits[entry][m]++
		return
	}
	s.queues[entry][0] <- m
	s.queues[entry] = s.queues[entry][1:]
}

// borrow lends the entry credits of the entry that has the most. Each credit goes back
// after creditTerm, as soon as it is unused.
func (s *slotShares) borrow(entry int) {
	time.Sleep(2 * measureMessageDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrowing[entry] = false
	lender, most := -1, 0
	for e := range s.credits {
		sum := 0
		for _, n := range s.credits[e] {
			sum += n
		}
		if e != entry && sum > most {
			lender, most = e, sum
		}
	}
	if lender < 0 {
		return
	}
	for range min(maxBorrowed, (most+1)/2) {
		m, ok := s.takeCredit(lender)
		if !ok {
			return
		}
		s.giveCredit(entry, m)
		time.AfterFunc(creditTerm, func() { s.returnCredit(lender, entry, m) })
	}
}

// returnCredit returns a credit for minion m to the lender. If the borrower uses all
// its credits for the minion, returnCredit tries again after measureMessageDelay.
func (s *slotShares) returnCredit(lender, borrower, m int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits[borrower][m] == 0 {
		time.AfterFunc(measureMessageDelay, func() { s.returnCredit(lender, borrower, m) })
		return
	}
	s.credits[borrower][m]--
	s.giveCredit(lender, m)
}

func (s *slotShares) do(ctx context.Context, entry int, nominal time.Duration) error {
	var err error
	for range maxAttempts {
		err = s.try(ctx, entry, nominal)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// try waits for a credit and sends the request to its minion.
func (s *slotShares) try(ctx context.Context, entry int, nominal time.Duration) error {
	s.mu.Lock()
	m, ok := s.takeCredit(entry)
	if !ok {
		grant := make(chan int, 1)
		s.queues[entry] = append(s.queues[entry], grant)
		if !s.borrowing[entry] {
			s.borrowing[entry] = true
			time.AfterFunc(0, func() { s.borrow(entry) })
		}
		s.mu.Unlock()
		select {
		case m = <-grant:
		case <-ctx.Done():
			return s.leaveQueue(entry, grant, ctx.Err())
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	err := s.cluster.serve(ctx, m, nominal)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveCredit(entry, m)
	return err
}

// leaveQueue removes a request from the queue. If the request has been given a credit
// in the meantime, leaveQueue gives it to the next one. It returns err.
func (s *slotShares) leaveQueue(entry int, grant chan int, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queues[entry] {
		if other == grant {
			s.queues[entry] = append(s.queues[entry][:i], s.queues[entry][i+1:]...)
			return err
		}
	}
	s.giveCredit(entry, <-grant)
	return err
}
