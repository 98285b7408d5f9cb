package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

func TestWorkerStartFaults(t *testing.T) {
	// Columns: name, faults, "echo" for OnlyEcho, earlier start, epoch of the
	// start, its result, "runs" if the task runs afterwards.
	const table = `
		none                    | {}                  |      |         | 5 | ok         | runs
		down                    | {"down": true}      |      |         | 5 | unknown    |
		slow                    | {"slow": 1000000}   |      |         | 5 | ok         | runs
		answer lost             | {"loseAnswers": 1}  |      |         | 5 | unknown    | runs
		refuses                 | {"refuse": true}    |      |         | 5 | refused    |
		leaving                 | {"leaving": true}   |      |         | 5 | refused    |
		fails all               | {"failTasks": true} |      |         | 5 | ok         |
		no capacity             | {}                  |      | large   | 5 | noCapacity |
		no capacity, only echo  | {}                  | echo | large   | 5 | ok         | runs
		lower epoch             | {}                  |      | large   | 4 | fenced     |
		lower epoch, only echo  | {}                  | echo | large   | 4 | ok         | runs
		again                   | {}                  |      | same    | 5 | ok         | runs
		another of the task     | {}                  |      | another | 5 | refused    |
		no lease                | {}                  |      | noLease | 5 | refused    |
	`
	start := testStart(testRef("job", 0, 5, 2), 2000, 0)
	earlierStarts := map[string]connector.Start{
		"large":   testStart(testRef("large", 0, 5, 1), 3000, 0),
		"same":    start,
		"another": testStart(testRef("job", 0, 5, 1), 1000, 0),
	}
	for _, row := range parseTable(table) {
		t.Run(row[0], func(t *testing.T) {
			c := qt.New(t)
			var opts []Option
			if row[2] == "echo" {
				opts = append(opts, OnlyEcho())
			}
			client, url := serveHandler(t, NewWorker(testHost("w1"), opts...).Handler())
			worker := newWorkerClient(client, url)
			if earlier, ok := earlierStarts[row[3]]; ok {
				c.Assert(worker.Start(t.Context(), earlier), qt.IsNil)
			}
			setFaults(t, client, url, row[1])
			order := start
			if row[3] == "noLease" {
				order.Lease = 0
			}
			c.Assert(json.Unmarshal([]byte(row[4]), &order.Epoch), qt.IsNil)
			checkError(t, worker.Start(t.Context(), order), row[5])
			setFaults(t, client, url, "{}")
			runs := ""
			for _, report := range taskReports(t, worker) {
				if report.Ref == start.Ref && report.State == connector.TaskRunning {
					runs = "runs"
				}
			}
			c.Check(runs, qt.Equals, row[6])
		})
	}
}

func TestWorkerTaskStates(t *testing.T) {
	// The task has a declared run time of 4 s and a lease of 10 s. Columns: run
	// time factor, call after 1 s, time that passes after it, state, checkpoint.
	const table = `
		1   |            | 2999ms | running      |
		1   |            | 3s     | finished     |
		2   |            | 3s     | running      |
		100 |            | 8999ms | running      |
		100 |            | 9s     | lapsed       |
		100 | renew      | 15s    | running      |
		100 | renew      | 20s    | lapsed       |
		1   | stop       | 0s     | stopped      |
		1   | checkpoint | 0s     | checkpointed | 1s
		1   | throttle   | 5999ms | running      |
		1   | throttle   | 6s     | finished     |
	`
	ref := testRef("job", 0, 5, 1)
	for _, row := range parseTable(table) {
		t.Run(strings.Join(row, " "), func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(testTime)
			factor, err := strconv.ParseFloat(row[0], 64)
			c.Assert(err, qt.IsNil)
			wait, err := time.ParseDuration(row[2])
			c.Assert(err, qt.IsNil)
			worker := serveWorker(t, NewWorker(testHost("w1"), Clock(clock), RunTimeFactor(factor)))
			c.Assert(worker.Start(t.Context(), testStart(ref, 1000, 4*time.Second)), qt.IsNil)
			clock.Advance(time.Second)
			c.Assert(applyAction(t.Context(), worker, ref, row[1]), qt.IsNil)
			clock.Advance(wait)
			tasks := taskReports(t, worker)
			c.Assert(tasks, qt.HasLen, 1)
			c.Check(tasks[0].State, qt.Equals, connector.TaskState(row[3]))
			if len(row) > 4 {
				c.Check(tasks[0].Checkpoint, qt.Equals, row[4])
			}
		})
	}
}

