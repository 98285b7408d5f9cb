package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/commander"
)

// waitTimeout bounds every wait for a state. It only detects a hung test, and is
// not a bound on performance.
const waitTimeout = 90 * time.Second

// programs has the paths of the built commands.
type programs struct {
	galenacove string
	standin    string
}

// builtDir is the directory of the built programs, empty before the build.
var builtDir string

// build builds the programs once for all tests of the package.
var build = sync.OnceValues(func() (programs, error) {
	dir, err := os.MkdirTemp("", "galenacove")
	if err != nil {
		return programs{}, err
	}
	builtDir = dir
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		return programs{}, fmt.Errorf("%w: %s", err, out)
	}
	return programs{
		galenacove: filepath.Join(dir, "galenacove"),
		standin:    filepath.Join(dir, "standin"),
	}, nil
})

func buildPrograms(c *qt.C) programs {
	if testing.Short() {
		c.Skip("the programs are built without the race detector")
	}
	built, err := build()
	c.Assert(err, qt.IsNil)
	return built
}

// process is one program that was started.
type process struct {
	cmd *exec.Cmd
	// firstLine is the first line that the program printed. For a stand-in, that
	// is its address.
	firstLine string
	logs      *bytes.Buffer
}

// startProgram starts a program and waits for its first line. The program is
// killed at the end of the test.
func startProgram(c *qt.C, name string, args ...string) *process {
	p := &process{
		cmd:  exec.Command(name, args...),
		logs: &bytes.Buffer{},
	}
	p.cmd.Stderr = p.logs
	stdout, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	c.Cleanup(func() {
		p.kill()
		if c.Failed() {
			c.Logf("%s %v:\n%s", filepath.Base(name), args, tail(p.logs.String()))
		}
	})
	p.firstLine, err = bufio.NewReader(stdout).ReadString('\n')
	c.Assert(err, qt.IsNil, qt.Commentf("%s", p.logs))
	p.firstLine = strings.TrimSpace(p.firstLine)
	return p
}

// runProgram runs a program to completion and returns its output.
func runProgram(name string, args ...string) (string, error) {
	out, err := exec.Command(name, args...).CombinedOutput()
	return string(out), err
}

func tail(text string) string {
	const maxBytes = 4000
	return text[max(0, len(text)-maxBytes):]
}

func (p *process) kill() {
	// Kill fails if the process has already ended.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cell is the platform and one data centre, each host a process of its own.
type cell struct {
	// terms is the text that is added to the settings file of every entry, such as
	// shortTermsConfig.
	terms      string
	dataCentre string
	// platformLink is the address at which the entries reach the platform: that of
	// the platform itself, or of a relay to it.
	platformLink string
	programs     programs
	platform     string
	workers      []*process
	minions      []*process
	entries      []*entryProcess
}

// entryProcess is a running entry and its addresses.
type entryProcess struct {
	*process
	callers   string
	peers     string
	operators string
}

// Pieces of the entries' settings files. The timings of most tests are short, so
// that takeovers happen soon.
const (
	shortTermsConfig = `
[terms]
lease = "3s"
renewal = "500ms"
delivery = "200ms"
heartbeat = "200ms"
suspect = "1s"
clockRateError = "30ms"
`
	defaultTermsConfig = ""
)

func startCell(c *qt.C, entries, workers, minions int) *cell {
	return startCellWith(c, shortTermsConfig, entries, workers, minions)
}

func startCellWith(c *qt.C, terms string, entries, workers, minions int) *cell {
	s := &cell{
		terms:      terms,
		programs:   buildPrograms(c),
		dataCentre: "klein-hall",
	}
	s.platform = startProgram(c, s.programs.standin, "platform", "--listen", "127.0.0.1:0", "--host-lag", "200ms").firstLine
	s.platformLink = s.platform
	s.startHosts(c, entries, workers, minions)
	return s
}

// startHosts starts the given numbers of entries, workers and minions in the data
// centre.
func (s *cell) startHosts(c *qt.C, entries, workers, minions int) {
	for i := range workers {
		s.workers = append(s.workers, startProgram(c, s.programs.standin, "worker", "--platform", s.platform,
			"--name", fmt.Sprintf("%s-worker-%d", s.dataCentre, i), "--data-centre", s.dataCentre, "--rack", fmt.Sprintf("rack-%d", i)))
	}
	for i := range minions {
		s.minions = append(s.minions, s.startMinion(c, fmt.Sprintf("minion-%d", i)))
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(c, fmt.Sprintf("%s-entry-%d", s.dataCentre, i)))
	}
}

