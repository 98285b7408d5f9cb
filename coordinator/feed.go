package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// maxUrgentBackoff bounds the pause after a failed read of the configuration, and of what
	// the owner of a partition needs. maxFeedBackoff bounds that of other feeds.
	maxUrgentBackoff = 600 * time.Millisecond
	maxFeedBackoff   = 3 * time.Second
	// lossFailures is the number of consecutive failures from which on a feed counts
	// as lost. A store that refuses every second call would otherwise cause two log
	// lines for each refusal.
	lossFailures = 2
	// configPriorityWait bounds how long other feeds wait for the first read of the
	// configuration to be answered.
	configPriorityWait = time.Second
)

// feed reads a partition continuously, starting with the newest record of each key.
type feed struct {
	// name identifies the feed in log lines and metrics.
	name      string
	store     storer.Store
	clock     timekeeper.Clock
	logger    log.Interface
	metrics   *feedMetrics
	partition storer.Partition
	// apply is called after each read with the records, of which there may be
	// none, and the offset after them. If whole is true, these are the newest
	// records of all keys, else the records that follow the previous read. If the
	// newest records take several pages, it is called once, after the last one.
	apply func(records []storer.Record, next int64, whole bool)
	// beforeRead is called before each read is sent, and observe after each answer,
	// when its records have been applied. Both may be nil.
	beforeRead func()
	observe    func(read feedRead)
	// until limits the newest records to the keys that sort before it, if it is not
	// empty. Records that are appended later are not limited.
	until string
	// wait is how long a read waits for records. pause returns the time between two
	// reads, which a value on wake cuts short. Both pause and wake may be nil.
	wait  time.Duration
	pause func() time.Duration
	wake  <-chan struct{}
	// active reports whether the feed is needed. While it is not, the feed makes no
	// reads until there is a value on wake. deactivated is called when the feed stops
	// reading; the next read returns the newest records of all keys. Both may be nil.
	active      func() bool
	deactivated func()
	// start delays the first read until it is closed, or for configPriorityWait. It
	// may be nil.
	start <-chan struct{}
	// maxGap is the time since the last answer after which the newest records are
	// read instead of all records since then. 0 means no limit.
	maxGap time.Duration
	// maxBackoff returns the bound of the pause after a failed read. A value on wake lowers a
	// pause to a bound that is lower by then.
	maxBackoff func() time.Duration
	// restored gets a value when the store answers this entry again, which ends the pause
	// after a failed read. It may be nil.
	restored <-chan struct{}
	// onError is called after a read that failed. It may be nil.
	onError func(ctx context.Context)
}

// feedRead describes a read that was answered.
type feedRead struct {
	// sentAt is the time at which the read was sent. For the newest records it is the
	// time at which their first page was requested.
	sentAt time.Time
	// next is the offset of the next read, and end the end of the partition when the
	// store answered. Nothing was left to read if they are equal.
	next, end int64
	// whole reports whether the newest records of all keys were read.
	whole bool
}

// feedState is the state of a running feed.
type feedState struct {
	// next is the offset of the next read, or -1 if the newest records must be read.
	next int64
	// pages holds the pages of the newest records that have been read, until the last
	// one has arrived. A failed read does not discard them.
	pages *newestPages
	// behind is set if the last read did not reach the end of the partition.
	behind bool
	// answeredAt is the time of the last answer, at first that of the start.
	answeredAt time.Time
	// failures counts the failed reads since then, and abandoned is set if one read has
	// been abandoned since then.
	failures  int
	abandoned bool
}

// newestPages is a read of the newest records that has not reached the last page.
type newestPages struct {
	records []storer.Record
	// end is the end of the partition when the first page was read. Only reading on
	// from there misses no record.
	end    int64
	sentAt time.Time
	after  string
}

