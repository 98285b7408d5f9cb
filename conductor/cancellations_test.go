package conductor

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// steppedOwner is an owner that a test drives step by step, with one worker that has room,
// takes each start and loses its run at once.
type steppedOwner struct {
	c     *qt.C
	owner *Conductor
	began time.Time
	now   time.Time
	// starts counts the starts by job.
	starts map[string]int
}

func newSteppedOwner(c *qt.C, store storer.Store, token int64) *steppedOwner {
	owner := New(store, nil, nil, 0, token)
	owner.SetWorkers([]scheduler.WorkerEntry{
		{
			Ref: scheduler.WorkerRef{
				ID: "w",
			},
			Service: "desk",
			Total:   sizer.New(4000, 1<<30, 0),
		},
	})
	now := time.Now()
	o := &steppedOwner{
		c:      c,
		owner:  owner,
		began:  now,
		now:    now,
		starts: make(map[string]int),
	}
	c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
	return o
}

// read reads what the store has in the jobs partition since the last read.
func (o *steppedOwner) read() {
	next := o.owner.next
	page, err := o.owner.readJobs(context.Background(), next, 0)
	o.c.Assert(err, qt.IsNil)
	o.owner.applyPage(next, page)
}

// work has the owner tick and store its progress until it has started what it can.
func (o *steppedOwner) work() {
	for range 4 {
		o.now = o.now.Add(50 * time.Millisecond)
		o.owner.scheduler.ConfirmOwnership(o.now)
		o.owner.scheduler.Report("w", scheduler.Report{
			Clock: o.now.Sub(o.began),
		}, o.now, o.now)
		for _, effect := range o.owner.scheduler.Tick(o.now) {
			if start, ok := effect.(scheduler.StartTask); ok {
				o.starts[start.Run.Task.Step.Job]++
				o.owner.scheduler.StartAnswered("w", start.Run, scheduler.StartDone, o.now)
			}
		}
		o.c.Assert(o.owner.writeProgress(context.Background()), qt.IsNil)
	}
}

func (o *steppedOwner) state(id string) scheduler.JobState {
	state, _ := o.owner.scheduler.State(id)
	return state
}

func jobRecord(c *qt.C, id, organisation string) storer.Record {
	record, err := JobRecord(scheduler.Job{
		ID:           id,
		Organisation: organisation,
		Queue: scheduler.Queue{
			Name:    "checks",
			Service: "desk",
		},
		Phases: []scheduler.Phase{
			{
				Tasks: 1,
				Size:  sizer.New(1000, 1<<20, 0),
			},
		},
		Accepted: time.Now(),
	})
	c.Assert(err, qt.IsNil)
	return record
}

func cancelRecord(c *qt.C, id, organisation string) storer.Record {
	record, err := CancelRecord(id, organisation)
	c.Assert(err, qt.IsNil)
	return record
}

// permutations returns all orders of the records.
func permutations(records []storer.Record) [][]storer.Record {
	if len(records) == 0 {
		return [][]storer.Record{nil}
	}
	var all [][]storer.Record
	for i, first := range records {
		rest := slices.Concat(records[:i], records[i+1:])
		for _, tail := range permutations(rest) {
			all = append(all, append([]storer.Record{first}, tail...))
		}
	}
	return all
}

// checkAllOrders feeds the records of the job "j" to owners in every order and in every
// division into reads, with and without work of the owner between the reads. It checks that
// the job is cancelled in the end or runs, by this owner and by a next one that reads all
// records at once, whether or not this one has stored its progress.
func checkAllOrders(c *qt.C, cancelled bool, records ...storer.Record) {
	for _, order := range permutations(records) {
		for splits := range 1 << (len(order) - 1) {
			for _, works := range []bool{false, true} {
				name := fmt.Sprintf("splits %b, works %v, order", splits, works)
				for _, record := range order {
					name += " " + record.Key
				}
				c.Run(name, func(c *qt.C) { checkOrder(c, cancelled, order, splits, works) })
			}
		}
	}
}

func checkOrder(c *qt.C, cancelled bool, order []storer.Record, splits int, works bool) {
	store := storer.NewMemory(timekeeper.System())
	first := newSteppedOwner(c, store, 1)
	for i, record := range order {
		appendRecords(c, store, JobsTopic, record)
		if i < len(order)-1 && splits&(1<<i) == 0 {
			continue
		}
		first.read()
		if works && i < len(order)-1 {
			first.work()
		}
	}
	check := func(o *steppedOwner) {
		clear(o.starts)
		started := o.state("j") == scheduler.Running
		o.work()
		if cancelled {
			c.Assert(o.starts["j"], qt.Equals, 0)
			c.Assert(o.state("j"), qt.Equals, scheduler.Cancelled)
			return
		}
		c.Assert(started || o.starts["j"] > 0, qt.IsTrue)
		c.Assert(o.state("j"), qt.Equals, scheduler.Running)
	}
	check(first)
	check(newSteppedOwner(c, store, 2))
	withoutProgress := storer.NewMemory(timekeeper.System())
	appendRecords(c, withoutProgress, JobsTopic, order...)
	check(newSteppedOwner(c, withoutProgress, 2))
}

// TestCancellationReadBeforeItsJob guards against a job that runs although its cancelling was
// acknowledged, as its owner read the cancellation first and forgot it.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	c := qt.New(t)
	for _, organisations := range [][2]string{{"", ""}, {"", "mill"}, {"farm", "farm"}} {
		job := jobRecord(c, "j", organisations[0])
		checkAllOrders(c, true, job, job, cancelRecord(c, "j", organisations[1]))
	}
	for _, stranger := range []string{"", "mill"} {
		job := jobRecord(c, "j", "farm")
		checkAllOrders(c, false, job, job, cancelRecord(c, "j", stranger))
	}
}

// TestCancellationsOfTwoOrganisations guards against a cancellation that is replaced in the store
// by that of an organisation to which the job does not belong, so that the job runs after a
// takeover.
func TestCancellationsOfTwoOrganisations(t *testing.T) {
	c := qt.New(t)
	job := jobRecord(c, "j", "farm")
	checkAllOrders(c, true, job, cancelRecord(c, "j", "farm"), cancelRecord(c, "j", "mill"))
	checkAllOrders(c, true, job, job, cancelRecord(c, "j", "farm"), cancelRecord(c, "j", ""))
	checkAllOrders(c, false, job, cancelRecord(c, "j", ""), cancelRecord(c, "j", "mill"))
}
