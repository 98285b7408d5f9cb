package compactor

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// window is how many records are looked at in one step back.
	window = 512
	// readLimit is the most records of one read.
	readLimit   = 64
	readTimeout = 5 * time.Second
	callTimeout = 10 * time.Second
	// enoughPeers is how many peers' snapshots are taken; the latest stays.
	enoughPeers = 2
)

// Recover brings the state up to the latest whole snapshot in the log, or to a
// peer's if the log has none or is out of reach. It returns the next offset to
// read and fails with ErrNoSnapshot if the state did not move on.
func (c *Compactor) Recover(ctx context.Context) (namer.Offset, error) {
	before := c.state.Offset()
	err := c.recoverFromLog(ctx)
	if err != nil {
		err = errors.CombineErrors(err, c.recoverFromPeers(ctx))
	}
	after := c.state.Offset()
	if after > before {
		c.metrics.recovered.Inc()
		return after + 1, nil
	}
	return 0, errors.WithStack(fmt.Errorf("%w: recover: %w", ErrNoSnapshot, err))
}

// recoverFromLog goes back through the control stream to its latest whole
// snapshot.
func (c *Compactor) recoverFromLog(ctx context.Context) error {
	ends, err := c.read(ctx, 0, 0)
	if err != nil {
		return err
	}
	sets := make(map[string][]recorder.Snapshot)
	for end := ends.Next; end > ends.First; {
		start := ends.First
		if end > ends.First+window {
			start = end - window
		}
		found, err := c.readParts(ctx, start, end)
		if err != nil {
			return err
		}
		for i := len(found) - 1; i >= 0; i-- {
			part := found[i]
			sets[part.Set] = append(sets[part.Set], part)
			if len(sets[part.Set]) < part.Parts {
				continue
			}
			if part.Through+1 >= ends.First {
				return c.state.Restore(sets[part.Set]...)
			}
		}
		end = start
	}
	return errors.Wrap(ErrNoSnapshot, "none in the log")
}

// readParts returns the parts of snapshots from the offset start up to, but
// without, end, the latest last.
func (c *Compactor) readParts(ctx context.Context, start, end namer.Offset) ([]recorder.Snapshot, error) {
	var found []recorder.Snapshot
	for start < end {
		batch, err := c.read(ctx, start, min(int(end-start), readLimit))
		if err != nil {
			return nil, err
		}
		asked := start
		for _, entry := range batch.Entries {
			// A log may return records again, or leave some out.
			if entry.Offset != start {
				continue
			}
			start++
			record, err := recorder.Decode(entry.Payload)
			if err != nil {
				continue
			}
			if part, ok := record.Body().(recorder.Snapshot); ok {
				found = append(found, part)
			}
		}
		if start == asked {
			return nil, errors.Wrapf(ErrNoSnapshot, "the log does not return record %d", start)
		}
	}
	return found, nil
}

func (c *Compactor) read(ctx context.Context, from namer.Offset, limit int) (connector.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.log.Read(ctx, recorder.StreamControl, from, limit, 0)
}

// recoverFromPeers takes the snapshots of the first peers that answer.
func (c *Compactor) recoverFromPeers(ctx context.Context) error {
	if c.caller == nil {
		return errors.Wrap(ErrNoSnapshot, "no peers")
	}
	taken := 0
	for _, address := range c.peers() {
		if err := c.recoverFromPeer(ctx, address); err != nil {
			c.logger.WithError(err).Infof("compactor: no snapshot from %s", address)
			continue
		}
		taken++
		if taken == enoughPeers {
			break
		}
	}
	if taken == 0 {
		return errors.Wrap(ErrNoSnapshot, "none at the peers")
	}
	return nil
}

func (c *Compactor) recoverFromPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply SnapshotReply
	args := SnapshotArgs{
		Above: c.state.Offset(),
	}
	if err := c.caller.Call(ctx, address, "Log.Snapshot", args, &reply); err != nil {
		return errors.Wrap(err, "compactor: ask a peer")
	}
	return c.state.Restore(reply.Parts...)
}

// SnapshotArgs asks a peer for its state.
type SnapshotArgs struct {
	// Above is the offset that the asker has; an older state is of no use.
	Above namer.Offset
}

// SnapshotReply is a peer's state.
type SnapshotReply struct {
	// Parts are one whole snapshot.
	Parts []recorder.Snapshot
}

// Receiver returns what answers the peers' calls. It is to be registered under
// the name "Log".
func (c *Compactor) Receiver() any {
	return &receiver{
		compactor: c,
	}
}

type receiver struct {
	compactor *Compactor
}

// Snapshot returns the state of this process.
func (r *receiver) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	state := r.compactor.state
	if state.Offset() <= args.Above {
		return ErrNoSnapshot
	}
	parts, err := state.Snapshot()
	if err != nil {
		return err
	}
	reply.Parts = parts
	return nil
}