func (f feed) run(ctx context.Context) error {
	if err := f.awaitStart(ctx); err != nil {
		return err
	}
	state := feedState{
		next:       -1,
		answeredAt: f.clock.Now(),
	}
	for {
		if f.active != nil && !f.active() {
			f.deactivate(&state)
			select {
			case <-f.wake:
			case <-ctx.Done():
				return ctx.Err()
			}
			state.answeredAt = f.clock.Now()
			continue
		}
		abandoned, err := f.readOrAbandon(ctx, &state)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if abandoned {
			continue
		}
		f.recordOutcome(&state, err)
		pause := time.Duration(0)
		if f.pause != nil && !state.behind && state.pages == nil {
			pause = f.pause()
		}
		if err != nil {
			if f.onError != nil {
				f.onError(ctx)
			}
			f.sleepAfterFailure(ctx, pause, backoff(state.failures, f.maxBackoff()))
			continue
		}
		// The store was restored before it answered this read.
		select {
		case <-f.restored:
		default:
		}
		if pause > 0 {
			f.sleep(ctx, pause, f.wake)
		}
	}
}

// awaitStart waits for start, at most for configPriorityWait.
func (f feed) awaitStart(ctx context.Context) error {
	if f.start == nil {
		return nil
	}
	timer := f.clock.NewTimer(configPriorityWait)
	defer timer.Stop()
	select {
	case <-f.start:
	case <-timer.C():
	case <-ctx.Done():
	}
	return ctx.Err()
}

// deactivate discards what has been read.
func (f feed) deactivate(state *feedState) {
	if f.deactivated != nil && (state.next >= 0 || state.pages != nil) {
		f.deactivated()
	}
	*state = feedState{
		next: -1,
	}
	f.metrics.failures.WithLabelValues(f.name).Set(0)
}

// sleep waits between two reads. A value on wake ends the pause.
func (f feed) sleep(ctx context.Context, pause time.Duration, wake <-chan struct{}) {
	timer := f.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-wake:
	case <-ctx.Done():
	}
}

