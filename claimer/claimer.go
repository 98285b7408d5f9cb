// Package claimer keeps the claims of requests that must run at most once, in
// a stream of the platform's log.
//
// A request is claimed by its identity before its single attempt. The first
// claim of an identity in the log wins, at every entry, until its end is
// recorded as not run. A claim is told as won only after it has been read back,
// so that the log being out of reach means that nothing runs. Identities are
// UUIDv7, which carry the time of their issue, and are refused when they are
// older than the claims that are certainly still kept.
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
	// skew is the most by which two clocks of the cell differ.
	skew = time.Minute
	// endTimeout bounds the append of an end. Without it the outcome stays
	// unknown to those who ask again.
	endTimeout = 30 * time.Second
	// readWait is how long the log holds a read of the stream, and silence how
	// long after the last contact it is taken as out of reach.
	readWait = time.Second
	silence  = 3 * time.Second
)

// Appender appends a record and waits until it is in the log.
// *appender.Appender is one; its errors are marked as that package's.
type Appender interface {
	Append(ctx context.Context, p appender.Priority, stream string, r recorder.Record) error
}

// Claimer makes and follows claims. It is safe for use by several goroutines.
type Claimer struct {
	self     string
	appender Appender
	follower *follower.Follower
	clock    timekeeper.Clock
	logger   log.Interface
	lifetime time.Duration
	options  []follower.Option
	// ends holds the appends of ends that are under way.
	ends *errgroup.Group

	mu    sync.Mutex
	table table
	// waiting are the claims of this process that are not read back yet, by
	// the identity of the record.
	waiting map[string]chan router.Verdict
	// won are the claims of this process that were told as won and have no end,
	// by request.
	won map[string]string
	// forsaken are the claims of this process that nobody waits for, and that
	// may still show up in the log.
	forsaken map[string]time.Time
	stopped  bool
}

// Option changes how a Claimer works.
type Option func(*Claimer)

