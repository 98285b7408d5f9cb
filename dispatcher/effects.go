package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// effect is a call that the tables request. It is one of the types of this
// file; each results in exactly one event.
type effect interface {
	effect()
}

// renewEffect renews the leases at a worker and requests its report.
type renewEffect struct {
	worker  string
	client  connector.Worker
	link    uint64
	renewal connector.Renewal
	timeout time.Duration
}

// startEffect starts a task, unless the worker has accepted no renewal for a
// lease term.
type startEffect struct {
	worker string
	client connector.Worker
	link   uint64
	start  connector.Start
	// notAfter is the time before which the start order must be written.
	notAfter time.Time
	timeout  time.Duration
}

// stopEffect stops tasks.
type stopEffect struct {
	worker  string
	client  connector.Worker
	stop    connector.Stop
	timeout time.Duration
}

// throttleEffect limits the resources of a task.
type throttleEffect struct {
	client   connector.Worker
	throttle connector.Throttle
	timeout  time.Duration
}

// exchangeEffect exchanges messages with a peer.
type exchangeEffect struct {
	member  string
	address string
	message Message
	timeout time.Duration
}

// commitEffect commits a record to the log.
type commitEffect struct {
	body recorder.Body
}

func (renewEffect) effect()    {}
func (startEffect) effect()    {}
func (stopEffect) effect()     {}
func (throttleEffect) effect() {}
func (exchangeEffect) effect() {}
func (commitEffect) effect()   {}

// event is the result of an effect. It is one of the types of this file.
type event interface {
	event()
}

// renewedEvent is the result of a renewEffect.
type renewedEvent struct {
	worker string
	link   uint64
	// sentAt is a time before the renewal was written, and doneAt one after.
	sentAt  time.Time
	doneAt  time.Time
	renewal connector.Renewal
	report  connector.Report
	err     error
}

// startedEvent is the result of a startEffect.
type startedEvent struct {
	worker string
	link   uint64
	ref    namer.TaskRef
	epoch  namer.Epoch
	// sentAt is a time before the start order was written, and doneAt one after.
	sentAt time.Time
	doneAt time.Time
	err    error
}

// stoppedEvent is the result of a stopEffect. Whether the tasks have stopped is
// in the worker's next report.
type stoppedEvent struct {
	worker string
}

// throttledEvent is the result of a throttleEffect.
type throttledEvent struct{}

// exchangedEvent is the result of an exchangeEffect.
type exchangedEvent struct {
	member string
	epoch  namer.Epoch
	reply  Message
	err    error
}

// committedEvent is the result of a commitEffect.
type committedEvent struct {
	body recorder.Body
	err  error
}

func (renewedEvent) event()   {}
func (startedEvent) event()   {}
func (stoppedEvent) event()   {}
func (throttledEvent) event() {}
func (exchangedEvent) event() {}
func (committedEvent) event() {}

// errNoRecentRenewal is the result of a start order that was not written because
// the worker had accepted no renewal for a lease term.
var errNoRecentRenewal = errors.New("dispatcher: the worker has accepted no renewal for a lease term")

// perform makes the call of an effect and returns its result.
func (s *settings) perform(ctx context.Context, e effect) event {
	switch e := e.(type) {
	case renewEffect:
		return s.renew(ctx, e)
	case startEffect:
		return s.start(ctx, e)
	case stopEffect:
		ctx, cancel := context.WithTimeout(ctx, e.timeout)
		defer cancel()
		// The worker's next report shows the outcome.
		_ = e.client.Stop(ctx, e.stop)
		return stoppedEvent{
			worker: e.worker,
		}
	case throttleEffect:
		ctx, cancel := context.WithTimeout(ctx, e.timeout)
		defer cancel()
		_ = e.client.Throttle(ctx, e.throttle)
		return throttledEvent{}
	case exchangeEffect:
		return s.exchange(ctx, e)
	case commitEffect:
		return committedEvent{
			body: e.body,
			err:  s.commitRecord(ctx, e.body),
		}
	default:
		return throttledEvent{}
	}
}

func (s *settings) renew(ctx context.Context, e renewEffect) event {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	sentAt := s.clock.Now()
	report, err := e.client.Renew(ctx, e.renewal)
	return renewedEvent{
		worker:  e.worker,
		link:    e.link,
		sentAt:  sentAt,
		doneAt:  s.clock.Now(),
		renewal: e.renewal,
		report:  report,
		err:     err,
	}
}

// start sends a start order unless e.notAfter has passed. It checks that when
// the call leaves the queue, and a client over HTTP checks it again once a
// connection is open, immediately before it writes the order: the call may have
// been queued for long, and the connection may have been slow to open.
func (s *settings) start(ctx context.Context, e startEffect) event {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	result := startedEvent{
		worker: e.worker,
		link:   e.link,
		ref:    e.start.Ref,
		epoch:  e.start.Epoch,
		sentAt: s.clock.Now(),
		err:    errNoRecentRenewal,
	}
	if !s.mayStart(e) {
		result.doneAt = s.clock.Now()
		return result
	}
	ctx = connector.Guarded(ctx, func() bool { return s.mayStart(e) })
	result.err = e.client.Start(ctx, e.start)
	if errors.Is(result.err, connector.ErrHeldBack) {
		result.err = errNoRecentRenewal
	}
	result.doneAt = s.clock.Now()
	return result
}

func (s *settings) mayStart(e startEffect) bool {
	return s.fault == faultLateStart || s.clock.Now().Before(e.notAfter)
}

func (s *settings) exchange(ctx context.Context, e exchangeEffect) event {
	result := exchangedEvent{
		member: e.member,
		epoch:  e.message.Epoch,
		err:    ErrNotConfigured,
	}
	if s.caller == nil {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	var reply Message
	result.err = s.caller.Call(ctx, e.address, methodExchange, &e.message, &reply)
	if result.err == nil {
		result.reply = reply
	}
	return result
}

func (s *settings) commitRecord(ctx context.Context, body recorder.Body) error {
	if s.commit == nil {
		return ErrNotConfigured
	}
	return s.commit(ctx, body)
}