// sleepAfterFailure waits after a failed read for the longer of both times, or until the store
// is restored. A wake only shortens the times to what pause and maxBackoff return by then, so
// that a store that refuses calls is not called more often.
func (f feed) sleepAfterFailure(ctx context.Context, pause, backoff time.Duration) {
	began := f.clock.Now()
	for {
		timer := f.clock.NewTimer(max(pause, backoff) - f.clock.Now().Sub(began))
		select {
		case <-f.wake:
			timer.Stop()
			if pause > 0 {
				pause = min(pause, f.pause())
			}
			backoff = min(backoff, f.maxBackoff())
			continue
		case <-timer.C():
		case <-f.restored:
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// backoff returns the pause after that number of consecutive failures. Its upper end
// doubles with each failure, up to limit. Half of it is random, so that entries whose
// reads fail at the same time do not repeat them at the same time.
func backoff(failures int, limit time.Duration) time.Duration {
	ceiling := min(limit, 2*retryPause<<min(max(failures, 1)-1, 8))
	return ceiling/2 + rand.N(ceiling/2+1)
}

// abandonAfter is the time after which a first read that is not answered may be abandoned:
// many times the usual latency.
const abandonAfter = firstRepeatAfter

// readOrAbandon makes one read. If earlier ones have failed or none was answered yet, it
// abandons the read when the store is restored: it may have been sent while the store did
// not answer, and would wait for its time limit. That happens once until a read is
// answered, so that a store that is slow and loses calls has the time to answer.
func (f feed) readOrAbandon(ctx context.Context, state *feedState) (abandoned bool, err error) {
	if f.restored == nil || state.failures == 0 && state.next >= 0 || state.abandoned {
		return false, f.readOnce(ctx, state)
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch errgroup.Group
	sentAt := f.clock.Now()
	watch.Go(func() error {
		select {
		case <-f.restored:
			if state.failures > 0 || f.clock.Now().Sub(sentAt) >= abandonAfter {
				abandoned = true
				cancel()
			}
		case <-readCtx.Done():
		}
		return nil
	})
	err = f.readOnce(readCtx, state)
	cancel()
	// The function returns no error.
	_ = watch.Wait()
	abandoned = abandoned && err != nil
	state.abandoned = abandoned
	return abandoned, err
}

// readOnce makes one read: of a page of the newest records, or of the records that
// follow the previous read.
func (f feed) readOnce(ctx context.Context, state *feedState) error {
	if f.beforeRead != nil {
		f.beforeRead()
	}
	sentAt := f.clock.Now()
	if state.pages == nil && f.maxGap > 0 && sentAt.Sub(state.answeredAt) > f.maxGap {
		state.next = -1
	}
	if state.next < 0 {
		return f.readNewest(ctx, state, sentAt)
	}
	page, err := f.store.Read(ctx, f.partition, state.next, f.wait)
	if errors.Is(err, storer.ErrTrimmed) {
		state.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	state.next = page.Next
	state.behind = page.Next < page.End
	f.answered(page.Records, feedRead{
		sentAt: sentAt,
		next:   page.Next,
		end:    page.End,
	})
	return nil
}

// readNewest reads the next page of the newest records, and applies all of them once
// the last page has arrived.
func (f feed) readNewest(ctx context.Context, state *feedState, sentAt time.Time) error {
	after := ""
	if state.pages != nil {
		after = state.pages.after
	}
	page, err := f.store.Newest(ctx, f.partition, after)
	if err != nil {
		return err
	}
	if state.pages == nil {
		state.pages = &newestPages{
			end:    page.End,
			sentAt: sentAt,
		}
	}
	pages := state.pages
	more := page.More && len(page.Records) > 0
	for _, record := range page.Records {
		pages.after = record.Key
		if f.until != "" && record.Key >= f.until {
			more = false
			break
		}
		pages.records = append(pages.records, record)
	}
	if more {
		return nil
	}
	state.pages = nil
	state.next = pages.end
	// Records may have been appended while the other pages were read.
	state.behind = pages.end < page.End
	f.answered(pages.records, feedRead{
		sentAt: pages.sentAt,
		next:   pages.end,
		end:    page.End,
		whole:  true,
	})
	return nil
}

// answered applies the records of a read.
func (f feed) answered(records []storer.Record, read feedRead) {
	f.metrics.records.WithLabelValues(f.name).Add(float64(len(records)))
	f.apply(records, read.next, read.whole)
	if f.observe != nil {
		f.observe(read)
	}
}

// recordOutcome updates the state and the metrics after a read, and logs the loss and
// the recovery of the feed.
func (f feed) recordOutcome(state *feedState, err error) {
	now := f.clock.Now()
	age := now.Sub(state.answeredAt)
	logEntry := f.logger.WithFields(log.Fields{
		"feed": f.name,
		"age":  age.Round(time.Millisecond).String(),
	})
	if err != nil {
		state.failures++
		f.metrics.reads.WithLabelValues(f.name, "failed").Inc()
		f.metrics.failures.WithLabelValues(f.name).Set(float64(state.failures))
		if state.failures == lossFailures {
			logEntry.WithError(err).WithField("failures", state.failures).Warn("coordinator: feed lost")
		}
		return
	}
	f.metrics.reads.WithLabelValues(f.name, "answered").Inc()
	f.metrics.answeredAt.WithLabelValues(f.name).Set(float64(now.UnixMilli()) / 1000)
	if state.failures > 0 {
		f.metrics.failures.WithLabelValues(f.name).Set(0)
	}
	if state.failures >= lossFailures {
		logEntry.WithField("failures", state.failures).Info("coordinator: feed recovered")
	}
	state.failures = 0
	state.abandoned = false
	state.answeredAt = now
}

// feedMetrics are the metrics of all feeds of an entry, by the name of the feed.
type feedMetrics struct {
	reads      *prometheus.CounterVec
	records    *prometheus.CounterVec
	failures   *prometheus.GaugeVec
	answeredAt *prometheus.GaugeVec
}

func newFeedMetrics() *feedMetrics {
	return &feedMetrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_feed_reads_total",
			Help: "Reads of the store by feeds, by feed and outcome.",
		}, []string{"feed", "outcome"}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_feed_records_total",
			Help: "Records that feeds have read, by feed.",
		}, []string{"feed"}),
		failures: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_feed_consecutive_failures",
			Help: "Failed reads since the last answer, by feed.",
		}, []string{"feed"}),
		answeredAt: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_feed_answered_timestamp_seconds",
			Help: "Time of the last answered read, by feed.",
		}, []string{"feed"}),
	}
}

func (m *feedMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.reads, m.records, m.failures, m.answeredAt}
}
