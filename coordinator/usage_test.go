package coordinator_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestUseAtOneOwnerIsKnownToAll guards against organisations that get their share anew
// from each owner of a service.
func TestUseAtOneOwnerIsKnownToAll(t *testing.T) {
	cl := newCluster(t, 0)
	cl.fleet = emulator.NewFleet(timekeeper.System(), emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	for i := range 6 {
		cl.fleet.Add(fmt.Sprintf("w%d", i), service, sizer.New(8000, 64*gibibyte, 0))
	}
	for _, worker := range cl.fleet.Entries() {
		cl.write(directoryPartition, worker.Ref.ID, worker)
	}
	cl.write(configPartition, "config", receiver.Config{
		Version: 2,
		Routes: []receiver.Route{{
			Host:   "127.0.0.1",
			Prefix: "/checks/",
			Queue:  floodJob("", "").Queue,
		}},
		Organisations: []receiver.Organisation{{
			Organisation: scheduler.Organisation{
				Name:   "flooder",
				Weight: 100,
			},
		}},
	})
	var metrics []string
	for _, name := range []string{"entry-0", "entry-1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		cl.c.Assert(err, qt.IsNil)
		metrics = append(metrics, "http://"+listener.Addr().String()+"/metrics")
		cl.start(name, coordinator.ShardSize(2), coordinator.Metrics(listener))
	}
	for cl.entries[0].process.Submit(context.Background(), floodJob("flooder", "a")) != nil {
		time.Sleep(20 * time.Millisecond)
	}
	used := regexp.MustCompile(`galenacove_conductor_organisation_used\{organisation="flooder",partition="(\d+)"`)
	// The six workers make three shards, of which one has the job.
	for {
		partitions := make(map[string]bool)
		for _, url := range metrics {
			_, body := cl.call(http.MethodGet, url, nil)
			for _, match := range used.FindAllStringSubmatch(body, -1) {
				partitions[match[1]] = true
			}
		}
		if len(partitions) == 3 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
