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

// answers are what a platform may answer to an append, and what that says.
var answers = map[string]error{
	"503":   connector.ErrUnreachable,
	"429":   connector.ErrBusy,
	"400":   connector.ErrRefused,
	"500":   connector.ErrUnknown,
	"504":   connector.ErrUnknown,
	"lost":  connector.ErrUnknown,
	"short": connector.ErrUnknown,
	"text":  connector.ErrUnknown,
}

// answer gives the named answer.
func answer(w http.ResponseWriter, name string) {
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
	for name, want := range answers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				answer(w, name)
			}))
			defer server.Close()
			err := appendTo(server.URL)
			for _, other := range []error{connector.ErrUnreachable, connector.ErrUnknown, connector.ErrBusy, connector.ErrRefused} {
				qt.Check(t, errors.Is(err, other), qt.Equals, errors.Is(want, other))
			}
		})
	}
}

func TestReadAsksTheNextAddress(t *testing.T) {
	c := qt.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	c.Assert(appendTo(gone.URL), qt.ErrorIs, connector.ErrUnreachable)

	there := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"first":3,"next":4,"entries":[{"offset":3,"payload":"eA=="}]}`))
	}))
	defer there.Close()
	platform := connector.NewPlatform(http.DefaultClient, gone.URL, there.URL)
	batch, err := platform.Read(context.Background(), recorder.StreamControl, 3, 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.Entries, qt.HasLen, 1)
	c.Assert(string(batch.Entries[0].Payload), qt.Equals, "x")
}
