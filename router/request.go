package router

import (
	"net/http"
	"time"
)

// Request is a caller's request.
type Request struct {
	// identity is set by the caller. If it is empty, Router.run generates one.
	identity string
	service  string
	method   string
	// path begins with a slash and may include a query.
	path   string
	header http.Header
	body   []byte
	team   string
	// deadline is zero for the service's default.
	deadline   time.Time
	idempotent bool
}

// RequestOption sets a part of a Request.
type RequestOption func(*Request)

// NewRequest returns a request to a service. The path begins with a slash and may
// include a query. Without the option Idempotent, the request counts as idempotent
// if the method is safe.
func NewRequest(service, method, path string, opts ...RequestOption) Request {
	q := Request{
		service:    service,
		method:     method,
		path:       path,
		header:     make(http.Header),
		idempotent: isSafeMethod(method),
	}
	for _, opt := range opts {
		opt(&q)
	}
	return q
}

// Identity sets the caller's identity of the request, a UUIDv7. A request that is
// not idempotent is claimed under it. The default is none.
func Identity(identity string) RequestOption {
	return func(q *Request) {
		q.identity = identity
	}
}

// Header sets the header for the minion. The default is empty.
func Header(header http.Header) RequestOption {
	return func(q *Request) {
		q.header = header
	}
}

// Body sets the body, which must not be modified afterwards. The default is empty.
func Body(body []byte) RequestOption {
	return func(q *Request) {
		q.body = body
	}
}

// Team sets the team that the request counts for. The default is the empty name.
func Team(team string) RequestOption {
	return func(q *Request) {
		q.team = team
	}
}

// Deadline sets the time by which the answer must be there. The default is the
// service's.
func Deadline(deadline time.Time) RequestOption {
	return func(q *Request) {
		q.deadline = deadline
	}
}

// Idempotent sets whether the request may be retried after it may have run.
func Idempotent(idempotent bool) RequestOption {
	return func(q *Request) {
		q.idempotent = idempotent
	}
}

// isSafeMethod reports whether the method is safe as defined by RFC 9110.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// Answer is a minion's complete answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer. It does not copy the header and the body.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{
		status: status,
		header: header,
		body:   body,
	}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the header.
func (a Answer) Header() http.Header { return a.header }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }
