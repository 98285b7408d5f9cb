package main

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// stormServices returns the names of the services. Each has a partition of its own.
func stormServices(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		kind := "open"
		if i%2 == 1 {
			kind = "lab"
		}
		names = append(names, fmt.Sprintf("%s%d", kind, i))
	}
	return names
}

// isLab reports whether the workers of a service guard their capacity. The steps of its
// jobs need advice if the storm has an adviser.
func isLab(service string) bool { return strings.HasPrefix(service, "lab") }

// minServiceWorkers is the number of workers that a service has at least.
const minServiceWorkers = 6

// stormOptions are the options of the case.
type stormOptions struct {
	seed uint64
	// services is the number of services, among which the workers are divided.
	entries, workers, services int
	// status is status_s.
	status int
	// length is how long jobs are handed in, and tail how long jobs may take after that.
	length, tail time.Duration
	// jobs is the number of jobs a second.
	jobs float64
	// faults is how many faults go on at once.
	faults int
	// leavers is the percentage of clients that give up and cancel elsewhere.
	leavers         int
	advice, tenants bool
	// only names the kinds of faults to play, if it is not empty, and without those not to
	// play.
	only, without string
}

// storm is a run of the case: jobs beside random faults.
type storm struct {
	options  stormOptions
	rec      *recorder
	dir      string
	store    *store
	weather  *weather
	network  *network
	calendar *calendar
	ledger   *ledger
	adviser  *adviser
	clients  *stormClients

	mu      sync.Mutex
	entries []*entry
	// busy holds the entries and workers with a fault.
	busy    map[string]bool
	workers []*worker
	over    chan struct{}
	// nextID, nextEntry and version number the workers, the entries and the configurations.
	nextID, nextEntry, version int
	adviserAddress             string

	// background runs what lasts until the process ends.
	background errgroup.Group
}

func parseStormOptions(arguments []string) stormOptions {
	var o stormOptions
	flags := flag.NewFlagSet("storm", flag.ExitOnError)
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the faults and jobs")
	flags.IntVar(&o.entries, "entries", 6, "entries")
	flags.IntVar(&o.workers, "workers", 24, "workers")
	flags.IntVar(&o.services, "services", 4, "services")
	flags.IntVar(&o.status, "status", 120, "status_s")
	flags.DurationVar(&o.length, "length", time.Minute, "how long jobs are handed in")
	flags.DurationVar(&o.tail, "tail", 50*time.Second, "how long jobs may take after that")
	flags.Float64Var(&o.jobs, "jobs", 20, "jobs a second")
	flags.IntVar(&o.faults, "faults", 2, "faults at once")
	flags.IntVar(&o.leavers, "leavers", 15, "percentage of clients that give up and cancel elsewhere")
	flags.BoolVar(&o.advice, "advice", false, "play an adviser")
	flags.BoolVar(&o.tenants, "tenants", false, "play organisations")
	flags.StringVar(&o.only, "only", "", "kinds of faults to play, separated by commas")
	flags.StringVar(&o.without, "without", "", "kinds of faults not to play")
	flags.StringVar(&program, "program", program, "path of the program")
	_ = flags.Parse(arguments)
	// Each service has workers enough for a step that keeps its tasks apart, and for the
	// adviser's refusals.
	o.services = max(1, min(o.services, o.workers/minServiceWorkers))
	return o
}

// stormConfig returns the configuration of a storm.
func stormConfig(o stormOptions, a *adviser) map[string]any {
	c := config(1, stormServices(o.services)...)
	routes := c["routes"].([]map[string]any)
	for i, service := range c["services"].([]map[string]any) {
		route := routes[i]
		if isLab(service["name"].(string)) {
			service["preconditions"] = true
			if a != nil {
				route["recommendation"] = map[string]any{
					"decision_ms": a.decision.Milliseconds(), "period_ms": a.period.Milliseconds(), "validity_ms": a.validity.Milliseconds(),
				}
			}
			continue
		}
		urgent := maps.Clone(route)
		urgent["name"], urgent["path_prefix"], urgent["priority"] = "urgent-"+service["name"].(string), "/urgent-"+service["name"].(string)+"/", 0
		routes = append(routes, urgent)
	}
	c["routes"] = routes
	if o.tenants {
		c["tenants"] = []map[string]any{
			{"name": "first", "api_keys": []string{"key-first"}, "weight": 2, "maximum": map[string]any{"cpu": 300000, "mem_mb": 4000000, "gpu": 0}},
			{"name": "second", "api_keys": []string{"key-second"}, "weight": 1, "maximum": map[string]any{"cpu": 200000, "mem_mb": 4000000, "gpu": 0}},
		}
	}
	return c
}

