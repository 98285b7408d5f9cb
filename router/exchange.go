package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenacove/galenacove/namer"
)

// attempt is one transmission of a request or a probe to a minion.
type attempt struct {
	// id identifies the attempt. The minion echoes it.
	id string
	// address is the minion's host and port.
	address        string
	maxConnections int
	epoch          namer.Epoch
	// leaseExpiry is when the owner's right to send to the minion expires, in
	// nanoseconds since the router's start. It is read just before the first byte
	// is written. Nil means that no lease is needed.
	leaseExpiry *atomic.Int64
	// writeBy is the time before which the first byte must be written, in
	// nanoseconds since the router's start.
	writeBy int64
	// left is how long the minion may work on the request.
	left     time.Duration
	identity string
	method   string
	path     string
	header   http.Header
	body     []byte
	// maxAnswerBytes bounds the body of the answer.
	maxAnswerBytes int64
}

// carrier sends attempts and probes to minions.
type carrier interface {
	// exchange sends the attempt at most once and returns how it ended.
	exchange(ctx context.Context, a attempt) ending
	// probe sends the epoch to the minion, without a request.
	probe(ctx context.Context, a attempt) ending
	// cancel tells the minion that nobody waits for the attempt any more.
	cancel(ctx context.Context, a attempt)
	// removeMinion closes the idle connections to a minion and drops its transport.
	removeMinion(address string)
	// close closes the idle connections to all minions.
	close()
}

// ending is how an attempt ended: answered, declined, unsent, lost or unused.
type ending interface {
	ending()
}

// answered is a complete answer to this attempt.
type answered struct {
	answer Answer
	// epoch is the highest epoch that the minion has seen.
	epoch namer.Epoch
	// sentAt is when the exchange began, in nanoseconds since the router's start.
	sentAt int64
	// older is the number of requests of lower epochs that still run at the
	// minion, or -1 if it does not report one.
	older int
}

// declined means that the minion refused the request and did not run it.
type declined struct {
	reason declineReason
}

type declineReason string

const (
	declinedLeaving declineReason = "leaving"
	declinedFull    declineReason = "full"
	declinedFenced  declineReason = "epoch"
)

// unsent means that no byte of the request can have reached the minion.
type unsent struct {
	err error
	// unreachable is set if the connection to the minion could not be dialled.
	unreachable bool
}

// lost means that the request may have run and that its outcome is not known.
type lost struct {
	err error
}

// unused means that the reservation was returned without an attempt.
type unused struct{}

func (answered) ending() {}
func (declined) ending() {}
func (unsent) ending()   {}
func (lost) ending()     {}
func (unused) ending()   {}

// failed reports whether the minion answered with a status of 500 or above.
func (a Answer) failed() bool {
	return a.status >= http.StatusInternalServerError
}
