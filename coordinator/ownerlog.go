package coordinator

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/messenger"
)

// ownerTry is one call to the owner of a partition, which failed with err.
type ownerTry struct {
	address string
	took    time.Duration
	err     error
}

// String implements fmt.Stringer.
func (t ownerTry) String() string {
	return fmt.Sprintf("%s %v %v", t.address, t.took.Round(time.Millisecond), t.err)
}

// ownerMetrics are the metrics of calls to the owners of partitions.
type ownerMetrics struct {
	calls *prometheus.CounterVec
}

func newOwnerMetrics() *ownerMetrics {
	return &ownerMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_coordinator_owner_calls_total",
			Help: "Calls to other entries as the owners of partitions, by method and outcome.",
		}, []string{"method", "outcome"}),
	}
}

func (m *ownerMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.calls}
}

// recordCall counts a call that ended with err.
func (m *ownerMetrics) recordCall(method string, err error) {
	outcome := "answered"
	switch {
	case errors.Is(err, messenger.ErrUnreachable):
		outcome = "unreached"
	case errors.Is(err, messenger.ErrUnknown):
		outcome = "unknown"
	case err != nil:
		outcome = "refused"
	}
	m.calls.WithLabelValues(method, outcome).Inc()
}
