package coordinator

import (
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/galenacove/galenacove/scheduler"
)

const (
	// minSlowAdvice is the duration up to which a call for advice never counts as slow.
	// Quick calls to another data centre take several times their cost.
	minSlowAdvice = 250 * time.Millisecond
	// adviceLineInterval is the shortest time between two log lines of an owner on calls
	// for advice of the same kind.
	adviceLineInterval = time.Second
)

// adviceTry is one try of a call for advice, which ended with err.
type adviceTry struct {
	entry string
	took  time.Duration
	err   error
}

// String implements fmt.Stringer.
func (t adviceTry) String() string {
	outcome := "answered"
	if t.err != nil {
		outcome = t.err.Error()
	}
	return fmt.Sprintf("%s %v %s", t.entry, t.took.Round(time.Millisecond), outcome)
}

// adviceLineKind is a kind of call that has log lines of its own, so that many quick or
// slow calls do not hide those that were repeated.
type adviceLineKind struct {
	quick, repeated bool
}

// adviceLines counts the lines of one kind that were left out since the last one.
type adviceLines struct {
	loggedAt time.Time
	omitted  int
}

// logTries logs a call that took several tries, or longer than twice its cost and
// minSlowAdvice, at most once per adviceLineInterval for each kind.
func (a *partitionAdviser) logTries(order scheduler.AskAdvice, began time.Time, tries []adviceTry) {
	now := a.entryPool.coordinator.settings.clock.Now()
	took := now.Sub(began)
	repeated := len(tries) > 1
	if !repeated && took <= max(2*order.Cost, minSlowAdvice) {
		return
	}
	omitted, allowed := a.allowLine(adviceLineKind{
		quick:    order.Cost <= scheduler.MaxQuickCallDuration,
		repeated: repeated,
	}, now)
	if !allowed {
		return
	}
	texts := make([]string, 0, len(tries))
	for _, try := range tries {
		texts = append(texts, try.String())
	}
	a.entryPool.coordinator.settings.logger.WithFields(log.Fields{
		"id":        order.Step.Job,
		"step":      order.Step.String(),
		"partition": a.partition,
		"purpose":   order.Purpose.String(),
		"asked":     len(order.Workers),
		"costMs":    order.Cost.Milliseconds(),
		"tookMs":    took.Milliseconds(),
		"tries":     len(tries),
		"tried":     strings.Join(texts, "; "),
		"omitted":   omitted,
	}).Info("coordinator: a call for advice took long or was repeated")
}

// allowLine reports whether a line of that kind may be logged, and how many were left out
// since the last one.
func (a *partitionAdviser) allowLine(kind adviceLineKind, now time.Time) (omitted int, allowed bool) {
	a.entryPool.mu.Lock()
	defer a.entryPool.mu.Unlock()
	lines := a.lines[kind]
	if lines == nil {
		lines = &adviceLines{}
		a.lines[kind] = lines
	}
	if now.Sub(lines.loggedAt) < adviceLineInterval {
		lines.omitted++
		return 0, false
	}
	omitted = lines.omitted
	*lines = adviceLines{
		loggedAt: now,
	}
	return omitted, true
}
