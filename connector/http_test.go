package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/recorder"
)

func appendTo(address string) error {
	platform := connector.NewPlatform(http.DefaultClient, address)
	_, err := platform.Append(context.Background(), recorder.StreamControl, [][]byte{[]byte("x")})
	return err
}

// wantErrors maps the responses that a platform may give to an append to the
// errors with which Append must fail.
var wantErrors = map[string]error{
	"503":   connector.ErrUnreachable,
	"429":   connector.ErrRateLimited,
	"400":   connector.ErrRefused,
	"500":   connector.ErrUnknown,
	"504":   connector.ErrUnknown,
	"lost":  connector.ErrUnknown,
	"short": connector.ErrUnknown,
	"text":  connector.ErrUnknown,
}

// respond writes the response with the given name in wantErrors.
func respond(w http.ResponseWriter, name string) {
	if status, err := strconv.Atoi(name); err == nil {
		http.Error(w, "no", status)
		return
	}
	switch name {
	case "lost":
		panic(http.ErrAbortHandler)
	case "short":
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"offset":1`))
	case "text":
		_, _ = w.Write([]byte("offset"))
	}
}

func TestAppendErrorsSayWhetherItTookEffect(t *testing.T) {
	for name, want := range wantErrors {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				respond(w, name)
			}))
			defer server.Close()
			err := appendTo(server.URL)
			for _, kind := range []error{connector.ErrUnreachable, connector.ErrUnknown, connector.ErrRateLimited, connector.ErrRefused} {
				qt.Check(t, errors.Is(err, kind), qt.Equals, errors.Is(want, kind))
			}
		})
	}
}

func TestReadAsksTheNextAddress(t *testing.T) {
	c := qt.New(t)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	c.Assert(appendTo(unreachable.URL), qt.ErrorIs, connector.ErrUnreachable)

	reachable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"first":3,"next":4,"entries":[{"offset":3,"payload":"eA=="}]}`))
	}))
	defer reachable.Close()
	platform := connector.NewPlatform(http.DefaultClient, unreachable.URL, reachable.URL)
	batch, err := platform.Read(context.Background(), recorder.StreamControl, 3, 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.Entries, qt.HasLen, 1)
	c.Assert(string(batch.Entries[0].Payload), qt.Equals, "x")
}
