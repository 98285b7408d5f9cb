// Command standin runs a stand-in of an external system (the platform, workers
// or minions), or generates load on callers' addresses. Each stand-in prints its
// address on a line of its own once it listens, and stops on Ctrl-C.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run())
}

// run returns the exit code: 0, or 1 after an error.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the default handling is restored, so that a second
	// one ends the process at once.
	context.AfterFunc(ctx, cancel)
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform, workers and minions, and load, for tests and trials",
		Commands: []*cli.Command{
			platformCommand(),
			workerCommand(),
			minionCommand(),
			loadCommand(),
		},
		// Without this handler, the library would exit after an error that has an
		// exit code; run prints every error and returns 1.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
