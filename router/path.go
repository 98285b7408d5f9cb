package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/recorder"
)

// maxMoves limits how often a request moves to another owner because an owner
// refused it without an attempt. Each refusal counts moveCost(reason).
const maxMoves = 3

// maxAttempts is the most attempts of one request.
const maxAttempts = 3

const (
	// claimTimeout bounds the time that a claim may take.
	claimTimeout = 2 * time.Second
	// claimRetryAfter is the shortest retry time given to a caller when claims
	// cannot be recorded. Up to as much again is added at random.
	claimRetryAfter = 2 * time.Second
	// claimWarnInterval is the shortest time between two warnings of claims that
	// were not made.
	claimWarnInterval = 10 * time.Second
)

// Do runs a request at a minion and returns the complete answer. It returns by the
// request's deadline. Without an answer the error is *RefusedError, *FailedError,
// *UnknownError or *ClaimedError. When ctx ends, the request is abandoned.
func (r *Router) Do(ctx context.Context, q Request) (Answer, error) {
	now := r.settings.clock.Now()
	if !r.beginRequest() {
		return Answer{}, r.metrics.countRequest(q.service, &RefusedError{
			Reason:     ReasonLeaving,
			RetryAfter: leavingRetryAfter,
		})
	}
	defer r.endRequest()
	answer, err := r.do(ctx, q, now)
	return answer, r.metrics.countRequest(q.service, err)
}

func (r *Router) do(ctx context.Context, q Request, now time.Time) (Answer, error) {
	p := r.pool(q.service)
	if p == nil {
		return Answer{}, &RefusedError{
			Reason: ReasonNoService,
		}
	}
	if err := p.applyConfig(&q, now); err != nil {
		return Answer{}, err
	}
	if q.idempotent || q.identity == "" {
		return r.run(ctx, q)
	}
	return r.claimAndRun(ctx, q)
}

// claimAndRun claims a non-idempotent request before running it, and records its
// outcome with the Claimer.
func (r *Router) claimAndRun(ctx context.Context, q Request) (Answer, error) {
	if e := r.refuseIfOverloaded(q); e != nil {
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
		// The outcome is not known, so none is recorded.
	default:
		r.settings.claimer.End(q.identity, recorder.Failed)
	}
	return answer, err
}

// refuseIfOverloaded refuses a request whose expected wait is already too long, so
// that no claim is written to the log for it.
func (r *Router) refuseIfOverloaded(q Request) error {
	to, ok := r.chooseOwner(q.service, nil, nil)
	if !ok {
		return &RefusedError{
			Reason:     ReasonNoOwner,
			RetryAfter: defaultRetryAfter,
		}
	}
	p := r.pool(q.service)
	now := r.settings.clock.Now()
	if to.load.Free > 0 || to.load.Wait <= min(p.maxWait(), q.deadline.Sub(now)-to.load.ServiceTime) {
		return nil
	}
	refusal := &RefusedError{
		Reason: ReasonOverload,
	}
	if to.peer == nil {
		refusal.RetryAfter = p.minionRetryAfter()
	} else {
		refusal.RetryAfter = to.peer.retryAfter(q.service, to.load, now)
	}
	return refusal
}

func (r *Router) claim(ctx context.Context, q Request) error {
	if r.settings.claimer == nil {
		return claimsUnavailable()
	}
	claimCtx, stop := r.withLimit(ctx, min(claimTimeout, q.deadline.Sub(r.settings.clock.Now())), nil)
	defer stop()
	verdict, err := r.settings.claimer.Claim(claimCtx, q.identity)
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
		if ctx.Err() == nil {
			r.warnOfClaim(err)
		}
		return claimsUnavailable()
	case !verdict.Won:
		e := &ClaimedError{
			Outcome: verdict.Outcome,
		}
		if verdict.Outcome == "" {
			e.RetryAfter = defaultRetryAfter
		}
		return e
	default:
		return nil
	}
}

// warnOfClaim logs why a claim was not made, at most once in claimWarnInterval.
func (r *Router) warnOfClaim(err error) {
	now := r.settings.clock.Now()
	r.mu.Lock()
	if now.Before(r.nextClaimWarningAt) {
		r.unloggedClaims++
		r.mu.Unlock()
		return
	}
	unlogged := r.unloggedClaims
	r.unloggedClaims = 0
	r.nextClaimWarningAt = now.Add(claimWarnInterval)
	r.mu.Unlock()
	r.log.WithError(err).WithField("unlogged", unlogged).Warn("router: a claim was not made")
}

func claimsUnavailable() error {
	return &RefusedError{
		Reason:     ReasonNoClaims,
		RetryAfter: claimRetryAfter + rand.N(claimRetryAfter),
	}
}

