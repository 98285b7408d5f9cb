package rehearser_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/rehearser"
)

func TestCellAnswersRequests(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell := rehearser.New(rehearser.Logger(&log.Logger{Handler: text.New(os.Stderr), Level: log.DebugLevel}))
	c.Assert(cell.Start(ctx), qt.IsNil)
	for _, e := range cell.Running() {
		for {
			resp, err := http.Get("http://" + e.Operators() + "/healthz")
			c.Assert(err, qt.IsNil)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for i := 0; i < 20; i++ {
		resp, err := http.Post("http://"+cell.Running()[i%2].Callers()+"/services/field-desk/x", "text/plain", strings.NewReader("hello"))
		c.Assert(err, qt.IsNil)
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		t.Log(resp.StatusCode, string(b))
		time.Sleep(500 * time.Millisecond)
	}
	cancel()
	c.Assert(cell.Wait(), qt.IsNil)
}
