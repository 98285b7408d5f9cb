package router

import (
	"context"
)

// Receiver holds the methods that peers call. It is registered as "Routing".
type Receiver struct {
	router *Router
}

// Receiver returns the net/rpc receiver of the router.
func (r *Router) Receiver() any {
	return &Receiver{
		router: r,
	}
}

// Forward serves a request with minions that this process owns.
func (v *Receiver) Forward(args ForwardArgs, reply *ForwardReply) error {
	r := v.router
	ctx, cancel := context.WithCancel(r.base)
	defer cancel()
	r.remote.Store(args.ID, cancel)
	defer r.remote.Delete(args.ID)
	res := refusal(&RefusedError{
		Reason: ReasonLeaving,
	})
	if r.begin() {
		res = r.serve(ctx, args)
		r.end()
	}
	*reply = ForwardReply{
		Outcome: int(res.outcome),
		Reason:  res.reason,
		After:   res.after,
		Status:  res.answer.status,
		Header:  res.answer.header,
		Body:    res.answer.body,
		Minion:  res.minion,
	}
	if res.cause != nil {
		reply.Cause = res.cause.Error()
	}
	if p := r.pool(args.Service); p != nil {
		reply.Load = p.load()
	}
	return nil
}

// Cancel gives up a hop that Forward serves.
func (v *Receiver) Cancel(args CancelArgs, _ *Empty) error {
	if cancel, ok := v.router.remote.Load(args.ID); ok {
		cancel.(context.CancelFunc)()
	}
	return nil
}

// State returns the loads of the process.
func (v *Receiver) State(_ Empty, reply *StateReply) error {
	reply.Loads = make(map[string]Load)
	for name, p := range v.router.allPools() {
		reply.Loads[name] = p.load()
	}
	reply.Leaving = v.router.leaving()
	return nil
}
