// Package compactor publishes again what is still in force, before the log's
// retention drops it, and brings a state up from what was published: from the
// log, or from a peer while the log is out of reach.
//
// One process at a time publishes: the members are ranked by rendezvous
// hashing, and each waits for those before it. An unfinished snapshot harms
// nobody, since only whole ones count and the last whole one is still kept.
package compactor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

// The errors of the package.
var (
	// ErrNoSnapshot is returned where neither the log nor a peer has a whole
	// snapshot that is ahead of the state.
	ErrNoSnapshot = errors.New("compactor: no snapshot found")
	// ErrPublish is returned where a snapshot was not published.
	ErrPublish = errors.New("compactor: snapshot not published")
)

const (
	// ownerKey is the key whose owner publishes first.
	ownerKey        = "snapshot"
	defaultInterval = time.Hour
	defaultRecords  = 20_000
	defaultTerm     = 30 * time.Second
	defaultCheck    = 10 * time.Second
	publishTimeout  = 30 * time.Second
)

// Caller makes calls to peers. messenger.Pool is one.
type Caller interface {
	// Call calls a method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Compactor publishes and recovers snapshots of one state.
type Compactor struct {
	self  string
	log   connector.Log
	state *replayer.State

	members  func() []string
	peers    func() []string
	caller   Caller
	append   func(context.Context, ...recorder.Record) error
	oldest   func() namer.Offset
	clock    timekeeper.Clock
	logger   log.Interface
	metrics  *metrics
	interval time.Duration
	records  int
	term     time.Duration
	check    time.Duration
	outage   connector.Outage

	mu sync.Mutex
	// dueSince is since when a snapshot is due, zero if none is.
	dueSince time.Time
}

// Option changes how a Compactor works.
type Option func(*Compactor)

// Members sets where the names of all members of the cell are asked for. By
// default this process is the only one.
func Members(members func() []string) Option {
	return func(c *Compactor) {
		c.members = members
	}
}

// Peers sets how a peer's snapshot is fetched: the addresses to try, in that
// order, and what calls them. By default no peer is asked.
func Peers(peers func() []string, caller Caller) Option {
	return func(c *Compactor) {
		c.peers = peers
		c.caller = caller
	}
}

// Append sets how the records of a snapshot are appended to the control stream,
// next to each other. By default nothing is published.
func Append(appendAll func(context.Context, ...recorder.Record) error) Option {
	return func(c *Compactor) {
		c.append = appendAll
	}
}

// Oldest sets where the oldest offset that the log keeps is asked for.
func Oldest(oldest func() namer.Offset) Option {
	return func(c *Compactor) {
		c.oldest = oldest
	}
}

// Interval sets how old the last snapshot may become, and how many records may
// follow it. The default is an hour and 20,000. The log must keep records for
// several times as long.
func Interval(age time.Duration, records int) Option {
	return func(c *Compactor) {
		c.interval = age
		c.records = records
	}
}

// Term sets how long each member waits for the one before it. The default is
// 30 s.
func Term(term time.Duration) Option {
	return func(c *Compactor) {
		c.term = term
	}
}

// Check sets how often the compactor looks whether a snapshot is due. The
// default is 10 s.
func Check(check time.Duration) Option {
	return func(c *Compactor) {
		c.check = check
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(c *Compactor) {
		c.clock = clock
	}
}

// Logger sets where the compactor logs. By default it does not.
func Logger(logger log.Interface) Option {
	return func(c *Compactor) {
		c.logger = logger
	}
}

// Metrics sets where the compactor registers its metrics. By default it does
// not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(c *Compactor) {
		c.metrics.register(registerer)
	}
}

// New returns a compactor of the state for the member with the name.
func New(self string, platform connector.Log, state *replayer.State, opts ...Option) *Compactor {
	c := &Compactor{
		self:    self,
		log:     platform,
		state:   state,
		members: func() []string { return []string{self} },
		peers:   func() []string { return nil },
		oldest:  func() namer.Offset { return 0 },
		clock:   timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		metrics:  newMetrics(),
		interval: defaultInterval,
		records:  defaultRecords,
		term:     defaultTerm,
		check:    defaultCheck,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run publishes whatever is due until the context has ended, and returns the
// context's error.
func (c *Compactor) Run(ctx context.Context) error {
	return timekeeper.Every(ctx, c.clock, c.check, func(ctx context.Context) {
		_, err := c.Publish(ctx)
		c.note(err)
	})
}

// note logs the beginning and the end of a time in which nothing is published.
func (c *Compactor) note(err error) {
	now := c.clock.Now()
	if err != nil && c.outage.Fail(now) {
		c.logger.WithError(err).Warn("compactor: snapshot not published")
	}
	if err != nil {
		return
	}
	if length, ended := c.outage.Work(now); ended {
		c.logger.Infof("compactor: publishing works again after %v", length)
	}
}

// Publish publishes a snapshot if one is due and it is this process's turn. It
// reports whether it did.
func (c *Compactor) Publish(ctx context.Context) (bool, error) {
	c.metrics.observe(c.state.Published(), c.oldest())
	if c.append == nil || !c.isTurn() {
		return false, nil
	}
	records, err := c.snapshot()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := c.append(ctx, records...); err != nil {
		c.metrics.failed.Inc()
		return false, errors.WithStack(fmt.Errorf("%w: publish: %w", ErrPublish, err))
	}
	c.metrics.published.Inc()
	c.logger.Infof("compactor: published a snapshot of %d parts", len(records))
	c.clearDue()
	return true, nil
}

// snapshot returns the records of a new snapshot.
func (c *Compactor) snapshot() ([]recorder.Record, error) {
	parts, err := c.state.Snapshot()
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: encode: %w", ErrPublish, err))
	}
	records := make([]recorder.Record, 0, len(parts))
	for _, part := range parts {
		id := fmt.Sprintf("%s.%d", part.Set, part.Part)
		records = append(records, recorder.New(id, c.self, c.clock.Now(), part))
	}
	return records, nil
}

// isTurn reports whether a snapshot has been due for so long that the members
// before this one have had their terms.
func (c *Compactor) isTurn() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isDue(now) {
		c.dueSince = time.Time{}
		return false
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	rank, ok := rankOf(c.self, c.members())
	if !ok {
		return false
	}
	return now.Sub(c.dueSince) >= time.Duration(rank)*c.term
}

// clearDue lets the members' terms begin anew, until the snapshot that was
// published is read back.
func (c *Compactor) clearDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dueSince = c.clock.Now().Add(c.term)
}

// isDue reports whether the last snapshot is too old, has too many records
// after it, or lies in the older half of what the log keeps.
func (c *Compactor) isDue(now time.Time) bool {
	offset := c.state.Offset()
	if offset == 0 {
		return false
	}
	last := c.state.Published()
	if last.Through() == 0 {
		return true
	}
	if now.Sub(last.Made()) >= c.interval || offset-last.Through() >= namer.Offset(c.records) {
		return true
	}
	oldest := c.oldest()
	dropped := oldest > 1
	return dropped && last.Through() < oldest+(offset-min(oldest, offset))/2
}

// rankOf returns the place of the name among the members, in the order in which
// they own the snapshot one after another.
func rankOf(name string, members []string) (int, bool) {
	left := slices.Clone(members)
	for rank := 0; ; rank++ {
		owner, ok := namer.Owner(ownerKey, left)
		if !ok {
			return 0, false
		}
		if owner == name {
			return rank, true
		}
		left = slices.DeleteFunc(left, func(member string) bool {
			return member == owner
		})
	}
}
