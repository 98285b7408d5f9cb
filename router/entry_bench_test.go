package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// processorTime returns the processor time used by the process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEntry compares a request through an entry with one sent straight to a
// minion: its duration, and the processor time of callers, entries and minions
// together, which share one process here. "paced" sends requests at a fixed rate,
// "full" as many as the given number of callers can.
func BenchmarkEntry(b *testing.B) {
	for _, way := range []string{"direct", "entry", "two entries"} {
		b.Run(way+"/paced", func(b *testing.B) { benchEntry(b, way, 8, 500) })
		callers := 64
		if way == "direct" {
			// The one minion has no more slots.
			callers = 8
		}
		b.Run(way+"/full", func(b *testing.B) { benchEntry(b, way, callers, 0) })
	}
}

func benchEntry(b *testing.B, way string, callers int, rate float64) {
	c := qt.New(b)
	l := newTestCluster(b, 2, 12, time.Millisecond)
	url := l.url(way)
	times := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var group errgroup.Group
	next := make(chan time.Time, callers)
	for range callers {
		group.Go(func() error {
			for due := range next {
				if err := l.get(url); err != nil {
					return err
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(due).Microseconds())
				mu.Unlock()
			}
			return nil
		})
	}
	used := processorTime()
	b.ResetTimer()
	for range b.N {
		if rate > 0 {
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
		next <- time.Now()
	}
	close(next)
	c.Assert(group.Wait(), qt.IsNil)
	b.StopTimer()
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

// url returns the URL for a case of the benchmark: "direct" is that of the minion,
// "entry" that of the owner of the minions, "two entries" that of an entry that
// owns none.
func (l *testCluster) url(way string) string {
	if way == "direct" {
		return "http://" + l.hosts[0].Address + "/" + testService + "/"
	}
	m := l.routers[0].membership
	m.Epoch = namer.Epoch(2)
	m.Members = m.Members[:1]
	for _, r := range l.routers {
		r.SetMembership(m)
	}
	for l.openCount() < len(l.hosts) {
		time.Sleep(time.Millisecond)
	}
	entry := 0
	if way == "two entries" {
		entry = 1
	}
	return l.urls[entry] + "/services/" + testService + "/"
}

func (l *testCluster) get(url string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("meter 4711"))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderIdempotent, "true")
	// Minions refuse epochs lower than that of the entries.
	req.Header.Set(HeaderEpoch, "2")
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// instantCarrier answers each attempt at once.
type instantCarrier struct {
	simCarrier
}

func (c *instantCarrier) exchange(_ context.Context, a attempt) ending {
	return answered{
		answer: NewAnswer(http.StatusOK, nil, a.body),
		epoch:  a.epoch,
		sentAt: c.settings.sinceStart(c.settings.clock.Now()),
	}
}

// BenchmarkDo measures the router's own part of a request, without HTTP, at an owner
// of the given number of minions.
func BenchmarkDo(b *testing.B) {
	for _, minions := range []int{5, 35, 170} {
		b.Run(strconv.Itoa(minions), func(b *testing.B) {
			simulation := newEntrySim(1)
			r := New("entry-0")
			r.carrier = &instantCarrier{
				simCarrier: simCarrier{
					sim:      simulation,
					settings: r.settings,
				},
			}
			var hosts []connector.Host
			for i := range minions {
				hosts = append(hosts, connector.Host{
					Name:    strconv.Itoa(i),
					Kind:    connector.KindMinion,
					Address: strconv.Itoa(i),
					Service: testService,
				})
			}
			r.SetService(testService, NewServiceConfig())
			r.SetHosts(hosts)
			r.SetMembership(recorder.Membership{
				Epoch: 1,
				Members: []recorder.Member{{
					Name: "entry-0",
				}},
			})
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return r.Run(ctx) })
			q := NewRequest(testService, http.MethodGet, "/", Body([]byte("meter")))
			for r.Endpoints()[0].State() != "open" {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			used := processorTime()
			for b.Loop() {
				if _, err := r.Do(ctx, q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu-µs/op")
			cancel()
			if err := group.Wait(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
