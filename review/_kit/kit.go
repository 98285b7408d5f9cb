// Command kit holds the stand-ins and the scripts of the review's cases: it starts the
// project's program as separate processes, and plays the platform's store, the minions and
// the clients in its own process.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func cannotRun(what string, err error) {
	fmt.Fprintf(os.Stderr, "the case could not run: %s: %v\n", what, err)
	endAll()
	os.Exit(couldNot)
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	// limitedAt is the time of the last line of limited.
	limitedAt time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("create the record", err)
	}
	return &recorder{began: time.Now(), file: file}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// limited writes at most one line a second.
func (r *recorder) limited(format string, args ...any) {
	r.mu.Lock()
	if time.Since(r.limitedAt) < time.Second {
		r.mu.Unlock()
		return
	}
	r.limitedAt = time.Now()
	r.mu.Unlock()
	r.printf(format, args...)
}

// say writes to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// judge knows all runs and their ends.
type judge struct {
	mu     sync.Mutex
	rec    *recorder
	starts []runStart
	// doneNoted holds the time at which the end done of a task was taken note of.
	doneNoted map[string]time.Time
	active    map[string]map[string]bool
	// twice lists the starts that break TWICE.
	twice []string
	ends  map[string][]string
}

type runStart struct {
	at           time.Time
	minion, task string
	attempt      int64
}

func newJudge(rec *recorder) *judge {
	return &judge{rec: rec, doneNoted: map[string]time.Time{}, active: map[string]map[string]bool{}, ends: map[string][]string{}}
}

func (j *judge) started(minion, task string, attempt int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = append(j.starts, runStart{at: time.Now(), minion: minion, task: task, attempt: attempt})
	if at, found := j.doneNoted[task]; found {
		j.twice = append(j.twice, fmt.Sprintf("%s attempt %d started on %s %.1f s after its end done was taken note of", task, attempt, minion, time.Since(at).Seconds()))
	}
	if j.active[task] == nil {
		j.active[task] = map[string]bool{}
	}
	if len(j.active[task]) > 0 {
		j.twice = append(j.twice, fmt.Sprintf("%s attempt %d started on %s beside another run of it", task, attempt, minion))
	}
	j.active[task][fmt.Sprintf("%s#%d", minion, attempt)] = true
}

func (j *judge) ended(minion, task string, attempt int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.active[task], fmt.Sprintf("%s#%d", minion, attempt))
	j.ends[task] = append(j.ends[task], how)
}

func (j *judge) noted(_, task string, _ int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, found := j.doneNoted[task]; how == "done" && !found {
		j.doneNoted[task] = time.Now()
	}
}

// startsOf returns the starts of the tasks of a job.
func (j *judge) startsOf(id string) []runStart {
	j.mu.Lock()
	defer j.mu.Unlock()
	var starts []runStart
	for _, s := range j.starts {
		if strings.HasPrefix(s.task, id+".") {
			starts = append(starts, s)
		}
	}
	return starts
}

// program is the path of the project's program.
var program = "target/galenacove"

// entry is a process of the project.
type entry struct {
	name, ip, dir  string
	front, ready   string
	settings, logs string
	rec            *recorder
	cmd            *exec.Cmd
	done           chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*entry
)

