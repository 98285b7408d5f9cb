package coordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPeerRecords(t *testing.T) {
	c := qt.New(t)
	known := peer{
		Address: "10.0.0.1:7",
		Cores:   0.192,
	}
	data, err := encodePeer(known)
	c.Assert(err, qt.IsNil)
	c.Assert(decodePeer(data), qt.Equals, known)
	// The record of an older release is the plain address.
	c.Assert(decodePeer([]byte("10.0.0.1:7")), qt.Equals, peer{
		Address: "10.0.0.1:7",
	})
}

func TestLargerPeers(t *testing.T) {
	for _, test := range []struct {
		name        string
		own, others float64
		want        int
	}{
		{
			name:   "alike",
			own:    0.4,
			others: 0.4,
		},
		{
			name:   "a little larger",
			own:    0.4,
			others: 0.6,
		},
		{
			name:   "much larger",
			own:    0.192,
			others: 0.8,
			want:   2,
		},
		{
			name:   "smaller",
			own:    0.8,
			others: 0.192,
		},
		{
			name:   "own size unknown",
			others: 0.8,
		},
		{
			name: "their size unknown",
			own:  0.8,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := newSettings([]Option{Cores(test.own)})
			settings.name = "own"
			coordinator := &Coordinator{
				settings: settings,
				peers: map[string]peer{
					"own": {
						Address: "10.0.0.1:7",
						Cores:   test.own,
					},
					"a": {
						Address: "10.0.0.2:7",
						Cores:   test.others,
					},
					"b": {
						Address: "10.0.0.3:7",
						Cores:   test.others,
					},
				},
			}
			qt.Assert(t, coordinator.largerPeers(), qt.HasLen, test.want)
		})
	}
}
