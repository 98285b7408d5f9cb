package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/parser"
)

// TestDoUnknownOutcome checks what the operator is told when the answer to a
// statement is lost. The command to repeat must be the one that was sent, with its
// identity, so that it takes effect only once.
func TestDoUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	requests := make(chan commander.Request, 3)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var request commander.Request
		c.Check(json.NewDecoder(r.Body).Decode(&request), qt.IsNil)
		requests <- request
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	run := func(statement string) (code int, message string) {
		var out strings.Builder
		err := command().Run(t.Context(), []string{"galenacove", "do", statement, "--entry", server.URL})
		return exitCode(&out, err), out.String()
	}
	code, message := run(`submit batch "nightly" team omuti cpu 1`)
	sent := <-requests
	c.Check(code, qt.Equals, exitUnknown)
	c.Check(message, qt.Contains, sent.Statement)
	statement, err := parser.Parse(sent.Statement)
	c.Assert(err, qt.IsNil)
	c.Check(statement.(parser.Command).CommandOptions().Identity(), qt.Not(qt.Equals), "")

	again := sent.Statement
	_, _ = run(again)
	c.Check((<-requests).Statement, qt.Equals, again)

	code, _ = run("show jobs")
	c.Check(code, qt.Equals, exitFailure)
}

// TestDoRefusesTooMuchInput guards against a regression: of statements read from
// standard input, those beyond the limit were dropped without an error, and the rest
// was run.
func TestDoRefusesTooMuchInput(t *testing.T) {
	c := qt.New(t)
	_, err := readStatements("-", strings.NewReader(strings.Repeat("x", maxInputSize+1)))
	c.Assert(err, qt.ErrorMatches, "the statements exceed 16777216 bytes; none was run")

	text, err := readStatements("-", strings.NewReader(strings.Repeat("x", maxInputSize)))
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.HasLen, maxInputSize)
}
