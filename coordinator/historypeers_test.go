package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/timekeeper"
)

// historyCaller calls peers of which only one answers, with the history of a queue. The others fail with err, after
// the caller's timeout if that is messenger.ErrUnknown.
type historyCaller struct {
	answering string
	err       error
	calls     int
}

func (*historyCaller) Close() {}

func (h *historyCaller) Call(ctx context.Context, address, _ string, _, reply any) error {
	h.calls++
	if address == h.answering {
		reply.(*QueueHistoryReply).Queues = []FormerQueue{
			{
				Host:    "host",
				Prefix:  "/a/",
				Name:    "a",
				Service: "desk",
			},
		}
		return nil
	}
	if errors.Is(h.err, messenger.ErrUnknown) {
		<-ctx.Done()
	}
	return h.err
}

// TestHistoryIsReadBesideGonePeers guards against an entry that does not find jobs of a queue whose service changed
// before it started, as it goes on asking the same peers for that, which are gone or of an older release (issue 78).
func TestHistoryIsReadBesideGonePeers(t *testing.T) {
	for _, err := range []error{messenger.ErrUnknown, messenger.ErrUnreachable, messenger.ErrRefused} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := newTestEntryPool(timekeeper.System(), 2, "a-0", "a-1", "a-2", "a-3", "a-4", "b-1")
				coordinator := pool.coordinator
				peers := &historyCaller{
					answering: pool.byName["b-1"].address,
					err:       err,
				}
				coordinator.entryPool, coordinator.pool = pool, peers
				coordinator.queueHistory = newQueueHistory()
				coordinator.queueHistory.observe(routed(1, "/a/", "a", "lab"), time.Now())
				coordinator.configRead, coordinator.peersRead = make(chan struct{}), make(chan struct{})
				close(coordinator.configRead)
				close(coordinator.peersRead)
				c.Assert(coordinator.inheritQueueHistory(context.Background()), qt.IsNil)
				c.Check(servicesOf(coordinator.queueHistory, "a", time.Time{}), qt.DeepEquals, []string{"desk"})
				c.Check(peers.calls <= historyTries*historyPeers, qt.IsTrue, qt.Commentf("%d calls", peers.calls))
			})
		})
	}
}
