package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenacove/galenacove/loader"
	"github.com/galenacove/galenacove/server"
)

func configFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "config",
		Usage:    "read the settings from `FILE`",
		Required: true,
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:      "entry",
		Usage:     "run the process of an entry host",
		UsageText: "galenacove entry --config /etc/galenacove.toml",
		Description: "Serves callers, peers and operators until Ctrl-C or SIGTERM, then hands over\n" +
			"and finishes what is in flight. A second signal ends the process at once.",
		Before: noArguments,
		Flags: []cli.Flag{
			configFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := loader.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			return runEntry(ctx, cmd.Root().Writer, settings)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check the settings without starting anything",
		UsageText: "galenacove check --config /etc/galenacove.toml\n   galenacove check --settings /etc/galenacove/boot.toml",
		Description: "Prints every fault with its file and key, and exits 1 if there is one. --config\n" +
			"is the file of the command entry, --settings the platform's file of the command\n" +
			"host.",
		Before: noArguments,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "config",
				Usage: "check the settings in `FILE`",
			},
			&cli.StringFlag{
				Name:  "settings",
				Usage: "check the platform's settings in `FILE`",
			},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			switch {
			case cmd.IsSet("config") && cmd.IsSet("settings"):
				return cli.Exit("check takes either --config or --settings", exitUsage)
			case !cmd.IsSet("config") && !cmd.IsSet("settings"):
				return cli.Exit(`Required flag "config" not set, nor "settings"`, exitUsage)
			}
			if path := cmd.String("settings"); path != "" {
				return checkPlatform(cmd, path)
			}
			settings, err := loader.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%s: entry %q in %q, no faults\n",
				cmd.String("config"), settings.Entry().Name(), settings.Entry().DataCentre())
			return err
		},
	}
}

// runEntry runs the process, and prints its addresses once it listens on them.
func runEntry(ctx context.Context, out io.Writer, settings loader.Settings) error {
	entry := settings.Entry()
	var listeners [3]net.Listener
	for i, address := range []string{entry.Callers(), entry.Peers(), entry.Operators()} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		listeners[i] = listener
	}
	options, err := entryOptions(settings)
	if err != nil {
		return err
	}
	process, err := server.New(entry.Name(), entry.DataCentre(),
		append(options, server.Listeners(listeners[0], listeners[1], listeners[2]))...)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "callers %s, peers %s, operators %s\n", listeners[0].Addr(), listeners[1].Addr(), listeners[2].Addr())
	return process.Run(ctx)
}

func entryOptions(settings loader.Settings) ([]server.Option, error) {
	logger, err := newLogger(settings.Log())
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]string)
	for _, operator := range settings.Operators() {
		tokens[operator.Token()] = operator.Name()
	}
	terms := settings.Terms()
	options := []server.Option{
		server.Logger(logger),
		server.Platform(settings.Platform().Addresses()...),
		server.Secret(settings.Peers().Secret()),
		server.Seeds(settings.Peers().Seeds()...),
		server.Operators(tokens),
		server.Leases(terms.Lease(), terms.Renewal()),
		server.Bounds(terms.Delivery(), float64(terms.ClockRateError())/float64(terms.Lease())),
		server.Heartbeats(terms.Heartbeat(), terms.Suspect()),
		server.Stopping(terms.Grace(), terms.Stop()),
	}
	files, found := settings.TLS()
	if !found {
		return options, nil
	}
	ports, peers, err := loadTLS(files)
	if err != nil {
		return nil, err
	}
	return append(options, server.TLS(ports, peers)), nil
}

func newLogger(settings loader.Log) (log.Interface, error) {
	level, err := log.ParseLevel(settings.Level())
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", settings.Level())
	}
	var handler log.Handler
	switch settings.Format() {
	case loader.FormatJSON:
		handler = json.New(os.Stderr)
	case loader.FormatText:
		handler = logfmt.New(os.Stderr)
	}
	return &log.Logger{
		Handler: handler,
		Level:   level,
	}, nil
}
