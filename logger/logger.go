// Package logger writes structured log lines without blocking the code that logs.
// Lines are kept in a bounded buffer until they are written. Lines that do not fit
// into the buffer are dropped and counted.
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

// defaultBuffer is the default size of the buffer in bytes, enough for about a
// second of the log of a busy process.
const defaultBuffer = 256 << 10

// Handler is a log.Handler that writes each line as a JSON object.
type Handler struct {
	out   io.Writer
	limit int

	mu sync.Mutex
	// pending holds the lines to be written, at most limit bytes.
	pending bytes.Buffer
	dropped int64
	// wake wakes Run when a line has been added to pending.
	wake chan struct{}
}

var _ log.Handler = (*Handler)(nil)

// Option configures a Handler.
type Option func(*Handler)

// Buffer sets the size of the buffer in bytes. The default is 256 KiB.
func Buffer(limit int) Option {
	return func(h *Handler) {
		h.limit = limit
	}
}

// New returns a handler that writes to out. Run must be called to write the
// lines.
func New(out io.Writer, opts ...Option) *Handler {
	h := &Handler{
		out:   out,
		limit: defaultBuffer,
		wake:  make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// HandleLog implements log.Handler. It does not block on the output, and drops the
// line if the buffer is full.
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
	if h.pending.Len()+len(data)+1 > h.limit {
		h.dropped++
		return nil
	}
	h.pending.Write(data)
	h.pending.WriteByte('\n')
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return nil
}

// Run writes lines as they are logged, until the context ends. It then writes the
// lines that are still pending and returns. If a write fails, Run returns the error
// at once.
func (h *Handler) Run(ctx context.Context) error {
	for {
		select {
		case <-h.wake:
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
	data := bytes.Clone(h.pending.Bytes())
	h.pending.Reset()
	dropped := h.dropped
	h.dropped = 0
	h.mu.Unlock()
	if dropped > 0 {
		notice, err := json.Marshal(map[string]any{
			"level":   "warn",
			"message": "logger: lines were dropped, as the output is slower than the log",
			"dropped": dropped,
		})
		if err != nil {
			return errors.Wrap(err, "logger: encode a line")
		}
		data = append(append(data, notice...), '\n')
	}
	if len(data) == 0 {
		return nil
	}
	_, err := h.out.Write(data)
	return errors.Wrap(err, "logger: write")
}
