package timekeeper

import (
	"time"
)

// minSuspension is the shortest suspension that is told from the time between the readings of two
// clocks.
const minSuspension = 10 * time.Millisecond

// SuspensionMeter measures for how long the host is suspended. A Clock does not count that time, a
// BootClock does.
type SuspensionMeter struct {
	clock Clock
	boot  BootClock
	// lastBoot is the reading of the last call, and lastNow one of the Clock just after it, so that
	// a pause between the two hides nothing of the next suspension.
	lastNow  time.Time
	lastBoot time.Duration
}

// NewSuspensionMeter returns a meter that begins now. Without a BootClock it measures nothing.
func NewSuspensionMeter(clock Clock, boot BootClock) *SuspensionMeter {
	m := &SuspensionMeter{
		clock: clock,
		boot:  boot,
	}
	m.Read()
	return m
}

// Read returns the time by the Clock, and for how long the host was suspended since the last call. It
// counts a pause of the process between the two readings too.
func (m *SuspensionMeter) Read() (now time.Time, suspended time.Duration) {
	now = m.clock.Now()
	if m.boot == nil {
		return now, 0
	}
	boot := m.boot.SinceBoot()
	suspended = boot - m.lastBoot - now.Sub(m.lastNow)
	m.lastNow, m.lastBoot = m.clock.Now(), boot
	if suspended < minSuspension {
		return now, 0
	}
	return now, suspended
}
