package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/sizer"
)

const (
	milliCoresPerCore = 1000
	bytesPerMebibyte  = 1 << 20
	// maxStandIns is the maximum number of stand-ins in one process.
	maxStandIns = 1000
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "listen",
		Usage: "serve on this `HOST:PORT`; port 0 takes a free one",
		Value: "127.0.0.1:0",
	}
}

// hostFlags returns the flags of the stand-ins that register in the host list.
func hostFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.StringFlag{
			Name:  "platform",
			Usage: "register with the platform at this `HOST:PORT`; without it, don't",
		},
		&cli.StringFlag{
			Name:     "name",
			Usage:    "`NAME` on the host list, unique within the cell",
			Required: true,
		},
		&cli.StringFlag{
			Name:     "data-centre",
			Usage:    "`NAME` of the data centre",
			Required: true,
		},
		&cli.StringFlag{
			Name:  "rack",
			Usage: "`NAME` of the rack",
			Value: "rack",
		},
		&cli.BoolFlag{
			Name:  "only-echo",
			Usage: "report the highest epoch, but refuse no lower one",
		},
		&cli.IntFlag{
			Name:  "count",
			Usage: "run `COUNT` of them, named NAME-1 and so on, on ports of their own; each prints its address",
			Value: 1,
			Validator: func(count int) error {
				if count >= 1 && count <= maxStandIns {
					return nil
				}
				return errors.Newf("a count of %d, at most %d", count, maxStandIns)
			},
		},
		&cli.IntFlag{
			Name:  "per-rack",
			Usage: "put `COUNT` into each rack, named RACK-1 and so on; 0 puts all into one",
		},
		&cli.DurationFlag{
			Name:  "heartbeat",
			Usage: "register every `TIME`",
			Value: emulator.DefaultHeartbeat,
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:      "platform",
		Usage:     "an append-only log with offsets, and a host list that lags",
		UsageText: "standin platform --listen 127.0.0.1:9000",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{
				Name:  "keep",
				Usage: "keep the newest `COUNT` records of each stream",
				Value: emulator.DefaultRetainedRecords,
			},
			&cli.DurationFlag{
				Name:  "keep-for",
				Usage: "keep each record for `TIME`",
				Value: emulator.DefaultRetentionAge,
			},
			&cli.FloatFlag{
				Name:  "append-rate",
				Usage: "take `COUNT` appends a second",
				Value: emulator.DefaultAppendRate,
			},
			&cli.DurationFlag{
				Name:  "host-lag",
				Usage: "show the host list as it was this `TIME` ago",
				Value: emulator.DefaultHostLag,
			},
			&cli.DurationFlag{
				Name:  "host-expiry",
				Usage: "drop a host that was silent for `TIME`",
				Value: emulator.DefaultHostExpiry,
			},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	listener, err := listen(cmd, 0)
	if err != nil {
		return err
	}
	platform := emulator.NewPlatform(
		emulator.Retention(cmd.Int("keep"), cmd.Duration("keep-for")),
		emulator.AppendRate(cmd.Float("append-rate")),
		emulator.HostLag(cmd.Duration("host-lag")),
		emulator.HostExpiry(cmd.Duration("host-expiry")),
	)
	return emulator.Serve(ctx, listener, platform.Handler())
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:      "worker",
		Usage:     "runs tasks as timers under leases",
		UsageText: "standin worker --platform 127.0.0.1:9000 --name w1 --data-centre klein-hall --cores 16 --memory 65536",
		Flags: append(hostFlags(),
			&cli.FloatFlag{
				Name:  "cores",
				Usage: "offer `COUNT` processor cores",
				Value: 16,
			},
			&cli.Int64Flag{
				Name:  "memory",
				Usage: "offer so many `MEBIBYTES` of memory",
				Value: 64 << 10,
			},
			&cli.Int64Flag{
				Name:  "accelerators",
				Usage: "offer `COUNT` accelerators",
			},
			&cli.FloatFlag{
				Name:  "usage-factor",
				Usage: "let tasks use `FACTOR` of their declared size",
				Value: 1,
			},
			&cli.FloatFlag{
				Name:  "run-time-factor",
				Usage: "let tasks run `FACTOR` of their declared time",
				Value: 1,
			},
			&cli.DurationFlag{
				Name:  "usage-lag",
				Usage: "report usage as it was this `TIME` ago",
				Value: emulator.DefaultUsageLag,
			},
		),
		Action: runWorker,
	}
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	opts := append(hostOptions(cmd),
		emulator.UsageFactor(cmd.Float("usage-factor")),
		emulator.RunTimeFactor(cmd.Float("run-time-factor")),
		emulator.UsageLag(cmd.Duration("usage-lag")),
	)
	return runEach(ctx, cmd, func(ctx context.Context, group *errgroup.Group, host connector.Host, listener net.Listener) {
		host.Capacity = sizer.New(
			int64(cmd.Float("cores")*milliCoresPerCore),
			cmd.Int64("memory")*bytesPerMebibyte,
			cmd.Int64("accelerators"),
		)
		worker := emulator.NewWorker(host, opts...)
		group.Go(func() error { return worker.Run(ctx, platformAddress(cmd)) })
		group.Go(func() error { return emulator.Serve(ctx, listener, worker.Handler()) })
	})
}

