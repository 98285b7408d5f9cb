package router

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/recorder"
)

const (
	// problemType is the media type of a Problem, from RFC 9457.
	problemType = "application/problem+json"
	// problemURI is the prefix of a Problem's type; the reason follows.
	problemURI = "urn:problem-type:galenacove:"
)

// Ran says whether a request ran at a minion.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Problem is the body of an answer that does not come from a minion, as in RFC 9457.
type Problem struct {
	// Type is a URI that ends in the reason.
	Type string `json:"type"`
	// Title is a summary for people.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Reason is why the request was refused, failed or has an unknown outcome.
	Reason Reason `json:"reason"`
	// Ran says whether the request ran.
	Ran Ran `json:"ran"`
	// Outcome is that of an earlier request with the same identity.
	Outcome recorder.Outcome `json:"outcome,omitempty"`
	// RetryAfterSeconds is how long to wait before a retry. It is more exact than
	// the Retry-After header.
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
}

// ErrProblem is returned for data that is not a problem document.
var ErrProblem = errors.New("router: malformed problem document")

// ParseProblem parses a problem document.
func ParseProblem(data []byte) (Problem, error) {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return Problem{}, errors.WithStack(fmt.Errorf("%w: %w", ErrProblem, err))
	}
	switch p.Ran {
	case RanNo, RanYes, RanUnknown:
	default:
		return Problem{}, errors.Wrapf(ErrProblem, "ran is %q", string(p.Ran))
	}
	if p.RetryAfterSeconds < 0 || p.Status < http.StatusBadRequest || p.Status > 599 {
		return Problem{}, errors.Wrapf(ErrProblem, "status %d or a negative retry time", p.Status)
	}
	return p, nil
}

// problemOf returns the problem document for an error of Do.
func problemOf(err error) Problem {
	p := Problem{
		Status: http.StatusGatewayTimeout,
		Title:  "The outcome of the request is not known",
		Ran:    RanUnknown,
	}
	var refused *RefusedError
	var failed *FailedError
	var claimed *ClaimedError
	switch {
	case errors.As(err, &refused):
		p.Status = refusalStatus(refused.Reason)
		p.Title = "The request was refused and did not run"
		p.Ran = RanNo
		p.RetryAfterSeconds = refused.RetryAfter.Seconds()
	case errors.As(err, &failed):
		p.Status = http.StatusBadGateway
		p.Title = "The request ran and failed"
		p.Ran = RanYes
	case errors.As(err, &claimed):
		p.Status = http.StatusConflict
		p.Title = "The request was made before"
		p.Outcome = claimed.Outcome
		p.RetryAfterSeconds = claimed.RetryAfter.Seconds()
		if claimed.Outcome == recorder.Done || claimed.Outcome == recorder.Failed {
			p.Ran = RanYes
		}
	}
	_, p.Reason = classify(err)
	p.Type = problemURI + string(p.Reason)
	return p
}

func refusalStatus(reason Reason) int {
	switch reason {
	case ReasonNoService:
		return http.StatusNotFound
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonBadRequest, ReasonExpired:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// write writes the document as the HTTP answer.
func (p Problem) write(w http.ResponseWriter) {
	data, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set("Cache-Control", "no-store")
	switch {
	case p.RetryAfterSeconds > 0:
		h.Set("Retry-After", formatRetryAfter(p.RetryAfterSeconds))
	case p.Reason == ReasonLeaving:
		// Another entry can take the request at once.
		h.Set("Retry-After", "0")
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has gone.
	_, _ = w.Write(data)
}

// formatRetryAfter returns whole seconds, rounded up, for the Retry-After header.
func formatRetryAfter(s float64) string {
	return strconv.FormatInt(int64(math.Ceil(s)), 10)
}

// RetryTime returns how long the caller should wait before a retry, at most a day.
func (p Problem) RetryTime() time.Duration {
	return seconds(min(p.RetryAfterSeconds, maxHeaderSeconds))
}
