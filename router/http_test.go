package router

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/emulator"
)

// reply is an entry's answer.
type reply struct {
	status int
	header http.Header
	body   string
	// problem is the body, if it is a problem document.
	problem Problem
}

// post sends a request to an entry.
func (l *cell) post(entry int, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, l.urls[entry]+"/services/"+desk+"/readings?tap=1", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	out := reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(answer),
	}
	if resp.Header.Get("Content-Type") == problemType {
		out.problem, err = ParseProblem(answer)
	}
	return out, err
}

func TestRequestsComeBackWhole(t *testing.T) {
	c := qt.New(t)
	l := newCell(t, 2, 4, time.Millisecond)
	for i := range 40 {
		body := strings.Repeat("reading ", i)
		got, err := l.post(i%2, body)
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		c.Assert(got.body, qt.Equals, string(emulator.Answer([]byte(body))))
	}
}
