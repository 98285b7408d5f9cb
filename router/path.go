package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/recorder"
)

// maxMoves is how often a request that reached no minion is sent to another
// owner.
const maxMoves = 3

// maxAttempts is the most attempts of one request.
const maxAttempts = 3

const (
	// claimTimeout is how long the log may take for a claim.
	claimTimeout = 2 * time.Second
	// claimReturn is the least that a caller is told to wait for the log; it
	// is doubled at random.
	claimReturn = 2 * time.Second
)

// Do has a request run and returns the whole answer. It returns by the
// request's deadline, with *RefusedError, *FailedError, *UnknownError or
// *ClaimedError if there is no answer. When the context ends the request is
// given up.
func (r *Router) Do(ctx context.Context, q Request) (Answer, error) {
	now := r.settings.clock.Now()
	if !r.begin() {
		return Answer{}, r.metrics.count(q.service, &RefusedError{
			Reason:     ReasonLeaving,
			RetryAfter: leaveReturn,
		})
	}
	defer r.end()
	answer, err := r.do(ctx, q, now)
	return answer, r.metrics.count(q.service, err)
}

func (r *Router) do(ctx context.Context, q Request, now time.Time) (Answer, error) {
	p := r.pool(q.service)
	if p == nil {
		return Answer{}, &RefusedError{
			Reason: ReasonNoService,
		}
	}
	if err := p.check(&q, now); err != nil {
		return Answer{}, err
	}
	if q.idempotent || q.identity == "" {
		return r.run(ctx, q)
	}
	return r.claimAndRun(ctx, q)
}

// claimAndRun claims a non-idempotent request before it runs it, and books
// what became of it.
func (r *Router) claimAndRun(ctx context.Context, q Request) (Answer, error) {
	if e := r.expect(q); e != nil {
		return Answer{}, e
	}
	if err := r.claim(ctx, q); err != nil {
		return Answer{}, err
	}
	answer, err := r.run(ctx, q)
	var refused *RefusedError
	var unknown *UnknownError
	switch {
	case err == nil:
		r.settings.claimer.End(q.identity, recorder.Done)
	case errors.As(err, &refused):
		r.settings.claimer.End(q.identity, recorder.NotRun)
	case errors.As(err, &unknown):
		// Nothing is known, so nothing is said.
	default:
		r.settings.claimer.End(q.identity, recorder.Failed)
	}
	return answer, err
}

// expect refuses a request that would wait too long as things are, so that
// nothing is written to the log for it.
func (r *Router) expect(q Request) error {
	to, ok := r.chooseOwner(q.service, nil, nil)
	if !ok {
		return &RefusedError{
			Reason:     ReasonNoOwner,
			RetryAfter: idleReturn,
		}
	}
	p := r.pool(q.service)
	if to.load.Free <= 0 && to.load.Wait > p.patience(q.deadline) {
		return &RefusedError{
			Reason:     ReasonOverload,
			RetryAfter: p.comeBack(),
		}
	}
	return nil
}

func (r *Router) claim(ctx context.Context, q Request) error {
	if r.settings.claimer == nil {
		return noClaims()
	}
	ctx, stop := r.bound(ctx, min(claimTimeout, q.deadline.Sub(r.settings.clock.Now())), nil)
	defer stop()
	verdict, err := r.settings.claimer.Claim(ctx, q.identity)
	switch {
	case errors.Is(err, ErrIdentity):
		return &RefusedError{
			Reason: ReasonBadRequest,
		}
	case errors.Is(err, ErrExpired):
		return &RefusedError{
			Reason: ReasonExpired,
		}
	case err != nil:
		return noClaims()
	case !verdict.Won:
		e := &ClaimedError{
			Outcome: verdict.Outcome,
		}
		if verdict.Outcome == "" {
			e.RetryAfter = idleReturn
		}
		return e
	default:
		return nil
	}
}

func noClaims() error {
	return &RefusedError{
		Reason:     ReasonNoClaims,
		RetryAfter: claimReturn + rand.N(claimReturn),
	}
}

// path is the way of one request over several hops.
type path struct {
	router *Router
	q      Request
	// worst is what must be told if no hop is done.
	worst result
	// avoid are the minions, owners the entries that it was tried at in vain.
	avoid  []string
	owners map[string]bool
	moves  int
}

