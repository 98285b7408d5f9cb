package conductor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// absentWorkers answers each renewal with an error.
type absentWorkers struct {
	Workers
	err error
}

// RenewLease implements Workers.
func (w *absentWorkers) RenewLease(context.Context, int64, scheduler.LeaseRenewal, time.Duration) (scheduler.Report, error) {
	return scheduler.Report{}, w.err
}

// TestAbsentWorkerFloodsTheLog guards against five log lines a second, for ever, on each worker that
// the directory lists and that does not answer, or is another one.
func TestAbsentWorkerFloodsTheLog(t *testing.T) {
	for message, err := range map[string]error{
		"conductor: worker does not answer": ErrUnreachable,
		"conductor: worker has ended":       ErrWorkerGone,
	} {
		t.Run(message, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				owner, logs := loggedOwner(storer.NewMemory(timekeeper.System()))
				owner.workers = &absentWorkers{
					err: err,
				}
				c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
				logs.Entries = nil
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute-time.Second)
				defer cancel()
				for ctx.Err() == nil {
					// The directory is read again.
					owner.SetWorkers([]scheduler.WorkerEntry{
						{
							Ref: scheduler.WorkerRef{
								ID:      "w",
								Address: "10.0.0.1:80",
							},
							Service: "desk",
						},
					})
					c.Assert(owner.renewLease(ctx, "w"), qt.IsNil)
				}
				found := lines(logs, message)
				c.Assert(found[0]["worker"], qt.Equals, "w")
				c.Assert(len(found) >= 6, qt.IsTrue, qt.Commentf("%d lines in a minute", len(found)))
				c.Assert(len(found) <= 30, qt.IsTrue, qt.Commentf("%d lines in a minute", len(found)))
				c.Assert(omittedLines(logs) > 200, qt.IsTrue)
			})
		})
	}
}

// omittedLines returns how many lines the log says to have left out.
func omittedLines(logs *memory.Handler) int {
	omitted := 0
	for _, logEntry := range logs.Entries {
		if n, found := logEntry.Fields["omitted"].(int); found {
			omitted += n
		}
	}
	return omitted
}
