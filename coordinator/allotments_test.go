package coordinator

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// newTwoServices returns the decider of an entry that owns the given partitions, or all,
// and the names of two services in the order in which they sort. Their partitions are 3
// and 8, unless they have several shards.
func newTwoServices(c *qt.C, store *storer.Memory, owned ...int) (*shardDecider, []string) {
	return newShardDecider(c, store, owned...), []string{serviceHashingTo("a", 3), serviceHashingTo("b", 8)}
}

// missingBase returns the record of the base partitions that the entry would write.
func (d *shardDecider) missingBase(services []string) []storer.Record {
	return d.shards.missingBaseRecord(services, d.owned)
}

// TestBaseIsDecidedBeforeAllShards guards against base partitions that leave out those of
// a configured service, and against a record that is written more than once.
func TestBaseIsDecidedBeforeAllShards(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	d, services := newTwoServices(c, store)
	c.Assert(d.missingBase(services), qt.HasLen, 0)
	d.decide(workersFor(services[0], 2))
	c.Assert(d.missingBase(services), qt.HasLen, 0)
	d.decide(workersFor(services[1], 1))
	base, _ := d.shards.allotmentPartitions()
	c.Assert(base, qt.HasLen, 0)
	records := d.missingBase(services)
	c.Assert(records, qt.HasLen, 1)
	c.Assert(records[0].Key, qt.Equals, allotmentsKey)
	c.Assert(string(records[0].Value), qt.Equals, `{"partitions":[3,4,8]}`)
	c.Assert(d.write(records, d.shards.nextOffset), qt.IsNil)
	c.Assert(d.read(), qt.HasLen, 0)
	c.Assert(d.missingBase(services), qt.HasLen, 0)
	base, all := d.shards.allotmentPartitions()
	c.Assert(base, qt.DeepEquals, []int{3, 4, 8})
	c.Assert(all, qt.DeepEquals, []int{3, 4, 8})
	// A service that is added later holds nothing at first, but can be asked.
	d.decide(workersFor(serviceHashingTo("c", 6), 1))
	base, all = d.shards.allotmentPartitions()
	c.Assert(base, qt.DeepEquals, []int{3, 4, 8})
	c.Assert(all, qt.DeepEquals, []int{3, 4, 6, 8})
}

// TestTwoEntriesDecideTheBase guards against two different sets of base partitions, with
// which the partitions hold more than the whole.
func TestTwoEntriesDecideTheBase(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	first, services := newTwoServices(c, store)
	first.decide(workersFor(services[0], 1))
	first.decide(workersFor(services[1], 1))
	// Only the owner of the partition that decides the first service writes.
	other, _ := newTwoServices(c, store, 8)
	c.Assert(other.missingBase(services), qt.HasLen, 0)
	second, _ := newTwoServices(c, store, 3)
	records, late := first.missingBase(services), second.missingBase(services[:1])
	c.Assert(records, qt.HasLen, 1)
	c.Assert(late, qt.HasLen, 1)
	c.Assert(first.write(records, first.shards.nextOffset), qt.IsNil)
	c.Assert(second.write(late, second.shards.nextOffset), qt.ErrorIs, storer.ErrConflict)
	second.read()
	base, _ := second.shards.allotmentPartitions()
	c.Assert(base, qt.DeepEquals, []int{3, 8})
	// A further record changes nothing.
	_, err := store.Append(context.Background(), testShardsPartition, nil, encodeRecord(allotmentsKey, baseRecord{
		Partitions: []int{5},
	}))
	c.Assert(err, qt.IsNil)
	c.Assert(second.read(), qt.HasLen, 0)
	base, _ = second.shards.allotmentPartitions()
	c.Assert(base, qt.DeepEquals, []int{3, 8})
}

// TestInvalidBaseIsApplied guards against base partitions that do not exist or are listed
// twice.
func TestInvalidBaseIsApplied(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{"", "{}", `{"partitions":[]}`, `{"partitions":[1,1]}`, `{"partitions":[-1]}`, `{"partitions":[12]}`} {
		d := newShardDecider(c, storer.NewMemory(timekeeper.System()))
		invalid := d.shards.apply([]storer.Record{{
			Key:   allotmentsKey,
			Value: []byte(value),
		}}, 1)
		c.Assert(invalid, qt.DeepEquals, []string{allotmentsKey}, qt.Commentf("%q", value))
		base, _ := d.shards.allotmentPartitions()
		c.Assert(base, qt.HasLen, 0)
	}
}
