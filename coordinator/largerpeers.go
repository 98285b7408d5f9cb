package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// largerRatio is the ratio of another entry's cores to those of this one from
	// which on this entry leaves the partitions to the other.
	largerRatio = 1.6
	// largerMemberExpiry is how long a report of a much larger entry that it is a
	// member is valid: three join intervals. After that, smaller entries own
	// partitions.
	largerMemberExpiry = 3 * joinInterval
	// maxLargerAsked is the number of larger entries that are asked in each round,
	// as long as one of them is known to be a member.
	maxLargerAsked = 2
	// maxAskedAtOnce bounds the larger entries that are asked in one round if none of
	// them is known to be a member. It is above the number of entries of any
	// installation so far, all of which are asked in one round.
	maxAskedAtOnce = 48
	// manyEntries is the number of entries from which on only maxMembers of them are to
	// be members of the group. Each member joins every joinInterval, which is 1,000 of
	// the 1,200 writes that the store takes per second if 300 entries are members. There
	// are 12 partitions, so half of the members can be gone.
	manyEntries = 48
	maxMembers  = 24
)

// peer is what an entry publishes about itself.
type peer struct {
	Address string `json:"address"`
	// Cores is the number of cores that the entry may use, 0 for unknown.
	Cores float64 `json:"cores,omitempty"`
	// Placements is set if the entry, as an owner, keeps the stored placements of
	// lasting tasks up to date. Older releases do not.
	Placements bool `json:"placements,omitempty"`
	// OwnCancelKeys is set if the entry, as an owner, reads the cancellations of which the
	// key contains the organisation. Older releases do not.
	OwnCancelKeys bool `json:"ownCancelKeys,omitempty"`
	// Ranges is set if the entry, as an owner, reads occurrences that are stored as
	// ranges. Older releases run them again.
	Ranges bool `json:"ranges,omitempty"`
	// Grants is set if the entry, as an owner, keeps the grants of tasks to owners of other
	// partitions. Older releases drop them, and would run the tasks too.
	Grants bool `json:"grants,omitempty"`
	// Room is set if the entry, as an owner, says what room it has, keeps what grants say of
	// earlier attempts, and returns tasks for which it has no room. Older releases do not.
	Room bool `json:"room,omitempty"`
}

// allShareRoom reports whether tasks may be granted to owners of other partitions: every one of
// the peers keeps such grants, with all that they say, and returns what finds no room.
func allShareRoom(peers map[string]peer) bool {
	for _, p := range peers {
		if !p.Grants || !p.Room {
			return false
		}
	}
	return true
}

// allKeepPlacements reports whether every one of the peers keeps the stored
// placements of lasting tasks up to date.
func allKeepPlacements(peers map[string]peer) bool {
	for _, p := range peers {
		if !p.Placements {
			return false
		}
	}
	return true
}

// allReadOwnCancelKeys reports whether every one of the peers reads the cancellations of
// which the key contains the organisation.
func allReadOwnCancelKeys(peers map[string]peer) bool {
	for _, p := range peers {
		if !p.OwnCancelKeys {
			return false
		}
	}
	return true
}

// allReadRanges reports whether every one of the peers reads occurrences that are stored as
// ranges.
func allReadRanges(peers map[string]peer) bool {
	for _, p := range peers {
		if !p.Ranges {
			return false
		}
	}
	return true
}

func encodePeer(p peer) ([]byte, error) {
	return json.Marshal(p)
}

// maxPeerCores limits the cores that an entry may publish.
const maxPeerCores = 4096

// decodePeer decodes what encodePeer returns. It also accepts the record of an
// older release, which is the plain address. It returns a peer without an address if the
// record is that of no entry.
func decodePeer(data []byte) peer {
	var p peer
	if err := json.Unmarshal(data, &p); err != nil || p.Address == "" {
		p = peer{
			Address: string(data),
		}
	}
	if !canCall(p.Address) || p.Cores < 0 || p.Cores > maxPeerCores {
		return peer{}
	}
	return p
}

// canCall reports whether an address is a host and a port.
func canCall(address string) bool {
	const maxLength = 300
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(address) > maxLength {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// largerPeers returns the addresses of the entries that are much larger than this
// one, in any order.
func (c *Coordinator) largerPeers() []string {
	ownCores := c.settings.cores
	if ownCores <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var larger []string
	for name, other := range c.peers {
		if name != c.settings.name && other.Cores >= largerRatio*ownCores {
			larger = append(larger, other.Address)
		}
	}
	return larger
}

// preferredMembers returns the names of the entries that are to be the members of the
// group, or none if all entries are: those with the most cores, and among equals those
// whose names have the lowest hashes, so that they are in all data centres.
func preferredMembers(peers map[string]peer) []string {
	if len(peers) < manyEntries {
		return nil
	}
	names := slices.Collect(maps.Keys(peers))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(peers[b].Cores, peers[a].Cores), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names[:maxMembers]
}

// preferredPeers returns the addresses of the entries that are to be members of the
// group, or none if all entries are or if this entry is one of them.
func (c *Coordinator) preferredPeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.preferred, c.settings.name) {
		return nil
	}
	return c.addressesOf(c.preferred)
}

// addressesOf returns the addresses of the named entries. The caller holds mu.
func (c *Coordinator) addressesOf(names []string) []string {
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		addresses = append(addresses, c.peers[name].Address)
	}
	return addresses
}