// Lifetime sets how old an identity may be when it is claimed. The log must
// keep claims for longer, by some minutes. The default is 10 min.
func Lifetime(lifetime time.Duration) Option {
	return func(c *Claimer) {
		c.lifetime = lifetime
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(c *Claimer) {
		c.clock = clock
		c.options = append(c.options, follower.Clock(clock))
	}
}

// Logger sets where logs go. The default is nowhere.
func Logger(logger log.Interface) Option {
	return func(c *Claimer) {
		c.logger = logger
		c.options = append(c.options, follower.Logger(logger))
	}
}

// Following sets options of the follower of the stream.
func Following(opts ...follower.Option) Option {
	return func(c *Claimer) {
		c.options = append(c.options, opts...)
	}
}

// New returns a claimer for the entry process with the given name, which reads
// claims from the log and writes them through the appender.
func New(self string, platform connector.Log, a Appender, opts ...Option) *Claimer {
	c := &Claimer{
		self:     self,
		appender: a,
		clock:    timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.New(),
		},
		lifetime: defaultLifetime,
		ends:     new(errgroup.Group),
		table:    newTable(),
		waiting:  make(map[string]chan router.Verdict),
		won:      make(map[string]string),
		forsaken: make(map[string]time.Time),
		options: []follower.Option{
			follower.Wait(readWait),
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.follower = follower.New(platform, recorder.StreamClaims, c.apply, c.options...)
	return c
}

// Run follows the claims until the context has ended, then waits for the ends
// that are being written.
func (c *Claimer) Run(ctx context.Context) error {
	err := c.follower.Run(ctx)
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	_ = c.ends.Wait()
	return err
}

// Claim implements router.Claimer.
func (c *Claimer) Claim(ctx context.Context, request string) (router.Verdict, error) {
	issued, err := issueTime(request)
	if err != nil {
		return router.Verdict{}, err
	}
	id, done, verdict, err := c.begin(request, issued)
	if err != nil || done == nil {
		return verdict, err
	}
	record := recorder.New(id, c.self, c.clock.Now(), recorder.Claim{
		Request: request,
		Entry:   c.self,
	})
	if err := c.appender.Append(ctx, appender.PriorityClaim, recorder.StreamClaims, record); err != nil {
		c.forsake(request, id, errors.Is(err, appender.ErrUnknown))
		return router.Verdict{}, errors.WithStack(fmt.Errorf("%w: append: %w", router.ErrNotClaimed, err))
	}
	select {
	case verdict := <-done:
		return verdict, nil
	case <-ctx.Done():
		c.forsake(request, id, true)
		return router.Verdict{}, errors.WithStack(fmt.Errorf("%w: read back: %w", router.ErrNotClaimed, ctx.Err()))
	}
}

// begin checks that the identity may be claimed, and answers at once if it was
// claimed before. Otherwise it returns the identity of the record to append,
// and where the verdict will come.
func (c *Claimer) begin(request string, issued time.Time) (string, chan router.Verdict, router.Verdict, error) {
	select {
	case <-c.follower.Caught():
	default:
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: claims are not read yet")
	}
	oldest := c.follower.Oldest()
	contact := c.follower.LastContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(contact) > silence {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: log out of reach")
	}
	if issued.After(now.Add(skew)) || now.Sub(issued) > c.lifetime {
		return "", nil, router.Verdict{}, errors.Wrapf(router.ErrExpired, "claimer: issued at %s", issued)
	}
	if c.table.misses(issued, oldest, now.Add(-c.lifetime-skew)) {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: claims were dropped too early")
	}
	if claim, ok := c.table.held(request); ok {
		return "", nil, router.Verdict{
			Outcome: claim.outcome,
		}, nil
	}
	if c.stopped {
		return "", nil, router.Verdict{}, errors.Wrap(router.ErrNotClaimed, "claimer: stopped")
	}
	id := namer.NewIdentity()
	done := make(chan router.Verdict, 1)
	c.waiting[id] = done
	return id, done, router.Verdict{}, nil
}

// forsake notes that nobody waits for a claim any more. One that may be in the
// log, or was just read back, is ended as not run.
func (c *Claimer) forsake(request, id string, maybe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.won[request] == id {
		c.end(request, recorder.NotRun)
	}
	if _, ok := c.waiting[id]; ok && maybe {
		c.forsaken[id] = c.clock.Now()
	}
	delete(c.waiting, id)
}

// End implements router.Claimer.
func (c *Claimer) End(request string, outcome recorder.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(request, outcome)
}

// end appends the end of a claim of this process. The caller holds mu.
func (c *Claimer) end(request string, outcome recorder.Outcome) {
	claim, ok := c.won[request]
	if !ok || c.stopped {
		return
	}
	delete(c.won, request)
	record := recorder.New(namer.NewIdentity(), c.self, c.clock.Now(), recorder.ClaimEnd{
		Request: request,
		Claim:   claim,
		Outcome: outcome,
	})
	c.ends.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := c.appender.Append(ctx, appender.PriorityClaim, recorder.StreamClaims, record); err != nil {
			c.logger.WithError(err).Warn("claimer: end of a claim not written")
		}
		return nil
	})
}

// apply takes a record of the stream.
func (c *Claimer) apply(offset namer.Offset, r recorder.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.table.note(offset, r, now) {
		return
	}
	switch body := r.Body().(type) {
	case recorder.Claim:
		c.applyClaim(r.ID(), body)
	case recorder.ClaimEnd:
		c.table.end(body)
	}
	c.expire(now)
}

func (c *Claimer) applyClaim(id string, body recorder.Claim) {
	verdict := router.Verdict{}
	if held, ok := c.table.held(body.Request); ok {
		verdict.Outcome = held.outcome
	} else {
		c.table.claim(id, body)
		verdict.Won = true
	}
	done, waiting := c.waiting[id]
	_, forsaken := c.forsaken[id]
	delete(c.waiting, id)
	delete(c.forsaken, id)
	if verdict.Won && (waiting || forsaken) {
		c.won[body.Request] = id
	}
	switch {
	case waiting:
		done <- verdict
	case verdict.Won && forsaken:
		c.end(body.Request, recorder.NotRun)
	}
}

// expire drops what can no longer matter.
func (c *Claimer) expire(now time.Time) {
	old := now.Add(-c.lifetime - 2*skew)
	c.table.expire(old)
	for id, at := range c.forsaken {
		if at.Before(old) {
			delete(c.forsaken, id)
		}
	}
}

// issueTime returns the time that a UUIDv7 carries.
func issueTime(request string) (time.Time, error) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return time.Time{}, errors.Wrapf(router.ErrIdentity, "claimer: %q", request)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
