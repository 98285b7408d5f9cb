// Package claimer keeps the claims of requests that must run at most once, in a
// stream of the platform's log.
//
// A request is claimed by its identity before its single attempt. The first
// claim of an identity in the log wins at every entry, unless that claim is
// later ended as not run. A claim is reported as won only after it has been
// read back from the log, so that no request runs while the log is unreachable.
// Identities are UUIDv7, which carry the time of their issue. An identity is
// refused if it is older than the claims that the log is certain to keep.
//
// The package runs no requests and keeps no answers.
package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	defaultLifetime = 10 * time.Minute
	// maxClockSkew is the greatest difference between the clocks of two
	// entries.
	maxClockSkew = time.Minute
	// endTimeout bounds the append of the record that ends a claim. If the
	// append fails, the outcome stays unknown to callers that repeat the
	// request.
	endTimeout = 30 * time.Second
	// followWait is how long the log waits for new records before it answers a
	// read of the stream with none. maxLogSilence is the time since the last
	// contact after which the log counts as unreachable.
	followWait    = time.Second
	maxLogSilence = 3 * time.Second
)

// Appender appends a record and waits until it is in the log.
// *appender.Appender implements it. Its errors are marked with those of package
// appender.
type Appender interface {
	Append(ctx context.Context, p appender.Priority, stream string, r recorder.Record) error
}

// Claimer makes claims, and reads the claims of all entries from the log. It is
// safe for concurrent use.
type Claimer struct {
	self            string
	appender        Appender
	follower        *follower.Follower
	clock           timekeeper.Clock
	logger          log.Interface
	lifetime        time.Duration
	followerOptions []follower.Option
	// endAppends runs the appends of the records that end claims.
	endAppends *errgroup.Group

	mu    sync.Mutex
	table table
	// pending holds the channel for the verdict of each claim of this process
	// that has not been read back yet, by the identity of the claim's record.
	pending map[string]chan router.Verdict
	// wonRecords holds the identity of the record of each claim that this
	// process has won and not ended, by request.
	wonRecords map[string]string
	// abandoned holds the time at which a claim of this process was abandoned,
	// by the identity of the claim's record, for the claims that may still
	// appear in the log.
	abandoned map[string]time.Time
	stopped   bool
}

// Option configures a Claimer.
type Option func(*Claimer)

// Lifetime sets the maximum age of an identity when it is claimed. The log must
// keep claims for some minutes longer. The default is 10 min.
func Lifetime(lifetime time.Duration) Option {
	return func(c *Claimer) {
		c.lifetime = lifetime
	}
}

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(c *Claimer) {
		c.clock = clock
		c.followerOptions = append(c.followerOptions, follower.Clock(clock))
	}
}

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(c *Claimer) {
		c.logger = logger
		c.followerOptions = append(c.followerOptions, follower.Logger(logger))
	}
}

// FollowerOptions adds options for the follower of the claims stream.
func FollowerOptions(opts ...follower.Option) Option {
	return func(c *Claimer) {
		c.followerOptions = append(c.followerOptions, opts...)
	}
}

