package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// followServices follows the records of the services. Those of the workers, of which
// there are many more, are not applied.
func (c *Coordinator) followServices(ctx context.Context) error {
	f := c.newFeed("services", storer.Partition{Topic: shardsTopic})
	f.until = workerKey
	f.wait = shardsReadWait
	f.wake = c.serviceRequests
	f.pause = func() time.Duration {
		// A request from before the last read was sent must not end the pause.
		select {
		case <-c.serviceRequests:
		default:
		}
		if !c.servicesDecided() {
			return 0
		}
		// Each new worker's record wakes the reads of all entries.
		return servicesReadPause/2 + rand.N(servicesReadPause)
	}
	f.apply = func(records []storer.Record, _ int64, _ bool) {
		if c.shards.applyServices(records) {
			c.requestJoin()
		}
	}
	return f.run(ctx)
}

// servicesDecided reports whether the configuration is known and all of its services
// have shards.
func (c *Coordinator) servicesDecided() bool {
	config, known := c.receiver.Config()
	for _, route := range config.Routes {
		if !c.shards.decided(route.Queue.Service) {
			return false
		}
	}
	return known
}

// followShards follows all records of the shards, while the group assigns partitions
// to this process.
func (c *Coordinator) followShards(ctx context.Context) error {
	f := c.newFeed("shards", storer.Partition{Topic: shardsTopic})
	f.wait = shardsReadWait
	f.wake = c.workerShardRequests
	f.active = c.needsDirectory
	f.maxBackoff = c.ownerBackoff
	f.observe = c.recordRead(&c.shardsRead)
	f.deactivated = func() {
		c.shards.forgetWorkers()
		c.shardsRead.Store(nil)
	}
	f.apply = func(records []storer.Record, next int64, _ bool) {
		wasComplete := c.shards.complete()
		for _, key := range c.shards.apply(records, next) {
			c.logOdd(fmt.Errorf("coordinator: the shard record %.60q is invalid", key))
		}
		if len(records) > 0 || !wasComplete {
			c.requestJoin()
			c.updateOwnerWorkers()
			c.updateOwnerAllotments()
			c.updateOwnerServices()
		}
	}
	return f.run(ctx)
}

// decideShards writes the missing records of the services whose deciding partition
// is assigned to this entry.
func (c *Coordinator) decideShards(ctx context.Context) {
	workers := c.directory.Load()
	config, known := c.receiver.Config()
	if workers == nil || !known {
		return
	}
	var services []string
	for _, route := range config.Routes {
		services = append(services, route.Queue.Service)
	}
	assigned := c.assignedPartitions()
	records, offset := c.shards.missingRecords(*workers, withWorkers(services, config.Services, *workers), assigned, c.settings.clock.Now())
	if len(config.Organisations) > 0 {
		// If other records are read in between, the offset is outdated and the append
		// has no effect.
		records = append(records, c.shards.missingBaseRecord(services, assigned)...)
	}
	if len(records) == 0 {
		return
	}
	// The records of the services go first, in an append of their own. All entries wait
	// for these, and would read those of several thousand workers at the same time.
	var ofServices, ofWorkers []storer.Record
	for _, record := range records {
		if strings.HasPrefix(record.Key, serviceKey) {
			ofServices = append(ofServices, record)
		} else {
			ofWorkers = append(ofWorkers, record)
		}
	}
	for _, batch := range [][]storer.Record{ofServices, ofWorkers} {
		if len(batch) == 0 {
			continue
		}
		end, stored := c.appendShards(ctx, offset, batch)
		if !stored {
			return
		}
		offset = end
	}
}

// withWorkers adds to the services with routes those of the others that have workers already, so
// that a new route finds the shards of its service.
func withWorkers(routed, others []string, workers []scheduler.WorkerEntry) []string {
	services := slices.Clone(routed)
	for _, service := range others {
		if slices.ContainsFunc(workers, func(w scheduler.WorkerEntry) bool { return w.Service == service }) {
			services = append(services, service)
		}
	}
	return services
}

// appendShards stores records of the shards if nothing was added since offset. It
// returns the offset after them, and whether they were stored.
func (c *Coordinator) appendShards(ctx context.Context, offset int64, records []storer.Record) (int64, bool) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	end, err := c.store.AppendAt(appendCtx, storer.Partition{Topic: shardsTopic}, offset, records...)
	logEntry := c.settings.logger.WithFields(log.Fields{
		"records": len(records),
		"offset":  offset,
	})
	switch {
	case err == nil:
		logEntry.Info("coordinator: shard records stored")
	case errors.Is(err, storer.ErrConflict):
		logEntry.Info("coordinator: shard records not stored, another entry wrote first")
	default:
		logEntry.WithError(err).Warn("coordinator: storing shard records failed")
	}
	return end, err == nil
}
