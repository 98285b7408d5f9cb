package sizer_test

import (
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/sizer"
)

func anySize() *rapid.Generator[sizer.Size] {
	return rapid.Custom(func(t *rapid.T) sizer.Size {
		amount := rapid.Int64Range(-1<<40, 1<<40)
		return sizer.New(amount.Draw(t, "milliCores"), amount.Draw(t, "bytes"), amount.Draw(t, "accelerators"))
	})
}

func TestSizeArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := anySize().Draw(t, "a")
		b := anySize().Draw(t, "b")
		if a.Add(b).Sub(b) != a || a.Add(a) != a.Times(2) {
			t.Fatalf("%v and %v do not add up", a, b)
		}
		if !a.Fits(a.Max(b)) || a.Fits(b) == b.Sub(a).IsNegative() {
			t.Fatalf("%v and %v do not compare", a, b)
		}
	})
}

func TestSizeEncodings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := anySize().Draw(t, "size")
		var fromJSON, fromBinary sizer.Size
		text, errJSON := json.Marshal(want)
		data, errBinary := want.MarshalBinary()
		err := errors.Join(errJSON, errBinary, json.Unmarshal(text, &fromJSON), fromBinary.UnmarshalBinary(data))
		if err != nil {
			t.Fatal(err)
		}
		if fromJSON != want || fromBinary != want {
			t.Fatalf("%v became %v and %v", want, fromJSON, fromBinary)
		}
	})
}

func TestSizeBadEncodings(t *testing.T) {
	c := qt.New(t)
	var s sizer.Size
	c.Check(s.UnmarshalBinary([]byte{1}), qt.ErrorIs, sizer.ErrEncoding)
	c.Check(s.UnmarshalJSON([]byte(`{"bytes":"many"}`)), qt.ErrorIs, sizer.ErrEncoding)
}

func TestDominantShare(t *testing.T) {
	tests := []struct {
		name  string
		size  sizer.Size
		total sizer.Size
		want  float64
	}{
		{
			name:  "memory dominates",
			size:  sizer.New(1000, 4<<30, 0),
			total: sizer.New(10000, 8<<30, 4),
			want:  0.5,
		},
		{
			name:  "a dimension with a total of zero is ignored",
			size:  sizer.New(1000, 0, 2),
			total: sizer.New(4000, 1<<30, 0),
			want:  0.25,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(test.size.DominantShare(test.total), qt.Equals, test.want)
		})
	}
}