// requestState is the progress of one request over several hops.
type requestState struct {
	router *Router
	q      Request
	// worst is the result to return if no hop is done.
	worst result
	// triedMinions names the minions at which hops made attempts. triedOwners
	// holds the owners of the hops that reported no attempt.
	triedMinions []string
	triedOwners  map[string]bool
	// moveCosts is the sum of the move costs so far; see maxMoves.
	moveCosts int
}

// run makes hops until one is done, no owner is left or mayRetry returns false.
func (r *Router) run(ctx context.Context, q Request) (Answer, error) {
	if q.identity == "" {
		q.identity = r.nextID()
	}
	s := &requestState{
		router: r,
		q:      q,
		worst: result{
			outcome:    refused,
			reason:     ReasonNoMinion,
			retryAfter: defaultRetryAfter,
		},
		triedOwners: make(map[string]bool),
	}
	for {
		res, ok := s.nextHop(ctx)
		if ok && res.outcome == done {
			r.retryBudget.recordSuccess()
			return res.answer, nil
		}
		if ok {
			s.worst = worse(s.worst, res)
		}
		if !ok || !s.mayRetry(ctx, res) {
			return Answer{}, s.worst.err()
		}
	}
}

// nextHop makes one hop. It returns false if there is no owner to choose.
func (s *requestState) nextHop(ctx context.Context) (result, bool) {
	r := s.router
	to, ok := r.chooseOwner(s.q.service, s.triedOwners, s.triedMinions)
	if !ok {
		return result{}, false
	}
	left := s.q.deadline.Sub(r.settings.clock.Now())
	if left <= 0 {
		return refusedResult(&RefusedError{
			Reason: ReasonDeadline,
		}), true
	}
	forwardArgs := s.forwardArgs(left)
	var res result
	if to.peer == nil {
		res = r.serve(ctx, forwardArgs)
	} else {
		res = r.forward(ctx, to, forwardArgs, r.forwardTimeout(left))
	}
	if res.minion == "" {
		s.triedOwners[to.owner] = true
	} else {
		s.triedMinions = append(s.triedMinions, res.minion)
	}
	return res, true
}

// forwardTimeout returns how long to wait for a peer's answer.
func (r *Router) forwardTimeout(left time.Duration) time.Duration {
	if r.settings.faults.waitPastDeadline {
		return 2 * left
	}
	return left
}

func (s *requestState) forwardArgs(left time.Duration) ForwardArgs {
	return ForwardArgs{
		ID:         s.router.nextID(),
		Identity:   s.q.identity,
		Service:    s.q.service,
		Method:     s.q.method,
		Path:       s.q.path,
		Header:     s.q.header,
		Body:       s.q.body,
		Team:       s.q.team,
		Idempotent: s.q.idempotent,
		Left:       left,
		Avoid:      s.triedMinions,
	}
}

// mayRetry reports whether another hop may follow one that was not done. If the
// last hop was refused without an attempt at a minion, the retry is limited by
// maxMoves only. Otherwise it takes a token from the retry budget, and a request
// that may have run is retried only if it is idempotent.
func (s *requestState) mayRetry(ctx context.Context, last result) bool {
	r := s.router
	if ctx.Err() != nil || !r.settings.clock.Now().Before(s.q.deadline) {
		return false
	}
	if last.outcome == refused && last.minion == "" {
		s.moveCosts += moveCost(last.reason)
		return s.moveCosts <= maxMoves
	}
	if last.outcome != refused && !s.q.idempotent && !r.settings.faults.retryAll {
		return false
	}
	if len(s.triedMinions) >= maxAttempts {
		return false
	}
	if !r.settings.faults.retryAll && !r.retryBudget.takeToken() {
		r.metrics.countBudgetEmpty(s.q.service)
		return false
	}
	r.metrics.countRetry(s.q.service)
	return true
}

// moveCost returns the cost of trying another owner after one that refused for the
// reason. An owner that refuses for overload was chosen for its low load, so the
// cost allows only one move after such refusals.
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

// maxWait returns the longest expected wait with which the service's configuration
// admits a request.
func (p *pool) maxWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.maxWait
}

// applyConfig refuses a request that is too large or past its deadline. It sets
// a missing deadline, shortens one that exceeds the service's maximum, and
// replaces a team without a weight by the empty name.
func (p *pool) applyConfig(q *Request, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if int64(len(q.body)) > p.config.maxBody {
		return &RefusedError{
			Reason: ReasonTooLarge,
		}
	}
	if q.deadline.IsZero() {
		q.deadline = now.Add(p.config.defaultTimeout)
	}
	if latest := now.Add(p.config.maxTimeout); q.deadline.After(latest) {
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
