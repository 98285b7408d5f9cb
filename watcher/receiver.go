package watcher

import (
	"encoding/json"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Heartbeat is what two members tell each other, as argument and as reply.
type Heartbeat struct {
	// From is the sender.
	From recorder.Member
	// DataCentre is the sender's.
	DataCentre string
	// HearsYou says that the sender has lately heard the receiver. Without it
	// the link may lead one way only.
	HearsYou bool
	// Offset is what the sender has applied of the control stream.
	Offset namer.Offset
	// Joining says that the sender asks to be a member.
	Joining bool
	// Leaving says that the sender does not want to be a member.
	Leaving bool
	// Load is the sender's summary of itself.
	Load json.RawMessage
}

// Doubt asks a member whether it hears others.
type Doubt struct {
	// DataCentre is the asker's.
	DataCentre string
	// Members are the names in doubt.
	Members []string
}

// Testimony answers a Doubt.
type Testimony struct {
	// Heard are the members in doubt that the answerer hears.
	Heard []string
}

// Receiver returns what answers the peers' calls. It is to be registered under
// the name "Member".
func (w *Watcher) Receiver() any {
	return &receiver{
		watcher: w,
	}
}

type receiver struct {
	watcher *Watcher
}

// Heartbeat notes that the peer is alive and says the same of this process.
func (r *receiver) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	w := r.watcher
	if args.DataCentre != w.dataCentre {
		return ErrDataCentre
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if args.HearsYou {
		w.table.heard(w.clock.Now(), args)
	}
	*reply = w.heartbeat(args.From.Name)
	return nil
}

// Testify says which of the members this process hears itself.
func (r *receiver) Testify(args Doubt, reply *Testimony) error {
	w := r.watcher
	if args.DataCentre != w.dataCentre {
		return ErrDataCentre
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for _, name := range args.Members {
		if name == w.self.Name || w.table.hears(now, name) {
			reply.Heard = append(reply.Heard, name)
		}
	}
	return nil
}
