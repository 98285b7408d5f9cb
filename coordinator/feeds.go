package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// peersTopic holds the address and the cores of each entry under its name.
	peersTopic = "entries"
	// peersReadWait is how long a read waits for new records.
	peersReadWait = 5 * time.Second
)

// feed reads a partition continuously, starting with the newest record of each key.
type feed struct {
	store     storer.Store
	clock     timekeeper.Clock
	partition storer.Partition
	// apply is called after each read with the records, of which there may be
	// none, and the offset after them. If whole is true, these are the newest
	// records of all keys, else the records that follow the previous read.
	apply func(records []storer.Record, next int64, whole bool)
	// wait is how long a read waits for records. pause returns the time between two
	// reads, which a value on wake cuts short. Both pause and wake may be nil.
	wait  time.Duration
	pause func() time.Duration
	wake  <-chan struct{}
	// onError is called after a read that failed. It may be nil.
	onError func(ctx context.Context)
}

func (f feed) run(ctx context.Context) error {
	next := int64(-1)
	for {
		var err error
		next, err = f.readOnce(ctx, next)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = retryPause
			if f.onError != nil {
				f.onError(ctx)
			}
		case f.pause != nil:
			pause = f.pause()
		}
		if pause > 0 {
			f.sleep(ctx, pause)
		}
	}
}

// sleep waits between two reads.
func (f feed) sleep(ctx context.Context, pause time.Duration) {
	timer := f.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-f.wake:
	case <-ctx.Done():
	}
}

// readOnce reads from an offset or, if next is below 0, the newest record of each
// key. It returns the offset of the next read, or -1 if records at next have been
// deleted, so that the newest record of each key must be read.
func (f feed) readOnce(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		records, end, err := storer.AllNewest(ctx, f.store, f.partition)
		if err != nil {
			return next, err
		}
		f.apply(records, end, true)
		return end, nil
	}
	page, err := f.store.Read(ctx, f.partition, next, f.wait)
	if errors.Is(err, storer.ErrTrimmed) {
		return -1, nil
	}
	if err != nil {
		return next, err
	}
	f.apply(page.Records, page.Next, false)
	return page.Next, nil
}

// followConfig applies each new configuration.
func (c *Coordinator) followConfig(ctx context.Context) error {
	store, apply := c.evidenceKeeper.observe(c.store)
	return feed{
		store:     store,
		clock:     c.settings.clock,
		partition: c.settings.config,
		wait:      configWait,
		apply:     func(records []storer.Record, _ int64, _ bool) { apply(records) },
		onError:   c.evidenceKeeper.askPeers,
	}.run(ctx)
}

// applyConfig applies the configuration records among records. It returns which was the
// last one.
func (c *Coordinator) applyConfig(records []storer.Record) authenticator.ReadResult {
	var result authenticator.ReadResult
	for _, record := range records {
		config, found, err := c.settings.decodeConfig(record)
		if err != nil {
			c.settings.logger.WithError(err).Error("coordinator: a configuration record cannot be decoded")
			result.HasConfig = true
			result.Undecodable = true
			continue
		}
		if found {
			c.setConfig(config, "store")
			result.HasConfig = true
			result.Undecodable = false
			result.Version = config.Version
		}
	}
	return result
}

func (c *Coordinator) setConfig(config receiver.Config, source string) {
	if c.receiver.SetConfig(config) {
		c.setOrganisations()
		c.requestJoin()
		c.settings.logger.WithFields(log.Fields{
			"version":       config.Version,
			"routes":        len(config.Routes),
			"organisations": len(config.Organisations),
			"source":        source,
		}).Info("coordinator: configuration in force")
	}
}

// setOrganisations passes the organisations of the configuration to the owners in this
// process.
func (c *Coordinator) setOrganisations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	organisations := c.organisations()
	for _, own := range c.owned {
		own.conductor.SetOrganisations(organisations, c.settings.overage)
	}
}

// organisations returns the organisations of the configuration in force.
func (c *Coordinator) organisations() []scheduler.Organisation {
	config, _ := c.receiver.Config()
	organisations := make([]scheduler.Organisation, 0, len(config.Organisations))
	for _, organisation := range config.Organisations {
		organisations = append(organisations, organisation.Organisation)
	}
	return organisations
}

// followDirectory passes the workers of the directory on to the owners in this
// process, and writes the shard records that services and workers still lack.
func (c *Coordinator) followDirectory(ctx context.Context) error {
	workers := make(map[string]scheduler.WorkerEntry)
	return feed{
		store:     c.store,
		clock:     c.settings.clock,
		partition: c.settings.directory,
		wake:      c.directoryRequests,
		pause: func() time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.owned) == 0 {
				return directoryIdleInterval
			}
			return directoryInterval
		},
		apply: func(records []storer.Record, _ int64, whole bool) {
			if whole {
				clear(workers)
			}
			c.applyWorkers(workers, records)
			c.decideShards(ctx)
		},
	}.run(ctx)
}

func (c *Coordinator) applyWorkers(workers map[string]scheduler.WorkerEntry, records []storer.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(workers, record.Key)
			continue
		}
		worker, err := c.settings.decodeWorker(record, c.settings.clock.Now())
		if err != nil {
			c.settings.logger.WithError(err).Warn("coordinator: a worker's directory entry cannot be decoded")
			delete(workers, record.Key)
			continue
		}
		workers[record.Key] = worker
	}
	listed := make([]scheduler.WorkerEntry, 0, len(workers))
	for _, worker := range workers {
		listed = append(listed, worker)
	}
	c.directory.Store(&listed)
	c.updateOwnerWorkers()
}

// updateOwnerWorkers passes to each owner in this process the workers of its
// partition.
func (c *Coordinator) updateOwnerWorkers() {
	workers := c.directory.Load()
	if workers == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for partition, own := range c.owned {
		own.conductor.SetWorkers(c.workersInPartition(partition, *workers))
	}
}

// workersInPartition returns the workers whose shard is in the partition.
func (c *Coordinator) workersInPartition(partition int, workers []scheduler.WorkerEntry) []scheduler.WorkerEntry {
	var selected []scheduler.WorkerEntry
	for _, worker := range workers {
		if assigned, known := c.shards.partitionOfWorker(worker); known && assigned == partition {
			selected = append(selected, worker)
		}
	}
	return selected
}

// followPeers publishes the address and the cores of this entry, and follows those
// of the other entries.
func (c *Coordinator) followPeers(ctx context.Context) error {
	partition := storer.Partition{
		Topic: peersTopic,
	}
	ownRecord, err := encodePeer(peer{
		Address:    c.settings.peerAddress,
		Cores:      c.settings.cores,
		Placements: true,
	})
	if err != nil {
		return err
	}
	for {
		_, err := c.store.Append(ctx, partition, nil, storer.Record{
			Key:   c.settings.name,
			Value: ownRecord,
		})
		if err == nil {
			break
		}
		if err := timekeeper.Sleep(ctx, c.settings.clock, retryPause); err != nil {
			return err
		}
	}
	return feed{
		store:     c.store,
		clock:     c.settings.clock,
		partition: partition,
		wait:      peersReadWait,
		apply: func(records []storer.Record, _ int64, _ bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			addresses := make(map[string]string)
			for _, record := range records {
				if record.Value != nil {
					c.peers[record.Key] = decodePeer(record.Value)
				}
			}
			c.placementsAllowed.Store(allKeepPlacements(c.peers))
			for name, other := range c.peers {
				addresses[name] = other.Address
			}
			c.entryPool.setPeers(addresses)
		},
	}.run(ctx)
}
