package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/logger"
	"github.com/galenacove/galenacove/platform"
	"github.com/galenacove/galenacove/scheduler"
)

const (
	// memoryLimitShare is the share of the host's memory that is set as the soft
	// limit of the garbage collector. The rest is for memory that the system
	// counts besides the heap.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow further between collections than the default
	// of 100, since the host is shorter of processor time than of memory.
	gcPercent = 300
	// defaultMetricsPort is the default port of the metrics.
	defaultMetricsPort = 9464
	// preferredLease is the longest lease that is requested. It outlasts a restart
	// of all entries, which takes about 3 s including the age of the last renewal.
	// A longer one would delay the tasks of a lost worker, since they are not
	// started elsewhere before the lease expires.
	preferredLease = 3500 * time.Millisecond
	// preferredLeaseLimit bounds how long an owner continues without the store. Most outages of the
	// store are shorter. A new owner waits for workers that it cannot reach for as long as they accept
	// leases, which may be longer.
	preferredLeaseLimit = 6 * time.Second
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:      "host",
		Usage:     "run the process of an entry host on a platform with a store of its own",
		UsageText: "galenacove host [--log info] [--metrics-port 9464]",
		Description: "Reads the platform's settings from the file that the environment variable\n" +
			platform.SettingsVariable + " names. Serves until SIGTERM, then hands over and\n" +
			"finishes what is in flight. A second signal ends the process at once.",
		Before: noArguments,
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{
				Name:  "log",
				Usage: "log from this `LEVEL` on: debug, info, warn, error",
				Value: "info",
			},
			&cli.IntFlag{
				Name:  "metrics-port",
				Usage: "serve metrics on `PORT`, 0 for none",
				Value: defaultMetricsPort,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := platform.LoadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			return runOnPlatform(ctx, cmd, settings)
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "read the platform's settings from `FILE`",
		Sources:  cli.EnvVars(platform.SettingsVariable),
		Required: true,
	}
}

func runOnPlatform(ctx context.Context, cmd *cli.Command, settings platform.Settings) error {
	level, err := log.ParseLevel(cmd.String("log"))
	if err != nil {
		return cli.Exit(fmt.Sprintf("log level %q: %v", cmd.String("log"), err), exitUsage)
	}
	logHandler := logger.New(cmd.Root().Writer)
	logs := &log.Logger{
		Handler: logHandler,
		Level:   level,
	}
	if settings.MemoryLimit() > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryLimit())))
		debug.SetGCPercent(gcPercent)
	}
	listeners, err := listen(
		settings.CallerAddress(),
		settings.ReadinessAddress(),
		net.JoinHostPort(settings.IP(), strconv.Itoa(settings.PeerPort())),
	)
	if err != nil {
		return err
	}
	options := []coordinator.Option{
		coordinator.Name(settings.Name(), settings.DataCentre()),
		coordinator.Listeners(listeners[0], listeners[1], listeners[2]),
		coordinator.Partitions(settings.Partitions()),
		coordinator.StoreLimits(settings.StoreLimits()),
		coordinator.Cores(settings.Cores()),
		coordinator.Grace(settings.Grace()),
		coordinator.Overage(settings.Overage()),
		coordinator.Revocation(settings.StrictRevocation(), settings.RevocationBound()),
		coordinator.Logger(logs),
		coordinator.Config(platform.ConfigPartition(), platform.DecodeConfig),
		coordinator.Directory(platform.DirectoryPartition(), platform.DecodeWorker),
		coordinator.Scheduling(schedulingOptions(settings)...),
	}
	if port := cmd.Int("metrics-port"); port > 0 {
		address := net.JoinHostPort(settings.IP(), strconv.Itoa(port))
		metrics, err := net.Listen("tcp", address)
		if err != nil {
			// Callers can be served without metrics.
			logs.WithError(err).Warn("host: metrics are not served")
		} else {
			options = append(options, coordinator.Metrics(metrics))
		}
	}
	client := platform.NewClient()
	workersClient := platform.NewClient(platform.ConnectionsPerAddress(platform.WorkerConnections))
	adviser := platform.NewAdviser(client, settings.AdviserAddress())
	store := platform.NewStore(client, settings.StoreAddress())
	process := coordinator.New(store, platform.NewWorkers(workersClient), adviser.Advise, platform.Bodies{}, options...)
	var group errgroup.Group
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error { return logHandler.Run(servingCtx) })
	group.Go(func() error {
		reload(servingCtx, cmd.String("settings"), reloadable{
			process: process,
			store:   store,
			adviser: adviser,
		}, logs)
		return nil
	})
	err = process.Run(ctx)
	stopServing()
	return errors.CombineErrors(err, group.Wait())
}

// schedulingOptions returns the options of the schedulers from the platform's
// settings.
func schedulingOptions(settings platform.Settings) []scheduler.Option {
	leaseLimit := min(preferredLeaseLimit, settings.MaxLease())
	return []scheduler.Option{
		scheduler.Lease(min(preferredLease, leaseLimit), leaseLimit),
		scheduler.AcceptedLease(settings.MaxLease()),
		scheduler.StopTimeout(settings.StopTimeout()),
		scheduler.Retention(settings.StateRetention()),
		scheduler.RemoteFactor(settings.RemoteFactor()),
	}
}

// reloadable is what takes settings that are read again.
type reloadable struct {
	process *coordinator.Coordinator
	store   *platform.Store
	adviser *platform.Adviser
}

// reload reads the settings again at each SIGHUP, until the context ends. A file
// with faults changes nothing.
func reload(ctx context.Context, path string, parts reloadable, logs log.Interface) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		settings, err := platform.LoadSettings(path)
		if err != nil {
			logs.WithError(err).Error("host: the settings were not taken")
			continue
		}
		parts.process.SetScheduling(schedulingOptions(settings)...)
		parts.process.SetOverage(settings.Overage())
		parts.process.SetRevocation(settings.StrictRevocation(), settings.RevocationBound())
		storeMoved, adviserMoved := parts.store.MoveTo(settings.StoreAddress()), parts.adviser.MoveTo(settings.AdviserAddress())
		logs.WithFields(log.Fields{
			"file":             path,
			"strictRevocation": settings.StrictRevocation(),
			"revokeMs":         settings.RevocationBound().Milliseconds(),
			"overage":          settings.Overage(),
			"storeMoved":       storeMoved,
			"adviserMoved":     adviserMoved,
		}).Info("host: settings read again, scheduling bounds for the partitions owned from now on")
	}
}

func listen(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners[i] = listener
	}
	return listeners, nil
}

// checkPlatform validates the settings of a platform, and prints the name and the
// data centre of the entry.
func checkPlatform(cmd *cli.Command, path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: entry %q in %q, no faults\n", path, settings.Name(), settings.DataCentre())
	return err
}
