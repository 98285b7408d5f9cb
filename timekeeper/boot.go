package timekeeper

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// BootClock measures time by a clock that never goes back and that keeps running while
// the host is suspended, unlike the monotonic reading of time.Time.
type BootClock interface {
	// SinceBoot returns the time since an arbitrary point that is fixed until the
	// process ends.
	SinceBoot() time.Duration
}

// SystemBoot returns the boot-time clock of the host.
func SystemBoot() BootClock {
	return systemBootClock{}
}

type systemBootClock struct{}

func (systemBootClock) SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// All kernels that Go supports have this clock.
		panic(errors.Wrap(err, "timekeeper: read the boot-time clock"))
	}
	return time.Duration(now.Nano())
}

// FakeBoot is a BootClock that moves only when Advance is called. It is safe for
// concurrent use.
type FakeBoot struct {
	mu        sync.Mutex
	sinceBoot time.Duration
}

// NewFakeBoot returns a clock that shows the given time.
func NewFakeBoot(sinceBoot time.Duration) *FakeBoot {
	return &FakeBoot{
		sinceBoot: sinceBoot,
	}
}

// SinceBoot implements BootClock.
func (f *FakeBoot) SinceBoot() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sinceBoot
}

// Advance moves the clock forward by d.
func (f *FakeBoot) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sinceBoot += d
}
