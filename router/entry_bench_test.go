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

// processorTime returns what the process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEntry compares a request through an entry with one to the minion
// itself: the time it takes, and the processor time of callers, entries and
// minions together, which are one process here. "paced" offers a fixed rate;
// "full" as much as so many callers can.
func BenchmarkEntry(b *testing.B) {
	for _, way := range []string{"direct", "entry", "two entries"} {
		b.Run(way+"/paced", func(b *testing.B) { benchEntry(b, way, 8, 500) })
		callers := 64
		if way == "direct" {
			// One minion has no more slots.
			callers = 8
		}
		b.Run(way+"/full", func(b *testing.B) { benchEntry(b, way, callers, 0) })
	}
}

func benchEntry(b *testing.B, way string, callers int, rate float64) {
	c := qt.New(b)
	l := newCell(b, 2, 12, time.Millisecond)
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

// url returns where the requests of a way go: "entry" to an owner of minions,
// "two entries" to one that owns none.
func (l *cell) url(way string) string {
	if way == "direct" {
		return "http://" + l.hosts[0].Address + "/" + desk + "/"
	}
	m := l.routers[0].membership
	m.Epoch = namer.Epoch(2)
	m.Members = m.Members[:1]
	for _, r := range l.routers {
		r.SetMembership(m)
	}
	for l.open() < len(l.hosts) {
		time.Sleep(time.Millisecond)
	}
	entry := 0
	if way == "two entries" {
		entry = 1
	}
	return l.urls[entry] + "/services/" + desk + "/"
}

func (l *cell) get(url string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("meter 4711"))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderIdempotent, "true")
	// A minion refuses lower epochs than the entries'.
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

// instantCarrier answers at once.
type instantCarrier struct {
	pathCarrier
}

func (c *instantCarrier) exchange(_ context.Context, a attempt) ending {
	return answered{
		answer: NewAnswer(http.StatusOK, nil, a.body),
		epoch:  a.epoch,
		sent:   c.settings.since(c.settings.clock.Now()),
	}
}

// BenchmarkDo is the router's own part of a request, without HTTP, at an owner
// of so many minions.
func BenchmarkDo(b *testing.B) {
	for _, minions := range []int{5, 35, 170} {
		b.Run(strconv.Itoa(minions), func(b *testing.B) {
			w := newPathWorld(1)
			r := New("entry-0")
			r.carrier = &instantCarrier{
				pathCarrier: pathCarrier{
					world:    w,
					settings: r.settings,
				},
			}
			var hosts []connector.Host
			for i := range minions {
				hosts = append(hosts, connector.Host{
					Name:    strconv.Itoa(i),
					Kind:    connector.KindMinion,
					Address: strconv.Itoa(i),
					Service: desk,
				})
			}
			r.SetService(desk, NewServiceTerms())
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
			q := NewRequest(desk, http.MethodGet, "/", Body([]byte("meter")))
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
