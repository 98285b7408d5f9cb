package receiver

import (
	"fmt"
	"net/http"
)

// callOf returns the kind of a call.
func (r *Receiver) callOf(method, id string) string {
	switch {
	case method == http.MethodGet && id == "":
		return callWaiting
	case !r.bodies.ValidID(id):
		return callOther
	case method == http.MethodPost:
		return callSubmit
	case method == http.MethodGet:
		return callState
	case method == http.MethodDelete:
		return callCancel
	default:
		return callOther
	}
}

// serveCall serves a call that may be made on behalf of the job's organisation.
func (r *Receiver) serveCall(w http.ResponseWriter, request *http.Request, config Config, call string, job JobRef) answer {
	ctx := request.Context()
	switch call {
	case callWaiting:
		return r.waiting(ctx, job.Queue)
	case callSubmit:
		return r.submit(ctx, w, request, config, job)
	case callState:
		return r.state(ctx, job)
	case callCancel:
		return r.cancel(ctx, job)
	}
	if !r.bodies.ValidID(job.ID) {
		return answer{
			status: http.StatusBadRequest,
			err:    fmt.Errorf("%q is not a valid job ID", job.ID),
		}
	}
	return answer{
		status: http.StatusMethodNotAllowed,
	}
}
