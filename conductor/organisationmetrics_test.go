package conductor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/scheduler"
)

// TestOrganisationLabelsAreBounded guards against metrics that grow with the number of
// organisations, and against gauges that outlive the ownership.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	m := newOrganisationMetrics()
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.collectors()...)
	var loads []scheduler.ShareLoad
	for i := range 200 {
		name := fmt.Sprintf("organisation%03d", i)
		loads = append(loads, scheduler.ShareLoad{
			Organisation: name,
			Service:      "desk",
			Used:         0.001,
			ExcessJobs:   2,
		})
		m.refuse(name, scheduler.RefusedBacklog)
	}
	// Setting them again counts no job twice.
	m.set(3, nil, loads)
	m.set(3, nil, loads)
	families := gather(t, registry)
	for _, name := range []string{"refused_total", "excess_jobs_total", "organisation_used", "organisation_share"} {
		qt.Check(t, families["galenacove_conductor_"+name].count, qt.Equals, maxOrganisationLabels+1, qt.Commentf("%s", name))
	}
	qt.Check(t, families["galenacove_conductor_refused_total"].sum, qt.Equals, 200.0)
	qt.Check(t, families["galenacove_conductor_excess_jobs_total"].sum, qt.Equals, 400.0)
	m.forget(3)
	qt.Check(t, gather(t, registry)["galenacove_conductor_organisation_used"].count, qt.Equals, 0)
}

type family struct {
	count int
	sum   float64
}

func gather(t *testing.T, registry *prometheus.Registry) map[string]family {
	gathered, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	families := make(map[string]family)
	for _, f := range gathered {
		got := family{
			count: len(f.GetMetric()),
		}
		for _, metric := range f.GetMetric() {
			got.sum += metric.GetCounter().GetValue()
		}
		families[f.GetName()] = got
	}
	return families
}

// TestLinesOfAFloodAreBounded guards against a flood that fills the log, and against
// lines that are left out without a trace.
func TestLinesOfAFloodAreBounded(t *testing.T) {
	lines := make(lineLimiter)
	now := time.Unix(1_700_000_000, 0)
	logged, omitted := 0, 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		left, allowed := lines.allow("flooder", now)
		omitted += left
		if allowed {
			logged++
		}
	}
	qt.Check(t, logged, qt.Equals, 10*maxAdmissionLines)
	// The lines of the last second are told with the next line.
	qt.Check(t, omitted, qt.Equals, 9*(1000-maxAdmissionLines))
	_, allowed := lines.allow("other", now)
	qt.Check(t, allowed, qt.IsTrue)
}
