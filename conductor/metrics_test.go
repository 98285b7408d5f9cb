package conductor

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// TestMetricsOfManyOrganisations guards against metrics whose number grows with that of the
// organisations, against a sum that leaves some out, and against those of removed ones.
func TestMetricsOfManyOrganisations(t *testing.T) {
	c := qt.New(t)
	metrics := NewMetrics()
	registry := prometheus.NewRegistry()
	registry.MustRegister(metrics.organisations.blocked, metrics.organisations.capacity)
	// blocked returns the value of the gauge by organisation.
	blocked := func() map[string]float64 {
		families, err := registry.Gather()
		c.Assert(err, qt.IsNil)
		values := make(map[string]float64)
		for _, family := range families {
			if family.GetName() != "galenacove_conductor_organisation_blocked" {
				continue
			}
			for _, metric := range family.GetMetric() {
				for _, label := range metric.GetLabel() {
					if label.GetName() == "organisation" {
						values[label.GetValue()] = metric.GetGauge().GetValue()
					}
				}
			}
		}
		return values
	}
	var loads []scheduler.OrganisationLoad
	for i := range 60 {
		loads = append(loads, scheduler.OrganisationLoad{
			Organisation: scheduler.Organisation{
				Name:    fmt.Sprintf("o%02d", i),
				Weight:  float64(i),
				Maximum: sizer.New(1000, 0, 0),
			},
			Blocked: 2,
		})
	}
	metrics.organisations.set(3, loads, nil)
	values := blocked()
	c.Assert(values, qt.HasLen, 51)
	c.Assert(values["other"], qt.Equals, 20.0)
	c.Assert(values["o59"], qt.Equals, 2.0)
	metrics.organisations.set(3, loads[:1], nil)
	c.Assert(blocked(), qt.DeepEquals, map[string]float64{
		"o00": 2,
	})
	metrics.deleteLoad(3)
	c.Assert(blocked(), qt.HasLen, 0)
}
