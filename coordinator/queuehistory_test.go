package coordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
)

// routed returns a configuration with one route of a prefix to a queue of a service.
func routed(version int64, prefix, name, service string) receiver.Config {
	return receiver.Config{
		Version: version,
		Routes: []receiver.Route{
			{
				Host:   "host",
				Prefix: prefix,
				Queue: scheduler.Queue{
					Name:    name,
					Service: service,
				},
			},
		},
	}
}

// servicesOf returns the former services of a queue.
func servicesOf(h *queueHistory, name string, since time.Time) []string {
	var services []string
	for _, queue := range h.formerOf(scheduler.Queue{Name: name}, since) {
		services = append(services, queue.service)
	}
	return services
}

// TestFormerServicesAreRemembered guards against a job that is not found, or runs twice, as the entry has forgotten the
// service that its queue had before.
func TestFormerServicesAreRemembered(t *testing.T) {
	c := qt.New(t)
	at := func(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }
	h := newQueueHistory()
	h.observe(routed(1, "/a/", "a", "desk"), at(0))
	c.Assert(servicesOf(h, "a", at(0)), qt.HasLen, 0)
	h.observe(routed(2, "/b/", "b", "lab"), at(1))
	h.observe(routed(3, "/a/", "a2", "lab"), at(2))
	c.Assert(servicesOf(h, "a2", at(0)), qt.DeepEquals, []string{"desk"})
	c.Assert(servicesOf(h, "a2", at(3)), qt.HasLen, 0)
	// An older configuration, such as one of a peer, changes nothing.
	h.observe(routed(2, "/a/", "a", "desk"), at(3))
	c.Assert(servicesOf(h, "a2", at(0)), qt.DeepEquals, []string{"desk"})
	h.observe(routed(4, "/a/", "a3", "hall"), at(4))
	c.Assert(servicesOf(h, "a3", at(0)), qt.DeepEquals, []string{"desk", "lab"})
	h.observe(routed(5, "/a/", "a", "desk"), at(5))
	c.Assert(servicesOf(h, "a", at(0)), qt.DeepEquals, []string{"lab", "hall"})
	for name, want := range map[string]bool{"a": true, "a2": true, "a3": true, "b": false, "unknown": true} {
		c.Check(h.mayHaveBeen(scheduler.Queue{Name: "a"}, name), qt.Equals, want, qt.Commentf("%s", name))
	}
}

// TestStartedEntryInheritsFormerServices guards against an entry that starts after a change of a queue's service and
// does not know of it.
func TestStartedEntryInheritsFormerServices(t *testing.T) {
	c := qt.New(t)
	for _, removed := range []bool{false, true} {
		old, started := newQueueHistory(), newQueueHistory()
		old.observe(routed(1, "/a/", "a", "desk"), testStart)
		if removed {
			// The entry starts between the removal of the route and the next one.
			old.observe(routed(2, "/b/", "b", "lab"), testStart)
			started.observe(routed(2, "/b/", "b", "lab"), testStart)
			started.merge(old.export(testStart), testStart)
			started.observe(routed(3, "/a/", "a2", "lab"), testStart)
		} else {
			old.observe(routed(3, "/a/", "a2", "lab"), testStart)
			started.observe(routed(3, "/a/", "a2", "lab"), testStart)
			started.merge(old.export(testStart.Add(time.Minute)), testStart.Add(time.Minute))
		}
		c.Assert(servicesOf(started, "a2", testStart), qt.DeepEquals, []string{"desk"})
		c.Assert(servicesOf(started, "a2", testStart.Add(time.Second)), qt.HasLen, 0)
	}
}

// TestStartedEntryInheritsFromPeersWithTheFormerConfiguration guards against a job that runs twice, as the entry that takes
// its request again has started with a configuration that the peers which it asks have not read yet (issue 75).
func TestStartedEntryInheritsFromPeersWithTheFormerConfiguration(t *testing.T) {
	c := qt.New(t)
	former, present := routed(1, "/a/", "a", "desk"), routed(2, "/a/", "a2", "lab")
	peer, started := newQueueHistory(), newQueueHistory()
	peer.observe(former, testStart)
	started.observe(present, testStart)
	started.merge(peer.export(testStart), testStart)
	c.Assert(servicesOf(started, "a2", testStart), qt.DeepEquals, []string{"desk"})
	// What a peer with a later configuration knows is former here only until that one is read.
	peer, started = newQueueHistory(), newQueueHistory()
	peer.observe(former, testStart)
	peer.observe(present, testStart)
	started.observe(former, testStart)
	started.merge(peer.export(testStart), testStart)
	started.observe(present, testStart)
	c.Assert(servicesOf(started, "a2", testStart), qt.DeepEquals, []string{"desk"})
	// A peer with the same configuration adds nothing.
	started = newQueueHistory()
	started.observe(present, testStart)
	peer = newQueueHistory()
	peer.observe(present, testStart)
	started.merge(peer.export(testStart), testStart)
	c.Assert(started.former, qt.HasLen, 0)
	c.Assert(started.removed, qt.HasLen, 0)
}

// TestQueueHistoryIsBounded guards against memory that grows with each route that comes and goes.
func TestQueueHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newQueueHistory()
	for i := range maxRemovedRoutes + 100 {
		h.observe(routed(int64(i+1), fmt.Sprintf("/%d/", i), fmt.Sprintf("queue%d", i), "desk"), testStart)
	}
	c.Assert(len(h.last), qt.Equals, maxRemovedRoutes+1)
	c.Assert(len(h.removed), qt.Equals, maxRemovedRoutes)
	h = newQueueHistory()
	for i := range 10 * maxFormerQueues {
		h.observe(routed(int64(i+1), "/a/", fmt.Sprintf("queue%d", i), fmt.Sprintf("service%d", i)), testStart)
	}
	c.Assert(servicesOf(h, fmt.Sprintf("queue%d", 10*maxFormerQueues-1), testStart), qt.HasLen, maxFormerQueues)
}

// TestFormerServiceWithoutShardsIsNotAsked guards against a number of waiting jobs that is not answered, as the former
// service of the queue never had shards and its base partition has no owner (issue 75).
func TestFormerServiceWithoutShardsIsNotAsked(t *testing.T) {
	c := qt.New(t)
	coordinator := &Coordinator{
		shards:       newShards(defaultShardSize, 12),
		queueHistory: newQueueHistory(),
	}
	coordinator.shards.servicePartitions["desk"] = []int{3, 5}
	queue := scheduler.Queue{
		Name:    "alpha",
		Service: "ghost",
	}
	config := receiver.Config{
		Version: 1,
		Routes: []receiver.Route{{
			Prefix: "/alpha/",
			Queue:  queue,
		}},
	}
	now := time.Now()
	coordinator.queueHistory.observe(config, now)
	queue.Service = "desk"
	config.Version = 2
	config.Routes = []receiver.Route{{
		Prefix: "/alpha/",
		Queue:  queue,
	}}
	coordinator.queueHistory.observe(config, now)
	c.Assert(coordinator.queueHistory.formerOf(queue, now), qt.HasLen, 1)
	c.Assert(coordinator.waitingQueries(queue), qt.DeepEquals, []WaitingArgs{
		{
			Partition: 3,
			Queue:     "alpha",
		},
		{
			Partition: 5,
			Queue:     "alpha",
		},
	})
}
