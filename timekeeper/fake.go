package timekeeper

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance is called. It is safe for
// concurrent use.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*fakeTimer]struct{}
}

// NewFake returns a clock whose current time is start.
func NewFake(start time.Time) *Fake {
	return &Fake{
		now:    start,
		timers: make(map[*fakeTimer]struct{}),
	}
}

// Now returns the current time of the clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer returns a timer that fires when the clock has been advanced by d. It
// fires immediately if d is not positive.
func (f *Fake) NewTimer(d time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{
		clock: f,
		due:   f.now.Add(d),
		c:     make(chan time.Time, 1),
	}
	if d <= 0 {
		t.c <- f.now
		return t
	}
	f.timers[t] = struct{}{}
	return t
}

// Advance moves the clock forward by d and fires every timer that is due by then.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for t := range f.timers {
		if t.due.After(f.now) {
			continue
		}
		delete(f.timers, t)
		t.c <- f.now
	}
}

// PendingTimers returns the number of timers that have neither fired nor been
// stopped. A test can poll it to advance the clock only after a goroutine has
// set a timer.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

type fakeTimer struct {
	clock *Fake
	due   time.Time
	c     chan time.Time
}

func (t *fakeTimer) C() <-chan time.Time {
	return t.c
}

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}
