package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenacove/galenacove/rehearser"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run a whole cell in one process, with stand-ins for everything outside",
		UsageText: "galenacove dev\n   galenacove dev --for 10s",
		Description: "Starts a stand-in platform, workers, minions and entries over loopback and\n" +
			"prints their addresses. With --for it runs the built-in sample through the\n" +
			"cell, prints what happened, and exits 0 only if all of it ended well.",
		Before: noArguments,
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:  "for",
				Usage: "run the sample, for at most `TIME`, and exit",
			},
			&cli.IntFlag{
				Name:  "entries",
				Usage: "start `COUNT` entries",
				Value: 2,
			},
			&cli.IntFlag{
				Name:  "workers",
				Usage: "start `COUNT` workers",
				Value: 5,
			},
			&cli.IntFlag{
				Name:  "minions",
				Usage: "start `COUNT` minions",
				Value: 3,
			},
			&cli.StringFlag{
				Name:  "callers",
				Usage: "the first entry's `HOST:PORT` for callers",
				Value: "127.0.0.1:0",
			},
			&cli.StringFlag{
				Name:  "operators",
				Usage: "the first entry's `HOST:PORT` for operators",
				Value: "127.0.0.1:0",
			},
			&cli.BoolFlag{
				Name:  "verbose",
				Usage: "let the entries log to standard error",
			},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	cell, err := devCell(cmd)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := cell.Start(ctx); err != nil {
		return err
	}
	out := cmd.Root().Writer
	printAddresses(out, cell)
	if limit := cmd.Duration("for"); limit > 0 {
		err = runSample(ctx, out, cell, limit)
	} else {
		printHints(out, cell)
		<-ctx.Done()
	}
	stop()
	return errors.CombineErrors(err, cell.Wait())
}

func devCell(cmd *cli.Command) (*rehearser.Cell, error) {
	if cmd.Int("entries") < 1 || cmd.Int("workers") < 1 || cmd.Int("minions") < 1 {
		return nil, cli.Exit("at least one entry, worker and minion are needed", exitUsage)
	}
	options := []rehearser.Option{
		rehearser.Entries(cmd.Int("entries")),
		rehearser.Workers(cmd.Int("workers")),
		rehearser.Minions(cmd.Int("minions")),
		rehearser.Ports(cmd.String("callers"), cmd.String("operators")),
	}
	if cmd.Bool("verbose") {
		options = append(options, rehearser.Logger(&log.Logger{
			Handler: logfmt.New(os.Stderr),
			Level:   log.InfoLevel,
		}))
	}
	return rehearser.New(options...), nil
}

func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

func printAddresses(out io.Writer, cell *rehearser.Cell) {
	table := newTable(out)
	fmt.Fprintln(table, "PROCESS\tCALLERS\tOPERATORS")
	fmt.Fprintf(table, "platform\t%s\t\n", cell.Platform())
	for _, entry := range cell.Running() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", entry.Name(), entry.Callers(), entry.Operators())
	}
	table.Flush()
}

func printHints(out io.Writer, cell *rehearser.Cell) {
	entry := cell.Running()[0]
	fmt.Fprintf(out, `
Try next, in another terminal:
  galenacove do 'set team demo weight 1; set service %[1]s team demo' --entry %[2]s --token %[3]s
  curl -d 'hello' -H 'Galenacove-Team: demo' http://%[4]s/services/%[1]s/check
  galenacove do 'submit batch "first" team demo tasks 4 cpu 500m memory 256MiB for 5s; show tasks' --entry %[2]s --token %[3]s
Ctrl-C stops.
`, rehearser.Service, entry.Operators(), rehearser.Token, entry.Callers())
}

// runSample runs the sample and prints the result of each step.
func runSample(ctx context.Context, out io.Writer, cell *rehearser.Cell, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	steps := cell.Sample(ctx)
	fmt.Fprintln(out)
	table := newTable(out)
	fmt.Fprintln(table, "STEP\tRESULT\tTOOK\tDETAIL")
	failed := 0
	for _, step := range steps {
		if !step.Done() {
			failed++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", step.Name(), step.Result(), step.Took().Round(time.Millisecond), step.Detail())
	}
	table.Flush()
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d steps did not end well", failed, len(steps)), exitFailure)
	}
	return nil
}
