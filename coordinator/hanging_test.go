package coordinator_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// hangingListener accepts the calls of other entries. While it hangs, its connections stay open and carry nothing,
// as those of a machine that is gone.
type hangingListener struct {
	net.Listener
	hangs atomic.Bool
}

// Accept implements net.Listener.
func (l *hangingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hangingConn{
		Conn: conn,
		of:   l,
	}, nil
}

type hangingConn struct {
	net.Conn
	of     *hangingListener
	closed atomic.Bool
}

func (c *hangingConn) wait() {
	for c.of.hangs.Load() && !c.closed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Read implements net.Conn.
func (c *hangingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.wait()
	return n, err
}

// Write implements net.Conn.
func (c *hangingConn) Write(data []byte) (int, error) {
	c.wait()
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *hangingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// losesOwner has the owner of a service vanish without a reset. It returns the others once one of them
// answers for a job of the service.
func (cl *cluster) losesOwner(service, path string) []*entry {
	var others []*entry
	for _, e := range cl.entries {
		if !e.process.Owns(service) {
			others = append(others, e)
			continue
		}
		e.store.blocked.Store(true)
		e.peers.hangs.Store(true)
		cl.c.Cleanup(func() { e.peers.hangs.Store(false) })
	}
	cl.c.Assert(others, qt.HasLen, len(cl.entries)-1)
	for {
		for _, e := range others {
			if !e.process.Owns(service) {
				continue
			}
			if status, _ := cl.call(http.MethodGet, e.callers+path, nil); status == http.StatusOK {
				return others
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestMovedQueueTakesJobsBesideAGoneOwner guards against new jobs of a queue that are not accepted for minutes after its
// service has changed, as the owner at the former service is gone without a reset (issue 78).
func TestMovedQueueTakesJobsBesideAGoneOwner(t *testing.T) {
	cl := newTwoServiceCluster(t, 4)
	cl.submitTo("/alpha/before", body(1))
	for _, e := range cl.entries {
		status, _ := cl.call(http.MethodGet, e.callers+"/alpha/before", nil)
		cl.c.Assert(status, qt.Equals, http.StatusOK)
	}
	cl.configureRoutes(20, betaAtLab)
	cl.configureRoutes(30, alphaAtLab, betaAtLab)
	for i, e := range cl.losesOwner(service, "/alpha/before") {
		url := fmt.Sprintf("%s/alpha/new%d", e.callers, i)
		status, _ := cl.call(http.MethodPost, url, body(1))
		for range 3 {
			if status != http.StatusOK {
				time.Sleep(time.Second)
				status, _ = cl.call(http.MethodPost, url, body(1))
			}
		}
		cl.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("entry %d of the others, asked four times", i))
	}
}

// TestStatesAreShownBesideAGoneOwner guards against accepted jobs that entries answer with 503 for good, as the owner is
// gone without a reset and callers ask for states only (issue 78).
func TestStatesAreShownBesideAGoneOwner(t *testing.T) {
	cl := newCluster(t, 4)
	cl.awaitShared()
	cl.submit(cl.entries[0], "job", 1)
	for _, e := range cl.entries {
		cl.await(e, "job", scheduler.Completed)
	}
	for i, e := range cl.losesOwner(service, "/checks/job") {
		status, _ := cl.call(http.MethodGet, e.callers+"/checks/job", nil)
		for range 3 {
			if status != http.StatusOK {
				time.Sleep(time.Second)
				status, _ = cl.call(http.MethodGet, e.callers+"/checks/job", nil)
			}
		}
		cl.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("entry %d of the others, asked four times", i))
	}
}
