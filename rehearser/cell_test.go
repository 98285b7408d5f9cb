package rehearser_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/rehearser"
)

func TestSample(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cell := rehearser.New()
	c.Assert(cell.Start(ctx), qt.IsNil)
	for _, step := range cell.Sample(ctx) {
		c.Check(step.Done(), qt.IsTrue, qt.Commentf("%s: %s", step.Name(), step.Detail()))
	}
	cancel()
	c.Assert(cell.Wait(), qt.IsNil)
}
