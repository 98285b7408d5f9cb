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

// relay is a link that can be cut: it carries connections to an address.
type relay struct {
	to      string
	address string
	group   errgroup.Group

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

func startRelay(c *qt.C, to string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &relay{
		to:      to,
		address: listener.Addr().String(),
		conns:   make(map[net.Conn]struct{}),
	}
	r.group.Go(func() error {
		// The listener is closed at the end of the test.
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			r.carry(conn)
		}
		return nil
	})
	c.Cleanup(func() {
		listener.Close()
		r.cut()
		// The links end without an error.
		_ = r.group.Wait()
	})
	return r
}

// carry joins a connection with one to the address, unless the link is cut.
func (r *relay) carry(conn net.Conn) {
	there, err := net.Dial("tcp", r.to)
	if err != nil || !r.keep(conn, there) {
		conn.Close()
		return
	}
	for _, way := range [][2]net.Conn{{conn, there}, {there, conn}} {
		r.group.Go(func() error {
			// A cut ends the copy with an error, as it should.
			_, _ = io.Copy(way[0], way[1])
			way[0].Close()
			return nil
		})
	}
}

func (r *relay) keep(conns ...net.Conn) bool {
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

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// TestDataCentreCutOff cuts one of two data centres off from the platform. It
// goes on with what it has, the other takes a change meanwhile, and after the
// cut the change is in force at both and nothing has gone back.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	near := startCell(c, 2, 2, 2)
	link := startRelay(c, near.platform)
	far := &cell{
		terms:      near.terms,
		programs:   near.programs,
		dataCentre: "campus-hall",
		platform:   near.platform,
		link:       link.address,
	}
	far.populate(c, 2, 2, 2)
	near.entries[0].awaitRows(c, "show members", 4)
	near.configure(c)
	for _, entry := range far.entries {
		entry.awaitRows(c, `show config where key = "service/field-desk"`, 1)
	}
	service := far.entries[0].command(c, `submit service "listeners" team omuti tasks 3 cpu 1 memory 512MiB`)
	running := fmt.Sprintf("show jobs where id = %q and state = active and running = 3", service)
	far.entries[0].awaitRows(c, running, 1)
	k := call(c, 4, func() []*entryProcess { return far.entries })
	k.awaitAnswered(c, 50)

	link.cut()
	near.entries[0].command(c, "set team omuti weight 5")
	near.entries[1].awaitRows(c, "show teams where name = omuti and weight = 5", 1)
	k.awaitAnswered(c, 200)
	far.entries[0].awaitRows(c, "show teams where name = omuti and weight = 1", 1)
	far.entries[1].awaitRows(c, running, 1)
	near.entries[0].awaitRows(c, "show members", 4)

	link.heal()
	for _, entry := range far.entries {
		entry.awaitRows(c, "show teams where name = omuti and weight = 5", 1)
	}
	k.awaitAnswered(c, 50)
	far.entries[0].awaitRows(c, running, 1)
	far.verify(c, k)
	near.verifyWorkers(c)
	c.Check(k.resets, qt.Equals, 0)
}
