package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// muchLarger is how many times the processor share of another entry must be
	// for partitions to be left to it.
	muchLarger = 2
	// largeGone is for how long no much larger entry may say that it owns
	// partitions, before smaller ones do: three looks.
	largeGone = 3 * joinInterval
	// largeAsked is how many of them are asked at a time.
	largeAsked = 2
	// largeEntry is the processor share, in cores, from which an entry decides
	// on shards of the larger size.
	largeEntry = 0.4
)

// peer is what an entry makes known of itself.
type peer struct {
	Address string `json:"address"`
	// Cores is the share of processors that the entry may use, 0 for unknown.
	Cores float64 `json:"cores,omitempty"`
}

func encodePeer(p peer) ([]byte, error) {
	return json.Marshal(p)
}

// decodePeer also takes the record of an older release, which is the address.
func decodePeer(data []byte) peer {
	var p peer
	if err := json.Unmarshal(data, &p); err != nil || p.Address == "" {
		return peer{
			Address: string(data),
		}
	}
	return p
}

// largerPeers returns the addresses of the entries that are much larger than
// this one, in any order.
func (c *Coordinator) largerPeers() []string {
	own := c.settings.cores
	if own <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var larger []string
	for name, other := range c.peers {
		if name != c.settings.name && other.Cores >= muchLarger*own {
			larger = append(larger, other.Address)
		}
	}
	return larger
}

// leavesToLarger tells that a much larger entry owns partitions, so that this
// one leaves them to it. It asks some of them.
func (c *Coordinator) leavesToLarger(ctx context.Context) bool {
	larger := c.largerPeers()
	if len(larger) == 0 {
		return false
	}
	rand.Shuffle(len(larger), func(i, j int) { larger[i], larger[j] = larger[j], larger[i] })
	replies := make([]AliveReply, min(largeAsked, len(larger)))
	var group errgroup.Group
	for i := range replies {
		group.Go(func() error {
			calling, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			// One that does not answer owns nothing that this entry knows of.
			if err := c.pool.Call(calling, larger[i], rpcName+".Alive", struct{}{}, &replies[i]); err != nil {
				replies[i] = AliveReply{}
			}
			return nil
		})
	}
	// Each call has kept its own outcome.
	_ = group.Wait()
	now := c.settings.clock.Now()
	for _, reply := range replies {
		if reply.Member {
			c.largeSeen = now
			c.store.told(reply.Slow)
		}
	}
	return now.Sub(c.largeSeen) < largeGone
}

// isMember tells that the membership was confirmed so lately that it holds.
func (c *Coordinator) isMember() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.clock.Now().Sub(c.joined) < c.settings.ttl && !c.stopping.Load()
}

// stepBack gives up what this entry owns, as larger ones are back.
func (c *Coordinator) stepBack(ctx context.Context) {
	c.mu.Lock()
	member := c.joined != time.Time{}
	c.mu.Unlock()
	if !member {
		return
	}
	c.handOver(ctx, "left to larger entries")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joined = time.Time{}
	c.renew()
}
