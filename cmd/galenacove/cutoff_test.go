package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// relay forwards TCP connections to a target address, and can be cut to simulate
// a network partition.
type relay struct {
	target  string
	address string
	group   errgroup.Group

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

func startRelay(c *qt.C, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &relay{
		target:  target,
		address: listener.Addr().String(),
		conns:   make(map[net.Conn]struct{}),
	}
	r.group.Go(func() error {
		// Accept fails when the listener is closed at the end of the test.
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			r.forward(conn)
		}
		return nil
	})
	c.Cleanup(func() {
		listener.Close()
		r.cut()
		// The goroutines return no error.
		_ = r.group.Wait()
	})
	return r
}

// forward dials the target and copies data between the connection and the new one.
// It closes the connection if the target cannot be reached or the relay is cut.
func (r *relay) forward(conn net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil || !r.register(conn, upstream) {
		conn.Close()
		return
	}
	for _, direction := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		r.group.Go(func() error {
			// A copy ends with an error when the relay is cut.
			_, _ = io.Copy(direction[0], direction[1])
			direction[0].Close()
			return nil
		})
	}
}

// register adds the connections to those that cut closes. If the relay is cut
// already, it closes them and returns false.
func (r *relay) register(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		for _, conn := range conns {
			conn.Close()
		}
		return false
	}
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	return true
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for conn := range r.conns {
		conn.Close()
	}
	clear(r.conns)
}

func (r *relay) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// TestDataCentreCutOff checks that a data centre which is cut off from the
// platform continues to serve with the last state it has read, while the other
// data centre accepts a change. Once the link is restored, the change must be in
// force in both, and no earlier change may be lost.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	near := startCell(c, 2, 2, 2)
	platformLink := startRelay(c, near.platform)
	far := &cell{
		terms:        near.terms,
		programs:     near.programs,
		dataCentre:   "campus-hall",
		platform:     near.platform,
		platformLink: platformLink.address,
	}
	far.startHosts(c, 2, 2, 2)
	near.entries[0].awaitRows(c, "show members", 4)
	near.configure(c)
	for _, entry := range far.entries {
		entry.awaitRows(c, `show config where key = "service/field-desk"`, 1)
	}
	service := far.entries[0].runCommand(c, `submit service "listeners" team omuti tasks 3 cpu 1 memory 512MiB`)
	running := fmt.Sprintf("show jobs where id = %q and state = active and running = 3", service)
	far.entries[0].awaitRows(c, running, 1)
	load := startCallers(c, 4, func() []*entryProcess { return far.entries })
	load.awaitAnswered(c, 50)

	platformLink.cut()
	near.entries[0].runCommand(c, "set team omuti weight 5")
	near.entries[1].awaitRows(c, "show teams where name = omuti and weight = 5", 1)
	load.awaitAnswered(c, 200)
	far.entries[0].awaitRows(c, "show teams where name = omuti and weight = 1", 1)
	far.entries[1].awaitRows(c, running, 1)
	near.entries[0].awaitRows(c, "show members", 4)

	platformLink.restore()
	for _, entry := range far.entries {
		entry.awaitRows(c, "show teams where name = omuti and weight = 5", 1)
	}
	load.awaitAnswered(c, 50)
	far.entries[0].awaitRows(c, running, 1)
	far.verify(c, load)
	near.verifyWorkers(c)
	c.Check(load.resets, qt.Equals, 0)
}
