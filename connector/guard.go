package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrHeldBack is returned, together with ErrUnreachable, for a request whose
// guard did not allow it to be sent.
var ErrHeldBack = errors.New("connector: held back by its guard")

type guardKey struct{}

// Guarded returns a context whose requests, if they have a body, are sent only if
// allowed returns true. The function is called once a connection is available,
// just before the body is written, and again for each connection that is tried.
// It can thus hold back a request that has waited too long for a connection.
func Guarded(ctx context.Context, allowed func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, allowed)
}

// setGuardedBody sets a request body that can be read only if the context's guard,
// if there is one, allows it. If the guard holds the request back, at most the
// headers reach the server. The server cannot mistake them for a complete request,
// since they give the length of the body.
func setGuardedBody(ctx context.Context, req *http.Request, data []byte) {
	allowed, ok := ctx.Value(guardKey{}).(func() bool)
	if !ok {
		return
	}
	req.ContentLength = int64(len(data))
	req.GetBody = func() (io.ReadCloser, error) {
		return &guardedBody{
			Reader:  bytes.NewReader(data),
			allowed: allowed,
		}, nil
	}
	// GetBody never fails.
	req.Body, _ = req.GetBody()
}

type guardedBody struct {
	*bytes.Reader
	allowed func() bool
	// approved is set once allowed has returned true. The guard is not called
	// again after that.
	approved bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.approved && !b.allowed() {
		return 0, ErrHeldBack
	}
	b.approved = true
	return b.Reader.Read(p)
}

// WriteTo implements io.WriterTo, which io.Copy prefers to Read.
func (b *guardedBody) WriteTo(w io.Writer) (int64, error) {
	if !b.approved && !b.allowed() {
		return 0, ErrHeldBack
	}
	b.approved = true
	return b.Reader.WriteTo(w)
}

// Close implements io.Closer.
func (b *guardedBody) Close() error {
	return nil
}
