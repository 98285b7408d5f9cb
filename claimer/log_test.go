package claimer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/router"
)

// TestClaimsThroughTheLog checks that each request has exactly one winner if
// three entries claim the same requests through a log that loses answers, and
// that many claims share an append.
func TestClaimsThroughTheLog(t *testing.T) {
	c := qt.New(t)
	const entries, requests = 3, 60
	platform := emulator.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := &http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	var claimers []*Claimer
	for i := range entries {
		log := connector.NewPlatform(client, server.URL)
		a := appender.New(log, appender.Backoff(time.Millisecond, 10*time.Millisecond))
		cl := New(fmt.Sprint("entry-", i), log, a)
		claimers = append(claimers, cl)
		running.Go(func() error { return a.Run(ctx) })
		running.Go(func() error { return cl.Run(ctx) })
		<-cl.follower.CaughtUp()
	}
	platform.SetFaults(emulator.Faults{
		LoseAnswers: 5,
	})
	var group errgroup.Group
	var mu sync.Mutex
	won := make(map[string]int)
	for n := range requests {
		request := identity(time.Now(), n)
		for _, cl := range claimers {
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				verdict, err := cl.Claim(ctx, request)
				mu.Lock()
				defer mu.Unlock()
				if verdict.Won {
					won[request]++
					cl.End(request, recorder.Done)
				}
				return err
			})
		}
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(len(won), qt.Equals, requests)
	for request, n := range won {
		c.Check(n, qt.Equals, 1, qt.Commentf(request))
	}
	c.Check(platform.Appends() < requests, qt.IsTrue, qt.Commentf("%d appends", platform.Appends()))
	t.Logf("%d claims of %d requests and their ends took %d appends", entries*requests, requests, platform.Appends())

	// While the log is down nothing can be claimed.
	platform.SetFaults(emulator.Faults{
		Down: true,
	})
	shortCtx, cancelShort := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancelShort()
	_, err := claimers[0].Claim(shortCtx, identity(time.Now(), requests))
	c.Check(errors.Is(err, router.ErrNotClaimed), qt.IsTrue)
	cancel()
	_ = running.Wait()
}