// applyAction makes the call to the worker that the action names in the tables,
// for the start with that reference. An empty action makes no call.
func applyAction(ctx context.Context, w connector.Worker, ref namer.TaskRef, action string) error {
	refs := []namer.TaskRef{ref}
	switch action {
	case "renew":
		_, err := w.Renew(ctx, connector.Renewal{
			Epoch: 5,
			Lease: 20 * time.Second,
			Refs:  refs,
		})
		return err
	case "throttle":
		return w.Throttle(ctx, connector.Throttle{
			Epoch: 5,
			Ref:   ref,
			Limit: sizer.New(500, 0, 0),
		})
	case "stop", "checkpoint":
		return w.Stop(ctx, connector.Stop{
			Epoch:      5,
			Refs:       refs,
			Checkpoint: action == "checkpoint",
		})
	case "acknowledge":
		_, err := w.Renew(ctx, connector.Renewal{
			Epoch:        5,
			Acknowledged: refs,
		})
		return err
	default:
		return nil
	}
}

func TestWorkerResumesFromCheckpoint(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	client := serveWorker(t, NewWorker(testHost("w1"), Clock(clock)))
	start := testStart(testRef("job", 0, 5, 1), 1000, 4*time.Second)
	start.Checkpoint = "3s"
	c.Assert(client.Start(t.Context(), start), qt.IsNil)
	clock.Advance(time.Second)
	c.Check(taskReports(t, client)[0].State, qt.Equals, connector.TaskFinished)
}

func TestWorkerReportsUsageWithLag(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	client := serveWorker(t, NewWorker(testHost("w1"), Clock(clock), UsageFactor(0.5), UsageLag(2*time.Second)))
	c.Assert(client.Start(t.Context(), testStart(testRef("job", 0, 5, 1), 1000, 0)), qt.IsNil)
	c.Check(taskReports(t, client)[0].Usage, qt.Equals, sizer.Size{})
	clock.Advance(2 * time.Second)
	c.Check(taskReports(t, client)[0].Usage, qt.Equals, sizer.New(500, 1<<19, 0))
}

// TestWorkerKeepsEndedStarts checks that a start that arrives after its stop
// does not run, even after it was acknowledged.
func TestWorkerKeepsEndedStarts(t *testing.T) {
	c := qt.New(t)
	worker := NewWorker(testHost("w1"))
	client := serveWorker(t, worker)
	late := testStart(testRef("late", 0, 5, 1), 1000, 0)
	c.Assert(applyAction(t.Context(), client, late.Ref, "stop"), qt.IsNil)
	for range 2 {
		// A start that arrives after its stop does not run.
		c.Assert(client.Start(t.Context(), late), qt.IsNil)
		tasks := taskReports(t, client)
		c.Assert(tasks, qt.HasLen, 1)
		c.Check(tasks[0].State, qt.Equals, connector.TaskStopped)
	}
	c.Assert(applyAction(t.Context(), client, late.Ref, "acknowledge"), qt.IsNil)
	c.Check(taskReports(t, client), qt.HasLen, 0)
	c.Assert(client.Start(t.Context(), late), qt.IsNil)
	c.Check(taskReports(t, client), qt.HasLen, 0)
	c.Check(worker.Account().Intervals, qt.HasLen, 0)
}

func TestWorkerRegisters(t *testing.T) {
	c := qt.New(t)
	platform := NewPlatform(HostLag(0))
	client, url := serveHandler(t, platform.Handler())
	worker := NewWorker(testHost("w1"))
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return worker.Run(ctx, url) })
	var list []connector.Host
	for len(list) == 0 {
		var err error
		list, err = connector.NewPlatform(client, url).List(t.Context())
		c.Assert(err, qt.IsNil)
	}
	c.Check(list[0], qt.Equals, testHost("w1"))
	cancel()
	c.Check(group.Wait(), qt.IsNil)
}

