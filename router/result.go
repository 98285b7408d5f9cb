package router

import (
	"time"

	"github.com/cockroachdb/errors"
)

// outcome is one of the four ways in which a hop ends. Of the outcomes of
// several hops the highest counts, save that done ends the request.
type outcome int

const (
	// refused: no minion ran it.
	refused outcome = iota
	// failed: a minion ran it and said that it failed.
	failed
	// unknown: a minion may have run it.
	unknown
	// done: the whole answer is there.
	done
)

// result is what became of a request at one owner.
type result struct {
	outcome outcome
	// answer is set if the outcome is done or failed.
	answer Answer
	// reason and after are set if the outcome is refused or unknown.
	reason Reason
	after  time.Duration
	// cause is what happened, or nil.
	cause error
	// minion is where an attempt was made, or empty if none was.
	minion string
}

func refusal(e *RefusedError) result {
	return result{
		outcome: refused,
		reason:  e.Reason,
		after:   e.RetryAfter,
	}
}

func uncertain(reason Reason, cause error) result {
	return result{
		outcome: unknown,
		reason:  reason,
		cause:   cause,
	}
}

// judge turns the ending of an attempt into a result.
func judge(e ending, minion string) result {
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
		r.cause = errors.Newf("router: the minion refused: %s", e.why)
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

// worse returns the one of two results of a request, in their order, that must
// be told. What a minion said goes before what an owner said.
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
			RetryAfter: r.after,
		}
	}
}
