package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrHeld is returned, together with ErrUnreachable, for a request whose guard
// did not let it be written.
var ErrHeld = errors.New("connector: held back by its guard")

type guardKey struct{}

// Guarded returns a context under which a request with a body is written only
// if may returns true. It is asked last of all, when there is a connection, and
// anew for each connection that is tried. So a request that waited too long for
// one is not sent late.
func Guarded(ctx context.Context, may func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, may)
}

// guard puts the context's guard, if there is one, before the request's body. Of
// a request that is held back no more than the headers arrive: it cannot be
// taken for a whole one, since they say the length of the body.
func guard(ctx context.Context, req *http.Request, data []byte) {
	may, ok := ctx.Value(guardKey{}).(func() bool)
	if !ok {
		return
	}
	req.ContentLength = int64(len(data))
	req.GetBody = func() (io.ReadCloser, error) {
		return &guardedBody{
			Reader: bytes.NewReader(data),
			may:    may,
		}, nil
	}
	// The function never fails.
	req.Body, _ = req.GetBody()
}

type guardedBody struct {
	*bytes.Reader
	may func() bool
	// passed is set once may returned true.
	passed bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.passed && !b.may() {
		return 0, ErrHeld
	}
	b.passed = true
	return b.Reader.Read(p)
}

// WriteTo implements io.WriterTo, which a copy prefers to Read.
func (b *guardedBody) WriteTo(w io.Writer) (int64, error) {
	if !b.passed && !b.may() {
		return 0, ErrHeld
	}
	b.passed = true
	return b.Reader.WriteTo(w)
}

// Close implements io.Closer.
func (b *guardedBody) Close() error {
	return nil
}