// caseStorm plays jobs beside random faults, and checks the rules from what clients,
// workers and the store see.
func caseStorm(rec *recorder, dir string, o stormOptions) int {
	s := &storm{
		options:  o,
		rec:      rec,
		dir:      dir,
		weather:  newWeather(),
		calendar: &calendar{},
		busy:     make(map[string]bool),
		over:     make(chan struct{}),
	}
	s.network = newNetwork(&s.background)
	s.store = newStore(rec, 12)
	s.ledger = newLedger(rec, s.calendar, time.Duration(o.status)*time.Second)
	s.clients = &stormClients{
		storm: s,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 32,
			},
		},
	}
	rng := rand.New(rand.NewPCG(o.seed, 1))
	if o.advice {
		s.adviser = newAdviser(s)
		s.adviserAddress = serve("127.0.0.1", s.adviser)
		s.network.up(s.adviserAddress)
	}
	s.putConfig()
	services := stormServices(o.services)
	for i := range o.workers {
		s.addWorker(s.startWorker(services[i%len(services)], s.workerID(), "", fmt.Sprintf("r1-%d", i%4)))
	}
	for range o.entries {
		s.addEntry(rng)
	}
	for _, e := range s.entries {
		e.start()
	}
	awaitReady(s.entries...)
	time.Sleep(3 * time.Second)

	rec.say("the storm begins: %+v, %s", o, program)
	var group errgroup.Group
	group.Go(func() error {
		s.playJobs(&group, rng)
		return nil
	})
	s.playFaults(rand.New(rand.NewPCG(o.seed, 2)))
	rec.say("the storm is over")
	_ = group.Wait()
	s.recover()
	calmSince := time.Now()
	rec.say("all disruptions have ended")
	return s.verdict(calmSince)
}

// putConfig writes the next version of the configuration. Every other one has a further
// route.
func (s *storm) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c := stormConfig(s.options, s.adviser)
	c["version"] = s.version
	if s.version%2 == 0 {
		further := maps.Clone(c["routes"].([]map[string]any)[0])
		further["name"], further["path_prefix"] = "further", "/further/"
		c["routes"] = append(c["routes"].([]map[string]any), further)
	}
	s.store.put("op", "config", c)
}

// stormCores holds the processor shares of the entries of storms with an even seed. An entry
// leaves partitions to those with 1.6 times its share, so that few own any.
var stormCores = []string{"0.192", "0.3", "0.4", "0.48", "0.8"}

// addEntry adds an entry with a way to the store of its own.
func (s *storm) addEntry(rng *rand.Rand) *entry {
	s.mu.Lock()
	s.nextEntry++
	number := s.nextEntry
	s.mu.Unlock()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	name := fmt.Sprintf("edge-%s-%d", zones[number%3], number)
	link := newUplink(s.store, s.weather, s.network, s.ledger, name)
	e := newEntry(s.rec, s.dir, number, zones[number%3], link.addr, "", s.options.status)
	if e.name != name {
		cannotRun("add an entry", fmt.Errorf("name %s, want %s", e.name, name))
	}
	s.network.addEntry(e.name, e.ip, peerAddressOf(e))
	if s.options.seed%2 == 0 {
		e.replaceSetting("cpu_fraction = 0.4", "cpu_fraction = "+stormCores[rng.IntN(len(stormCores))])
	}
	if s.adviserAddress != "" {
		e.replaceSetting(`recommendation = ""`, fmt.Sprintf("recommendation = %q", s.network.seenFrom(e.name, s.adviserAddress)))
	}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	return e
}

// peerAddressOf returns the address of an entry for its peers, which its settings hold.
func peerAddressOf(e *entry) string {
	text, err := os.ReadFile(e.settings)
	if err != nil {
		cannotRun("read the settings", err)
	}
	var port int
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, "internal_ports = [%d,", &port); err == nil {
			break
		}
	}
	return fmt.Sprintf("%s:%d", e.ip, port)
}

func (s *storm) workerID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return fmt.Sprintf("i-%08x", 0x1a2b3c00+s.nextID)
}

