package router

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// internalHeaders are used between owner and minion only.
var internalHeaders = []string{HeaderEpoch, HeaderAttempt, HeaderRequest, HeaderOlder, HeaderRefused}

// NewHandler returns the HTTP interface for callers. It serves requests of any
// method at
//
//	/services/{service}/{path...}
//
// The minion gets the path from the service's name on. A minion's answer with a
// status below 500 is passed on; every other answer has a Problem as its body. A
// request with the method GET, HEAD or OPTIONS, or with the header
// "Galenacove-Idempotent: true", may be retried. Any other request runs at most
// once. With an Idempotency-Key, which must be a UUIDv7, that holds across all
// entries and however often the caller repeats the request.
func NewHandler(r *Router) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/services/{service}/{path...}", func(w http.ResponseWriter, req *http.Request) {
		r.handle(w, req)
	})
	return mux
}

func (r *Router) handle(w http.ResponseWriter, req *http.Request) {
	q, err := r.readRequest(w, req)
	if err != nil {
		problemOf(r.metrics.countRequest(req.PathValue("service"), err)).write(w)
		return
	}
	answer, err := r.Do(req.Context(), q)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeAnswer(w, req.Method, answer)
}

// readRequest turns an HTTP request into a Request. Its errors are *RefusedError.
func (r *Router) readRequest(w http.ResponseWriter, req *http.Request) (Request, error) {
	service := req.PathValue("service")
	p := r.pool(service)
	if p == nil {
		return Request{}, &RefusedError{
			Reason: ReasonNoService,
		}
	}
	opts, err := headerOptions(req.Header, r.settings.clock.Now())
	if err != nil {
		return Request{}, &RefusedError{
			Reason: ReasonBadRequest,
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, p.maxBody()))
	if err != nil {
		return Request{}, bodyError(err)
	}
	header := req.Header.Clone()
	for _, name := range internalHeaders {
		header.Del(name)
	}
	opts = append(opts, Header(header), Body(body))
	return NewRequest(service, req.Method, minionPath(req), opts...), nil
}

// minionPath returns the path for the minion with the query, both escaped as the
// caller wrote them.
func minionPath(req *http.Request) string {
	const prefix = "/services"
	return req.URL.RequestURI()[len(prefix):]
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &RefusedError{
			Reason: ReasonTooLarge,
		}
	}
	return &RefusedError{
		Reason: ReasonBadRequest,
	}
}

// writeAnswer writes a minion's answer to the caller.
func writeAnswer(w http.ResponseWriter, method string, answer Answer) {
	h := w.Header()
	maps.Copy(h, answer.Header())
	for _, name := range internalHeaders {
		h.Del(name)
	}
	if method != http.MethodHead && bodyAllowed(answer.Status()) {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	}
	w.WriteHeader(answer.Status())
	// A write error means that the caller has gone.
	_, _ = w.Write(answer.Body())
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
