package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// adviceLimiter makes the calls for advice that go through this entry, for owners
// in this process and in other entries, and limits how many are under way. The
// adviser serves them one at a time. Only this entry knows how many there are, so
// each reply reports how long the calls still under way should take.
type adviceLimiter struct {
	clock  timekeeper.Clock
	advise Advise

	mu sync.Mutex
	// idleAt is the time at which the calls under way should have been answered.
	idleAt time.Time
	calls  int
}

// maxAdviceCalls is the number of calls that an entry may have under way, one of
// which the adviser serves. A long call that waits behind two others would reach
// its timeout.
const maxAdviceCalls = 2

// call asks the adviser. If too many calls are under way, it refuses the call.
func (l *adviceLimiter) call(ctx context.Context, args AdviseArgs) (AdviseReply, error) {
	if busy, begun := l.begin(args.Cost); !begun {
		return AdviseReply{
			Refused: true,
			Busy:    busy,
		}, nil
	}
	var reply AdviseReply
	var err error
	reply.Approved, reply.Validity, err = l.advise(ctx, args.Step, args.Workers)
	reply.Busy = l.end()
	return reply, err
}

// begin counts a call and returns true, unless it refuses the call because too
// many are under way. In that case it returns how long these should take, and
// false. Quick calls are never refused.
func (l *adviceLimiter) begin(cost time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	if l.calls >= maxAdviceCalls && cost > scheduler.MaxQuickCallDuration {
		return l.idleAt.Sub(now), false
	}
	l.idleAt = l.idleAt.Add(cost)
	l.calls++
	return 0, true
}

// end counts the end of a call. It returns how long the remaining calls should
// take.
func (l *adviceLimiter) end() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	now := l.clock.Now()
	if l.calls == 0 {
		l.idleAt = now
	}
	return max(0, l.idleAt.Sub(now))
}
