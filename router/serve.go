package router

import (
	"context"
	"time"
)

// serve runs a request at a minion that this entry owns: it waits for a slot and
// makes one attempt.
func (r *Router) serve(ctx context.Context, args ForwardArgs) result {
	p := r.pool(args.Service)
	if p == nil {
		return refusedResult(&RefusedError{
			Reason: ReasonNoService,
		})
	}
	now := r.settings.clock.Now()
	w := &waiter{
		team:     args.Team,
		deadline: now.Add(args.Left),
		avoid:    args.Avoid,
		granted:  make(chan grant, 1),
	}
	if e := p.enqueue(w); e != nil {
		return refusedResult(e)
	}
	g := r.awaitGrant(ctx, p, w, args.Left)
	if g.refusal != nil {
		return refusedResult(g.refusal)
	}
	r.metrics.observeWait(args.Service, r.settings.clock.Now().Sub(now))
	res := r.runAttempt(ctx, p, g.reservation, w.deadline, args)
	if res.outcome == refused {
		res.retryAfter = p.minionRetryAfter()
	}
	return res
}

// awaitGrant returns the waiter's grant, or a refusal if the wait ends without one.
func (r *Router) awaitGrant(ctx context.Context, p *pool, w *waiter, left time.Duration) grant {
	select {
	case g := <-w.granted:
		return g
	default:
	}
	timer := r.settings.clock.NewTimer(left)
	defer timer.Stop()
	reason := ReasonDeadline
	select {
	case g := <-w.granted:
		return g
	case <-timer.C():
	case <-ctx.Done():
		reason = ReasonGone
	case <-r.baseContext.Done():
		reason = ReasonLeaving
	}
	if !p.cancelWait(w) {
		if g := <-w.granted; g.reservation != nil {
			p.settle(g.reservation, unused{})
		}
	}
	return grant{
		refusal: &RefusedError{
			Reason: reason,
		},
	}
}

// runAttempt sends the request once. It returns when the attempt has ended, or
// earlier if ctx ends or the attempt takes too long. The end of the attempt is
// recorded in every case.
func (r *Router) runAttempt(ctx context.Context, p *pool, res *reservation, deadline time.Time, args ForwardArgs) result {
	now := r.settings.clock.Now()
	a := r.newAttempt(p, res, deadline.Sub(now), args)
	exchangeCtx, cancel := context.WithCancel(r.baseContext)
	p.setCancel(res, cancel)
	ended := make(chan ending, 1)
	r.metrics.countAttempt(args.Service)
	r.background.Go(func() error {
		defer cancel()
		e := r.carrier.exchange(exchangeCtx, a)
		p.settle(res, e)
		ended <- e
		return nil
	})
	limit, stallLimit := a.left, p.attemptTimeout()
	if args.Idempotent {
		limit = min(limit, stallLimit)
	}
	timer := r.settings.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case e := <-ended:
		return resultOf(e, res.name)
	case <-timer.C():
		p.abandon(res, limit >= stallLimit)
		r.cancelAtMinion(exchangeCtx, a)
		return unknownResultAt(res.name, ReasonLost, errStalled)
	case <-ctx.Done():
		p.abandon(res, false)
		r.cancelAtMinion(exchangeCtx, a)
		return unknownResultAt(res.name, ReasonGone, ctx.Err())
	}
}

func (r *Router) newAttempt(p *pool, res *reservation, left time.Duration, args ForwardArgs) attempt {
	return attempt{
		id:             r.nextID(),
		address:        res.address,
		maxConnections: res.maxConnections,
		epoch:          res.epoch,
		leaseExpiry:    &res.minion.leaseExpiry,
		writeBy:        r.settings.sinceStart(res.reservedAt) + dialTimeout.Nanoseconds(),
		left:           left,
		identity:       args.Identity,
		method:         args.Method,
		path:           args.Path,
		header:         args.Header,
		body:           args.Body,
		maxAnswerBytes: p.maxBody(),
	}
}

// cancelAtMinion tells the minion that nobody waits for the attempt any more. The
// attempt's exchange goes on, because its end is what frees the slot.
func (r *Router) cancelAtMinion(exchangeCtx context.Context, a attempt) {
	r.background.Go(func() error {
		ctx, stop := r.withLimit(exchangeCtx, dialTimeout, nil)
		defer stop()
		a.leaseExpiry = nil
		a.writeBy = r.settings.sinceStart(r.settings.clock.Now()) + dialTimeout.Nanoseconds()
		r.carrier.cancel(ctx, a)
		return nil
	})
}

func unknownResultAt(minion string, reason Reason, cause error) result {
	res := unknownResult(reason, cause)
	res.minion = minion
	return res
}
