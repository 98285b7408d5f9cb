package emulator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

// errAged is returned for a read of records that are no longer kept.
var errAged = errors.New("emulator: records are no longer kept")

// stream is one append-only stream of the log.
type stream struct {
	// kept and keptFor limit what is kept; 0 is no limit.
	kept    int
	keptFor time.Duration
	// first is the offset of the first of records.
	first   namer.Offset
	records []storedRecord
	// changed is closed at the next append.
	changed chan struct{}
}

type storedRecord struct {
	at      time.Time
	payload []byte
}

func newStream(kept int, keptFor time.Duration) *stream {
	return &stream{
		kept:    kept,
		keptFor: keptFor,
		first:   1,
		changed: make(chan struct{}),
	}
}

func (s *stream) next() namer.Offset {
	return s.first + namer.Offset(len(s.records))
}

func (s *stream) append(now time.Time, payloads [][]byte) namer.Offset {
	offset := s.next()
	for _, payload := range payloads {
		s.records = append(s.records, storedRecord{
			at:      now,
			payload: payload,
		})
	}
	s.retain(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// retain drops what is over the limits.
func (s *stream) retain(now time.Time) {
	dropped := 0
	if s.kept > 0 {
		dropped = max(0, len(s.records)-s.kept)
	}
	for s.keptFor > 0 && dropped < len(s.records) && now.Sub(s.records[dropped].at) > s.keptFor {
		dropped++
	}
	if dropped == 0 {
		return
	}
	clear(s.records[:dropped])
	s.records = s.records[dropped:]
	s.first += namer.Offset(dropped)
}

// read returns at most limit records from the offset on. A read from 0 is one
// from 1. With a limit of 0 it only tells which offsets there are.
func (s *stream) read(now time.Time, from namer.Offset, limit int) (connector.Batch, error) {
	s.retain(now)
	from = max(from, 1)
	batch := connector.Batch{
		First:   s.first,
		Next:    s.next(),
		Entries: []connector.Entry{},
	}
	if limit == 0 {
		return batch, nil
	}
	if from < s.first {
		return batch, errors.Wrapf(errAged, "offset %d, the first kept is %d", from, s.first)
	}
	for offset := from; offset < batch.Next && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, connector.Entry{
			Offset:  offset,
			Payload: s.records[offset-s.first].payload,
		})
	}
	return batch, nil
}