// endAll kills all processes that were started.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, e := range processes {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
	}
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("find a free port", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// newEntry writes the settings of an entry host. The host has a loopback address of its
// own, as each machine of a deployment has an address of its own.
func newEntry(rec *recorder, dir string, number int, zone, storeAddr, extraBounds string, statusS int) *entry {
	// Each run has addresses of its own, so that runs do not meet.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 46+pid>>8%64, pid%256, number)
	e := &entry{
		name: fmt.Sprintf("edge-%s-%d", zone, number), ip: ip, dir: dir, rec: rec,
		front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)),
	}
	peer := freePort(ip)
	e.settings = filepath.Join(dir, e.name+".toml")
	e.logs = filepath.Join(dir, e.name+".log")
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region-1"
internal_ports = [%d,%d]
seed_nodes = []
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform","advice"]
control_mode = "rpc"
recommendation = ""
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[bind_addresses]
frontend = %q
readiness = %q
[limits]
cpu_fraction = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_skew_ms = 5000
recovery_s = 12
hold_limit_ms = %d
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %d
remote_factor = 1.5
%s
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
ttl_min_ms = 1000
`, e.name, ip, zone, peer, peer+1, e.front, e.ready, holdLimitMS, statusS, extraBounds, storeAddr)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		cannotRun("write the settings", err)
	}
	return e
}

// start starts the process with the command of deploy/system.toml.
func (e *entry) start() {
	logs, err := os.OpenFile(e.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open the log", err)
	}
	cmd := exec.Command(program, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENACOVE_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start target/galenacove", err)
	}
	logs.Close()
	done := make(chan struct{})
	processesMu.Lock()
	e.cmd, e.done = cmd, done
	known := false
	for _, p := range processes {
		known = known || p == e
	}
	if !known {
		processes = append(processes, e)
	}
	processesMu.Unlock()
	e.rec.printf("%s: started, pid %d, clients at %s", e.name, cmd.Process.Pid, e.front)
	go func() {
		err := cmd.Wait()
		e.rec.printf("%s: ended (%v)", e.name, err)
		close(done)
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.rec.printf("%s: signal %v", e.name, s)
	if err := e.cmd.Process.Signal(s); err != nil {
		cannotRun("signal", err)
	}
}

// restart stops the process with SIGTERM, as the platform does, and starts it again.
func (e *entry) restart() {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(6 * time.Second):
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	e.start()
}

func (e *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(entries ...*entry) {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				cannotRun("wait for "+e.name, fmt.Errorf("not ready in 20 s, see %s", e.logs))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

const routeHost = "jobs.example"

// call makes one call of a client on a connection of its own. status is 0 without an
// answer.
func call(rec *recorder, e *entry, method, path string, body any, timeout time.Duration) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		cannotRun("make a request", err)
	}
	request.Host = routeHost
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	resp, err := client.Do(request)
	if err != nil {
		rec.printf("client: %s %s at %s: no answer in %.3f s (%v)", method, path, e.name, time.Since(began).Seconds(), err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	rec.printf("client: %s %s at %s: %d %s in %.3f s", method, path, e.name, resp.StatusCode, strings.TrimSpace(string(text)), time.Since(began).Seconds())
	return resp.StatusCode, string(text)
}

// job returns the body of a job with one phase of n tasks that take the time.
func job(n int, takes time.Duration) map[string]any {
	return map[string]any{
		"spec":   takes.String(),
		"phases": []map[string]any{{"task_count": n, "cpu": 500, "mem_mb": 256, "estimate_ms": max(100, takes.Milliseconds())}},
	}
}

// config returns a configuration with one queue for each service.
func config(version int, services ...string) map[string]any {
	routes := []map[string]any{}
	defined := []map[string]any{}
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "q-" + s, "host": routeHost, "path_prefix": "/" + s + "/", "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 1, "service": s, "max_attempts": 3, "slack_factor": 2.2,
		})
		defined = append(defined, map[string]any{
			"name": s, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false,
			"preconditions": false, "standby": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": defined,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// limit is the longest time that a case may take.
const limit = 118 * time.Second

func main() {
	if len(os.Args) < 3 || len(os.Args) > 3 && os.Args[1] != "storm" {
		cannotRun("usage", fmt.Errorf("kit CASE FOLDER, or kit storm FOLDER OPTIONS"))
	}
	folder := os.Args[2]
	dir, err := os.MkdirTemp("", "review46-")
	if err != nil {
		cannotRun("make a temporary folder", err)
	}
	rec := newRecorder(filepath.Join(folder, "record.txt"))
	cases := map[string]func(*recorder, string) int{
		"retention": caseRetention,
		"cancel":    caseCancel,
		"rolling":   caseRolling,
		"repeated":  caseRepeated,
		"begun":     caseBegun,
		"wide":      caseWide,
		"odd":       caseOdd,
	}
	play := cases[os.Args[1]]
	limit := limit
	if os.Args[1] == "storm" {
		options := parseStormOptions(os.Args[3:])
		limit = stormLimit(options)
		play = func(rec *recorder, _ string) int { return caseStorm(rec, folder, options) }
	}
	if play == nil {
		cannotRun("usage", fmt.Errorf("no case %q", os.Args[1]))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { cannotRun("run to the end", fmt.Errorf("signal %v", <-signals)) }()
	if os.Getenv("STATUS_S") != "" {
		// A longer trial of a case, not the case itself.
		limit *= 3
	}
	time.AfterFunc(limit, func() { cannotRun("limit", fmt.Errorf("the case took longer than %v", limit)) })
	code := play(rec, dir)
	endAll()
	verdict := map[int]string{held: "HELD", broken: "BROKEN", couldNot: "COULD NOT RUN"}[code]
	rec.say("verdict: %s", verdict)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

// replaceSetting changes a line of the settings.
func (e *entry) replaceSetting(old, replacement string) {
	text, err := os.ReadFile(e.settings)
	if err != nil {
		cannotRun("read the settings", err)
	}
	if err := os.WriteFile(e.settings, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		cannotRun("write the settings", err)
	}
}