func minionCommand() *cli.Command {
	return &cli.Command{
		Name:      "minion",
		Usage:     "answers requests with the digest and the bytes of their body",
		UsageText: "standin minion --platform 127.0.0.1:9000 --name m1 --data-centre klein-hall --service field-desk",
		Flags: append(hostFlags(),
			&cli.StringFlag{
				Name:     "service",
				Usage:    "answer for the service of this `NAME`",
				Required: true,
			},
			&cli.IntFlag{
				Name:  "slots",
				Usage: "run `COUNT` requests at once",
				Value: emulator.DefaultSlots,
			},
			&cli.IntFlag{
				Name:  "connections",
				Usage: "take `COUNT` connections at once",
				Value: emulator.DefaultConnections,
			},
			&cli.DurationFlag{
				Name:  "service-time",
				Usage: "work for `TIME` on each request",
				Value: 5 * time.Millisecond,
			},
		),
		Action: runMinion,
	}
}

func runMinion(ctx context.Context, cmd *cli.Command) error {
	opts := append(hostOptions(cmd), emulator.ServiceTime(cmd.Duration("service-time")))
	return runEach(ctx, cmd, func(ctx context.Context, group *errgroup.Group, host connector.Host, listener net.Listener) {
		host.Service = cmd.String("service")
		host.Slots = cmd.Int("slots")
		host.Connections = cmd.Int("connections")
		minion := emulator.NewMinion(host, opts...)
		group.Go(func() error { return minion.Run(ctx, platformAddress(cmd)) })
		group.Go(func() error { return minion.Serve(ctx, listener) })
	})
}

// runEach opens a listener for each stand-in of the command, and starts them in a
// group. It returns when all have ended.
func runEach(ctx context.Context, cmd *cli.Command, start func(context.Context, *errgroup.Group, connector.Host, net.Listener)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for i := range cmd.Int("count") {
		listener, err := listen(cmd, i)
		if err != nil {
			cancel()
			return errors.CombineErrors(err, group.Wait())
		}
		start(ctx, group, newHost(cmd, listener, i), listener)
	}
	return group.Wait()
}

// listen listens on the address of the command, with the offset added to the port
// unless the port is 0, and prints the resulting address.
func listen(cmd *cli.Command, portOffset int) (net.Listener, error) {
	address, err := netip.ParseAddrPort(cmd.String("listen"))
	if err != nil {
		return nil, errors.Wrapf(err, "the address to listen on")
	}
	if port := address.Port(); port != 0 {
		address = netip.AddrPortFrom(address.Addr(), port+uint16(portOffset))
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cmd.Root().Writer, listener.Addr())
	return listener, nil
}

// newHost returns the host that the i-th stand-in, counted from 0, registers in
// the host list.
func newHost(cmd *cli.Command, listener net.Listener, i int) connector.Host {
	host := connector.Host{
		Name:       cmd.String("name"),
		State:      connector.HostLive,
		DataCentre: cmd.String("data-centre"),
		Rack:       cmd.String("rack"),
		Address:    listener.Addr().String(),
	}
	if cmd.Int("count") > 1 {
		host.Name += fmt.Sprintf("-%d", i+1)
	}
	if perRack := cmd.Int("per-rack"); perRack > 0 {
		host.Rack += fmt.Sprintf("-%d", i/perRack+1)
	}
	return host
}

func hostOptions(cmd *cli.Command) []emulator.Option {
	opts := []emulator.Option{emulator.Heartbeat(cmd.Duration("heartbeat"))}
	if cmd.Bool("only-echo") {
		opts = append(opts, emulator.OnlyEcho())
	}
	return opts
}

// platformAddress returns the base URL of the platform, empty if none is given.
func platformAddress(cmd *cli.Command) string {
	address := cmd.String("platform")
	if address == "" {
		return ""
	}
	return "http://" + address
}
