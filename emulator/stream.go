package emulator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

// errNotRetained is returned for a read of records that retention has dropped.
var errNotRetained = errors.New("emulator: records are no longer kept")

// stream is one append-only stream of the log.
type stream struct {
	// maxRecords and maxAge limit what is retained; 0 means no limit.
	maxRecords int
	maxAge     time.Duration
	// firstOffset is the offset of the first element of records.
	firstOffset namer.Offset
	records     []storedRecord
	// changed is closed and replaced at the next append.
	changed chan struct{}
}

type storedRecord struct {
	at      time.Time
	payload []byte
}

func newStream(maxRecords int, maxAge time.Duration) *stream {
	return &stream{
		maxRecords:  maxRecords,
		maxAge:      maxAge,
		firstOffset: 1,
		changed:     make(chan struct{}),
	}
}

func (s *stream) nextOffset() namer.Offset {
	return s.firstOffset + namer.Offset(len(s.records))
}

func (s *stream) append(now time.Time, payloads [][]byte) namer.Offset {
	offset := s.nextOffset()
	for _, payload := range payloads {
		s.records = append(s.records, storedRecord{
			at:      now,
			payload: payload,
		})
	}
	s.enforceRetention(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// enforceRetention drops the records that exceed maxRecords or maxAge.
func (s *stream) enforceRetention(now time.Time) {
	dropped := 0
	if s.maxRecords > 0 {
		dropped = max(0, len(s.records)-s.maxRecords)
	}
	for s.maxAge > 0 && dropped < len(s.records) && now.Sub(s.records[dropped].at) > s.maxAge {
		dropped++
	}
	if dropped == 0 {
		return
	}
	clear(s.records[:dropped])
	s.records = s.records[dropped:]
	s.firstOffset += namer.Offset(dropped)
}

// read returns at most limit records, starting at the offset from; 0 means 1.
// With a limit of 0 it returns no records, only the first and the next offset.
// Otherwise it fails with errNotRetained if the record at from was dropped.
func (s *stream) read(now time.Time, from namer.Offset, limit int) (connector.Batch, error) {
	s.enforceRetention(now)
	from = max(from, 1)
	batch := connector.Batch{
		First:   s.firstOffset,
		Next:    s.nextOffset(),
		Entries: []connector.Entry{},
	}
	if limit == 0 {
		return batch, nil
	}
	if from < s.firstOffset {
		return batch, errors.Wrapf(errNotRetained, "offset %d, the first kept is %d", from, s.firstOffset)
	}
	for offset := from; offset < batch.Next && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, connector.Entry{
			Offset:  offset,
			Payload: s.records[offset-s.firstOffset].payload,
		})
	}
	return batch, nil
}
