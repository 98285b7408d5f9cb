package dispatcher

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/recorder"
)

// TestSetAsideNamesItsCause guards against a regression: the log and the audit trail
// said of a worker that was set aside after refused starts that it had failed 0
// times in a row.
func TestSetAsideNamesItsCause(t *testing.T) {
	for _, test := range []struct {
		name   string
		spoil  func(w *rigWorker)
		reason string
	}{
		{
			name:   "runs fail",
			spoil:  func(w *rigWorker) { w.failing = true },
			reason: "3 runs in a row failed",
		},
		{
			name:   "starts are refused",
			spoil:  func(w *rigWorker) { w.used = w.host.Capacity },
			reason: "10 starts in a row were refused",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(1)
			tables := r.addEntry("entry-0").tables
			logged := memory.New()
			tables.log = &log.Logger{
				Handler: logged,
				Level:   log.WarnLevel,
			}
			var reasons []string
			tables.settings.audit = func(a recorder.Audit) {
				if a.What == "set worker w-0 aside" {
					reasons = append(reasons, a.Reason)
				}
			}
			test.spoil(r.addWorker("w-0", cores(8), true))
			r.epoch("entry-0")
			// Only one failure of each job counts against the worker.
			for _, job := range []string{"a", "b", "c", "d"} {
				r.append(testJob(job, recorder.Batch, 4, cores(1), time.Second))
			}
			c.Assert(r.runUntil(time.Minute, func() bool { return len(reasons) > 0 }), qt.IsTrue)
			c.Check(reasons, qt.DeepEquals, []string{test.reason})
			c.Assert(logged.Entries, qt.HasLen, 1)
			c.Assert(logged.Entries[0].Message, qt.Equals, "dispatcher: worker w-0 is set aside: "+test.reason)
		})
	}
}
