package server

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/parser"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// logUpTo is a log without the records after the offset last.
type logUpTo struct {
	connector.Log
	last namer.Offset
}

// Read returns records up to the last offset. It does not wait for more.
func (l logUpTo) Read(ctx context.Context, stream string, from namer.Offset, limit int, _ time.Duration) (connector.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit, 0)
	if err != nil {
		return batch, err
	}
	batch.Next = min(batch.Next, l.last+1)
	for i, entry := range batch.Entries {
		if entry.Offset > l.last {
			batch.Entries = batch.Entries[:i]
			break
		}
	}
	return batch, nil
}

// configAt returns the configuration that was in force at an offset. It replays
// the log up to the offset, starting from the last earlier snapshot that the log
// still retains.
func (s *Server) configAt(ctx context.Context, offset namer.Offset) (answerer.Table, error) {
	if offset > s.state.Offset() {
		return answerer.Table{}, errors.Wrapf(errQuery, "this entry knows the log up to offset %d, not %d", s.state.Offset(), offset)
	}
	state := replayer.New()
	log := logUpTo{
		Log:  s.platform,
		last: offset,
	}
	snapshots := compactor.New(s.self.Name, log, state, compactor.Clock(s.settings.clock))
	replay := follower.New(log, recorder.StreamControl, state.Apply,
		follower.Clock(s.settings.clock),
		follower.Recovery(snapshots.Recover),
	)
	for replay.Position() <= offset {
		if err := replay.Step(ctx); err != nil {
			return answerer.Table{}, errors.WithStack(fmt.Errorf("%w: the log no longer tells what held at offset %d: %w", errQuery, offset, err))
		}
	}
	return answerer.NewTable(tableColumns[parser.Config], configRows(state)...), nil
}
