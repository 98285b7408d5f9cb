// Package rehearser runs a whole cell in one process over loopback: the
// stand-ins of the platform, workers and minions, and the entries, each with its
// own TCP ports. The command "galenacove dev" runs it, and tests of other
// programs can use it as a local cell.
//
// The entries are the same servers that run on entry hosts, not a simulation.
// The stand-ins are those of package emulator.
package rehearser

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/server"
	"github.com/galenacove/galenacove/sizer"
)

// ErrStart is returned for a cell that could not be started.
var ErrStart = errors.New("rehearser: cannot start the cell")

const (
	// DataCentre is the name of the one data centre of a rehearsed cell.
	DataCentre = "dev"
	// Service is the name of the one service of a rehearsed cell.
	Service = "field-desk"
	// Token is the operator's token at every entry of a rehearsed cell.
	Token = "dev"

	secret             = "rehearsal"
	loopback           = "127.0.0.1:0"
	workersPerRack     = 5
	workerMilliCores   = 16_000
	gibibyte           = 1 << 30
	workerMemory       = 64 * gibibyte
	acceleratorWorkers = 1
	workerAccelerators = 8
	minionSlots        = 8
	minionConnections  = 64
	defaultEntries     = 2
	defaultWorkers     = 5
	defaultMinions     = 3
	defaultLease       = 1500 * time.Millisecond
	defaultRenewal     = 300 * time.Millisecond
	defaultDelivery    = 100 * time.Millisecond
	hostLag            = 200 * time.Millisecond
	hostPoll           = 200 * time.Millisecond
	stopGrace          = 100 * time.Millisecond
	stopTimeout        = 5 * time.Second
)

// Option configures a Cell.
type Option func(*Cell)

// Entries sets the number of entries, at least 1. The default is 2.
func Entries(n int) Option {
	return func(c *Cell) {
		c.entryCount = n
	}
}

// Workers sets the number of workers; the first has accelerators. The default
// is 5.
func Workers(n int) Option {
	return func(c *Cell) {
		c.workerCount = n
	}
}

// Minions sets the number of minions. The default is 3.
func Minions(n int) Option {
	return func(c *Cell) {
		c.minionCount = n
	}
}

// Ports sets the addresses of the first entry for callers and operators, as
// host:port. By default free ports of the loopback address are used.
func Ports(callers, operators string) Option {
	return func(c *Cell) {
		c.callersPort = callers
		c.operatorsPort = operators
	}
}

// Logger sets the logger of the entries. The default discards everything.
func Logger(logger log.Interface) Option {
	return func(c *Cell) {
		c.logger = logger
	}
}

// Entry has the name and the addresses of one running entry.
type Entry struct {
	name      string
	callers   string
	operators string
}

// Name returns the entry's name.
func (e Entry) Name() string { return e.name }

// Callers returns the host:port for callers.
func (e Entry) Callers() string { return e.callers }

// Operators returns the host:port for operators.
func (e Entry) Operators() string { return e.operators }

// Cell is a whole cell in one process.
type Cell struct {
	entryCount, workerCount, minionCount int
	callersPort                          string
	operatorsPort                        string
	logger                               log.Interface

	// platform is the host:port of the platform's stand-in, set by Start.
	platform string
	// running are the entries, in the order of their names.
	running []Entry
	// entryGroup runs the entries, and standInGroup the stand-ins, which outlive
	// the entries.
	entryGroup   *errgroup.Group
	standInGroup *errgroup.Group
	// stopStandIns cancels the context of standInGroup.
	stopStandIns context.CancelFunc
}

