package router

import (
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
			return
		}
	}
	v.shares[h.Service] = append(shares, share{
		owner: owner,
		slots: slots,
	})
}
