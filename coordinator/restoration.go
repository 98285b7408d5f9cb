package coordinator

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/storer"
)

// restoration notifies the feeds of an entry when the store answers it again. Only joins
// count, and the first answer after the start: members alone are assigned partitions and,
// where there are many entries, few of them are members, so that few read at the same time.
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

// recordJoin records the outcome of a join, and reports whether the store answers again
// after joins that it did not answer.
func (r *restoration) recordJoin(err error) (restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.IsAny(err, storer.ErrUnavailable, storer.ErrUnknown) {
		r.lost = true
		return false
	}
	if !r.lost {
		return false
	}
	r.lost = false
	r.request()
	return true
}

// notify notifies the feeds.
func (r *restoration) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request()
}

// request sends a value to each feed that has none to receive. The caller holds mu.
func (r *restoration) request() {
	for _, feed := range r.feeds {
		request(feed)
	}
}
