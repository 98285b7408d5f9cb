package router

import (
	"slices"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// view says who owns what: what the membership and the host list mean
// together. It does not change.
type view struct {
	epoch namer.Epoch
	// peers are the other members' addresses by name.
	peers map[string]string
	// shares are the owners of each service's minions.
	shares map[string][]share
	// own are the hosts that this process owns, by service.
	own map[string][]connector.Host
}

// share is one owner's part of a service.
type share struct {
	owner string
	slots int
	// minions are the names of the owner's minions.
	minions []string
}

// without reports whether every minion of the share is among the names.
func (s share) without(names []string) bool {
	for _, m := range s.minions {
		if !slices.Contains(names, m) {
			return false
		}
	}
	return true
}

func newView(self, dataCentre string, m recorder.Membership, hosts []connector.Host) *view {
	v := &view{
		epoch:  m.Epoch,
		peers:  make(map[string]string),
		shares: make(map[string][]share),
		own:    make(map[string][]connector.Host),
	}
	var names []string
	for _, member := range m.Members {
		names = append(names, member.Name)
		if member.Name != self {
			v.peers[member.Name] = member.Peers
		}
	}
	for _, h := range hosts {
		if h.Kind != connector.KindMinion || (dataCentre != "" && h.DataCentre != dataCentre) {
			continue
		}
		owner, ok := namer.Owner(h.Name, names)
		if !ok {
			continue
		}
		v.add(self, owner, h)
	}
	return v
}

func (v *view) add(self, owner string, h connector.Host) {
	if owner == self {
		v.own[h.Service] = append(v.own[h.Service], h)
	}
	slots := h.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	shares := v.shares[h.Service]
	for i := range shares {
		if shares[i].owner == owner {
			shares[i].slots += slots
			shares[i].minions = append(shares[i].minions, h.Name)
			return
		}
	}
	v.shares[h.Service] = append(shares, share{
		owner:   owner,
		slots:   slots,
		minions: []string{h.Name},
	})
}
