package rehearser

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// keptEntries and keptWorkers are the size of the small cell whose entries
	// keep everything in a store.
	keptEntries = 2
	keptWorkers = 3
	keptGrace   = time.Second
	keptPrefix  = "/checks/"
	keptJob     = "first"
)

// keptCell is a cell whose entries keep everything in a store, as on a platform
// that has one.
type keptCell struct {
	fleet   *emulator.Fleet
	callers []string
	group   errgroup.Group
}

// keptPartition holds the configuration and the directory of the small cell.
func keptPartition(topic string) storer.Partition {
	return storer.Partition{
		Topic: topic,
	}
}

// startKept starts the small cell. It stops with the context.
func startKept(ctx context.Context) (*keptCell, error) {
	clock := timekeeper.System()
	store := storer.NewMemory(clock)
	cell := &keptCell{
		fleet: emulator.NewFleet(clock),
	}
	for i := range keptWorkers {
		cell.fleet.Add(fmt.Sprintf("worker-%d", i+1), Service, sizer.New(milliCores, workerMemory, 0))
	}
	records := map[storer.Partition][]any{
		keptPartition("config"): {
			receiver.Config{
				Version: 1,
				Routes: []receiver.Route{
					{
						Host:   "127.0.0.1",
						Prefix: keptPrefix,
						Queue: scheduler.Queue{
							Name:        "checks",
							Service:     Service,
							MaxAttempts: 2,
							SlackFactor: 2,
						},
					},
				},
			},
		},
	}
	for _, entry := range cell.fleet.Entries() {
		records[keptPartition("directory")] = append(records[keptPartition("directory")], entry)
	}
	for partition, values := range records {
		for i, value := range values {
			data, err := json.Marshal(value)
			if err != nil {
				return nil, errors.Wrap(err, "encode a record")
			}
			if _, err := store.Append(ctx, partition, nil, storer.Record{
				Key:   fmt.Sprintf("worker-%d", i+1),
				Value: data,
			}); err != nil {
				return nil, errors.Wrap(err, "store a record")
			}
		}
	}
	for i := range keptEntries {
		if err := cell.startEntry(ctx, store, fmt.Sprintf("kept-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return cell, nil
}

func (cell *keptCell) startEntry(ctx context.Context, store storer.Store, name string) error {
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listeners[i] = listener
	}
	noAdvice := func(context.Context, scheduler.StepRef, []string) ([]scheduler.Approval, time.Duration, error) {
		return nil, 0, nil
	}
	process := coordinator.New(store, cell.fleet, noAdvice, receiver.JSON{},
		coordinator.Name(name, DataCentre),
		coordinator.Listeners(listeners[0], listeners[1], listeners[2]),
		coordinator.Grace(keptGrace),
		coordinator.Config(keptPartition("config"), func(record storer.Record) (receiver.Config, bool, error) {
			var config receiver.Config
			err := json.Unmarshal(record.Value, &config)
			return config, err == nil, err
		}),
		coordinator.Directory(keptPartition("directory"), func(record storer.Record, _ time.Time) (scheduler.WorkerEntry, error) {
			var entry scheduler.WorkerEntry
			err := json.Unmarshal(record.Value, &entry)
			return entry, err
		}))
	cell.callers = append(cell.callers, "http://"+listeners[0].Addr().String())
	cell.group.Go(func() error { return process.Run(ctx) })
	return nil
}

// runCallersJob submits a job of two phases at one entry of a cell that keeps
// everything in a store, and asks another for its state until it is completed.
func (s *sample) runCallersJob(ctx context.Context) (string, error) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	cell, err := startKept(running)
	if err != nil {
		return "", err
	}
	first := scheduler.Phase{
		Tasks:    sampleTasks,
		Size:     sizer.New(1000, gibibyte, 0),
		Estimate: time.Second,
	}
	second := first
	second.DependsOn = []int{0}
	body, err := json.Marshal(scheduler.Job{
		Phases: []scheduler.Phase{first, second},
	})
	if err != nil {
		return "", errors.Wrap(err, "encode a job")
	}
	err = s.await(ctx, func(ctx context.Context) (bool, error) {
		status, _, err := exchange(ctx, http.MethodPost, cell.callers[0]+keptPrefix+keptJob, body)
		return status == http.StatusOK, err
	})
	if err != nil {
		return "", err
	}
	var states []string
	err = s.await(ctx, func(ctx context.Context) (bool, error) {
		status, answer, err := exchange(ctx, http.MethodGet, cell.callers[1]+keptPrefix+keptJob, nil)
		var shown struct {
			State string `json:"state"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(answer, &shown) != nil {
			return false, err
		}
		if len(states) == 0 || states[len(states)-1] != shown.State {
			states = append(states, shown.State)
		}
		return shown.State == string(scheduler.Completed), nil
	})
	stop()
	if err := errors.CombineErrors(err, cell.group.Wait()); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tasks in 2 phases, stored and asked for at 2 entries: %v", cell.fleet.Done(), states), nil
}
