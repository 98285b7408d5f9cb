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
	// maxInputSize bounds the statements that are read from standard input, in
	// bytes.
	maxInputSize = 16 << 20
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
	text, err := readStatements(cmd.Args().First(), cmd.Root().Reader)
	if err != nil {
		return err
	}
	parsed, err := parser.ParseAll(text)
	if err != nil {
		return err
	}
	address := cmd.String("entry")
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	httpClient, err := newOperatorClient(cmd.String("authority"))
	if err != nil {
		return err
	}
	client := commander.New(address, cmd.String("token"), commander.HTTP(httpClient))
	for _, statement := range parsed {
		if command, ok := statement.(parser.Command); ok {
			statement = parser.WithIdentity(command, namer.NewIdentity())
		}
		answer, err := client.Do(ctx, parser.Print(statement))
		if err != nil {
			return explainUnknown(err, statement)
		}
		if err := printAnswer(cmd.Root().Writer, output, answer); err != nil {
			return err
		}
	}
	return nil
}

// readStatements returns the argument, or the content of the input if the
// argument is "-". A nil input stands for standard input.
func readStatements(argument string, input io.Reader) (string, error) {
	if argument != "-" {
		return argument, nil
	}
	if input == nil {
		input = os.Stdin
	}
	data, err := io.ReadAll(io.LimitReader(input, maxInputSize+1))
	if err != nil {
		return "", errors.Wrap(err, "read the statements")
	}
	if len(data) > maxInputSize {
		return "", errors.Newf("the statements exceed %d bytes; none was run", maxInputSize)
	}
	return string(data), nil
}

// explainUnknown adds to the error of a command whose outcome is unknown how to
// repeat the command safely. It returns other errors unchanged.
func explainUnknown(err error, statement parser.Statement) error {
	command, ok := statement.(parser.Command)
	if !ok || !errors.Is(err, commander.ErrUnknown) {
		return err
	}
	return cli.Exit(fmt.Sprintf("%s; give it again as it is, it takes effect once: %s", err, parser.Print(command)), exitUnknown)
}

// printAnswer prints an answer. It fails if a command was refused or its outcome
// is unknown, or if the answer to a query is incomplete.
func printAnswer(out io.Writer, output string, answer commander.Answer) error {
	if output == outputJSON {
		if err := json.NewEncoder(out).Encode(answer); err != nil {
			return err
		}
	}
	if answer.Command != nil {
		return printResult(out, output, *answer.Command)
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

func printResult(out io.Writer, output string, result commander.Result) error {
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
