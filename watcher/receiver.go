package watcher

import (
	"encoding/json"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Heartbeat is both the argument and the reply of the heartbeat call.
type Heartbeat struct {
	// From is the sender.
	From recorder.Member
	// DataCentre is the sender's data centre.
	DataCentre string
	// HearsYou is set if the receiver itself sent the sender a heartbeat within
	// Suspicion. If it is unset, messages may pass in one direction only.
	HearsYou bool
	// Offset is the offset of the control stream that the sender has applied.
	Offset namer.Offset
	// Joining is set if the sender asks to join.
	Joining bool
	// Leaving is set if the sender asks to leave.
	Leaving bool
	// Load is the sender's summary of itself, as set with SetLoad.
	Load json.RawMessage
}

// Doubt is the argument of the Testify call, which asks a process whether it
// hears the suspected members.
type Doubt struct {
	// DataCentre is the data centre of the process that asks.
	DataCentre string
	// Members are the names of the suspects.
	Members []string
}

// Testimony is the reply to a Doubt.
type Testimony struct {
	// Heard are the names of the suspects that the answering process hears
	// directly, including its own if it is one of them.
	Heard []string
}

// Receiver returns the RPC receiver for the peers' calls. It must be registered
// under the name "Member".
func (w *Watcher) Receiver() any {
	return &receiver{
		watcher: w,
	}
}

type receiver struct {
	watcher *Watcher
}

// Heartbeat records the peer's heartbeat, unless the peer does not hear this
// process, and replies with a heartbeat of this process.
func (r *receiver) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	w := r.watcher
	if args.DataCentre != w.dataCentre {
		return ErrDataCentre
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if args.HearsYou {
		w.table.recordHeartbeat(w.clock.Now(), args)
	}
	*reply = w.heartbeatFor(args.From.Name)
	return nil
}

// Testify returns the suspects that this process hears directly, including this
// process itself if it is one of them.
func (r *receiver) Testify(args Doubt, reply *Testimony) error {
	w := r.watcher
	if args.DataCentre != w.dataCentre {
		return ErrDataCentre
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for _, name := range args.Members {
		if name == w.self.Name || w.table.hearsDirectly(now, name) {
			reply.Heard = append(reply.Heard, name)
		}
	}
	return nil
}
