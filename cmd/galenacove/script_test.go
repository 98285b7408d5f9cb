package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the program available as a command in scripts, and removes the
// built programs at the end.
func TestMain(m *testing.M) {
	tests := cleaner{
		M: m,
	}
	testscript.Main(tests, map[string]func(){
		"galenacove": main,
	})
}

// cleaner removes the built programs after the tests have run.
type cleaner struct {
	*testing.M
}

func (c cleaner) Run() int {
	code := c.M.Run()
	os.RemoveAll(builtDir)
	return code
}

func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
		},
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}

// exits runs a program and checks its exit code: exits CODE PROGRAM ARGS...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("%s exited with %d, not with %d", args[1], got, want)
	}
}
