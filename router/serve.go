package router

import (
	"context"
	"time"
)

// serve has a request run by a minion that this process owns: it waits for a
// slot and makes one attempt.
func (r *Router) serve(ctx context.Context, args ForwardArgs) result {
	p := r.pool(args.Service)
	if p == nil {
		return refusal(&RefusedError{
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
	if e := p.enter(w); e != nil {
		return refusal(e)
	}
	g := r.await(ctx, p, w, args.Left)
	if g.refusal != nil {
		return refusal(g.refusal)
	}
	r.metrics.waited(args.Service, r.settings.clock.Now().Sub(now))
	res := r.attempt(ctx, p, g.reservation, w.deadline, args)
	if res.outcome == refused {
		res.after = p.comeBack()
	}
	return res
}

// await returns the waiter's grant, or a refusal when nobody waits any more.
func (r *Router) await(ctx context.Context, p *pool, w *waiter, left time.Duration) grant {
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
	case <-r.base.Done():
		reason = ReasonLeaving
	}
	if !p.exit(w) {
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

// attempt sends the request once. It returns when the attempt has ended, or
// earlier if nobody waits or the attempt takes too long; the attempt's end is
// booked in any case.
func (r *Router) attempt(ctx context.Context, p *pool, res *reservation, deadline time.Time, args ForwardArgs) result {
	now := r.settings.clock.Now()
	a := r.newAttempt(p, res, deadline.Sub(now), args)
	exchange, cancel := context.WithCancel(r.base)
	p.bind(res, cancel)
	ended := make(chan ending, 1)
	r.metrics.attempted(args.Service)
	r.work.Go(func() error {
		defer cancel()
		e := r.carrier.exchange(exchange, a)
		p.settle(res, e)
		ended <- e
		return nil
	})
	limit, slow := a.left, p.attemptTimeout()
	if args.Idempotent {
		limit = min(limit, slow)
	}
	timer := r.settings.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case e := <-ended:
		return judge(e, res.name)
	case <-timer.C():
		p.abandon(res, limit >= slow)
		r.abandon(exchange, a)
		return uncertainAt(res.name, ReasonLost, errStalled)
	case <-ctx.Done():
		p.abandon(res, false)
		r.abandon(exchange, a)
		return uncertainAt(res.name, ReasonGone, ctx.Err())
	}
}

func (r *Router) newAttempt(p *pool, res *reservation, left time.Duration, args ForwardArgs) attempt {
	return attempt{
		id:          r.nextID(),
		address:     res.address,
		connections: res.connections,
		epoch:       res.epoch,
		lease:       &res.minion.lease,
		writeBy:     r.settings.since(res.made) + dialTimeout.Nanoseconds(),
		left:        left,
		identity:    args.Identity,
		method:      args.Method,
		path:        args.Path,
		header:      args.Header,
		body:        args.Body,
		maxAnswer:   p.maxBody(),
	}
}

// abandon tells the minion that nobody waits for the attempt. Its own exchange
// goes on, so that its end is learnt; that is what frees the slot.
func (r *Router) abandon(exchange context.Context, a attempt) {
	r.work.Go(func() error {
		ctx, stop := r.bound(exchange, dialTimeout, nil)
		defer stop()
		a.lease = nil
		a.writeBy = r.settings.since(r.settings.clock.Now()) + dialTimeout.Nanoseconds()
		r.carrier.cancel(ctx, a)
		return nil
	})
}

func uncertainAt(minion string, reason Reason, cause error) result {
	res := uncertain(reason, cause)
	res.minion = minion
	return res
}
