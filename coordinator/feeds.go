package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

const (
	// peersTopic holds the address and the cores of each entry under its name.
	peersTopic = "entries"
	// peersReadWait is how long a read waits for new records.
	peersReadWait = 5 * time.Second
	// peersReadPause is the mean pause after a read that returned records. With 300
	// entries that start at once, reads without a pause are 300 for each of the 300
	// records.
	peersReadPause = 500 * time.Millisecond
	// directoryMaxGap is the time without an answer from which on the newest records
	// of the directory are fewer than those written in between: each worker writes a
	// record every 1.5 s, which takes two thirds of the bytes of its newest one.
	directoryMaxGap = 3 * time.Second
)

// followConfig applies each new configuration.
func (c *Coordinator) followConfig(ctx context.Context) error {
	return c.configFeed().run(ctx)
}

// configFeed returns the feed of the configuration.
func (c *Coordinator) configFeed() feed {
	store, apply := c.evidenceKeeper.observe(c.store)
	f := c.newFeed("config", c.settings.config)
	f.store = store
	// The configuration has priority: the other feeds wait for it.
	f.start = nil
	f.maxBackoff = func() time.Duration { return maxUrgentBackoff }
	f.wait = configWait
	f.apply = func(records []storer.Record, _ int64, _ bool) { apply(records) }
	f.observe = func(feedRead) { c.configAnswered.Do(func() { close(c.configRead) }) }
	f.onError = c.evidenceKeeper.askPeers
	return f
}

// newFeed returns a feed of a partition, without apply.
func (c *Coordinator) newFeed(name string, partition storer.Partition) feed {
	return feed{
		name:       name,
		store:      c.store,
		clock:      c.settings.clock,
		logger:     c.settings.logger,
		metrics:    c.feedMetrics,
		partition:  partition,
		start:      c.configRead,
		maxBackoff: func() time.Duration { return maxFeedBackoff },
		restored:   c.restoration.subscribe(),
	}
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
	c.queueHistory.observe(config, c.settings.clock.Now())
	if c.receiver.SetConfig(config) {
		c.setOrganisations()
		c.requestJoin()
		c.requestShards()
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
	f := c.newFeed("directory", c.settings.directory)
	f.wake = c.directoryRequests
	f.active = c.needsDirectory
	f.maxGap = directoryMaxGap
	f.maxBackoff = c.ownerBackoff
	f.pause = func() time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.owned) == 0 {
			return directoryIdleInterval
		}
		return directoryInterval
	}
	f.apply = func(records []storer.Record, _ int64, whole bool) {
		if whole {
			clear(workers)
		}
		c.applyWorkers(workers, records)
		c.decideShards(ctx)
	}
	f.observe = c.recordRead(&c.directoryRead)
	f.deactivated = func() {
		clear(workers)
		c.directory.Store(nil)
		c.directoryRead.Store(nil)
	}
	return f.run(ctx)
}

// ownerBackoff returns the bound of the pause after a failed read of what only owners need.
func (c *Coordinator) ownerBackoff() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.owned) > 0 {
		return maxUrgentBackoff
	}
	return maxFeedBackoff
}

// recordRead returns an observer that stores the state of a feed in state.
func (c *Coordinator) recordRead(state *atomic.Pointer[conductor.ReadState]) func(feedRead) {
	return func(read feedRead) {
		state.Store(&conductor.ReadState{
			AnsweredAt: c.settings.clock.Now(),
			Complete:   read.next >= read.end,
		})
	}
}

// knowledge returns how recent the sources are from which the owners in this process get
// their workers.
func (c *Coordinator) knowledge() conductor.Knowledge {
	var knowledge conductor.Knowledge
	if state := c.directoryRead.Load(); state != nil {
		knowledge.Directory = *state
	}
	if state := c.shardsRead.Load(); state != nil {
		knowledge.Shards = *state
	}
	return knowledge
}

func (c *Coordinator) applyWorkers(workers map[string]scheduler.WorkerEntry, records []storer.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(workers, record.Key)
			continue
		}
		worker, err := c.settings.decodeWorker(record, c.settings.clock.Now())
		if err != nil {
			c.logOdd(err)
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
	// Without all records of the shards, workers of the partition would be missing.
	if workers == nil || !c.shards.complete() {
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
		Address:       c.settings.peerAddress,
		Cores:         c.settings.cores,
		Placements:    true,
		OwnCancelKeys: true,
		Ranges:        true,
		Grants:        true,
		Room:          true,
	})
	if err != nil {
		return err
	}
	publish := func() error {
		// An entry that starts joins the group soon after the store's first answer, so
		// an append that gets none must not delay the read for long.
		appendCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		_, err := c.store.Append(appendCtx, partition, nil, storer.Record{
			Key:   c.settings.name,
			Value: ownRecord,
		})
		return err
	}
	f := c.newFeed("entries", partition)
	f.wait = peersReadWait
	received := false
	f.pause = func() time.Duration {
		if !received {
			return 0
		}
		// Entries that start at the same time append their records one by one, and
		// each would wake the reads of all others.
		return peersReadPause/2 + rand.N(peersReadPause)
	}
	f.apply = func(records []storer.Record, _ int64, _ bool) {
		received = len(records) > 0
		c.applyPeers(records)
		c.peersAnswered.Do(func() { close(c.peersRead) })
	}
	var group errgroup.Group
	if publish() != nil {
		restored := c.restoration.subscribe()
		group.Go(func() error {
			for failures := 1; ctx.Err() == nil; failures++ {
				f.sleep(ctx, backoff(failures, maxFeedBackoff), restored)
				if publish() == nil {
					break
				}
			}
			return nil
		})
	}
	group.Go(func() error { return f.run(ctx) })
	return group.Wait()
}

// applyPeers applies the records of other entries.
func (c *Coordinator) applyPeers(records []storer.Record) {
	addresses := make(map[string]string, len(records))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if record.Value == nil {
			continue
		}
		other := decodePeer(record.Value)
		if other.Address == "" {
			c.logOdd(fmt.Errorf("coordinator: the record of entry %.60q names no address", record.Key))
			continue
		}
		c.peers[record.Key] = other
		addresses[record.Key] = other.Address
	}
	if len(records) > 0 {
		c.placementsAllowed.Store(allKeepPlacements(c.peers))
		c.ownCancelKeys.Store(allReadOwnCancelKeys(c.peers))
		c.rangesAllowed.Store(allReadRanges(c.peers))
		c.grantsAllowed.Store(allShareRoom(c.peers))
		c.preferred = preferredMembers(c.peers)
	}
	c.entryPool.setPeers(addresses)
}