func (s *cell) startMinion(c *qt.C, name string) *process {
	return startProgram(c, s.programs.standin, "minion", "--platform", s.platform,
		"--name", s.dataCentre+"-"+name, "--data-centre", s.dataCentre, "--service", "field-desk")
}

const entrySettings = `
[entry]
name = %q
dataCentre = %q
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"

[platform]
addresses = ["http://%s"]

[peers]
secret = "a secret of the whole cell"
seeds = [%s]
%s
[log]
level = "info"
format = "json"

[[operator]]
name = "asta"
token = "a token of an operator"
`

// startEntry starts an entry whose seeds are the entries that already run.
func (s *cell) startEntry(c *qt.C, name string) *entryProcess {
	var seeds []string
	for _, entry := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%q", entry.peers))
	}
	file := filepath.Join(c.TempDir(), name+".toml")
	settings := fmt.Appendf(nil, entrySettings, name, s.dataCentre, s.platformLink, strings.Join(seeds, ", "), s.terms)
	c.Assert(os.WriteFile(file, settings, 0o600), qt.IsNil)
	p := &entryProcess{
		process: startProgram(c, s.programs.galenacove, "entry", "--config", file),
	}
	line := strings.ReplaceAll(p.firstLine, ",", "")
	_, err := fmt.Sscanf(line, "callers %s peers %s operators %s", &p.callers, &p.peers, &p.operators)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", p.firstLine))
	return p
}

// await polls until the check holds, and fails the test after waitTimeout.
func await(c *qt.C, what string, check func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !check() {
		if time.Now().After(deadline) {
			c.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (e *entryProcess) do(c *qt.C, statement string) commander.Answer {
	answer, err := commander.New("http://"+e.operators, "a token of an operator").Do(context.Background(), statement)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", statement))
	return answer
}

// runCommand sends a command, checks that it is accepted, and returns its
// identity.
func (e *entryProcess) runCommand(c *qt.C, statement string) string {
	answer := e.do(c, statement)
	c.Assert(answer.Command, qt.IsNotNil)
	c.Assert(answer.Command.Outcome, qt.Equals, commander.Accepted, qt.Commentf("%s: %s", statement, answer.Command.Reason))
	return answer.Command.Identity
}

func (e *entryProcess) awaitRows(c *qt.C, query string, rows int) {
	await(c, query, func() bool {
		return len(e.do(c, query).Table.Rows()) == rows
	})
}

// sendRequest sends an idempotent request, and returns the status and the body of
// the answer.
func (e *entryProcess) sendRequest(body string) (status int, answer []byte, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/services/field-desk/check", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Galenacove-Team", "omuti")
	req.Header.Set("Galenacove-Idempotent", "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// healthy reports whether the health check for balancers succeeds.
func (e *entryProcess) healthy() bool {
	resp, err := http.Get("http://" + e.operators + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitMembers waits until all entries are healthy members.
func (s *cell) awaitMembers(c *qt.C) {
	for _, entry := range s.entries {
		await(c, "entries are healthy", entry.healthy)
	}
	s.entries[0].awaitRows(c, fmt.Sprintf("show members where dataCentre = %q", s.dataCentre), len(s.entries))
}

// configure sets the team and the service, and waits until every entry answers
// requests.
func (s *cell) configure(c *qt.C) {
	s.awaitMembers(c)
	s.entries[0].runCommand(c, "set team omuti weight 1")
	s.entries[0].runCommand(c, "set service field-desk team omuti")
	for _, entry := range s.entries {
		await(c, "requests are answered", func() bool {
			status, _, err := entry.sendRequest("probe")
			return err == nil && status == http.StatusOK
		})
	}
}