// run takes a request to an owner, and to others while that may help.
func (r *Router) run(ctx context.Context, q Request) (Answer, error) {
	if q.identity == "" {
		q.identity = r.nextID()
	}
	p := &path{
		router: r,
		q:      q,
		worst: result{
			outcome: refused,
			reason:  ReasonNoMinion,
			after:   idleReturn,
		},
		owners: make(map[string]bool),
	}
	for {
		res, ok := p.hop(ctx)
		if ok && res.outcome == done {
			r.budget.earn()
			return res.answer, nil
		}
		if ok {
			p.worst = worse(p.worst, res)
		}
		if !ok || !p.again(ctx, res) {
			return Answer{}, p.worst.err()
		}
	}
}

// hop makes one hop, and reports false if there is no owner to go to.
func (p *path) hop(ctx context.Context) (result, bool) {
	r := p.router
	to, ok := r.chooseOwner(p.q.service, p.owners, p.avoid)
	if !ok {
		return result{}, false
	}
	left := p.q.deadline.Sub(r.settings.clock.Now())
	if left <= 0 {
		return refusal(&RefusedError{
			Reason: ReasonDeadline,
		}), true
	}
	args := p.args(left)
	var res result
	if to.peer == nil {
		res = r.serve(ctx, args)
	} else {
		res = r.forward(ctx, to, args, r.patience(left))
	}
	if res.minion == "" {
		p.owners[to.owner] = true
	} else {
		p.avoid = append(p.avoid, res.minion)
	}
	return res, true
}

// patience returns how long a peer is waited for.
func (r *Router) patience(left time.Duration) time.Duration {
	if r.settings.faults.waitLonger {
		return 2 * left
	}
	return left
}

func (p *path) args(left time.Duration) ForwardArgs {
	return ForwardArgs{
		ID:         p.router.nextID(),
		Identity:   p.q.identity,
		Service:    p.q.service,
		Method:     p.q.method,
		Path:       p.q.path,
		Header:     p.q.header,
		Body:       p.q.body,
		Team:       p.q.team,
		Idempotent: p.q.idempotent,
		Left:       left,
		Avoid:      p.avoid,
	}
}

// again reports whether another hop is made after one that was not done.
// Where nothing was sent to a minion that costs nothing, but is bounded.
// Otherwise it is taken from the budget.
func (p *path) again(ctx context.Context, last result) bool {
	r := p.router
	if ctx.Err() != nil || !r.settings.clock.Now().Before(p.q.deadline) {
		return false
	}
	if last.outcome == refused && last.minion == "" {
		p.moves += moveCost(last.reason)
		return p.moves <= maxMoves
	}
	if last.outcome != refused && !p.q.idempotent && !r.settings.faults.retryAll {
		return false
	}
	if len(p.avoid) >= maxAttempts {
		return false
	}
	if !r.settings.faults.retryAll && !r.budget.spend() {
		r.metrics.budgetEmpty(p.q.service)
		return false
	}
	r.metrics.retried(p.q.service)
	return true
}

// moveCost returns what it costs to try another owner after one refused. One
// that is overloaded was thought the best, so that only one more is asked.
func moveCost(reason Reason) int {
	switch reason {
	case ReasonMoved, ReasonNoOwner, ReasonNoMinion, ReasonLeaving, ReasonNoService:
		return 1
	case ReasonOverload, ReasonQueueFull:
		return maxMoves/2 + 1
	default:
		return maxMoves + 1
	}
}

// patience returns the longest expected wait with which a request is admitted.
func (p *pool) patience(deadline time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := deadline.Sub(p.settings.clock.Now()) - seconds(p.latency)
	return min(p.terms.maxWait, left)
}

// check completes a request by the service's terms, or refuses it.
func (p *pool) check(q *Request, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if int64(len(q.body)) > p.terms.maxBody {
		return &RefusedError{
			Reason: ReasonTooLarge,
		}
	}
	if q.deadline.IsZero() {
		q.deadline = now.Add(p.terms.deadline)
	}
	if latest := now.Add(p.terms.longest); q.deadline.After(latest) {
		q.deadline = latest
	}
	if !now.Before(q.deadline) {
		return &RefusedError{
			Reason: ReasonDeadline,
		}
	}
	if p.queue.weights[q.team] == 0 {
		q.team = ""
	}
	return nil
}
