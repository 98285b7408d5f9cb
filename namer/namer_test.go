package namer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/namer"
)

func ExampleOwner() {
	members := []string{"entry-1", "entry-2", "entry-3"}
	owner, found := namer.Owner("worker-7", members)
	fmt.Println(owner, found)
	// Output: entry-3 true
}

func TestOwnerIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 9, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		owner, _ := namer.Owner(key, members)
		ownerShuffled, _ := namer.Owner(key, shuffled)
		if owner != ownerShuffled {
			t.Fatalf("%q owns in one order, %q in another", owner, ownerShuffled)
		}
	})
}

func TestOwnerKeepsKeysOfOtherMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 9, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		before, _ := namer.Owner(key, members)
		after, _ := namer.Owner(key, members[1:])
		if before != members[0] && before != after {
			t.Fatalf("%q lost the key to %q when %q left", before, after, members[0])
		}
	})
}

func TestOwnerOfNoMembers(t *testing.T) {
	c := qt.New(t)
	_, found := namer.Owner("worker-7", nil)
	c.Assert(found, qt.IsFalse)
}

func TestOwnerSpreadsKeys(t *testing.T) {
	c := qt.New(t)
	const keys = 8000
	members := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	owned := make(map[string]int)
	for i := range keys {
		owner, _ := namer.Owner(fmt.Sprintf("worker-%d", i), members)
		owned[owner]++
	}
	fairShare := keys / len(members)
	for _, member := range members {
		c.Check(owned[member] > fairShare*9/10 && owned[member] < fairShare*11/10, qt.IsTrue, qt.Commentf("%s owns %d", member, owned[member]))
	}
}
