package router

import (
	"context"
)

// Receiver has the methods that peers call. It is registered as "Routing".
type Receiver struct {
	router *Router
}

// Receiver returns the net/rpc receiver of the router.
func (r *Router) Receiver() any {
	return &Receiver{
		router: r,
	}
}

// Forward serves a request with the minions that this entry owns.
func (v *Receiver) Forward(args ForwardArgs, reply *ForwardReply) error {
	r := v.router
	ctx, cancel := context.WithCancel(r.baseContext)
	defer cancel()
	r.forwardedCancels.Store(args.ID, cancel)
	defer r.forwardedCancels.Delete(args.ID)
	res := refusedResult(&RefusedError{
		Reason: ReasonLeaving,
	})
	if r.beginRequest() {
		res = r.serve(ctx, args)
		r.endRequest()
	}
	*reply = ForwardReply{
		Outcome: int(res.outcome),
		Reason:  res.reason,
		After:   res.retryAfter,
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

// Cancel cancels a hop that Forward is serving.
func (v *Receiver) Cancel(args CancelArgs, _ *Empty) error {
	if cancel, ok := v.router.forwardedCancels.Load(args.ID); ok {
		cancel.(context.CancelFunc)()
	}
	return nil
}

// State returns the loads of this entry.
func (v *Receiver) State(_ Empty, reply *StateReply) error {
	reply.Loads = make(map[string]Load)
	for name, p := range v.router.allPools() {
		reply.Loads[name] = p.load()
	}
	reply.Leaving = v.router.leaving()
	return nil
}
