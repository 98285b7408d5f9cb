package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenacove/galenacove/requester"
)

// errWrongAnswers is returned if a request got another answer than expected.
var errWrongAnswers = errors.New("answers were not those to their requests")

const (
	outputTable = "table"
	outputJSON  = "json"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "sends requests to callers' addresses at a steady rate and checks the answers",
		UsageText: "standin load --to 127.0.0.1:8080 --service field-desk --rate 200 --for 10s",
		Description: "Requests are sent whether answers come or not, and a latency counts from when its " +
			"request was due. The exit code is 1 if an answer was not the one to its request.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:     "to",
				Usage:    "send to the callers' address `HOST:PORT`, a loopback IP number; several are asked in turn",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "service",
				Usage:    "ask the service of this `NAME`",
				Required: true,
			},
			&cli.FloatFlag{
				Name:  "rate",
				Usage: "send `COUNT` requests a second",
				Value: requester.DefaultRate,
			},
			&cli.DurationFlag{
				Name:  "for",
				Usage: "send for `TIME`",
				Value: requester.DefaultDuration,
			},
			&cli.IntFlag{
				Name:  "in-flight",
				Usage: "have at most `COUNT` requests on their way",
				Value: requester.DefaultInFlight,
			},
			&cli.IntFlag{
				Name:  "body",
				Usage: "send bodies of at least so many `BYTES`",
				Value: requester.DefaultBody,
			},
			&cli.DurationFlag{
				Name:  "deadline",
				Usage: "give each request `TIME`",
				Value: requester.DefaultDeadline,
			},
			&cli.StringFlag{
				Name:  "team",
				Usage: "send for the team of this `NAME`",
			},
			&cli.BoolFlag{
				Name:  "non-idempotent",
				Usage: "mark requests as non-idempotent, each with an identity",
			},
			&cli.StringFlag{
				Name:  "output",
				Usage: "print a `FORMAT`, table or json",
				Value: outputTable,
				Validator: func(format string) error {
					if format == outputTable || format == outputJSON {
						return nil
					}
					return errors.Newf("the output %q is neither table nor json", format)
				},
			},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	opts := []requester.Option{
		requester.Rate(cmd.Float("rate")),
		requester.Duration(cmd.Duration("for")),
		requester.InFlight(cmd.Int("in-flight")),
		requester.BodySize(cmd.Int("body")),
		requester.Deadline(cmd.Duration("deadline")),
		requester.Team(cmd.String("team")),
	}
	if cmd.Bool("non-idempotent") {
		opts = append(opts, requester.NonIdempotent())
	}
	load, err := requester.New(cmd.StringSlice("to"), cmd.String("service"), opts...)
	if err != nil {
		return err
	}
	report := load.Run(ctx)
	write := report.WriteTable
	if cmd.String("output") == outputJSON {
		write = report.WriteJSON
	}
	if err := write(cmd.Root().Writer); err != nil {
		return err
	}
	if wrong := report.Count(requester.Wrong); wrong > 0 {
		return errors.Wrap(errWrongAnswers, fmt.Sprint(wrong))
	}
	return nil
}
