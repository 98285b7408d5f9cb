package messenger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/messenger"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// echoer is the receiver whose methods the tests call.
type echoer struct {
	// entered receives a value from each call of Hang, which then blocks
	// until release is closed.
	entered chan struct{}
	release chan struct{}
}

func (e *echoer) Echo(args string, reply *string) error {
	if args == "" {
		return errors.New("nothing to say")
	}
	*reply = args
	return nil
}

func (e *echoer) Hang(_ string, _ *string) error {
	e.entered <- struct{}{}
	<-e.release
	return nil
}

// fixture is a running server that a test can stop.
type fixture struct {
	c       *qt.C
	address string
	echoer  *echoer
	stop    func()
}

func serve(c *qt.C, address, secret string) *fixture {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	f := &fixture{
		c:       c,
		address: listener.Addr().String(),
		echoer: &echoer{
			entered: make(chan struct{}, 16),
			release: make(chan struct{}),
		},
	}
	server := messenger.NewServer(messenger.Secret(secret))
	c.Assert(server.Register("Test", f.echoer), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return server.Serve(ctx, listener)
	})
	stopped := false
	f.stop = func() {
		if stopped {
			return
		}
		stopped = true
		close(f.echoer.release)
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	}
	c.Cleanup(f.stop)
	return f
}

func newPool(c *qt.C, secret string) *messenger.Pool {
	pool := messenger.NewPool(messenger.Secret(secret))
	c.Cleanup(pool.Close)
	return pool
}

func call(pool *messenger.Pool, address, method, args string) (string, error) {
	var reply string
	err := pool.Call(context.Background(), address, "Test."+method, args, &reply)
	return reply, err
}

func TestCall(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")
	pool := newPool(c, "s")

	reply, err := call(pool, server.address, "Echo", "hello")
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.Equals, "hello")

	_, err = call(pool, server.address, "Echo", "")
	c.Assert(err, qt.ErrorIs, messenger.ErrRefused)
}

func TestCallWithTheWrongSecretIsNotMade(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")

	_, err := call(newPool(c, "other"), server.address, "Echo", "hello")
	c.Assert(err, qt.ErrorIs, messenger.ErrUnreachable)
	c.Assert(err, qt.ErrorIs, messenger.ErrSecret)
}

func TestCallOutlivesARestartOfThePeer(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")
	pool := newPool(c, "s")
	_, err := call(pool, server.address, "Echo", "hello")
	c.Assert(err, qt.IsNil)

	server.stop()
	_, err = call(pool, server.address, "Echo", "hello")
	// Either the call fails on the pooled connection, or a new connection is
	// refused.
	c.Assert(errors.Is(err, messenger.ErrUnreachable) || errors.Is(err, messenger.ErrUnknown), qt.IsTrue)
	_, err = call(pool, server.address, "Echo", "hello")
	c.Assert(err, qt.ErrorIs, messenger.ErrUnreachable)

	serve(c, server.address, "s")
	reply, err := call(pool, server.address, "Echo", "again")
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.Equals, "again")
}

func TestCallThatWasUnderWayIsUnknown(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")
	pool := newPool(c, "s")
	var group errgroup.Group
	group.Go(func() error {
		_, err := call(pool, server.address, "Hang", "x")
		return err
	})
	<-server.echoer.entered
	pool.Close()
	c.Assert(group.Wait(), qt.ErrorIs, messenger.ErrUnknown)

	_, err := call(pool, server.address, "Echo", "hello")
	c.Assert(err, qt.ErrorIs, messenger.ErrUnreachable)
}

func TestCallToAPausedPeerEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	// The kernel accepts the connection, but no process ever answers.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var reply string
	err = newPool(c, "s").Call(ctx, listener.Addr().String(), "Test.Echo", "hello", &reply)
	c.Assert(err, qt.ErrorIs, messenger.ErrUnreachable)
	c.Assert(ctx.Err(), qt.IsNotNil)
}

// forward starts a TCP proxy to the address. It returns the proxy's address and a
// function that silences the first connection to the proxy: once it has returned,
// the connection carries no more data but stays open.
func forward(c *qt.C, address string) (proxyAddress string, silence func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	silenceFirst := make(chan func(), 1)
	group.Go(func() error {
		for i := 0; ; i++ {
			clientConn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			c.Cleanup(func() { clientConn.Close() })
			serverConn, err := net.Dial("tcp", address)
			if err != nil {
				return err
			}
			group.Go(func() error {
				_, err := io.Copy(serverConn, clientConn)
				return errors.Join(err, serverConn.Close())
			})
			answersEnded := make(chan struct{})
			group.Go(func() error {
				defer close(answersEnded)
				_, err := io.Copy(clientConn, serverConn)
				return err
			})
			if i == 0 {
				silenceFirst <- func() {
					serverConn.Close()
					<-answersEnded
				}
			}
		}
	})
	c.Cleanup(func() { listener.Close() })
	return listener.Addr().String(), func() {
		(<-silenceFirst)()
	}
}

// TestCallGivesUpASilentConnection checks that the pool replaces a connection on
// which calls time out. If it did not, every call to a peer that disappeared
// without closing the connection and came back would time out.
func TestCallGivesUpASilentConnection(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")
	address, silence := forward(c, server.address)
	pool := newPool(c, "s")
	_, err := call(pool, address, "Echo", "hello")
	c.Assert(err, qt.IsNil)
	silence()
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		var reply string
		err := pool.Call(ctx, address, "Test.Echo", "x", &reply)
		cancel()
		c.Assert(err, qt.ErrorIs, messenger.ErrUnknown)
	}
	// The next call uses a new connection. On the old one it would time out.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply string
	c.Assert(pool.Call(ctx, address, "Test.Echo", "anew", &reply), qt.IsNil)
	c.Assert(reply, qt.Equals, "anew")
}

// TestCallWithoutTimeIsNotMade guards against a call that is sent after its time is over, whose outcome is reported as
// unknown, and that counts as a timeout of a sound connection (issue 78).
func TestCallWithoutTimeIsNotMade(t *testing.T) {
	c := qt.New(t)
	server := serve(c, "127.0.0.1:0", "s")
	pool := newPool(c, "s")
	_, err := call(pool, server.address, "Echo", "hello")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error {
		_, err := call(pool, server.address, "Hang", "x")
		return err
	})
	<-server.echoer.entered
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		var reply string
		err := pool.Call(ctx, server.address, "Test.Echo", "late", &reply)
		cancel()
		c.Check(err, qt.ErrorIs, messenger.ErrUnreachable)
		c.Check(reply, qt.Equals, "")
	}
	server.echoer.release <- struct{}{}
	// The connection of the call that was under way is still there.
	c.Assert(group.Wait(), qt.IsNil)
}