// preferredOwners returns the addresses of the entries to which this one leaves the
// partitions: much larger ones or, where there are many entries, those that are to be
// members of the group. The record of an entry that is gone may name the address of this one.
func (c *Coordinator) preferredOwners() []string {
	isOwn := func(address string) bool { return address == c.settings.peerAddress }
	if larger := slices.DeleteFunc(c.largerPeers(), isOwn); len(larger) > 0 {
		return larger
	}
	return slices.DeleteFunc(c.preferredPeers(), isOwn)
}

// defersToOthers reports whether an entry to which this one leaves the partitions was a
// member of the group within largerMemberExpiry. An entry that is a member does not wait
// for the answers, but uses them at its next join: entries that are gone do not answer, and
// its time to live must leave time for several joins.
func (c *Coordinator) defersToOthers(ctx context.Context, group *errgroup.Group) bool {
	defers := false
	select {
	case defers = <-c.deferral:
		c.deferral = nil
	default:
	}
	c.askPreferred(ctx, group)
	if c.isMember() {
		return defers
	}
	select {
	case defers = <-c.deferral:
		c.deferral = nil
		return defers
	case <-ctx.Done():
		return false
	}
}

// askPreferred asks the entries to which this one leaves the partitions, unless this is
// under way.
func (c *Coordinator) askPreferred(ctx context.Context, group *errgroup.Group) {
	if c.deferral != nil {
		return
	}
	deferral := make(chan bool, 1)
	c.deferral = deferral
	group.Go(func() error {
		deferral <- c.largerFinder.found(ctx, c.preferredOwners())
		return nil
	})
}

// largerFinder finds out whether one of the much larger entries is a member of the
// group. It is used by one goroutine at a time.
type largerFinder struct {
	clock timekeeper.Clock
	// ask asks an entry for its state. It returns the zero reply if the entry does
	// not answer.
	ask func(ctx context.Context, address string) AliveReply
	// lastMember is the address of the entry that last reported that it is a
	// member, and seenAt the time of that report.
	lastMember string
	seenAt     time.Time
	// asked holds the addresses that have been asked since the last report expired,
	// while others are still to be asked.
	asked map[string]bool
	// alone is set once all were asked and none is a member, until one is. While another
	// round is under way the verdict of the one before holds.
	alone bool
}

// found reports whether one of the larger entries was a member within
// largerMemberExpiry. It asks the last known member and others at random,
// maxLargerAsked in all. Only if the last report has expired does it ask all of
// them: each entry that joins the group moves partitions between the members, so it
// must not join because the few that it asked were no members. If there are more than
// maxAskedAtOnce, that takes several rounds.
func (f *largerFinder) found(ctx context.Context, larger []string) bool {
	if len(larger) == 0 {
		return false
	}
	larger = slices.Clone(larger)
	rand.Shuffle(len(larger), func(i, j int) { larger[i], larger[j] = larger[j], larger[i] })
	if i := slices.Index(larger, f.lastMember); i > 0 {
		larger[0], larger[i] = larger[i], larger[0]
	}
	asked := min(maxLargerAsked, len(larger))
	f.askAll(ctx, larger[:asked])
	if !f.expired() {
		f.asked, f.alone = nil, false
		return true
	}
	if f.asked == nil {
		f.asked = make(map[string]bool)
	}
	for _, address := range larger[:asked] {
		f.asked[address] = true
	}
	rest := slices.DeleteFunc(larger[asked:], func(address string) bool { return f.asked[address] })
	round := rest[:min(maxAskedAtOnce, len(rest))]
	f.askAll(ctx, round)
	if !f.expired() {
		f.asked, f.alone = nil, false
		return true
	}
	if len(round) < len(rest) {
		for _, address := range round {
			f.asked[address] = true
		}
		return !f.alone
	}
	// All were asked, and none is a member. The next round begins anew.
	f.asked, f.alone = nil, true
	return false
}

// expired reports whether the last report of a member is older than
// largerMemberExpiry.
func (f *largerFinder) expired() bool {
	return f.clock.Now().Sub(f.seenAt) >= largerMemberExpiry
}

// askAll asks these entries at the same time.
func (f *largerFinder) askAll(ctx context.Context, addresses []string) {
	replies := make([]AliveReply, len(addresses))
	var group errgroup.Group
	for i := range addresses {
		group.Go(func() error {
			replies[i] = f.ask(ctx, addresses[i])
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	for i, reply := range replies {
		if reply.Member {
			f.lastMember = addresses[i]
			f.seenAt = f.clock.Now()
		}
	}
}

// askAlive asks an entry for its state, and records what it reports of the store.
// It returns the zero reply if the entry does not answer.
func (c *Coordinator) askAlive(ctx context.Context, address string) AliveReply {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply AliveReply
	if err := c.pool.Call(probeCtx, address, rpcName+".Alive", struct{}{}, &reply); err != nil {
		c.settings.logger.WithError(err).WithField("peer", address).Debug("coordinator: a larger entry does not answer")
		return AliveReply{}
	}
	if reply.Member {
		c.store.recordPeerReport(reply.Slow)
	}
	return reply
}

// isMember reports whether this entry is a member of the group: its last
// successful join is younger than the TTL, and it is not stopping.
func (c *Coordinator) isMember() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.clock.Now().Sub(c.joinedAt) < c.settings.ttl && !c.stopping.Load()
}

// cedePartitions gives up the partitions of this entry and leaves the group,
// because an entry to which it leaves them is a member.
func (c *Coordinator) cedePartitions(ctx context.Context) {
	c.mu.Lock()
	member := c.joinedAt != time.Time{}
	c.mu.Unlock()
	if !member {
		return
	}
	c.handOver(ctx, "left to other entries")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joinedAt = time.Time{}
	c.renewMember()
}
