package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/logger"
)

func TestLinesAreWritten(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	handler := logger.New(&out)
	logs := &log.Logger{
		Handler: handler,
		Level:   log.InfoLevel,
	}
	logs.WithField("id", "j").Info("part: done")
	logs.Debug("part: not shown")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(handler.Run(ctx), qt.IsNil)
	var line map[string]any
	c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	c.Assert(line["id"], qt.Equals, "j")
	c.Assert(line["message"], qt.Equals, "part: done")
	c.Assert(line["level"], qt.Equals, "info")
}

// TestFullBufferDropsLines checks that logging into a full buffer, while no lines
// are written, neither blocks nor loses count of the dropped lines.
func TestFullBufferDropsLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	handler := logger.New(&out, logger.Buffer(300))
	logs := &log.Logger{
		Handler: handler,
		Level:   log.InfoLevel,
	}
	for range 100 {
		logs.Info("part: one of many")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(handler.Run(ctx), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var last struct {
		Dropped int `json:"dropped"`
	}
	c.Assert(json.Unmarshal([]byte(lines[len(lines)-1]), &last), qt.IsNil)
	c.Assert(last.Dropped, qt.Equals, 100-(len(lines)-1))
	c.Assert(last.Dropped > 90, qt.IsTrue)
}
