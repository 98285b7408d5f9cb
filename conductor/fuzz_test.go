package conductor

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// FuzzStoredRecords guards against records of the jobs and the progress that end an owner, keep it
// from taking over, or harm a job beside them.
func FuzzStoredRecords(f *testing.F) {
	const (
		job = `{"id":"odd","queue":{"name":"checks","service":"desk","maxAttempts":3,"slackFactor":2.5,"target":1000000000},
			"spec":"s","phases":[{"tasks":4,"size":{"milliCores":500,"bytes":1024},"estimate":900000000},
			{"tasks":2,"size":{"milliCores":500,"bytes":1024},"dependsOn":[0],"lasting":true,"gang":true}],
			"start":"2023-11-14T22:13:20Z","interval":1500000000,"repetitions":3,"accepted":"2023-11-14T22:13:20Z"}`
		progress = `{"state":"running","workers":["w"],"ending":{"w":{"milliCores":500,"bytes":1024}},"steps":[{"occurrence":0,"phase":0,
			"done":"Dw==","failures":{"0":[1]},"crashes":{"1":[{"worker":"w"}]},"hasPlacements":true,"placements":{"0":["w"]},"approved":["w"]}]}`
		workers    = `[{"Ref":{"ID":"w","Address":"10.0.0.1:80"},"Service":"desk","Total":{"milliCores":16000,"bytes":1024}}]`
		silent     = `[{"id":"w","for":1000000000}]`
		allotments = `{"held":{}}`
	)
	for _, seed := range []struct {
		jobs     bool
		key      string
		document string
		numbers  []string
	}{
		{
			jobs:     true,
			key:      "odd",
			document: job,
			numbers:  []string{"3,", "2.5", "1000000000}", ":4,", "500", "1024", "900000000", "[0]", "2023-11", "1500000000", `s":3`},
		},
		{
			jobs:     true,
			key:      "odd/cancel",
			document: `{"organisation":"farm"}`,
			numbers:  []string{`"farm"`},
		},
		{
			key:      "odd",
			document: progress,
			numbers:  []string{`"running"`, `["w"]`, "500", `"occurrence":0`, `"phase":0`, "Dw==", `"0"`, "[1]", `"1"`, "true"},
		},
		{
			key:      workersKey,
			document: workers,
			numbers:  []string{`"w"`, `"10.0.0.1:80"`, "16000", "1024"},
		},
		{
			key:      silentKey,
			document: silent,
			numbers:  []string{"1000000000", `"w"`},
		},
		{
			key:      allotmentsKey,
			document: allotments,
			numbers:  []string{"{}"},
		},
	} {
		add := func(key, value string) { f.Add(seed.jobs, key, []byte(value)) }
		add(seed.key, seed.document)
		for _, number := range seed.numbers {
			for _, odd := range []string{"-1", "1e300", "9223372036854775807", "-9223372036854775808", "null", `"x"`, "[]", "{}", "9999-12", `"-1"`, `"99"`} {
				add(seed.key, strings.Replace(seed.document, number, odd, 1))
			}
		}
		for _, key := range []string{"", "/", "/cancel", "\xff", strings.Repeat("k", storer.MaxKeyBytes)} {
			add(key, seed.document)
		}
		for _, value := range []string{"", "null", "{}", "[]", "{", "\xff", strings.Repeat("[", 10_001), strings.Repeat(`{"steps":[`, 4000)} {
			add(seed.key, value)
		}
	}
	f.Fuzz(func(t *testing.T, jobs bool, key string, value []byte) {
		if key == "sound" || key == "sound/cancel" || len(key) > storer.MaxKeyBytes {
			return
		}
		c := qt.New(t)
		store := storer.NewMemory(timekeeper.System())
		topic := ProgressTopic
		if jobs {
			topic = JobsTopic
		}
		appendRecords(c, store, topic, storer.Record{
			Key:   key,
			Value: value,
		})
		appendRecords(c, store, JobsTopic, soundJob(c), storer.Record{
			Key:   "odd",
			Value: []byte(job),
		})
		if jobs {
			appendRecords(c, store, JobsTopic, storer.Record{
				Key:   key,
				Value: value,
			})
		}
		owner := New(store, nil, nil, 0, 1, Logger(&log.Logger{
			Handler: discard.New(),
			Level:   log.FatalLevel,
		}))
		owner.SetWorkers(soundWorkers())
		c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
		s, now := owner.scheduler, owner.clock.Now()
		started := false
		for range 4 {
			for _, entry := range soundWorkers() {
				s.Report(entry.Ref.ID, scheduler.Report{
					Clock: time.Hour,
				}, now, now)
			}
			for _, effect := range s.Tick(now) {
				start, isStart := effect.(scheduler.StartTask)
				started = started || isStart && start.Run.Task.Step.Job == "sound"
			}
			write := s.NextWrite()
			for _, progress := range write.Jobs {
				_, err := json.Marshal(progress.Progress)
				c.Assert(err, qt.IsNil)
			}
			for _, stored := range []any{write.Workers, write.Silent, write.Allotments} {
				_, err := json.Marshal(stored)
				c.Assert(err, qt.IsNil)
			}
			s.Written(write)
			now = now.Add(10 * time.Second)
			s.ConfirmOwnership(now)
		}
		c.Assert(started, qt.IsTrue)
	})
}

func soundJob(c *qt.C) storer.Record {
	record, err := JobRecord(scheduler.Job{
		ID: "sound",
		Queue: scheduler.Queue{
			Name:    "checks",
			Service: "desk",
		},
		Phases: []scheduler.Phase{
			{
				Tasks:    1,
				Size:     sizer.New(1000, 1024, 0),
				Estimate: time.Second,
			},
		},
		Accepted: time.Now(),
	})
	c.Assert(err, qt.IsNil)
	return record
}

func soundWorkers() []scheduler.WorkerEntry {
	var entries []scheduler.WorkerEntry
	for _, id := range []string{"v", "w"} {
		entries = append(entries, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID:      id,
				Address: id + ":80",
			},
			Service: "desk",
			Total:   sizer.New(16_000, 1<<36, 0),
		})
	}
	return entries
}
