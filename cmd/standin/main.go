// Command standin runs one stand-in of an outside system (the platform, a
// worker or a minion), or puts load on callers' addresses. A stand-in prints its
// address on the first line once it serves, and stops on Ctrl-C.
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
	// After the first signal the next one ends the process at once.
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
		// The exit code is decided in one place, above.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
