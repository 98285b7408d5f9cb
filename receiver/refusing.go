package receiver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// RefusedError means that the owner of a job refused it: the job was not stored and
// will not run.
type RefusedError struct {
	// Cause is the reason, for the log.
	Cause string
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("receiver: the job was refused, it is not stored and will not run: %s", e.Cause)
}

// retrySpread is the largest random addition to the retry time of a refused caller, as
// a fraction of that time. Owners spread the callers that they refuse, but do not know
// of each other.
const retrySpread = 0.25

// tooMany returns an answer that refuses a job and asks the caller to try again later.
// The header has whole seconds, so the time is rounded up.
func tooMany(refused *RefusedError) answer {
	after := max(refused.RetryAfter, time.Second)
	after += rand.N(time.Duration(retrySpread*float64(after)) + 1)
	return answer{
		status:     http.StatusTooManyRequests,
		retryAfter: (after + time.Second - 1).Truncate(time.Second),
		err:        refused,
	}
}