func (s *storm) addWorker(w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
}

// replaceWorker has a life take the place of another one.
func (s *storm) replaceWorker(former, w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.workers, former); i >= 0 {
		s.workers[i] = w
	}
}

// workerNamed returns the present life of a worker, or nil.
func (s *storm) workerNamed(id string) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// entriesInOrder returns the entries in random order.
func (s *storm) entriesInOrder(rng *rand.Rand) []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := slices.Clone(s.entries)
	rng.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
	return entries
}

func (s *storm) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

// playJobs hands jobs in until the storm is over.
func (s *storm) playJobs(group *errgroup.Group, rng *rand.Rand) {
	keys := []string{""}
	if s.options.tenants {
		keys = []string{"key-first", "key-second"}
	}
	end := time.Now().Add(s.options.length)
	for number := 0; time.Now().Before(end); number++ {
		job := s.drawJob(rng, number)
		key := keys[number%len(keys)]
		clientRNG := rand.New(rand.NewPCG(s.options.seed, uint64(number)+100))
		group.Go(func() error {
			s.clients.play(clientRNG, job, key)
			return nil
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / s.options.jobs * float64(time.Second)))
	}
	close(s.over)
}

// recover ends all disruptions, and starts what is down.
func (s *storm) recover() {
	s.network.heal()
	s.weather.setWorkersOut(false)
	s.mu.Lock()
	entries, workers := slices.Clone(s.entries), slices.Clone(s.workers)
	s.mu.Unlock()
	for _, w := range workers {
		w.setMode(workerMode{})
	}
	for _, e := range entries {
		select {
		case <-e.done:
			e.start()
		default:
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}

// verdict waits for the jobs, makes the last checks and reports.
func (s *storm) verdict(calmSince time.Time) int {
	deadline := calmSince.Add(s.options.tail)
	settled := calmSince.Add(stormContact + stormCancel + stormStop + 2*time.Second)
	stuck := false
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		open := len(s.ledger.unfinished()) > 0
		stuck = open && s.ledger.sinceStart() > stuckAfter
		if time.Now().After(settled) && (stuck || !open) {
			break
		}
	}
	s.askForAll()
	s.rec.say("%d accepted jobs have not ended %.1f s after the last disruption, stuck: %v", len(s.ledger.unfinished()), time.Since(calmSince).Seconds(), stuck)
	s.ledger.finish(calmSince, stuck)
	return s.report()
}

// stuckAfter is the time without a start after which jobs that have not ended are taken to
// be lost. The longest run takes 15 s.
const stuckAfter = 16 * time.Second

// askForAll asks for the state of each accepted job that must still be known.
func (s *storm) askForAll() {
	var group errgroup.Group
	group.SetLimit(8)
	rng := rand.New(rand.NewPCG(s.options.seed, 3))
	for _, id := range s.ledger.accepted() {
		job := s.ledger.job(id)
		e := s.entriesInOrder(rng)[0]
		key := ""
		if s.options.tenants {
			number := 0
			_, _ = fmt.Sscanf(id[8:], "%x", &number)
			key = []string{"key-first", "key-second"}[number%2]
		}
		group.Go(func() error {
			s.clients.ask(&job, key, e)
			return nil
		})
	}
	_ = group.Wait()
}

// report prints the breaches and returns the exit code.
func (s *storm) report() int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	counts := map[string]int{}
	first := map[string]string{}
	for _, b := range s.ledger.breaches {
		key := b.rule + ", " + b.class
		counts[key]++
		if first[key] == "" {
			first[key] = b.text
		}
	}
	accepted, cancelled := 0, 0
	for _, j := range s.ledger.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
		if !j.cancelled.IsZero() {
			cancelled++
		}
	}
	s.rec.say("%d jobs, %d accepted, %d cancelled, %d starts by %d tokens, %d breaches; logs in %s", len(s.ledger.jobs), accepted, cancelled, s.ledger.starts, len(s.ledger.tokens), len(s.ledger.breaches), filepath.Clean(s.dir))
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.rec.say("%s: %d, first: %s", key, counts[key], first[key])
	}
	if len(counts) > 0 {
		return broken
	}
	return held
}

// stormLimit is the longest time that a storm may take.
func stormLimit(o stormOptions) time.Duration {
	return o.length + o.tail + time.Minute
}
