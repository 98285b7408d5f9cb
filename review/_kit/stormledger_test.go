package main

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testTask = "00000000000000aa.0.0.0"

// testLedger is a ledger with one accepted job of one step of two tasks.
type testLedger struct {
	*ledger
	job *stormJob
}

func newTestLedger(c *qt.C, phase stormPhase) testLedger {
	phase.tasks = 2
	l := newLedger(newRecorder(filepath.Join(c.TempDir(), "record.txt")), &calendar{}, time.Minute)
	job := &stormJob{
		id:       "00000000000000aa",
		service:  "open0",
		spec:     "spec",
		phases:   []stormPhase{phase},
		handIns:  1,
		accepted: time.Now(),
	}
	l.addJob(job)
	return testLedger{
		ledger: l,
		job:    job,
	}
}

// testWorker returns a worker that holds a lease.
func testWorker(id string) *worker {
	w := &worker{
		id:      id,
		service: "open0",
		rate:    1,
		born:    time.Now(),
	}
	w.deadline.Store(time.Hour.Milliseconds())
	return w
}

func (l testLedger) start(task string, run runID, late bool) {
	o := stormOrder{
		order: order{
			Spec: "spec",
		},
	}
	l.started(task, run, o, "edge", late)
}

// rules returns the broken rules with their classes.
func (l testLedger) rules() []string {
	var rules []string
	for _, b := range l.breaches {
		rules = append(rules, b.rule+", "+b.class)
	}
	return rules
}

func TestLedgerOfRuns(t *testing.T) {
	first := runID{
		worker:  testWorker("i-1"),
		attempt: 1,
	}
	second := runID{
		worker:  testWorker("i-2"),
		attempt: 2,
	}
	lapsed := runID{
		worker: &worker{
			id:      "i-3",
			service: "open0",
			rate:    1,
			born:    time.Now().Add(-time.Second),
		},
		attempt: 1,
	}
	for _, test := range []struct {
		name  string
		phase stormPhase
		play  func(l testLedger)
		want  []string
	}{
		{
			name: "a run after the other",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, "stopped")
				l.start(testTask, second, false)
				l.ended(testTask, second, "done")
				l.noted(testTask, second, "done")
			},
		},
		{
			name: "two runs at once",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.start(testTask, second, false)
			},
			want: []string{"TWICE, before status_s"},
		},
		{
			name: "two runs at once of a late order",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.start(testTask, second, true)
			},
			want: []string{"TWICE, before status_s"},
		},
		{
			name: "two copies at once",
			phase: stormPhase{
				speculative: true,
			},
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.start(testTask, second, false)
			},
		},
		{
			name: "a run beside one whose lease has lapsed",
			play: func(l testLedger) {
				l.start(testTask, lapsed, false)
				l.start(testTask, second, false)
			},
		},
		{
			name: "a start after an end that is taken note of later",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, "done")
				l.start(testTask, second, false)
				l.noted(testTask, first, "done")
			},
			want: []string{"TWICE, before status_s"},
		},
		{
			name: "a start after an end that is never taken note of",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, "done")
				l.start(testTask, second, false)
			},
		},
		{
			name: "a start after the progress was deleted",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, "done")
				l.noted(testTask, first, "done")
				l.stored("progress", l.job.id, true)
				l.start(testTask, second, false)
			},
			want: []string{"TWICE, after its progress was deleted"},
		},
		{
			name: "a start after a cancelling that was stored before the job",
			play: func(l testLedger) {
				l.stored("jobs", l.job.id+"/cancel", false)
				l.stored("jobs", l.job.id, false)
				l.job.cancelled = time.Now().Add(-stormCancel - time.Second)
				l.start(testTask, first, false)
			},
			want: []string{"UNASKED, cancelling stored before the job"},
		},
		{
			name: "a late start after a cancelling",
			play: func(l testLedger) {
				l.job.cancelled = time.Now().Add(-stormCancel - time.Second)
				l.start(testTask, first, true)
			},
		},
		{
			name: "a start by an entry that meets a disruption",
			play: func(l testLedger) {
				l.calendar.begin("edge", "frozen")
				l.job.cancelled = time.Now().Add(-stormCancel - time.Second)
				l.start(testTask, first, false)
			},
		},
		{
			name: "a start beside another task of the step",
			phase: stormPhase{
				antiAffinity: 1,
			},
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.start("00000000000000aa.0.0.1", first, false)
			},
			want: []string{"ROUTE, anti_affinity"},
		},
		{
			name: "a task that nobody sent",
			play: func(l testLedger) {
				l.start("00000000000000aa.0.0.2", first, false)
			},
			want: []string{"UNASKED, unknown"},
		},
		{
			name: "a job that was refused",
			play: func(l testLedger) {
				l.job.accepted = time.Time{}
				l.job.refusals = 1
				l.start(testTask, first, false)
			},
			want: []string{"REFUSED, refused"},
		},
		{
			name: "shown as completed too early",
			play: func(l testLedger) {
				l.shown(l.job.id, "edge", 200, "completed", time.Now())
			},
			want: []string{"MIXED, completed"},
		},
		{
			name: "shown as failed after one crash",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, crashedEnd)
				l.shown(l.job.id, "edge", 200, "failed", time.Now())
			},
			want: []string{"LOST, failed"},
		},
		{
			name: "given up after two crashes",
			play: func(l testLedger) {
				l.start(testTask, first, false)
				l.ended(testTask, first, crashedEnd)
				l.start(testTask, second, false)
				l.ended(testTask, second, crashedEnd)
				l.shown(l.job.id, "edge", 200, "failed", time.Now())
			},
		},
		{
			name: "an accepted job is denied",
			play: func(l testLedger) {
				l.job.accepted = time.Now().Add(-stormVisible - time.Second)
				l.shown(l.job.id, "edge", 410, "", time.Now())
			},
			want: []string{"LOST, 410"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestLedger(c, test.phase)
			test.play(l)
			l.finish(time.Now(), false)
			c.Assert(l.rules(), qt.DeepEquals, test.want)
		})
	}
}

func TestLedgerOfLostJobs(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger(c, stormPhase{})
	l.finish(time.Now(), false)
	c.Assert(l.rules(), qt.HasLen, 0)
	l.finish(time.Now(), true)
	c.Assert(l.rules(), qt.DeepEquals, []string{"LOST, unfinished"})

	l = newTestLedger(c, stormPhase{
		lasting: true,
	})
	l.job.accepted = time.Now().Add(-stormLastingGap - time.Second)
	l.finish(time.Now(), false)
	c.Assert(l.rules(), qt.DeepEquals, []string{"LOST, lasting", "LOST, lasting"})
}
