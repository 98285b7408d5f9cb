package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// peersTopic holds the address and the size of each entry under its name.
	peersTopic = "entries"
	// peersWait is how long a read waits for a new entry.
	peersWait = 5 * time.Second
)

// feed reads a partition from its newest records on, for ever.
type feed struct {
	store     storer.Store
	clock     timekeeper.Clock
	partition storer.Partition
	// take is given what each read returned, which may be nothing, and the
	// offset after it. Whole tells that it is everything.
	take func(records []storer.Record, next int64, whole bool)
	// wait is how long a read waits, and pause how long to wait after it, unless
	// a value comes from early. Both may be nil.
	wait  time.Duration
	pause func() time.Duration
	early <-chan struct{}
	// failed is called after a read that failed. It may be nil.
	failed func(ctx context.Context)
}

func (f feed) run(ctx context.Context) error {
	next := int64(-1)
	for {
		var err error
		next, err = f.step(ctx, next)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = retryPause
			if f.failed != nil {
				f.failed(ctx)
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
	case <-f.early:
	case <-ctx.Done():
	}
}

// step reads once, from an offset or, below 0, from the newest records.
func (f feed) step(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		records, end, err := storer.AllNewest(ctx, f.store, f.partition)
		if err != nil {
			return next, err
		}
		f.take(records, end, true)
		return end, nil
	}
	page, err := f.store.Read(ctx, f.partition, next, f.wait)
	if errors.Is(err, storer.ErrTrimmed) {
		return -1, nil
	}
	if err != nil {
		return next, err
	}
	f.take(page.Records, page.Next, false)
	return page.Next, nil
}

// followConfig puts each new configuration into force.
func (c *Coordinator) followConfig(ctx context.Context) error {
	return feed{
		store:     c.store,
		clock:     c.settings.clock,
		partition: c.settings.config,
		wait:      configWait,
		take:      func(records []storer.Record, _ int64, _ bool) { c.takeConfig(records) },
		failed:    c.configFromPeer,
	}.run(ctx)
}

func (c *Coordinator) takeConfig(records []storer.Record) {
	for _, record := range records {
		config, found, err := c.settings.decodeConfig(record)
		if err != nil {
			c.settings.logger.WithError(err).Error("coordinator: a configuration cannot be read")
			continue
		}
		if found {
			c.setConfig(config, "store")
		}
	}
}

func (c *Coordinator) setConfig(config receiver.Config, source string) {
	if c.receiver.SetConfig(config) {
		c.lookAgain()
		c.settings.logger.WithFields(log.Fields{
			"version": config.Version,
			"routes":  len(config.Routes),
			"source":  source,
		}).Info("coordinator: configuration in force")
	}
}

// configFromPeer asks another entry for the configuration while the store does
// not serve this one.
func (c *Coordinator) configFromPeer(ctx context.Context) {
	var got receiver.Config
	if c.callAny(ctx, c.lanes.reachable(relayTries), "Config", struct{}{}, &got) == nil {
		c.setConfig(got, "peer")
	}
}

// followDirectory keeps the owners told of the workers.
func (c *Coordinator) followDirectory(ctx context.Context) error {
	known := make(map[string]scheduler.WorkerEntry)
	return feed{
		store:     c.store,
		clock:     c.settings.clock,
		partition: c.settings.directory,
		early:     c.readDirectory,
		pause: func() time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.owned) == 0 {
				return directoryCalm
			}
			return directoryInterval
		},
		take: func(records []storer.Record, _ int64, whole bool) {
			if whole {
				clear(known)
			}
			c.takeWorkers(known, records)
			c.decideShards(ctx)
		},
	}.run(ctx)
}

func (c *Coordinator) takeWorkers(known map[string]scheduler.WorkerEntry, records []storer.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(known, record.Key)
			continue
		}
		entry, err := c.settings.decodeWorker(record, c.settings.clock.Now())
		if err != nil {
			c.settings.logger.WithError(err).Warn("coordinator: a worker's entry cannot be used")
			delete(known, record.Key)
			continue
		}
		known[record.Key] = entry
	}
	entries := make([]scheduler.WorkerEntry, 0, len(known))
	for _, entry := range known {
		entries = append(entries, entry)
	}
	c.directory.Store(&entries)
	c.tellOwners()
}

// tellOwners tells the owners in this process of the workers of their shards.
func (c *Coordinator) tellOwners() {
	entries := c.directory.Load()
	if entries == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for partition, own := range c.owned {
		own.conductor.SetWorkers(c.inPartition(partition, *entries))
	}
}

// inPartition returns the workers of the shards in a partition.
func (c *Coordinator) inPartition(partition int, entries []scheduler.WorkerEntry) []scheduler.WorkerEntry {
	var own []scheduler.WorkerEntry
	for _, entry := range entries {
		if home, known := c.shards.ofWorker(entry); known && home == partition {
			own = append(own, entry)
		}
	}
	return own
}

// followPeers makes this entry known, and learns of the others.
func (c *Coordinator) followPeers(ctx context.Context) error {
	partition := storer.Partition{
		Topic: peersTopic,
	}
	own, err := encodePeer(peer{
		Address: c.settings.peerAddress,
		Cores:   c.settings.cores,
	})
	if err != nil {
		return err
	}
	for {
		_, err := c.store.Append(ctx, partition, nil, storer.Record{
			Key:   c.settings.name,
			Value: own,
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
		wait:      peersWait,
		take: func(records []storer.Record, _ int64, _ bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			addresses := make(map[string]string)
			for _, record := range records {
				if record.Value != nil {
					c.peers[record.Key] = decodePeer(record.Value)
				}
			}
			for name, known := range c.peers {
				addresses[name] = known.Address
			}
			c.lanes.setPeers(addresses)
		},
	}.run(ctx)
}
