package conductor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
)

// appendProgress stores a record of a former owner.
func (f *fixture) appendProgress(key, value string) {
	_, err := f.store.Append(context.Background(), storer.Partition{
		Topic:  conductor.ProgressTopic,
		Number: partition,
	}, nil, storer.Record{
		Key:   key,
		Value: []byte(value),
	})
	f.c.Assert(err, qt.IsNil)
}

// storedProgress returns the stored record of a key of the progress topic.
func (f *fixture) storedProgress(key string) string {
	page, err := f.store.Newest(context.Background(), storer.Partition{
		Topic:  conductor.ProgressTopic,
		Number: partition,
	}, "")
	f.c.Assert(err, qt.IsNil)
	for _, record := range page.Records {
		if record.Key == key {
			return string(record.Value)
		}
	}
	return ""
}

// reaches reports whether a job gets to a state within some seconds.
func (f *fixture) reaches(id string, want scheduler.JobState) bool {
	for range 100 {
		if state, found, err := f.owner.State(context.Background(), id, ""); err == nil && found && state == want {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// TestJobWithUndecodableProgressDoesNotRunAnew guards against a job that runs again, as its
// progress is damaged or of a later release.
func TestJobWithUndecodableProgressDoesNotRunAnew(t *testing.T) {
	for name, progress := range map[string]string{
		"not JSON":      "[",
		"another type":  `{"state":"completed","workers":7}`,
		"unknown state": `{"state":"archived"}`,
		"no state":      `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 2)
				defer f.stopOwners()
				f.submit("damaged", tasks(2))
				f.appendProgress("damaged", progress)
				owner, _ := f.startOwner()
				f.submit("other", tasks(3))
				f.c.Check(f.reaches("other", scheduler.Completed), qt.IsTrue)
				time.Sleep(time.Minute)
				f.c.Check(f.fleet.Starts(), qt.Equals, 3)
				state, found, err := owner.State(context.Background(), "damaged", "")
				f.c.Check(err, qt.IsNil)
				f.c.Check(found, qt.IsTrue)
				f.c.Check(state, qt.Equals, scheduler.Running)
				f.c.Check(f.storedProgress("damaged"), qt.Equals, progress)

				cancel, err := conductor.CancelRecord("damaged", "")
				f.c.Check(err, qt.IsNil)
				f.append(cancel)
				f.c.Check(f.reaches("damaged", scheduler.Cancelled), qt.IsTrue)
			})
		})
	}
}

// TestUndecodableWorkersInUseMayHaveRuns guards against a task that runs twice, as the list of
// the former owner's workers is damaged: one that the directory does not list may have the task.
func TestUndecodableWorkersInUseMayHaveRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.stopOwners()
		listed := f.fleet.Entries()
		f.submit("j", tasks(2))
		f.appendProgress("/workers", "[7")
		f.appendProgress("j", `{"state":"running","workers":["unlisted"]}`)
		f.fleet.Add("unlisted", service, sizer.New(4000, 16*gibibyte, 0))
		f.fleet.SetSilent("unlisted", true)
		owner, _ := f.startOwner()
		owner.SetWorkers(listed)
		// The longest lease is 1.5 s.
		time.Sleep(1500 * time.Millisecond)
		f.c.Check(f.fleet.Starts(), qt.Equals, 0)
		f.c.Check(f.reaches("j", scheduler.Completed), qt.IsTrue)
	})
}

// leaseWatcher calls leased with each worker that is granted a lease.
type leaseWatcher struct {
	*emulator.Fleet
	mu     sync.Mutex
	leased func(id string)
}

// RenewLease implements conductor.Workers.
func (w *leaseWatcher) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	if order.Lease > 0 {
		w.mu.Lock()
		w.leased(order.Worker.ID)
		w.mu.Unlock()
	}
	return w.Fleet.RenewLease(ctx, token, order, wait)
}

// TestUndecodableSilenceIsReplacedBeforeLeases guards against a task that runs twice: an owner
// that cannot decode which workers are stored as silent grants one of them a lease, and the
// next owner, which can, takes it for silent all the while.
func TestUndecodableSilenceIsReplacedBeforeLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0)
		f.fleet.Add("w", service, sizer.New(4000, 16<<30, 0))
		const undecodable = `[{"id":["w"]}]`
		f.appendProgress("/silent", undecodable)
		leases := 0
		watcher := &leaseWatcher{
			Fleet: f.fleet,
			leased: func(string) {
				leases++
				f.c.Check(f.storedProgress("/silent"), qt.Not(qt.Equals), undecodable)
			},
		}
		owner := conductor.New(f.store, watcher, approveAll{}, partition, 1)
		owner.SetWorkers(f.fleet.Entries())
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
		defer stop()
		f.c.Check(owner.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
		f.c.Check(leases > 0, qt.IsTrue)
	})
}

// TestProgressOfAnUndecodableJobIsKept guards against a job that runs anew once an owner of a
// later release can decode it: its progress was deleted as that of a job that is gone. Only
// progress without any record of its job is deleted.
func TestProgressOfAnUndecodableJobIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.stopOwners()
		const progress = `{"state":"completed"}`
		f.append(storer.Record{
			Key:   "undecodable",
			Value: []byte("["),
		})
		for _, key := range []string{"undecodable", "gone", "/later", "job/later"} {
			f.appendProgress(key, progress)
		}
		f.startOwner()
		time.Sleep(10 * time.Second)
		for key, want := range map[string]string{
			"undecodable": progress,
			"gone":        "",
			"/later":      progress,
			"job/later":   progress,
		} {
			f.c.Check(f.storedProgress(key), qt.Equals, want, qt.Commentf("%s", key))
		}
	})
}
