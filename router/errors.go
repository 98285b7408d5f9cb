package router

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/recorder"
)

// Reason says why a request was refused or did not end well. It is one word
// in camel case, the same in logs, metrics and problem documents.
type Reason string

// The reasons.
const (
	// ReasonOverload is given where the expected wait is too long.
	ReasonOverload Reason = "overload"
	// ReasonQueueFull is given where the service's queue is at its limit.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline is given where the time left does not suffice.
	ReasonDeadline Reason = "deadline"
	// ReasonNoMinion is given where no minion of the service may be used.
	ReasonNoMinion Reason = "noMinion"
	// ReasonNoOwner is given where no owner of minions could be reached.
	ReasonNoOwner Reason = "noOwner"
	// ReasonMoved is given where the owner lost its minions to another.
	ReasonMoved Reason = "moved"
	// ReasonMinion is given where minions refused the request, or could not be
	// connected to, and no further attempt was allowed.
	ReasonMinion Reason = "minion"
	// ReasonLeaving is given by a router that stops.
	ReasonLeaving Reason = "leaving"
	// ReasonNoService is given for a service that is not known.
	ReasonNoService Reason = "noService"
	// ReasonTooLarge is given for a body over the service's limit.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonBadRequest is given for a request with a malformed header.
	ReasonBadRequest Reason = "badRequest"
	// ReasonExpired is given for an identity that is too old to be claimed.
	ReasonExpired Reason = "expired"
	// ReasonNoClaims is given where the log that keeps claims is out of reach.
	ReasonNoClaims Reason = "noClaims"
	// ReasonClaimed is given for an identity that was claimed before.
	ReasonClaimed Reason = "claimed"
	// ReasonFailed is given where the minion answered that it failed.
	ReasonFailed Reason = "failed"
	// ReasonLost is given where the request may have run and no whole answer
	// of its own came back.
	ReasonLost Reason = "lost"
	// ReasonGone is given where the caller went away.
	ReasonGone Reason = "gone"
)

// RefusedError is returned for a request that certainly did not run.
type RefusedError struct {
	// Reason says why.
	Reason Reason
	// RetryAfter is when the caller may come back. It is zero where coming
	// back does not help, or where another entry takes the request at once.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("router: refused, not run: %s, come back in %s", e.Reason, e.RetryAfter)
}

// FailedError is returned for a request that ran and failed.
type FailedError struct {
	// Answer is what the minion said.
	Answer Answer
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("router: the minion failed with status %d", e.Answer.Status())
}

// UnknownError is returned for a request that may have run.
type UnknownError struct {
	// Reason says why the outcome is not known.
	Reason Reason
	// Cause is what happened last, or nil.
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("router: outcome unknown: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ClaimedError is returned for a non-idempotent request whose identity was
// claimed before. This call ran nothing.
type ClaimedError struct {
	// Outcome is what became of the first try, or empty if that is not known.
	Outcome recorder.Outcome
	// RetryAfter is when to ask again for an outcome that is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ClaimedError) Error() string {
	if e.Outcome == "" {
		return "router: claimed before, outcome not known"
	}
	return fmt.Sprintf("router: claimed before, %s", e.Outcome)
}

// The errors of a Claimer.
var (
	// ErrIdentity is returned for an identity that is no UUIDv7.
	ErrIdentity = errors.New("router: malformed identity of a request")
	// ErrExpired is returned for an identity that is too old or ahead of the
	// clock.
	ErrExpired = errors.New("router: identity of the request has expired")
	// ErrNotClaimed is returned where the claim is certainly not won, as with
	// the log out of reach.
	ErrNotClaimed = errors.New("router: claim could not be made")
)
