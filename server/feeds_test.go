package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAppendBudget(t *testing.T) {
	tests := []struct {
		members int
		want    float64
	}{
		{
			members: 0,
			want:    10,
		},
		{
			members: 8,
			want:    10,
		},
		{
			members: 100,
			want:    3,
		},
		{
			members: 1000,
			want:    1,
		},
	}
	for _, test := range tests {
		qt.New(t).Check(appendBudget(test.members), qt.Equals, test.want, qt.Commentf("%d members", test.members))
	}
}
