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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/emulator"
)

// patience bounds every wait for a state. It is no measure: a test that needs
// longer is hung.
const patience = 90 * time.Second

// programs are the built commands.
type programs struct {
	galenacove string
	standin    string
}

func buildPrograms(c *qt.C) programs {
	dir := c.TempDir()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return programs{
		galenacove: filepath.Join(dir, "galenacove"),
		standin:    filepath.Join(dir, "standin"),
	}
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

func tail(text string) string {
	const most = 4000
	return text[max(0, len(text)-most):]
}

func (p *process) kill() {
	// A process that has ended already cannot be killed.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cell is a cell of separate processes.
type cell struct {
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
	operators string
}

func startCell(c *qt.C, entries, workers, minions int) *cell {
	s := &cell{
		programs: buildPrograms(c),
	}
	s.platform = start(c, s.programs.standin, "platform", "--listen", "127.0.0.1:0", "--host-lag", "200ms").first
	for i := range workers {
		s.workers = append(s.workers, start(c, s.programs.standin, "worker", "--platform", s.platform,
			"--name", fmt.Sprintf("worker-%d", i), "--data-centre", "klein-hall", "--rack", fmt.Sprintf("rack-%d", i)))
	}
	for i := range minions {
		s.minions = append(s.minions, start(c, s.programs.standin, "minion", "--platform", s.platform,
			"--name", fmt.Sprintf("minion-%d", i), "--data-centre", "klein-hall", "--service", "field-desk"))
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(c, fmt.Sprintf("entry-%d", i)))
	}
	return s
}

const entrySettings = `
[entry]
name = %q
dataCentre = "klein-hall"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"

[platform]
addresses = ["http://%s"]

[peers]
secret = "a secret of the whole cell"

[terms]
lease = "3s"
renewal = "500ms"
delivery = "200ms"
heartbeat = "200ms"
suspect = "1s"
clockRateError = "30ms"

[log]
level = "info"
format = "json"

[[operator]]
name = "asta"
token = "a token of an operator"
`

func (s *cell) startEntry(c *qt.C, name string) *entryProcess {
	file := filepath.Join(c.TempDir(), name+".toml")
	c.Assert(os.WriteFile(file, fmt.Appendf(nil, entrySettings, name, s.platform), 0o600), qt.IsNil)
	p := &entryProcess{
		process: start(c, s.programs.galenacove, "entry", "--config", file),
	}
	var peers string
	line := strings.ReplaceAll(p.first, ",", "")
	_, err := fmt.Sscanf(line, "callers %s peers %s operators %s", &p.callers, &peers, &p.operators)
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

// requestAll sends as many requests through the entries in turn and checks
// every answer against its own request.
func requestAll(c *qt.C, entries []*entryProcess, requests int) {
	const atOnce = 8
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i := range requests {
		group.Go(func() error {
			body := fmt.Sprintf("meter reading %d", i)
			status, answer, err := entries[i%len(entries)].request(body)
			if err != nil {
				return err
			}
			if status != http.StatusOK || !bytes.Equal(answer, emulator.Answer([]byte(body))) {
				return fmt.Errorf("request %d got %d: %s", i, status, answer)
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// configure makes the team and the service known, and waits until requests are
// answered by every entry.
func (s *cell) configure(c *qt.C) {
	for _, entry := range s.entries {
		await(c, "entries are healthy", func() bool {
			resp, err := http.Get("http://" + entry.operators + "/healthz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	s.entries[0].command(c, "set team omuti weight 1")
	s.entries[0].command(c, "set service field-desk team omuti")
	for _, entry := range s.entries {
		await(c, "requests are answered", func() bool {
			status, _, err := entry.request("probe")
			return err == nil && status == http.StatusOK
		})
	}
}

// TestWholePath sends requests through separate processes while a service, a
// batch job and a gang run.
func TestWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("the programs are built without the race detector")
	}
	c := qt.New(t)
	s := startCell(c, 2, 3, 3)
	s.configure(c)
	first, second := s.entries[0], s.entries[1]
	service := first.command(c, `submit service "listeners" team omuti tasks 2 cpu 1 memory 512MiB`)
	batch := second.command(c, `submit batch "reports" team omuti tasks 6 cpu 500m memory 256MiB for 1s`)
	gang := first.command(c, `submit gang "images" team omuti tasks 3 cpu 2 memory 1GiB for 1s`)
	requestAll(c, s.entries, 1000)
	first.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = active and running = 2", service), 1)
	second.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = done", batch), 1)
	second.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = done", gang), 1)
	second.command(c, fmt.Sprintf("stop job %q", service))
	first.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = cancelled and running = 0", service), 1)
}
