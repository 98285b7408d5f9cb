// Package compactor publishes snapshots of the replicated state to the control
// stream before the log's retention drops the records that the state depends
// on. It also restores a state from the latest snapshot in the log, or from a
// peer while the log is unreachable.
//
// Normally one process publishes: the members are ranked by rendezvous hashing,
// and each publishes only if those ranked before it have not done so in their
// terms. An incomplete snapshot in the log does no harm, since only complete ones
// are used and the previous complete one is still kept.
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
	// ErrNoSnapshot is returned when neither the log nor a peer has a complete
	// snapshot that is ahead of the state.
	ErrNoSnapshot = errors.New("compactor: no snapshot found")
	// ErrPublish is returned when a snapshot could not be published.
	ErrPublish = errors.New("compactor: snapshot not published")
)

const (
	// ownerKey is the key by which the members are ranked for publishing.
	ownerKey             = "snapshot"
	defaultMaxAge        = time.Hour
	defaultMaxRecords    = 20_000
	defaultTerm          = 30 * time.Second
	defaultCheckInterval = 10 * time.Second
	publishTimeout       = 30 * time.Second
)

// Caller makes calls to peers. messenger.Pool is one.
type Caller interface {
	// Call calls a method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Compactor publishes and restores snapshots of one state.
type Compactor struct {
	self  string
	log   connector.Log
	state *replayer.State

	members       func() []string
	peers         func() []string
	caller        Caller
	append        func(context.Context, ...recorder.Record) error
	oldestOffset  func() namer.Offset
	clock         timekeeper.Clock
	logger        log.Interface
	metrics       *metrics
	maxAge        time.Duration
	maxRecords    int
	term          time.Duration
	checkInterval time.Duration
	outage        connector.Outage

	mu sync.Mutex
	// dueSince is the time from which the members' terms are counted: that at
	// which a snapshot was first found due or, after this process published one,
	// one term after that publication. It is zero if none is due.
	dueSince time.Time
}

// Option configures a Compactor.
type Option func(*Compactor)

// Members sets the function that returns the names of all members of the cell.
// By default this process is the only member.
func Members(members func() []string) Option {
	return func(c *Compactor) {
		c.members = members
	}
}

// Peers sets how snapshots are fetched from peers: peers returns the addresses in
// the order in which they are tried, and caller makes the calls. By default no
// peer is called.
func Peers(peers func() []string, caller Caller) Option {
	return func(c *Compactor) {
		c.peers = peers
		c.caller = caller
	}
}

// Append sets the function that appends the records of a snapshot to the control
// stream, adjacent to each other. By default nothing is published.
func Append(appendAll func(context.Context, ...recorder.Record) error) Option {
	return func(c *Compactor) {
		c.append = appendAll
	}
}

// OldestOffset sets the function that returns the oldest offset that the log
// keeps.
func OldestOffset(oldestOffset func() namer.Offset) Option {
	return func(c *Compactor) {
		c.oldestOffset = oldestOffset
	}
}

// Interval sets the age of the latest snapshot, and the number of records after
// it, at which a new one is due. The defaults are an hour and 20,000. The log
// must keep records for several times as long.
func Interval(age time.Duration, maxRecords int) Option {
	return func(c *Compactor) {
		c.maxAge = age
		c.maxRecords = maxRecords
	}
}

// Term sets how long each member gives the one ranked before it to publish. The
// default is 30 s.
func Term(term time.Duration) Option {
	return func(c *Compactor) {
		c.term = term
	}
}

// CheckInterval sets how often the compactor checks whether a snapshot is due.
// The default is 10 s.
func CheckInterval(checkInterval time.Duration) Option {
	return func(c *Compactor) {
		c.checkInterval = checkInterval
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(c *Compactor) {
		c.clock = clock
	}
}

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(c *Compactor) {
		c.logger = logger
	}
}

// Metrics sets where the metrics are registered. By default they are not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(c *Compactor) {
		c.metrics.register(registerer)
	}
}

// New returns a Compactor of the state for the member named self.
func New(self string, platform connector.Log, state *replayer.State, opts ...Option) *Compactor {
	c := &Compactor{
		self:         self,
		log:          platform,
		state:        state,
		members:      func() []string { return []string{self} },
		peers:        func() []string { return nil },
		oldestOffset: func() namer.Offset { return 0 },
		clock:        timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		metrics:       newMetrics(),
		maxAge:        defaultMaxAge,
		maxRecords:    defaultMaxRecords,
		term:          defaultTerm,
		checkInterval: defaultCheckInterval,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run publishes snapshots when they are due until the context ends, and returns
// the context's error.
func (c *Compactor) Run(ctx context.Context) error {
	return timekeeper.Every(ctx, c.clock, c.checkInterval, func(ctx context.Context) {
		_, err := c.Publish(ctx)
		c.logOutage(err)
	})
}

// logOutage logs the first failure to publish and the first success after it.
func (c *Compactor) logOutage(err error) {
	now := c.clock.Now()
	if err != nil && c.outage.RecordFailure(now) {
		c.logger.WithError(err).Warn("compactor: snapshot not published")
	}
	if err != nil {
		return
	}
	if length, ended := c.outage.RecordSuccess(now); ended {
		c.logger.Infof("compactor: publishing snapshots works again after failing for %v", length)
	}
}

// Publish publishes a snapshot if one is due and this process's term has begun.
// It reports whether a snapshot was published.
func (c *Compactor) Publish(ctx context.Context) (bool, error) {
	c.metrics.observe(c.state.Published(), c.oldestOffset())
	if c.append == nil || !c.mayPublish() {
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
	c.restartTerms()
	return true, nil
}

// snapshot returns the records of a new snapshot, one for each part.
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

// mayPublish reports whether a snapshot has been due for at least one term for
// each member ranked before this one.
func (c *Compactor) mayPublish() bool {
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
	rank, ok := publishRank(c.self, c.members())
	if !ok {
		return false
	}
	return now.Sub(c.dueSince) >= time.Duration(rank)*c.term
}

// restartTerms restarts the members' terms one term from now, which leaves time
// to read back the snapshot that was just published.
func (c *Compactor) restartTerms() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dueSince = c.clock.Now().Add(c.term)
}

// isDue reports whether a new snapshot is due: there is none yet, or the latest
// is too old, is followed by too many records or, once the log has dropped
// records, lies in the older half of those that it keeps.
func (c *Compactor) isDue(now time.Time) bool {
	offset := c.state.Offset()
	if offset == 0 {
		return false
	}
	last := c.state.Published()
	if last.Through() == 0 {
		return true
	}
	if now.Sub(last.CreatedAt()) >= c.maxAge || offset-last.Through() >= namer.Offset(c.maxRecords) {
		return true
	}
	oldest := c.oldestOffset()
	dropped := oldest > 1
	return dropped && last.Through() < oldest+(offset-min(oldest, offset))/2
}

// publishRank returns the rank of the member in the publishing order, from 0 on:
// each rank is the owner of ownerKey among the members not ranked yet. It returns
// false if the name is not a member.
func publishRank(name string, members []string) (int, bool) {
	candidates := slices.Clone(members)
	for rank := 0; ; rank++ {
		owner, ok := namer.Owner(ownerKey, candidates)
		if !ok {
			return 0, false
		}
		if owner == name {
			return rank, true
		}
		candidates = slices.DeleteFunc(candidates, func(member string) bool {
			return member == owner
		})
	}
}
