package router

import (
	"time"

	"github.com/cockroachdb/errors"
)

// outcome is how a hop ended. If no hop of a request is done, the highest outcome
// among them is reported to the caller.
type outcome int

const (
	// refused: no minion ran the request.
	refused outcome = iota
	// failed: a minion ran the request and reported a failure.
	failed
	// unknown: a minion may have run the request.
	unknown
	// done: the complete answer was received.
	done
)

// result is the result of a hop.
type result struct {
	outcome outcome
	// answer is set if the outcome is done or failed.
	answer Answer
	// reason is set unless the outcome is done. retryAfter is set only if the
	// outcome is refused.
	reason     Reason
	retryAfter time.Duration
	// cause is the underlying error, or nil.
	cause error
	// minion is the minion at which an attempt was made, or empty if none was.
	minion string
}

func refusedResult(e *RefusedError) result {
	return result{
		outcome:    refused,
		reason:     e.Reason,
		retryAfter: e.RetryAfter,
	}
}

func unknownResult(reason Reason, cause error) result {
	return result{
		outcome: unknown,
		reason:  reason,
		cause:   cause,
	}
}

// resultOf returns the result for the ending of an attempt.
func resultOf(e ending, minion string) result {
	r := result{
		minion: minion,
	}
	switch e := e.(type) {
	case answered:
		r.outcome = done
		if e.answer.failed() {
			r.outcome = failed
			r.reason = ReasonFailed
		}
		r.answer = e.answer
	case declined:
		r.outcome = refused
		r.reason = ReasonMinion
		r.cause = errors.Newf("router: minion refused the request: %s", e.reason)
	case unsent:
		r.outcome = refused
		r.reason = ReasonMinion
		r.cause = e.err
	case lost:
		r.outcome = unknown
		r.reason = ReasonLost
		r.cause = e.err
	}
	return r
}

// worse returns the result to report after two hops that were not done, first a and
// then b: the one with the higher outcome. If the outcomes are equal, it returns a
// if only a made an attempt at a minion, and b otherwise.
func worse(a, b result) result {
	if a.outcome > b.outcome || (a.outcome == b.outcome && a.minion != "" && b.minion == "") {
		return a
	}
	return b
}

// err returns the typed error for the caller, nil for done.
func (r result) err() error {
	switch r.outcome {
	case done:
		return nil
	case failed:
		return &FailedError{
			Answer: r.answer,
		}
	case unknown:
		return &UnknownError{
			Reason: r.reason,
			Cause:  r.cause,
		}
	default:
		return &RefusedError{
			Reason:     r.reason,
			RetryAfter: r.retryAfter,
		}
	}
}
