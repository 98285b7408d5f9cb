package coordinator_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
)

const (
	acme      = "acme"
	ledgerKey = "/allotments"
)

// newAllotmentCluster returns a cluster of two entries whose service has three shards, and
// the base partitions. The maximum of the organisation is half of the workers' cores.
func newAllotmentCluster(t *testing.T) (*cluster, []int) {
	cl := newCluster(t, 0)
	cl.write(configPartition, "config", receiver.Config{
		Version: 2,
		Routes: []receiver.Route{{
			Host:   "127.0.0.1",
			Prefix: "/checks/",
			Queue: scheduler.Queue{
				Name:        "/checks/",
				Service:     service,
				MaxAttempts: 2,
				SlackFactor: 2,
			},
		}},
		Organisations: []receiver.Organisation{{
			Organisation: scheduler.Organisation{
				Name:    acme,
				Weight:  1,
				Maximum: sizer.New(24_000, 0, 0),
			},
		}},
	})
	for _, name := range []string{"entry-0", "entry-1"} {
		cl.start(name, coordinator.ShardSize(2))
	}
	return cl, cl.awaitBase()
}

// awaitBase waits until the base partitions are stored.
func (cl *cluster) awaitBase() []int {
	for {
		for _, record := range cl.newest(storer.Partition{Topic: "shards"}) {
			if record.Key == "allotments" {
				var base struct{ Partitions []int }
				cl.c.Assert(json.Unmarshal(record.Value, &base), qt.IsNil)
				return base.Partitions
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (cl *cluster) newest(partition storer.Partition) []storer.Record {
	records, _, err := storer.AllNewest(context.Background(), cl.store, partition)
	cl.c.Assert(err, qt.IsNil)
	return records
}

// allot calls the owner of a partition until it answers.
func (cl *cluster) allot(pool *messenger.Pool, partition int, request allotter.Request) allotter.Reply {
	for {
		owners, err := cl.store.Owners(context.Background(), "entries")
		cl.c.Assert(err, qt.IsNil)
		for _, owner := range owners {
			address, _, _ := strings.Cut(owner.Member, "/")
			var reply coordinator.AllotReply
			if owner.Partition.Number == partition && pool.Call(context.Background(), address, "Coordinator.Allot", coordinator.AllotArgs{
				Partition: partition,
				Request:   request,
			}, &reply) == nil {
				return reply.Reply
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestPartitionsOfOtherEntriesAreNotAsked guards against an owner that waits for parts
// which another entry's owner holds and does not use.
func TestPartitionsOfOtherEntriesAreNotAsked(t *testing.T) {
	cl, base := newAllotmentCluster(t)
	cl.c.Assert(base, qt.HasLen, 3)
	taker := base[0]
	record, err := conductor.JobRecord(scheduler.Job{
		ID: "large",
		Queue: scheduler.Queue{
			Name:        "/checks/",
			Service:     service,
			SlackFactor: 2,
		},
		Organisation: acme,
		Phases: []scheduler.Phase{{
			Tasks:    48,
			Size:     sizer.New(1000, 0, 0),
			Estimate: time.Minute,
		}},
		Accepted: time.Now(),
	})
	cl.c.Assert(err, qt.IsNil)
	_, err = cl.store.Append(context.Background(), storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: taker,
	}, nil, record)
	cl.c.Assert(err, qt.IsNil)
	for {
		records := cl.newest(storer.Partition{
			Topic:  conductor.ProgressTopic,
			Number: taker,
		})
		if i := slices.IndexFunc(records, func(r storer.Record) bool { return r.Key == ledgerKey }); i >= 0 {
			ledger, err := allotter.DecodeRecord(records[i].Value)
			cl.c.Assert(err, qt.IsNil)
			if len(ledger.Received[base[1]]) > 0 && len(ledger.Received[base[2]]) > 0 {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestGiftsAreLostWithTheirEntry guards against an owner in another entry that does not
// know what the former owner has given.
func TestGiftsAreLostWithTheirEntry(t *testing.T) {
	cl, base := newAllotmentCluster(t)
	pool := messenger.NewPool()
	defer pool.Close()
	caller := 0
	for slices.Contains(base, caller) {
		caller++
	}
	request := allotter.Request{
		Partition: caller,
		Token:     1,
		Wants: []allotter.Want{{
			Organisation: acme,
			Missing:      allotter.Parts{1000, 0, 0},
		}},
	}
	want := []allotter.Total{{
		Organisation: acme,
		Parts:        allotter.Parts{1000, 0, 0},
	}}
	for _, partition := range base {
		cl.c.Assert(cl.allot(pool, partition, request).Given, qt.DeepEquals, want)
	}
	cl.c.Assert(cl.entries[0].end(), qt.IsNil)
	cl.entries = cl.entries[1:]
	for _, partition := range base {
		// A request that was not answered is repeated, and gives nothing more.
		cl.c.Assert(cl.allot(pool, partition, request).Given, qt.DeepEquals, want)
		request := request
		request.Wants, request.All = nil, true
		cl.c.Assert(cl.allot(pool, partition, request).Given, qt.DeepEquals, want)
	}
}
