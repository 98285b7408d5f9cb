package router

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/recorder"
)

// Reason says why a request was refused or why its outcome is failed or unknown.
// It is one camel-case word, the same in logs, metrics and problem documents.
type Reason string

// The reasons.
const (
	// ReasonOverload means that the expected wait is too long.
	ReasonOverload Reason = "overload"
	// ReasonQueueFull means that the service's queue is at its limit.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline means that the time left until the deadline is too short.
	ReasonDeadline Reason = "deadline"
	// ReasonNoMinion means that no minion of the service can be used.
	ReasonNoMinion Reason = "noMinion"
	// ReasonNoOwner means that no owner of minions could be reached.
	ReasonNoOwner Reason = "noOwner"
	// ReasonMoved means that the owner lost its minions to another member.
	ReasonMoved Reason = "moved"
	// ReasonMinion means that minions refused the request or could not be
	// connected to, and that no further attempt was allowed.
	ReasonMinion Reason = "minion"
	// ReasonLeaving means that the router is leaving or stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonNoService means that the service is unknown.
	ReasonNoService Reason = "noService"
	// ReasonTooLarge means that the body exceeds the service's limit.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonBadRequest means that the request has a malformed header or identity,
	// or that its body could not be read.
	ReasonBadRequest Reason = "badRequest"
	// ReasonExpired means that the identity is too old, or too far in the future, to
	// be claimed.
	ReasonExpired Reason = "expired"
	// ReasonNoClaims means that the log that stores claims cannot be reached, or that
	// there is none.
	ReasonNoClaims Reason = "noClaims"
	// ReasonClaimed means that the identity was claimed before.
	ReasonClaimed Reason = "claimed"
	// ReasonFailed means that the minion answered with a status of 500 or above.
	ReasonFailed Reason = "failed"
	// ReasonLost means that the request may have run, and that no complete answer
	// to it came back.
	ReasonLost Reason = "lost"
	// ReasonGone means that the caller's context ended.
	ReasonGone Reason = "gone"
)

// RefusedError is returned for a request that certainly did not run.
type RefusedError struct {
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter is how long the caller should wait before a retry. It is zero if
	// a retry does not help, or if another entry can take the request at once.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("router: request refused, not run: %s, retry after %s", e.Reason, e.RetryAfter)
}

// FailedError is returned for a request that ran and failed.
type FailedError struct {
	// Answer is the minion's answer.
	Answer Answer
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("router: request ran and failed, minion answered with status %d", e.Answer.Status())
}

// UnknownError is returned for a request that may have run.
type UnknownError struct {
	// Reason is why the outcome is not known.
	Reason Reason
	// Cause is the last underlying error, or nil.
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
	// Outcome is the outcome of the first request, or empty if it is not known.
	Outcome recorder.Outcome
	// RetryAfter is how long to wait before asking again for an unknown outcome.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ClaimedError) Error() string {
	if e.Outcome == "" {
		return "router: request identity claimed before, outcome unknown"
	}
	return fmt.Sprintf("router: request identity claimed before, outcome %s", e.Outcome)
}

// Errors returned by a Claimer.
var (
	// ErrIdentity is returned for an identity that is not a UUIDv7.
	ErrIdentity = errors.New("router: request identity is not a UUIDv7")
	// ErrExpired is returned for an identity that is too old or ahead of the
	// clock.
	ErrExpired = errors.New("router: request identity is too old or ahead of the clock")
	// ErrNotClaimed is returned if the claim was certainly not won, for example
	// because the log cannot be reached.
	ErrNotClaimed = errors.New("router: claim of the request was not won")
)
