package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// largerRatio is the ratio of another entry's cores to those of this one from
	// which on this entry leaves the partitions to the other.
	largerRatio = 2
	// largerMemberExpiry is how long a report of a much larger entry that it is a
	// member is valid: three join intervals. After that, smaller entries own
	// partitions.
	largerMemberExpiry = 3 * joinInterval
	// maxLargerAsked is the number of larger entries that are asked at a time.
	maxLargerAsked = 2
	// largeEntryCores is the number of cores from which an entry decides on shards
	// of the larger size.
	largeEntryCores = 0.4
)

// peer is what an entry publishes about itself.
type peer struct {
	Address string `json:"address"`
	// Cores is the number of cores that the entry may use, 0 for unknown.
	Cores float64 `json:"cores,omitempty"`
}

func encodePeer(p peer) ([]byte, error) {
	return json.Marshal(p)
}

// decodePeer decodes what encodePeer returns. It also accepts the record of an
// older release, which is the plain address.
func decodePeer(data []byte) peer {
	var p peer
	if err := json.Unmarshal(data, &p); err != nil || p.Address == "" {
		return peer{
			Address: string(data),
		}
	}
	return p
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

// defersToLarger reports whether a much larger entry was a member of the group
// within largerMemberExpiry, in which case this entry leaves the partitions to it.
// It asks up to maxLargerAsked of the larger entries, chosen at random.
func (c *Coordinator) defersToLarger(ctx context.Context) bool {
	larger := c.largerPeers()
	if len(larger) == 0 {
		return false
	}
	rand.Shuffle(len(larger), func(i, j int) { larger[i], larger[j] = larger[j], larger[i] })
	replies := make([]AliveReply, min(maxLargerAsked, len(larger)))
	var group errgroup.Group
	for i := range replies {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			// An entry that does not answer counts as no member.
			if err := c.pool.Call(probeCtx, larger[i], rpcName+".Alive", struct{}{}, &replies[i]); err != nil {
				replies[i] = AliveReply{}
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	now := c.settings.clock.Now()
	for _, reply := range replies {
		if reply.Member {
			c.largerMemberSeenAt = now
			c.store.recordPeerReport(reply.Slow)
		}
	}
	return now.Sub(c.largerMemberSeenAt) < largerMemberExpiry
}

// isMember reports whether this entry is a member of the group: its last
// successful join is younger than the TTL, and it is not stopping.
func (c *Coordinator) isMember() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.clock.Now().Sub(c.joinedAt) < c.settings.ttl && !c.stopping.Load()
}

// cedePartitions gives up the partitions of this entry and leaves the group,
// because a much larger entry is a member.
func (c *Coordinator) cedePartitions(ctx context.Context) {
	c.mu.Lock()
	member := c.joinedAt != time.Time{}
	c.mu.Unlock()
	if !member {
		return
	}
	c.handOver(ctx, "left to larger entries")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joinedAt = time.Time{}
	c.renewMember()
}
