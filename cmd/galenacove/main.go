// Command galenacove is the cluster scheduler: the process of an entry host, the
// operators' command line, and a whole cell in one process for trials.
//
// Exit codes: 0 after success, 1 after a failure or a refusal, 2 for an invalid
// command line, 3 if the outcome of a command is unknown.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitUnknown = 3
)

// version is set by the linker for a release.
var version = "devel"

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// After the first signal the default handling is restored, so that a second
	// one ends the process at once.
	context.AfterFunc(ctx, cancel)
	return exitCode(os.Stderr, command().Run(ctx, os.Args))
}

// exitCode prints the error, if there is one, and returns the exit code.
func exitCode(out io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(out, "galenacove:", err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return exitFailure
}

func command() *cli.Command {
	root := &cli.Command{
		Name:    "galenacove",
		Usage:   "a cluster scheduler for services, batch runs, gangs and requests",
		Version: version,
		Commands: []*cli.Command{
			entryCommand(),
			hostCommand(),
			checkCommand(),
			doCommand(),
			devCommand(),
			versionCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return cli.Exit(fmt.Sprintf("there is no command %q", cmd.Args().First()), exitUsage)
			}
			return cli.ShowRootCommandHelp(cmd)
		},
		OnUsageError: usageError,
		// Without this handler, the library would exit after an error that has an
		// exit code; run passes every error to exitCode.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, sub := range root.Commands {
		sub.OnUsageError = usageError
	}
	return root
}

// noArguments rejects arguments that a command would ignore.
func noArguments(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	if cmd.Args().Present() {
		return ctx, cli.Exit(fmt.Sprintf("%s takes no argument, such as %q", cmd.Name, cmd.Args().First()), exitUsage)
	}
	return ctx, nil
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err, exitUsage)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:      "version",
		Usage:     "print the version",
		UsageText: "galenacove version",
		Before:    noArguments,
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "galenacove", version)
			return err
		},
	}
}
