// Package logger writes structured log lines without ever holding up the one
// who logs: lines wait in a bounded buffer, and where that is full they are
// dropped and counted.
package logger

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// defaultBuffer is how many bytes may wait to be written: about a second of a
// busy process.
const defaultBuffer = 256 << 10

// Handler is a log.Handler that writes one JSON object a line.
type Handler struct {
	out   io.Writer
	limit int

	mu sync.Mutex
	// waiting holds whole lines, at most limit bytes.
	waiting bytes.Buffer
	dropped int64
	// ready tells Run that something waits.
	ready chan struct{}
}

var _ log.Handler = (*Handler)(nil)

// Option changes how a Handler works.
type Option func(*Handler)

// Buffer sets how many bytes may wait. The default is 256 KiB.
func Buffer(limit int) Option {
	return func(h *Handler) {
		h.limit = limit
	}
}

// New returns a handler that writes to out while Run runs.
func New(out io.Writer, opts ...Option) *Handler {
	h := &Handler{
		out:   out,
		limit: defaultBuffer,
		ready: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// HandleLog implements log.Handler. It never waits for the output.
func (h *Handler) HandleLog(entry *log.Entry) error {
	line := make(map[string]any, len(entry.Fields)+3)
	for name, value := range entry.Fields {
		line[name] = value
	}
	line["time"] = entry.Timestamp.UTC().Format("15:04:05.000")
	line["level"] = entry.Level.String()
	line["message"] = entry.Message
	data, err := json.Marshal(line)
	if err != nil {
		return errors.Wrap(err, "logger: encode a line")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting.Len()+len(data)+1 > h.limit {
		h.dropped++
		return nil
	}
	h.waiting.Write(data)
	h.waiting.WriteByte('\n')
	select {
	case h.ready <- struct{}{}:
	default:
	}
	return nil
}

// Run writes what waits, until the context has ended and nothing waits.
func (h *Handler) Run(ctx context.Context) error {
	for {
		select {
		case <-h.ready:
		case <-ctx.Done():
			return h.flush()
		}
		if err := h.flush(); err != nil {
			return err
		}
	}
}

func (h *Handler) flush() error {
	h.mu.Lock()
	data := bytes.Clone(h.waiting.Bytes())
	h.waiting.Reset()
	dropped := h.dropped
	h.dropped = 0
	h.mu.Unlock()
	if dropped > 0 {
		note, err := json.Marshal(map[string]any{
			"level":   "warn",
			"message": "logger: lines were dropped, as the output is slower than the log",
			"dropped": dropped,
		})
		if err != nil {
			return errors.Wrap(err, "logger: encode a line")
		}
		data = append(append(data, note...), '\n')
	}
	if len(data) == 0 {
		return nil
	}
	_, err := h.out.Write(data)
	return errors.Wrap(err, "logger: write")
}