// New returns a cell that is not yet started.
func New(opts ...Option) *Cell {
	c := &Cell{
		entryCount:    defaultEntries,
		workerCount:   defaultWorkers,
		minionCount:   defaultMinions,
		callersPort:   loopback,
		operatorsPort: loopback,
		logger: &log.Logger{
			Handler: discard.Default,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Start listens on every port, starts all processes and returns. The cell runs
// until the context ends; Wait then waits until it has stopped. If Start fails,
// the stand-ins are stopped and the cell cannot be used.
func (c *Cell) Start(ctx context.Context) error {
	standInCtx, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	c.stopStandIns = stopStandIns
	c.standInGroup, standInCtx = errgroup.WithContext(standInCtx)
	if err := c.startStandIns(standInCtx); err != nil {
		stopStandIns()
		return err
	}
	c.entryGroup, ctx = errgroup.WithContext(ctx)
	for i := range c.entryCount {
		if err := c.startEntry(ctx, i); err != nil {
			stopStandIns()
			return err
		}
	}
	return nil
}

// startStandIns starts the stand-ins of the platform, workers and minions.
func (c *Cell) startStandIns(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	for i := range c.workerCount {
		if err := c.startWorker(ctx, i); err != nil {
			return err
		}
	}
	for i := range c.minionCount {
		if err := c.startMinion(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// Wait waits until the entries have stopped, and then stops the stand-ins.
func (c *Cell) Wait() error {
	err := c.entryGroup.Wait()
	c.stopStandIns()
	return errors.CombineErrors(ignoreCancelled(err), ignoreCancelled(c.standInGroup.Wait()))
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Platform returns the host:port of the platform's stand-in.
func (c *Cell) Platform() string { return c.platform }

// Running returns the started entries, in the order of their names.
func (c *Cell) Running() []Entry { return c.running }

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: %w", ErrStart, err))
	}
	return listener, nil
}

func (c *Cell) startPlatform(ctx context.Context) error {
	listener, err := listen(loopback)
	if err != nil {
		return err
	}
	c.platform = listener.Addr().String()
	platform := emulator.NewPlatform(
		emulator.HostLag(hostLag),
	)
	c.standInGroup.Go(func() error {
		return emulator.Serve(ctx, listener, platform.Handler())
	})
	return nil
}

func (c *Cell) startWorker(ctx context.Context, i int) error {
	listener, err := listen(loopback)
	if err != nil {
		return err
	}
	capacity := sizer.New(workerMilliCores, workerMemory, 0)
	if i < acceleratorWorkers {
		capacity = sizer.New(workerMilliCores, workerMemory, workerAccelerators)
	}
	worker := emulator.NewWorker(connector.Host{
		Name:       fmt.Sprintf("worker-%d", i+1),
		Kind:       connector.KindWorker,
		State:      connector.HostLive,
		DataCentre: DataCentre,
		Rack:       fmt.Sprintf("rack-%d", i/workersPerRack+1),
		Address:    listener.Addr().String(),
		Capacity:   capacity,
	})
	c.standInGroup.Go(func() error {
		return emulator.Serve(ctx, listener, worker.Handler())
	})
	c.standInGroup.Go(func() error {
		return worker.Run(ctx, "http://"+c.platform)
	})
	return nil
}

func (c *Cell) startMinion(ctx context.Context, i int) error {
	listener, err := listen(loopback)
	if err != nil {
		return err
	}
	minion := emulator.NewMinion(connector.Host{
		Name:        fmt.Sprintf("minion-%d", i+1),
		Kind:        connector.KindMinion,
		State:       connector.HostLive,
		DataCentre:  DataCentre,
		Rack:        "rack-1",
		Address:     listener.Addr().String(),
		Service:     Service,
		Slots:       minionSlots,
		Connections: minionConnections,
	})
	c.standInGroup.Go(func() error {
		return minion.Serve(ctx, listener)
	})
	c.standInGroup.Go(func() error {
		return minion.Run(ctx, "http://"+c.platform)
	})
	return nil
}

func (c *Cell) startEntry(ctx context.Context, i int) error {
	callersPort, operatorsPort := loopback, loopback
	if i == 0 {
		callersPort, operatorsPort = c.callersPort, c.operatorsPort
	}
	callers, errCallers := listen(callersPort)
	peers, errPeers := listen(loopback)
	operators, errOperators := listen(operatorsPort)
	if err := errors.CombineErrors(errCallers, errors.CombineErrors(errPeers, errOperators)); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	entry, err := server.New(name, DataCentre,
		server.Listeners(callers, peers, operators),
		server.Platform("http://"+c.platform),
		server.Secret(secret),
		server.Operators(map[string]string{Token: "dev"}),
		server.Leases(defaultLease, defaultRenewal),
		server.Bounds(defaultDelivery, 0),
		server.HostPoll(hostPoll),
		server.Stopping(stopGrace, stopTimeout),
		server.Logger(c.logger),
	)
	if err != nil {
		return err
	}
	c.running = append(c.running, Entry{
		name:      name,
		callers:   callers.Addr().String(),
		operators: operators.Addr().String(),
	})
	c.entryGroup.Go(func() error {
		return entry.Run(ctx)
	})
	return nil
}
