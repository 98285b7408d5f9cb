package compactor_test

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. It also makes their histories so long that the seeded faults are
// found with -short too, which draws a fifth of the cases. The flags -rapid.seed
// and -rapid.steps still override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":  "1",
		"rapid.steps": "100",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		os.Stderr.WriteString(err.Error())
		code = 1
	}
	os.Exit(code)
}

// fakeLog is one stream of a log that can be made to fail. Its reads return at
// once, whatever the requested wait.
type fakeLog struct {
	// payloads[i-1] is the record at offset i.
	payloads [][]byte
	first    namer.Offset
	down     bool
	// repeat is the number of records by which the following reads begin too
	// early; gap makes them leave out the first record.
	repeat int
	gap    bool
	// appended is called for each record after it was appended.
	appended func(namer.Offset, []byte)
}

func (l *fakeLog) next() namer.Offset { return namer.Offset(len(l.payloads)) + 1 }

func (l *fakeLog) Append(_ context.Context, _ string, payloads [][]byte) (namer.Offset, error) {
	if l.down {
		return 0, connector.ErrUnreachable
	}
	first := l.next()
	for _, payload := range payloads {
		l.payloads = append(l.payloads, payload)
		l.appended(l.next()-1, payload)
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from namer.Offset, limit int, _ time.Duration) (connector.Batch, error) {
	batch := connector.Batch{
		First: l.first,
		Next:  l.next(),
	}
	switch {
	case l.down:
		return connector.Batch{}, connector.ErrUnreachable
	case limit == 0:
		return batch, nil
	case from < l.first:
		return connector.Batch{}, connector.ErrTrimmed
	}
	start := max(l.first, from-min(from, namer.Offset(l.repeat)))
	if l.gap {
		start++
	}
	for offset := start; offset < l.next() && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, connector.Entry{
			Offset:  offset,
			Payload: l.payloads[offset-1],
		})
	}
	return batch, nil
}

// directCaller calls the receivers of other processes directly.
type directCaller struct {
	// receivers holds the receivers by address. Calls to an address for which cut
	// is true fail.
	receivers map[string]any
	cut       map[string]bool
}

var errCut = errors.New("cut off")

func (c *directCaller) Call(_ context.Context, address, _ string, args, reply any) error {
	receiver, ok := c.receivers[address].(interface {
		Snapshot(compactor.SnapshotArgs, *compactor.SnapshotReply) error
	})
	if !ok || c.cut[address] {
		return errCut
	}
	return receiver.Snapshot(args.(compactor.SnapshotArgs), reply.(*compactor.SnapshotReply))
}

// fingerprint returns an encoding of the state that is equal for states that
// agree. It leaves out which snapshot was read last.
func fingerprint(state *replayer.State) string {
	parts, err := state.Snapshot()
	if err != nil {
		return err.Error()
	}
	whole := make(map[string][]json.RawMessage)
	for _, part := range parts {
		var content map[string]json.RawMessage
		if err := json.Unmarshal(part.State, &content); err != nil {
			return err.Error()
		}
		delete(content, "published")
		for name, value := range content {
			var list []json.RawMessage
			if json.Unmarshal(value, &list) != nil {
				list = append(list, value)
			}
			whole[name] = append(whole[name], list...)
		}
	}
	// Decoded JSON can always be encoded.
	data, _ := json.Marshal(whole)
	return string(data)
}

// relabelFirstPart returns the first part of a snapshot, marked as the only one.
func relabelFirstPart(parts []recorder.Snapshot) []recorder.Snapshot {
	half := slices.Clone(parts[:1])
	half[0].Parts = 1
	return half
}
