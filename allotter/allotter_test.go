package allotter_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/sizer"
)

const organisation = "acme"

// all returns the same number of parts of each resource.
func all(n int64) allotter.Parts {
	return allotter.Parts{n, n, n}
}

// TestRoundingLosesAWantedAmount guards against an allotment that is too small by rounding
// for the amount for which its parts were asked for, and against overflow.
func TestRoundingLosesAWantedAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<56).Draw(t, "limit")
		wanted := rapid.Int64Range(0, limit).Draw(t, "wanted")
		maximum := sizer.New(limit, limit, limit)
		parts := allotter.PartsOf(sizer.New(wanted, wanted, wanted), maximum)
		if parts[allotter.Cores] < 0 || parts[allotter.Cores] > allotter.Whole {
			t.Fatalf("%d of %d are %v parts", wanted, limit, parts)
		}
		if size := allotter.SizeOf(parts, maximum, sizer.Size{}); size.MilliCores() < wanted || size.MilliCores() > limit {
			t.Fatalf("%v parts of %d are %d, want at least %d", parts, limit, size.MilliCores(), wanted)
		}
	})
}

// TestUnlimitedResourceIsLimited guards against a limit in a resource for which the
// maximum has none.
func TestUnlimitedResourceIsLimited(t *testing.T) {
	c := qt.New(t)
	maximum := sizer.New(8000, 0, 4)
	unlimited := sizer.New(1<<60, 1<<60, 1<<60)
	c.Assert(allotter.SizeOf(all(500_000), maximum, unlimited), qt.Equals, sizer.New(4000, 1<<60, 2))
	c.Assert(allotter.PartsOf(sizer.New(2000, 5, 1), maximum), qt.Equals, allotter.Parts{250_000, 0, 250_000})
	c.Assert(allotter.Limited(all(3), maximum), qt.Equals, allotter.Parts{3, 0, 3})
}

// TestBaseSharesDoNotAddUp guards against parts that no base partition holds, or two do.
func TestBaseSharesDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	for _, base := range [][]int{{4}, {0, 3, 7}, {11, 2, 5, 6, 8, 0}, {1, 2, 3, 4, 5, 6, 7}} {
		var sum allotter.Parts
		for partition := range 12 {
			ledger := allotter.NewLedger()
			ledger.SetBase(partition, base)
			sum = sum.Add(ledger.Held(organisation))
		}
		c.Assert(sum, qt.Equals, all(allotter.Whole), qt.Commentf("%v", base))
	}
	ledger := allotter.NewLedger()
	ledger.SetBase(3, []int{7, 3, 0})
	c.Assert(ledger.Base(), qt.Equals, all(333_333))
	ledger.SetBase(0, []int{7, 3, 0})
	c.Assert(ledger.Base(), qt.Equals, all(333_334))
}

// TestUnknownBaseHoldsParts guards against starts before the base partitions are known.
func TestUnknownBaseHoldsParts(t *testing.T) {
	c := qt.New(t)
	ledger := allotter.NewLedger()
	c.Assert(ledger.Held(organisation), qt.Equals, allotter.Parts{})
	c.Assert(ledger.Give(2, organisation, all(1)), qt.Equals, allotter.Parts{})
}

// TestStoredLedgerIsNotRestored guards against a new owner that forgets what was given or
// received, and against a record that is read in part.
func TestStoredLedgerIsNotRestored(t *testing.T) {
	c := qt.New(t)
	ledger := allotter.NewLedger()
	ledger.SetBase(0, []int{0, 1})
	ledger.Give(1, organisation, allotter.Parts{10, 20, 30})
	ledger.Receive(1, "other", all(7))
	data, err := json.Marshal(ledger.Record())
	c.Assert(err, qt.IsNil)
	record, err := allotter.DecodeRecord(data)
	c.Assert(err, qt.IsNil)
	restored := allotter.NewLedger()
	restored.SetBase(0, []int{0, 1})
	restored.Restore(record)
	for _, name := range []string{organisation, "other"} {
		c.Assert(restored.Held(name), qt.Equals, ledger.Held(name))
	}
	c.Assert(restored.Given(1, organisation), qt.Equals, allotter.Parts{10, 20, 30})
	for _, bad := range []string{"", "{", "[]", "{}", `{"given":{}}`} {
		_, err := allotter.DecodeRecord([]byte(bad))
		c.Assert(err, qt.ErrorIs, allotter.ErrRecord, qt.Commentf("%q", bad))
	}
}

// TestRecordSharesTheLedger guards against a record in a write that changes with the
// ledger after the write was made.
func TestRecordSharesTheLedger(t *testing.T) {
	c := qt.New(t)
	ledger := allotter.NewLedger()
	ledger.SetBase(0, []int{0, 1})
	ledger.Give(1, organisation, all(1))
	record := ledger.Record()
	ledger.Give(1, organisation, all(1))
	c.Assert(record.Given[1][organisation], qt.Equals, all(1))
}

// TestWrongAmountIsGiven guards against a giver that gives what its own runs use, or what
// its own more urgent steps wait for, or that gives twice for a repeated request.
func TestWrongAmountIsGiven(t *testing.T) {
	early := allotter.Precedence{LatestStart: time.Unix(1, 0)}
	late := allotter.Precedence{LatestStart: time.Unix(2, 0)}
	tests := map[string]struct {
		held, before allotter.Parts
		need         allotter.Need
		want         allotter.Want
		given        allotter.Parts
	}{
		"nothing of its own": {
			held:  all(500),
			want:  allotter.Want{Missing: allotter.Parts{600, 100, 0}},
			given: allotter.Parts{500, 100, 0},
		},
		"own runs": {
			held:  all(500),
			need:  allotter.Need{Used: allotter.Parts{100, 500, 700}},
			want:  allotter.Want{Missing: all(1000)},
			given: allotter.Parts{400, 0, 0},
		},
		"own steps that are more urgent": {
			held: all(500),
			need: allotter.Need{
				Used:       all(100),
				Wanted:     all(300),
				Waiting:    true,
				Precedence: early,
			},
			want: allotter.Want{
				Missing:    all(1000),
				Precedence: late,
			},
			given: all(200),
		},
		"own steps that are less urgent": {
			held: all(500),
			need: allotter.Need{
				Used:       all(100),
				Wanted:     all(300),
				Waiting:    true,
				Precedence: late,
			},
			want: allotter.Want{
				Missing:    all(1000),
				Precedence: early,
			},
			given: all(400),
		},
		"a request that repeats one whose answer was lost": {
			held:   all(500),
			before: all(250),
			want: allotter.Want{
				Missing:  all(300),
				Received: all(50),
			},
			given: all(100),
		},
		"a caller that knows more than was given": {
			held: all(500),
			want: allotter.Want{
				Missing:  all(300),
				Received: all(50),
			},
			given: all(300),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, allotter.Decide(test.held, test.before, test.need, test.want), qt.Equals, test.given)
		})
	}
}

// TestEqualUrgencyIsATie guards against two partitions that each find the other one more
// urgent, or less, and pass parts back and forth.
func TestEqualUrgencyIsATie(t *testing.T) {
	c := qt.New(t)
	first := allotter.Precedence{Partition: 1}
	second := allotter.Precedence{Partition: 2}
	c.Assert(first.Compare(second) < 0, qt.IsTrue)
	c.Assert(second.Compare(first) > 0, qt.IsTrue)
}
