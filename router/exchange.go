package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacove/galenacove/namer"
)

// attempt is one sending of a request to a minion.
type attempt struct {
	// id is echoed by the minion.
	id string
	// address is host and port of the minion.
	address     string
	connections int
	epoch       namer.Epoch
	// lease is when the right to send lapses; it is read just before the
	// first byte is written.
	lease *atomic.Int64
	// writeBy is the latest time of the first byte, as lease.
	writeBy int64
	// left is how long the minion may work on the request.
	left     time.Duration
	identity string
	method   string
	path     string
	header   http.Header
	body     []byte
	// maxAnswer is in bytes.
	maxAnswer int64
}

// carrier takes attempts and probes to minions.
type carrier interface {
	// exchange sends the attempt once at most and returns how it ended.
	exchange(ctx context.Context, a attempt) ending
	// probe tells the minion the epoch.
	probe(ctx context.Context, a attempt) ending
	// cancel tells the minion that nobody waits for an attempt any more.
	cancel(ctx context.Context, a attempt)
	// forget closes the idle connections to a minion.
	forget(address string)
	// close closes the idle connections to all.
	close()
}

// ending is how an attempt ended: answered, declined, unsent, lost or unused.
type ending interface {
	ending()
}

// answered is a whole answer to this attempt.
type answered struct {
	answer Answer
	// epoch is what the minion echoed.
	epoch namer.Epoch
	// sent is when the exchange began, in nanoseconds since the router's start.
	sent int64
	// older is how many requests of lower epochs run at the minion, or -1 if
	// it does not say.
	older int
}

// declined says that the minion did not run the request.
type declined struct {
	why declineReason
}

type declineReason string

const (
	declinedLeaving declineReason = "leaving"
	declinedFull    declineReason = "full"
	declinedFenced  declineReason = "epoch"
)

// unsent says that no byte of the request can have reached the minion.
type unsent struct {
	err error
	// unreachable says that the minion could not be connected to.
	unreachable bool
}

// lost says that the request may have run, and that its end is not known.
type lost struct {
	err error
}

// unused is a reservation that was given back without an attempt.
type unused struct{}

func (answered) ending() {}
func (declined) ending() {}
func (unsent) ending()   {}
func (lost) ending()     {}
func (unused) ending()   {}

// failed reports whether the minion says that it failed.
func (a Answer) failed() bool {
	return a.status >= http.StatusInternalServerError
}
