package router

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed and the number of cases of the property tests, so that
// every run draws the same cases. The flags of rapid still override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "1",
		"rapid.checks": "2000",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
