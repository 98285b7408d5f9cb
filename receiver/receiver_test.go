package receiver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/receiver"
)

// TestBodyOverTheLimit checks that a caller learns that the body was too long, not
// that it was malformed.
func TestBodyOverTheLimit(t *testing.T) {
	r := receiver.New(nil, anyID{})
	r.SetConfig(receiver.Config{
		Version:   1,
		BodyLimit: 10,
		Routes: []receiver.Route{{
			Host:   "desk.example",
			Prefix: "/checks/",
		}},
	})
	request := httptest.NewRequest(http.MethodPost, "http://desk.example/checks/a", strings.NewReader(strings.Repeat("x", 11)))
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusRequestEntityTooLarge)
}

// anyID accepts any job ID. Its other methods are not called.
type anyID struct {
	receiver.Bodies
}

func (anyID) ValidID(string) bool { return true }
