package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestTransfersFloodTheLog guards against a log line for every exchange of parts, and
// against an organisation that is never logged among many.
func TestTransfersFloodTheLog(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	handler := memory.New()
	owner := New(storer.NewMemory(clock), nil, nil, 1, 1, Clock(clock), Logger(&log.Logger{
		Handler: handler,
		Level:   log.InfoLevel,
	}))
	owner.scheduler = scheduler.New(1, clock.Now())
	const organisations = 20
	logged := make(map[any]int)
	for range 3 {
		for i := range organisations {
			for range 50 {
				owner.recordTransfer(fmt.Sprintf("org%02d", i), transfer{
					given: allotter.Parts{1, 2, 3},
				})
			}
		}
		for range 10 {
			owner.logTransfers()
		}
		c.Assert(len(handler.Entries) <= maxTransferLines, qt.IsTrue)
		for _, entry := range handler.Entries {
			logged[entry.Fields["organisation"]]++
		}
		handler.Entries = nil
		clock.Advance(transfersInterval)
	}
	c.Assert(logged, qt.HasLen, organisations)
}

// TestOrganisationsFloodTheMetrics guards against a series for each of any number of
// organisations.
func TestOrganisationsFloodTheMetrics(t *testing.T) {
	c := qt.New(t)
	metrics := NewMetrics()
	for i := range 1000 {
		metrics.organisations.countMoved(fmt.Sprintf("org%d", i), "given", allotter.Parts{1, 1, 1})
	}
	series := make(chan prometheus.Metric, 4000)
	metrics.organisations.moved.Collect(series)
	c.Assert(series, qt.HasLen, (maxOrganisationLabels+1)*len(allotter.Parts{}))
}
