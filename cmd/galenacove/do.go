package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/parser"
)

const (
	outputTable = "table"
	outputJSON  = "json"
	// maxInput is the most bytes of statements that are read.
	maxInput = 16 << 20
)

func doCommand() *cli.Command {
	return &cli.Command{
		Name:  "do",
		Usage: "give statements of the operators' language to an entry",
		UsageText: "galenacove do 'show tasks where state = pending' --entry 10.0.0.1:8082\n" +
			"   galenacove do 'submit batch \"nightly\" team omuti tasks 10 cpu 2 memory 4GiB for 1h' --entry 10.0.0.1:8082\n" +
			"   galenacove do - --entry 10.0.0.1:8082 < statements",
		ArgsUsage: "STATEMENT",
		Description: "Statements are separated by semicolons and run in order, up to the first\n" +
			"that fails. The language is described in docs/LANGUAGE.md. Exit codes: 1 if a\n" +
			"statement was refused or not understood, 3 if the outcome of a command is\n" +
			"unknown; give it again with the identity that was printed.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "entry",
				Usage:    "operators' `HOST:PORT` of an entry, or its https:// address",
				Required: true,
			},
			&cli.StringFlag{
				Name:    "token",
				Usage:   "the operator's `TOKEN`",
				Sources: cli.EnvVars("GALENACOVE_TOKEN"),
			},
			&cli.StringFlag{
				Name:  "authority",
				Usage: "check an https:// entry against the certificates in `FILE`",
			},
			&cli.StringFlag{
				Name:  "output",
				Usage: "print as `FORMAT`: table or json",
				Value: outputTable,
			},
		},
		Action: runDo,
	}
}

func runDo(ctx context.Context, cmd *cli.Command) error {
	output := cmd.String("output")
	if output != outputTable && output != outputJSON {
		return cli.Exit("--output is table or json", exitUsage)
	}
	if cmd.Args().Len() != 1 {
		return cli.Exit("one argument is needed: the statements, or - to read them", exitUsage)
	}
	text, err := statements(cmd.Args().First(), cmd.Root().Reader)
	if err != nil {
		return err
	}
	parsed, err := parser.ParseAll(text)
	if err != nil {
		return err
	}
	base := cmd.String("entry")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	http, err := newClient(cmd.String("authority"))
	if err != nil {
		return err
	}
	client := commander.New(base, cmd.String("token"), commander.HTTP(http))
	for _, statement := range parsed {
		if command, ok := statement.(parser.Command); ok {
			statement = parser.WithIdentity(command, namer.NewIdentity())
		}
		answer, err := client.Do(ctx, parser.Print(statement))
		if err != nil {
			return doError(err, statement)
		}
		if err := show(cmd.Root().Writer, output, answer); err != nil {
			return err
		}
	}
	return nil
}

// statements returns the argument, or what standard input has.
func statements(argument string, input io.Reader) (string, error) {
	if argument != "-" {
		return argument, nil
	}
	if input == nil {
		input = os.Stdin
	}
	data, err := io.ReadAll(io.LimitReader(input, maxInput))
	return string(data), errors.Wrap(err, "read the statements")
}

// doError says of a command whose outcome is unknown how to give it again.
func doError(err error, statement parser.Statement) error {
	command, ok := statement.(parser.Command)
	if !ok || !errors.Is(err, commander.ErrUnknown) {
		return err
	}
	return cli.Exit(fmt.Sprintf("%s; give it again as it is, it takes effect once: %s", err, parser.Print(command)), exitUnknown)
}

// show prints an answer. It fails if a command was not accepted, or if the
// answer to a query is not whole.
func show(out io.Writer, output string, answer commander.Answer) error {
	if output == outputJSON {
		if err := json.NewEncoder(out).Encode(answer); err != nil {
			return err
		}
	}
	if answer.Command != nil {
		return showResult(out, output, *answer.Command)
	}
	if output == outputTable {
		if err := answer.Table.Print(out); err != nil {
			return err
		}
	}
	if missing := answer.Table.Missing(); len(missing) > 0 {
		return cli.Exit("the answer is not whole, nothing was heard of: "+strings.Join(missing, ", "), exitFailure)
	}
	return nil
}

func showResult(out io.Writer, output string, result commander.Result) error {
	if output == outputTable {
		fmt.Fprintf(out, "%s %s", result.Outcome, result.Identity)
		if result.Offset > 0 {
			fmt.Fprintf(out, " at offset %d", result.Offset)
		}
		if result.Reason != "" {
			fmt.Fprintf(out, ": %s", result.Reason)
		}
		fmt.Fprintln(out)
	}
	switch result.Outcome {
	case commander.Refused:
		return cli.Exit("the command was refused", exitFailure)
	case commander.Unknown:
		return cli.Exit("the outcome of the command is unknown", exitUnknown)
	default:
		return nil
	}
}
