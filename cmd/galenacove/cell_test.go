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

// patience bounds every wait for a state. It is no measure: a test that needs
// longer is hung.
const patience = 90 * time.Second

// programs are the built commands.
type programs struct {
	galenacove string
	standin    string
}

// builtDir has the programs, once they are built.
var builtDir string

// build makes the programs once for all tests of the package.
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

// process is one running program.
type process struct {
	cmd *exec.Cmd
	// first is the first line that the program printed.
	first string
	logs  *bytes.Buffer
}

// start runs a program, waits for its first line and ends it with the test.
func start(c *qt.C, name string, args ...string) *process {
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
	p.first, err = bufio.NewReader(stdout).ReadString('\n')
	c.Assert(err, qt.IsNil, qt.Commentf("%s", p.logs))
	p.first = strings.TrimSpace(p.first)
	return p
}

// runCommand runs a program to its end and returns what it printed.
func runCommand(name string, args ...string) (string, error) {
	out, err := exec.Command(name, args...).CombinedOutput()
	return string(out), err
}

func tail(text string) string {
	const most = 4000
	return text[max(0, len(text)-most):]
}

func (p *process) kill() {
	// A process that has ended already cannot be killed.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cell is one data centre of separate processes, with the platform.
type cell struct {
	terms      string
	dataCentre string
	// link is the address under which the entries reach the platform.
	link     string
	programs programs
	platform string
	workers  []*process
	minions  []*process
	entries  []*entryProcess
}

// entryProcess is a running entry and its addresses.
type entryProcess struct {
	*process
	callers   string
	peers     string
	operators string
}

// The terms of the tests are short, so that takeovers are soon.
const (
	shortTerms = `
[terms]
lease = "3s"
renewal = "500ms"
delivery = "200ms"
heartbeat = "200ms"
suspect = "1s"
clockRateError = "30ms"
`
	defaultTerms = ""
)

func startCell(c *qt.C, entries, workers, minions int) *cell {
	return startCellWith(c, shortTerms, entries, workers, minions)
}

func startCellWith(c *qt.C, terms string, entries, workers, minions int) *cell {
	s := &cell{
		terms:      terms,
		programs:   buildPrograms(c),
		dataCentre: "klein-hall",
	}
	s.platform = start(c, s.programs.standin, "platform", "--listen", "127.0.0.1:0", "--host-lag", "200ms").first
	s.link = s.platform
	s.populate(c, entries, workers, minions)
	return s
}

// populate starts the hosts of the data centre.
func (s *cell) populate(c *qt.C, entries, workers, minions int) {
	for i := range workers {
		s.workers = append(s.workers, start(c, s.programs.standin, "worker", "--platform", s.platform,
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
	return start(c, s.programs.standin, "minion", "--platform", s.platform,
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

// startEntry starts an entry that knows the addresses of all that run.
func (s *cell) startEntry(c *qt.C, name string) *entryProcess {
	var seeds []string
	for _, entry := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%q", entry.peers))
	}
	file := filepath.Join(c.TempDir(), name+".toml")
	settings := fmt.Appendf(nil, entrySettings, name, s.dataCentre, s.link, strings.Join(seeds, ", "), s.terms)
	c.Assert(os.WriteFile(file, settings, 0o600), qt.IsNil)
	p := &entryProcess{
		process: start(c, s.programs.galenacove, "entry", "--config", file),
	}
	line := strings.ReplaceAll(p.first, ",", "")
	_, err := fmt.Sscanf(line, "callers %s peers %s operators %s", &p.callers, &p.peers, &p.operators)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", p.first))
	return p
}

// await asks until the check holds.
func await(c *qt.C, what string, check func() bool) {
	deadline := time.Now().Add(patience)
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

func (e *entryProcess) command(c *qt.C, statement string) string {
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

// request sends a request and returns the status and the answer's bytes.
func (e *entryProcess) request(body string) (status int, answer []byte, err error) {
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

// healthy asks as a balancer does.
func (e *entryProcess) healthy() bool {
	resp, err := http.Get("http://" + e.operators + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until all entries are healthy members.
func (s *cell) await(c *qt.C) {
	for _, entry := range s.entries {
		await(c, "entries are healthy", entry.healthy)
	}
	s.entries[0].awaitRows(c, fmt.Sprintf("show members where dataCentre = %q", s.dataCentre), len(s.entries))
}

// configure makes the team and the service known, and waits until requests are
// answered by every entry.
func (s *cell) configure(c *qt.C) {
	s.await(c)
	s.entries[0].command(c, "set team omuti weight 1")
	s.entries[0].command(c, "set service field-desk team omuti")
	for _, entry := range s.entries {
		await(c, "requests are answered", func() bool {
			status, _, err := entry.request("probe")
			return err == nil && status == http.StatusOK
		})
	}
}
