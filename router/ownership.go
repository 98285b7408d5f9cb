package router

import (
	"slices"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// ownership is the assignment of minions to members that follows from the membership
// and the host list. It is immutable.
type ownership struct {
	epoch namer.Epoch
	// peerAddresses maps the names of the other members to their addresses.
	peerAddresses map[string]string
	// shares holds the owners of each service's minions.
	shares map[string][]ownerShare
	// ownHosts holds the hosts that this process owns, by service.
	ownHosts map[string][]connector.Host
}

// ownerShare is one owner's part of a service.
type ownerShare struct {
	owner string
	slots int
	// minions holds the names of the owner's minions.
	minions []string
}

// hasOnly reports whether every minion of the share is among the names.
func (s ownerShare) hasOnly(names []string) bool {
	for _, m := range s.minions {
		if !slices.Contains(names, m) {
			return false
		}
	}
	return true
}

func newOwnership(self, dataCentre string, m recorder.Membership, hosts []connector.Host) *ownership {
	o := &ownership{
		epoch:         m.Epoch,
		peerAddresses: make(map[string]string),
		shares:        make(map[string][]ownerShare),
		ownHosts:      make(map[string][]connector.Host),
	}
	var names []string
	for _, member := range m.Members {
		names = append(names, member.Name)
		if member.Name != self {
			o.peerAddresses[member.Name] = member.Peers
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
		o.addHost(self, owner, h)
	}
	return o
}

func (o *ownership) addHost(self, owner string, h connector.Host) {
	if owner == self {
		o.ownHosts[h.Service] = append(o.ownHosts[h.Service], h)
	}
	slots := h.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	shares := o.shares[h.Service]
	for i := range shares {
		if shares[i].owner == owner {
			shares[i].slots += slots
			shares[i].minions = append(shares[i].minions, h.Name)
			return
		}
	}
	o.shares[h.Service] = append(shares, ownerShare{
		owner:   owner,
		slots:   slots,
		minions: []string{h.Name},
	})
}
