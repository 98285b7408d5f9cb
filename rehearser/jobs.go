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
	// storeCellEntries and storeCellWorkers are the numbers of entries and
	// workers of a storeCell.
	storeCellEntries = 2
	storeCellWorkers = 3
	storeCellGrace   = time.Second
	storeCellPrefix  = "/checks/"
	storeCellJob     = "first"
)

// storeCell is a small cell whose entries keep all state in a store, as they do on
// a platform with a store of its own.
type storeCell struct {
	fleet   *emulator.Fleet
	callers []string
	group   errgroup.Group
}

// storeCellPartition returns the one partition of a topic of a storeCell. The
// topics are "config", the configuration, and "directory", the list of workers.
func storeCellPartition(topic string) storer.Partition {
	return storer.Partition{
		Topic: topic,
	}
}

// startStoreCell starts a storeCell, which stops when the context ends.
func startStoreCell(ctx context.Context) (*storeCell, error) {
	clock := timekeeper.System()
	store := storer.NewMemory(clock)
	cell := &storeCell{
		fleet: emulator.NewFleet(clock),
	}
	for i := range storeCellWorkers {
		cell.fleet.Add(fmt.Sprintf("worker-%d", i+1), Service, sizer.New(workerMilliCores, workerMemory, 0))
	}
	records := map[storer.Partition][]any{
		storeCellPartition("config"): {
			receiver.Config{
				Version: 1,
				Routes: []receiver.Route{
					{
						Host:   "127.0.0.1",
						Prefix: storeCellPrefix,
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
		records[storeCellPartition("directory")] = append(records[storeCellPartition("directory")], entry)
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
	for i := range storeCellEntries {
		if err := cell.startEntry(ctx, store, fmt.Sprintf("kept-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return cell, nil
}

func (cell *storeCell) startEntry(ctx context.Context, store storer.Store, name string) error {
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
		coordinator.Grace(storeCellGrace),
		coordinator.Config(storeCellPartition("config"), func(record storer.Record) (receiver.Config, bool, error) {
			var config receiver.Config
			err := json.Unmarshal(record.Value, &config)
			return config, err == nil, err
		}),
		coordinator.Directory(storeCellPartition("directory"), func(record storer.Record, _ time.Time) (scheduler.WorkerEntry, error) {
			var entry scheduler.WorkerEntry
			err := json.Unmarshal(record.Value, &entry)
			return entry, err
		}))
	cell.callers = append(cell.callers, "http://"+listeners[0].Addr().String())
	cell.group.Go(func() error { return process.Run(ctx) })
	return nil
}

// runCallersJob submits a job of two phases at one entry of a storeCell, and
// polls its state at another entry until it is completed.
func (s *sample) runCallersJob(ctx context.Context) (string, error) {
	cellCtx, stop := context.WithCancel(ctx)
	defer stop()
	cell, err := startStoreCell(cellCtx)
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
		status, _, err := doHTTP(ctx, http.MethodPost, cell.callers[0]+storeCellPrefix+storeCellJob, body)
		return status == http.StatusOK, err
	})
	if err != nil {
		return "", err
	}
	var states []string
	err = s.await(ctx, func(ctx context.Context) (bool, error) {
		status, answer, err := doHTTP(ctx, http.MethodGet, cell.callers[1]+storeCellPrefix+storeCellJob, nil)
		var job struct {
			State string `json:"state"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(answer, &job) != nil {
			return false, err
		}
		if len(states) == 0 || states[len(states)-1] != job.State {
			states = append(states, job.State)
		}
		return job.State == string(scheduler.Completed), nil
	})
	stop()
	if err := errors.CombineErrors(err, cell.group.Wait()); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tasks in 2 phases, stored and asked for at 2 entries: %v", cell.fleet.Done(), states), nil
}
