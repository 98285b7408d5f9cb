package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cell is a small deployment: entry hosts as separate processes, and stand-ins for the
// platform's store, the minions and the clients.
type cell struct {
	dir     string
	trouble bool
	// reborn is set if minions start again under their ids, as demands/LATER.md says.
	reborn bool
	began  time.Time
	store  *store
	// recommendation is the address of the adviser, empty if there is none.
	recommendation string
	minions        []*minion
	entries        []*entry
	client         *http.Client

	mu  sync.Mutex
	log *os.File
	// events holds what the minions did, in order.
	events []event
}

// event is something that happened to a run.
type event struct {
	at      time.Time
	task    string
	attempt int64
	minion  string
	what    string
}

type entry struct {
	name, ip, settings string
	frontend, ready    string
	ports              []int
	cmd                *exec.Cmd
}

func newCell(dir string) (*cell, error) {
	logFile, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &cell{
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
		reborn:  os.Getenv("REBORN") != "",
		began:   time.Now(),
		log:     logFile,
		client:  &http.Client{Timeout: 3 * time.Second},
	}
	c.store, err = newStore()
	return c, err
}

// record writes a line to record.txt.
func (c *cell) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.log, "%7.3f "+format+"\n", append([]any{time.Since(c.began).Seconds()}, args...)...)
}

// ran records what a minion did with a run.
func (c *cell) ran(task string, attempt int64, minion, what string) {
	c.record("run %s attempt %d on %s: %s", task, attempt, minion, what)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event{time.Now(), task, attempt, minion, what})
}

// eventsOf returns the events of the runs of a job.
func (c *cell) eventsOf(job string) []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var of []event
	for _, e := range c.events {
		if strings.HasPrefix(e.task, job+".") {
			of = append(of, e)
		}
	}
	return of
}

// freePort returns a port that is free on the address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// addEntries writes the settings of n entry hosts, each with a loopback address of its own.
func (c *cell) addEntries(n int) error {
	temp, err := os.MkdirTemp("", "review-cell-")
	if err != nil {
		return err
	}
	for i := range n {
		e := &entry{name: fmt.Sprintf("edge-z1-%d", i+1), ip: fmt.Sprintf("127.0.%d.1", 40+i)}
		ports := make([]int, 4)
		for j := range ports {
			if ports[j], err = freePort(e.ip); err != nil {
				return err
			}
		}
		e.frontend = fmt.Sprintf("%s:%d", e.ip, ports[0])
		e.ready = fmt.Sprintf("%s:%d", e.ip, ports[1])
		e.settings = filepath.Join(temp, e.name+".toml")
		e.ports = ports
		if err := c.writeSettings(e); err != nil {
			return err
		}
		c.entries = append(c.entries, e)
	}
	return nil
}

// writeSettings writes the settings file of an entry host.
func (c *cell) writeSettings(e *entry) error {
	text := fmt.Sprintf(settingsText, e.name, e.ip, e.ports[2], e.ports[2], c.recommendation, e.frontend, e.ready,
		fmt.Sprintf("%s:%d", e.ip, e.ports[3]), cpuFraction(), c.statusSeconds(), c.store.address)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// settingsText has the fields and figures of DEPLOY.md.
const settingsText = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = "z1"
region = "r1"
internal_ports = [%d,%d]
bootstrap = true
loss_counts = false
discovery = "platform"
entrypoint = "virtual_ip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control_mode = "rpc"
recommendation = %q
[zones]
z1 = "r1"
[bind_addresses]
frontend = %q
readiness = %q
control_plane = %q
[limits]
cpu_fraction = %s
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
region_count = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_limit_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %d
remote_factor = 1.5
checkpoint_s = 2
restore_ms = 100
notice_ms = 4500
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
`

// cpuFraction is the share of a core of an entry host.
func cpuFraction() string {
	if text := os.Getenv("CPU"); text != "" {
		return text
	}
	return "0.4"
}

// statusSeconds returns for how long the states of ended jobs are kept.
func (c *cell) statusSeconds() int {
	if s, err := strconv.Atoi(os.Getenv("STATUS")); err == nil {
		return s
	}
	return 120
}

// start starts the process of an entry host with the command of deploy/system.toml.
func (c *cell) start(e *entry) error {
	out, err := os.OpenFile(strings.TrimSuffix(e.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	program := "target/galenacove"
	if other := os.Getenv("HOST_PROGRAM"); other != "" {
		// Such as one built with the race detector.
		program = other
	}
	e.cmd = exec.Command(program, "host")
	e.cmd.Env = []string{"GALENACOVE_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	// The process ends with this one.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.record("entry %s starts, its log is %s", e.name, out.Name())
	return e.cmd.Start()
}

// stop ends all processes that the case started.
func (c *cell) stop() {
	for _, e := range c.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			e.cmd.Process.Signal(syscall.SIGCONT)
			e.cmd.Process.Kill()
			e.cmd.Wait()
		}
	}
}

// awaitReady waits until all entries answer their readiness probe with 200.
func (c *cell) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range c.entries {
		for {
			resp, err := c.client.Get("http://" + e.ready + "/-/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.record("all entries are ready")
	return nil
}

// call is a client's call. The status is 0 if there was no answer.
func (c *cell) call(e *entry, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		sent := make(map[string]any)
		for key, value := range body.(map[string]any) {
			switch key {
			case "spec", "phases", "start_at_ms", "interval_ms", "repetitions":
				sent[key] = value
			}
		}
		data, _ := json.Marshal(sent)
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+e.frontend+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.record("%s %s at %s: %v", method, path, e.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	c.record("%s %s at %s: %d %s", method, path, e.name, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}

// submit hands a job in, again as long as there is no 2xx. It returns the time of the answer.
func (c *cell) submit(e *entry, path string, body any) (time.Time, error) {
	for range 8 {
		if status, _ := c.call(e, "POST", path, body); status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, fmt.Errorf("the job %s was not accepted", path)
}

// owner returns the entry that has taken over a partition last, by the entries' logs.
func (c *cell) owner() *entry {
	var owner *entry
	latest := ""
	for _, e := range c.entries {
		data, err := os.ReadFile(strings.TrimSuffix(e.settings, ".toml") + ".log")
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			var entry struct{ Message, Time string }
			if !strings.Contains(line, "took over the partition") || json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			if entry.Time >= latest {
				owner, latest = e, entry.Time
			}
		}
	}
	return owner
}
