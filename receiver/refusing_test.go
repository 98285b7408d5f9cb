package receiver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
)

// refusingJobs refuses all jobs. Its other methods are not called.
type refusingJobs struct {
	receiver.Jobs
	retryAfter time.Duration
}

func (r refusingJobs) Submit(context.Context, scheduler.Job) error {
	return fmt.Errorf("submit: %w", &receiver.RefusedError{
		Cause:      "backlog",
		RetryAfter: r.retryAfter,
	})
}

// TestRefusedCallersOfAFloodReturnSpread guards against a refused caller that is told to
// return too early, without a time, or at the same time as all others.
func TestRefusedCallersOfAFloodReturnSpread(t *testing.T) {
	for _, test := range []struct {
		retryAfter time.Duration
		want       int
	}{
		{
			want: 1,
		},
		{
			retryAfter: 1200 * time.Millisecond,
			want:       2,
		},
		{
			retryAfter: 12 * time.Second,
			want:       12,
		},
	} {
		r := receiver.New(refusingJobs{
			retryAfter: test.retryAfter,
		}, receiver.JSON{})
		r.SetConfig(receiver.Config{
			Version: 1,
			Routes: []receiver.Route{{
				Host:   "desk.example",
				Prefix: "/checks/",
			}},
		})
		seen := make(map[int]bool)
		for range 100 {
			request := httptest.NewRequest(http.MethodPost, "http://desk.example/checks/a", strings.NewReader(`{"phases": [{"tasks": 1}]}`))
			recorder := httptest.NewRecorder()
			r.ServeHTTP(recorder, request)
			qt.Assert(t, recorder.Code, qt.Equals, http.StatusTooManyRequests)
			seconds, err := strconv.Atoi(recorder.Header().Get("Retry-After"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, seconds >= test.want && seconds <= test.want*5/4+1, qt.IsTrue, qt.Commentf("%d after %v", seconds, test.retryAfter))
			seen[seconds] = true
		}
		qt.Assert(t, test.retryAfter < 4*time.Second || len(seen) > 2, qt.IsTrue)
	}
}
