package coordinator

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/storer"
)

// restoration notifies the feeds of an entry when the store answers it again. Only joins
// count: members alone are assigned partitions and, where there are many entries, few of
// them are members, so that few read at the same time.
type restoration struct {
	mu sync.Mutex
	// lost is set while the last join had no answer. A store that answers joins and no
	// reads causes one notification.
	lost  bool
	feeds []chan struct{}
}

// subscribe returns a channel that gets a value each time the store is restored. A value
// that has not been received yet stands for later ones.
func (r *restoration) subscribe() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	restored := make(chan struct{}, 1)
	r.feeds = append(r.feeds, restored)
	return restored
}

// recordJoin records the outcome of a join.
func (r *restoration) recordJoin(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.IsAny(err, storer.ErrUnavailable, storer.ErrUnknown) {
		r.lost = true
		return
	}
	if r.lost {
		r.lost = false
		for _, restored := range r.feeds {
			request(restored)
		}
	}
}
