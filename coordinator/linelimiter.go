package coordinator

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// oddLineInterval is the shortest time between two log lines on records of other writers that
// cannot be used.
const oddLineInterval = time.Second

// lineLimiter limits the log lines of one kind to one in each interval.
type lineLimiter struct {
	mu sync.Mutex
	// loggedAt is the time of the last line, and omitted counts those left out since then.
	loggedAt time.Time
	omitted  int
}

// allow reports whether a line may be logged, and how many were left out since the last one.
func (l *lineLimiter) allow(interval time.Duration, now time.Time) (omitted int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < interval {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.loggedAt, l.omitted = now, 0
	return omitted, true
}

// logOdd logs that a record of another writer is ignored, at most once per oddLineInterval. The
// error says which record, and why.
func (c *Coordinator) logOdd(err error) {
	omitted, allowed := c.oddLines.allow(oddLineInterval, c.settings.clock.Now())
	if !allowed {
		return
	}
	c.settings.logger.WithError(err).WithFields(log.Fields{
		"omitted": omitted,
	}).Warn("coordinator: an entry of another writer is ignored")
}
