package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// BenchmarkTickOfFlood measures a tick with 2,000 waiting jobs and 100 full workers: without
// organisations, with a maximum that leaves room, and with one that blocks all jobs while
// half of the workers' capacity is free.
func BenchmarkTickOfFlood(b *testing.B) {
	for _, test := range []struct {
		name    string
		maximum sizer.Size
	}{
		{
			name: "no organisations",
		},
		{
			name:    "maximum has room",
			maximum: cores(100_000),
		},
		{
			name:    "maximum blocks",
			maximum: cores(400),
		},
	} {
		b.Run(test.name, func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s := scheduler.New(1, now)
			var entries []scheduler.WorkerEntry
			for i := range 100 {
				entries = append(entries, scheduler.WorkerEntry{
					Ref: scheduler.WorkerRef{
						ID: workerName(i),
					},
					Service: "desk",
					Total:   cores(8),
				})
			}
			s.SetWorkers(entries)
			if !test.maximum.IsZero() {
				s.SetOrganisations([]scheduler.Organisation{
					{
						Name:    "a",
						Maximum: test.maximum,
					},
				}, 0.1)
				s.SetBasePartitions(0, []int{0})
			}
			for _, entry := range entries {
				s.Report(entry.Ref.ID, scheduler.Report{
					Clock: time.Hour,
				}, now, now)
			}
			s.Written(s.NextWrite())
			for i := range 2000 {
				job := scheduler.Job{
					ID:       fmt.Sprintf("j%04d", i),
					Queue:    deskQueue,
					Phases:   []scheduler.Phase{newPhase(4, cores(1))},
					Accepted: now,
				}
				job.Queue.Target = time.Hour
				if !test.maximum.IsZero() {
					job.Organisation = "a"
				}
				s.AddJob(job, nil, false, now)
			}
			for range 3 {
				s.Tick(now)
				s.Written(s.NextWrite())
			}
			for b.Loop() {
				s.Tick(now)
				s.Notes()
			}
		})
	}
}