// runRandomCalls makes random calls to two workers without regard to their state,
// and returns their accounts.
func runRandomCalls(t *rapid.T, opts ...Option) []Account {
	clock := timekeeper.NewFake(testTime)
	var workers []*Worker
	var clients []connector.Worker
	for i := range 2 {
		worker := NewWorker(testHost(fmt.Sprint("w", i)), append(opts, Clock(clock))...)
		workers = append(workers, worker)
		clients = append(clients, connector.NewWorker(newHandlerClient(worker.Handler()), "worker"))
	}
	var refs []namer.TaskRef
	for sequence := range rapid.IntRange(1, 60).Draw(t, "steps") {
		clock.Advance(time.Millisecond)
		client := clients[rapid.IntRange(0, 1).Draw(t, "worker")]
		ref := testRef("job", rapid.IntRange(0, 5).Draw(t, "task"), 5, uint64(sequence))
		if len(refs) > 0 && rapid.Bool().Draw(t, "old") {
			ref = rapid.SampledFrom(refs).Draw(t, "ref")
		}
		// Calls may be refused here.
		switch rapid.IntRange(0, 6).Draw(t, "what") {
		case 0:
			clock.Advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "wait")) * time.Millisecond)
		case 1:
			_ = applyAction(context.Background(), client, ref, "stop")
		case 2:
			_ = applyAction(context.Background(), client, ref, "renew")
		case 3:
			_ = applyAction(context.Background(), client, ref, "acknowledge")
		default:
			milliCores := int64(rapid.IntRange(1, 3000).Draw(t, "milliCores"))
			runTime := time.Duration(rapid.IntRange(0, 9).Draw(t, "runTime")) * time.Second
			_ = client.Start(context.Background(), testStart(ref, milliCores, runTime))
			refs = append(refs, ref)
		}
	}
	return []Account{workers[0].Account(), workers[1].Account()}
}

// checkAccount returns an error if the account shows overlapping starts of a
// task, usage beyond the capacity, or a MostUsed below the usage computed from
// the intervals.
func checkAccount(account Account) error {
	for _, interval := range account.Intervals {
		var used sizer.Size
		for _, other := range account.Intervals {
			if !other.From.After(interval.From) && other.runningAt(interval.From) {
				used = used.Add(other.Size)
			}
		}
		if !used.Fits(account.MostUsed) {
			return fmt.Errorf("%s were used at once, but MostUsed is %s", used, account.MostUsed)
		}
	}
	if account.OverCommitted > 0 || account.Doubled > 0 || len(Overlaps(account)) > 0 || !account.MostUsed.Fits(account.Capacity) {
		return fmt.Errorf("over-committed %d, doubled %d", account.OverCommitted, account.Doubled)
	}
	return nil
}

func TestWorkerNeverDoublesNorOverCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, account := range runRandomCalls(t) {
			if err := checkAccount(account); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestWorkerAccountShowsDoublesAndOverCommits(t *testing.T) {
	var doubled, overCommitted, acrossWorkers bool
	rapid.Check(t, func(t *rapid.T) {
		accounts := runRandomCalls(t, OnlyEcho())
		for _, account := range accounts {
			if (account.Doubled > 0) != (len(Overlaps(account)) > 0) {
				t.Fatalf("%d doubled, overlaps %v", account.Doubled, Overlaps(account))
			}
			doubled = doubled || account.Doubled > 0
			overCommitted = overCommitted || account.OverCommitted > 0
		}
		acrossWorkers = acrossWorkers || len(Overlaps(accounts...)) > len(Overlaps(accounts[0]))+len(Overlaps(accounts[1]))
	})
	qt.Check(t, []bool{doubled, overCommitted, acrossWorkers}, qt.DeepEquals, []bool{true, true, true})
}