// New returns a claimer for the entry process with the given name. It reads
// claims from the log and writes them through the appender.
func New(self string, platform connector.Log, a Appender, opts ...Option) *Claimer {
	c := &Claimer{
		self:     self,
		appender: a,
		clock:    timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.New(),
		},
		lifetime:   defaultLifetime,
		endAppends: new(errgroup.Group),
		table:      newTable(),
		pending:    make(map[string]chan router.Verdict),
		wonRecords: make(map[string]string),
		abandoned:  make(map[string]time.Time),
		followerOptions: []follower.Option{
			follower.Wait(followWait),
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.follower = follower.New(platform, recorder.StreamClaims, c.applyRecord, c.followerOptions...)
	return c
}

// Run reads claims from the log until the context ends, then waits for the
// appends under way of records that end claims.
func (c *Claimer) Run(ctx context.Context) error {
	err := c.follower.Run(ctx)
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	_ = c.endAppends.Wait()
	return err
}

// Claim implements router.Claimer.
func (c *Claimer) Claim(ctx context.Context, request string) (router.Verdict, error) {
	issued, err := issueTime(request)
	if err != nil {
		return router.Verdict{}, err
	}
	id, verdicts, verdict, err := c.prepareClaim(request, issued)
	if err != nil || verdicts == nil {
		return verdict, err
	}
	record := recorder.New(id, c.self, c.clock.Now(), recorder.Claim{
		Request: request,
		Entry:   c.self,
	})
	if err := c.appender.Append(ctx, appender.PriorityClaim, recorder.StreamClaims, record); err != nil {
		c.abandon(request, id, errors.Is(err, appender.ErrUnknown))
		return router.Verdict{}, errors.WithStack(fmt.Errorf("%w: append: %w", router.ErrNotClaimed, err))
	}
	select {
	case verdict := <-verdicts:
		return verdict, nil
	case <-ctx.Done():
		c.abandon(request, id, true)
		return router.Verdict{}, errors.WithStack(fmt.Errorf("%w: read back: %w", router.ErrNotClaimed, ctx.Err()))
	}
}

// prepareClaim checks that the identity may be claimed, and returns the verdict
// if it was claimed before. Otherwise it returns the identity of the record to
// append and the channel that receives the verdict.
func (c *Claimer) prepareClaim(request string, issued time.Time) (string, chan router.Verdict, router.Verdict, error) {
	select {
	case <-c.follower.CaughtUp():
	default:
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: the claims stream has not been read to its end yet")
	}
	oldest := c.follower.OldestOffset()
	contact := c.follower.LastContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(contact) > maxLogSilence {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: the log is unreachable")
	}
	if issued.After(now.Add(maxClockSkew)) || now.Sub(issued) > c.lifetime {
		return "", nil, router.Verdict{}, errors.Wrapf(router.ErrExpired, "claimer: identity issued at %s", issued)
	}
	if c.table.mayHaveMissed(issued, oldest, now.Add(-c.lifetime-maxClockSkew)) {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: a claim of this identity may have gone unread")
	}
	if claim, ok := c.table.activeClaim(request); ok {
		return "", nil, router.Verdict{
			Outcome: claim.outcome,
		}, nil
	}
	if c.stopped {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: the claimer has stopped")
	}
	id := namer.NewIdentity()
	verdicts := make(chan router.Verdict, 1)
	c.pending[id] = verdicts
	return id, verdicts, router.Verdict{}, nil
}

// abandon gives up a claim for which no caller waits any more. If the claim has
// just been read back as won, abandon ends it as not run. If the claim may
// still appear in the log, applyClaim ends it as not run if it wins there.
func (c *Claimer) abandon(request, id string, mayBeLogged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wonRecords[request] == id {
		c.endLocked(request, recorder.NotRun)
	}
	if _, ok := c.pending[id]; ok && mayBeLogged {
		c.abandoned[id] = c.clock.Now()
	}
	delete(c.pending, id)
}

// End implements router.Claimer.
func (c *Claimer) End(request string, outcome recorder.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(request, outcome)
}

// endLocked appends the end of a claim of this process. The caller holds mu.
func (c *Claimer) endLocked(request string, outcome recorder.Outcome) {
	claim, ok := c.wonRecords[request]
	if !ok || c.stopped {
		return
	}
	delete(c.wonRecords, request)
	record := recorder.New(namer.NewIdentity(), c.self, c.clock.Now(), recorder.ClaimEnd{
		Request: request,
		Claim:   claim,
		Outcome: outcome,
	})
	c.endAppends.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := c.appender.Append(ctx, appender.PriorityClaim, recorder.StreamClaims, record); err != nil {
			c.logger.WithError(err).Warn("claimer: failed to append the end of a claim")
		}
		return nil
	})
}

// applyRecord applies a record of the stream.
func (c *Claimer) applyRecord(offset namer.Offset, r recorder.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.table.markRead(offset, r, now) {
		return
	}
	switch body := r.Body().(type) {
	case recorder.Claim:
		c.applyClaim(r.ID(), body)
	case recorder.ClaimEnd:
		c.table.endClaim(body)
	}
	c.expire(now)
}

func (c *Claimer) applyClaim(id string, body recorder.Claim) {
	verdict := router.Verdict{}
	if activeClaim, ok := c.table.activeClaim(body.Request); ok {
		verdict.Outcome = activeClaim.outcome
	} else {
		c.table.addClaim(id, body)
		verdict.Won = true
	}
	verdicts, pending := c.pending[id]
	_, abandoned := c.abandoned[id]
	delete(c.pending, id)
	delete(c.abandoned, id)
	if verdict.Won && (pending || abandoned) {
		c.wonRecords[body.Request] = id
	}
	switch {
	case pending:
		verdicts <- verdict
	case verdict.Won && abandoned:
		c.endLocked(body.Request, recorder.NotRun)
	}
}

// expire drops the records and abandoned claims that are too old to matter: every
// identity issued that long ago, allowing for clock skew, has expired and can no
// longer be claimed.
func (c *Claimer) expire(now time.Time) {
	cutoff := now.Add(-c.lifetime - 2*maxClockSkew)
	c.table.expire(cutoff)
	for id, abandonedAt := range c.abandoned {
		if abandonedAt.Before(cutoff) {
			delete(c.abandoned, id)
		}
	}
}

// issueTime returns the time of issue that a UUIDv7 carries.
func issueTime(request string) (time.Time, error) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return time.Time{}, errors.Wrapf(router.ErrIdentity, "claimer: %q", request)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
