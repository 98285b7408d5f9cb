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
	// scanRecords is the number of records read in one step of the backward
	// scan for a snapshot.
	scanRecords = 512
	// readLimit is the maximum number of records of one read.
	readLimit   = 64
	readTimeout = 5 * time.Second
	callTimeout = 10 * time.Second
	// maxPeerSnapshots is the maximum number of peers whose snapshots are restored.
	// A snapshot that is not ahead of one restored before has no effect.
	maxPeerSnapshots = 2
)

// Recover restores the latest complete snapshot in the log or, if that fails, one
// of a peer. It returns the next offset to read. It fails with ErrNoSnapshot if
// the state did not advance.
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

// recoverFromLog scans the control stream backwards and restores its latest
// complete snapshot that has no gap after it.
func (c *Compactor) recoverFromLog(ctx context.Context) error {
	bounds, err := c.read(ctx, 0, 0)
	if err != nil {
		return err
	}
	partsBySet := make(map[string][]recorder.Snapshot)
	for end := bounds.Next; end > bounds.First; {
		start := bounds.First
		if end > bounds.First+scanRecords {
			start = end - scanRecords
		}
		found, err := c.readParts(ctx, start, end)
		if err != nil {
			return err
		}
		for i := len(found) - 1; i >= 0; i-- {
			part := found[i]
			partsBySet[part.Set] = append(partsBySet[part.Set], part)
			if len(partsBySet[part.Set]) < part.Parts {
				continue
			}
			if part.Through+1 >= bounds.First {
				return c.state.Restore(partsBySet[part.Set]...)
			}
		}
		end = start
	}
	return errors.Wrap(ErrNoSnapshot, "no complete snapshot in the log")
}

// readParts returns the snapshot parts at the offsets from start up to, but not
// including, end, in log order.
func (c *Compactor) readParts(ctx context.Context, start, end namer.Offset) ([]recorder.Snapshot, error) {
	var found []recorder.Snapshot
	for start < end {
		batch, err := c.read(ctx, start, min(int(end-start), readLimit))
		if err != nil {
			return nil, err
		}
		requested := start
		for _, entry := range batch.Entries {
			// The log may repeat records or leave some out. The next read
			// requests the records after a gap again.
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
		if start == requested {
			return nil, errors.Wrapf(ErrNoSnapshot, "log does not return the record at offset %d", start)
		}
	}
	return found, nil
}

func (c *Compactor) read(ctx context.Context, from namer.Offset, limit int) (connector.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.log.Read(ctx, recorder.StreamControl, from, limit, 0)
}

// recoverFromPeers restores the snapshots of up to maxPeerSnapshots peers, which
// it tries in the order that c.peers returns.
func (c *Compactor) recoverFromPeers(ctx context.Context) error {
	if c.caller == nil {
		return errors.Wrap(ErrNoSnapshot, "no peers are configured")
	}
	restored := 0
	for _, address := range c.peers() {
		if err := c.recoverFromPeer(ctx, address); err != nil {
			c.logger.WithError(err).Infof("compactor: no snapshot from peer %s", address)
			continue
		}
		restored++
		if restored == maxPeerSnapshots {
			break
		}
	}
	if restored == 0 {
		return errors.Wrap(ErrNoSnapshot, "no snapshot from any peer")
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
		return errors.Wrap(err, "compactor: request a snapshot from a peer")
	}
	return c.state.Restore(reply.Parts...)
}

// SnapshotArgs is a request for a peer's state.
type SnapshotArgs struct {
	// Above is the offset that the requester's state has reached. The request
	// fails with ErrNoSnapshot unless the peer's state is ahead of it.
	Above namer.Offset
}

// SnapshotReply contains a peer's state.
type SnapshotReply struct {
	// Parts form one complete snapshot.
	Parts []recorder.Snapshot
}

// Receiver returns the net/rpc receiver that serves peers' requests. It must be
// registered under the name "Log".
func (c *Compactor) Receiver() any {
	return &receiver{
		compactor: c,
	}
}

type receiver struct {
	compactor *Compactor
}

// Snapshot returns a snapshot of this process's state, or ErrNoSnapshot if the
// state is not ahead of args.Above.
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
