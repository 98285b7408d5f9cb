package dispatcher

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// chaos is a rig with fault injection.
type chaos struct {
	*rig
	jobCount   int
	entryCount int
	// service is the first service. It runs until the end; endFaults cancels
	// the others.
	service string
}

func newChaos(draw *rapid.T, fault fault) *chaos {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(draw, "loss")
	c := &chaos{
		rig: r,
	}
	for range rapid.IntRange(1, 3).Draw(draw, "entries") {
		c.newEntry()
	}
	checks := rapid.Bool().Draw(draw, "checks")
	for i := range rapid.IntRange(2, 6).Draw(draw, "workers") {
		r.addWorker(fmt.Sprintf("%c-%d", 'a'+i%3, i), cores(8), checks)
	}
	r.epoch(c.aliveEntries()...)
	return c
}

func (c *chaos) newEntry() {
	c.addEntry(fmt.Sprintf("entry-%d", c.entryCount))
	c.entryCount++
}

func (c *chaos) aliveEntries() []string {
	var names []string
	for _, name := range sortedKeys(c.entries) {
		if !c.entries[name].dead {
			names = append(names, name)
		}
	}
	return names
}

func (c *chaos) liveWorkers() []string {
	var names []string
	for _, name := range sortedKeys(c.workers) {
		if c.listed[name] && !c.workers[name].lost {
			names = append(names, name)
		}
	}
	return names
}

// submit appends a random job to the log.
func (c *chaos) submit(draw *rapid.T) {
	kind := rapid.SampledFrom([]recorder.JobKind{recorder.Batch, recorder.Batch, recorder.Gang, recorder.Service}).Draw(draw, "kind")
	tasks := rapid.IntRange(1, 8).Draw(draw, "tasks")
	n := rapid.Int64Range(1, 4).Draw(draw, "cores")
	if kind == recorder.Gang {
		// A gang must fit beside the one service that runs until the end.
		n = min(n, 2)
	}
	runTime := time.Duration(rapid.IntRange(200, 20_000).Draw(draw, "runTime")) * time.Millisecond
	if kind == recorder.Service {
		runTime = 0
		tasks = min(tasks, 2)
		if c.service == "" {
			tasks = 1
			c.service = fmt.Sprintf("job-%d", c.jobCount)
		}
	}
	c.append(testJob(fmt.Sprintf("job-%d", c.jobCount), kind, min(tasks, 4), cores(n), runTime))
	c.jobCount++
}

// injectFault injects one random fault, or submits or cancels a job.
func (c *chaos) injectFault(draw *rapid.T) {
	action := rapid.SampledFrom([]string{
		"submit", "submit", "cancel", "kill", "freeze", "freeze", "epoch", "epoch", "join",
		"cutLog", "cutWorker", "cutPeer", "restart", "loseWorker", "failing", "heal",
	}).Draw(draw, "action")
	entry := rapid.SampledFrom(c.aliveEntries()).Draw(draw, "entry")
	worker := rapid.SampledFrom(c.liveWorkers()).Draw(draw, "worker")
	c.trace("%v %s %s %s", c.clock.Now().Sub(c.start), action, entry, worker)
	switch action {
	case "submit":
		c.submit(draw)
	case "cancel":
		if c.jobCount > 0 {
			c.append(recorder.JobCancel{
				Job: fmt.Sprintf("job-%d", rapid.IntRange(0, c.jobCount-1).Draw(draw, "job")),
			})
		}
	case "kill":
		if len(c.aliveEntries()) > 1 {
			c.entries[entry].dead = true
		}
	case "freeze":
		c.entries[entry].frozenUntil = c.clock.Now().Add(time.Duration(rapid.IntRange(100, 12_000).Draw(draw, "pause")) * time.Millisecond)
	case "epoch":
		some := rapid.SliceOfDistinct(rapid.SampledFrom(c.aliveEntries()), rapid.ID[string]).Draw(draw, "members")
		if len(some) == 0 {
			some = c.aliveEntries()
		}
		c.epoch(some...)
	case "join":
		if len(c.entries) < 5 {
			c.newEntry()
			c.epoch(c.aliveEntries()...)
		}
	case "cutLog":
		c.entries[entry].logCutOff = !c.entries[entry].logCutOff
	case "cutWorker":
		if rapid.Bool().Draw(draw, "bothWays") {
			c.disconnect(entry, worker)
		}
		c.disconnected[[2]string{worker, entry}] = true
		c.workers[worker].wasCut = true
	case "cutPeer":
		c.disconnect(entry, c.aliveEntries()[0])
	case "restart":
		c.workers[worker].restart(time.Second)
	case "loseWorker":
		if len(c.liveWorkers()) > 2 {
			c.workers[worker].lost = true
			c.workers[worker].restart(time.Hour)
			c.schedule(2*time.Second, func() { c.listed[worker] = false })
		}
	case "failing":
		c.workers[worker].failing = !c.workers[worker].failing
	case "heal":
		clear(c.disconnected)
	}
}

// endFaults ends every fault, cancels the other services and begins an epoch
// with all living entries.
func (c *chaos) endFaults() {
	clear(c.disconnected)
	for _, e := range c.entries {
		e.logCutOff = false
		e.frozenUntil = time.Time{}
	}
	for _, w := range c.workers {
		w.failing = false
	}
	for _, state := range c.logState.Jobs() {
		if job := state.Job(); job.Policy == recorder.Service && job.ID != c.service {
			c.append(recorder.JobCancel{
				Job: job.ID,
			})
		}
	}
	c.run(12 * time.Second)
	c.epoch(c.aliveEntries()...)
}

// why returns the reasons that each entry gives for each task of a job.
func (c *chaos) why(job recorder.Job) string {
	reasons := ""
	for _, name := range c.aliveEntries() {
		for index := range job.Tasks {
			id := namer.TaskID{
				Job:   job.ID,
				Index: index,
			}
			if reason, ok := c.entries[name].tables.why(id); ok {
				reasons += fmt.Sprintf("\n%s of %d: %s", name, index, reason)
			}
		}
	}
	return reasons
}

// unfinished describes a job that has not reached its final state, empty if
// there is none.
func (c *chaos) unfinished() string {
	for _, state := range c.logState.Jobs() {
		if _, ended := state.Ended(); ended {
			continue
		}
		job := state.Job()
		if job.Policy != recorder.Service || state.Cancelled() {
			return fmt.Sprintf("job %s has not ended: %s", job.ID, c.why(job))
		}
		running := 0
		for id, runs := range c.runs {
			if id.Job == job.ID {
				running += len(runs)
			}
		}
		if running != job.Tasks {
			return fmt.Sprintf("service %s runs %d of %d tasks: %s", job.ID, running, job.Tasks, c.why(job))
		}
	}
	return ""
}

// runChaos injects random faults, ends them and waits for all jobs. It returns
// the rig with its violations, and what is unfinished in the end.
func runChaos(draw *rapid.T, fault fault) (*chaos, string) {
	c := newChaos(draw, fault)
	c.run(time.Duration(rapid.IntRange(0, 10_000).Draw(draw, "start")) * time.Millisecond)
	for range rapid.IntRange(1, 25).Draw(draw, "steps") {
		c.injectFault(draw)
		c.run(time.Duration(rapid.IntRange(10, 5_000).Draw(draw, "wait")) * time.Millisecond)
		if len(c.violations) > 0 {
			return c, ""
		}
	}
	c.endFaults()
	c.runUntil(5*time.Minute, func() bool { return c.unfinished() == "" || len(c.violations) > 0 })
	return c, c.unfinished()
}

// TestNothingTwiceNothingLost checks under random faults that no task runs twice,
// that no finished task is forgotten before the log has it, and that every job
// reaches its final state afterwards.
func TestNothingTwiceNothingLost(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		c, unfinished := runChaos(draw, 0)
		if len(c.violations) > 0 {
			draw.Fatalf("%v", c.violations)
		}
		if unfinished != "" {
			draw.Fatalf("left: %s", unfinished)
		}
	})
}

// TestGangsStartWhole checks that gangs that contend for workers start with
// capacity for every task, and that all of them run.
func TestGangsStartWhole(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		r := gangRig(draw, 0)
		if len(r.violations) > 0 {
			draw.Fatalf("%v", r.violations)
		}
		for _, state := range r.logState.Jobs() {
			if _, ended := state.Ended(); !ended {
				draw.Fatalf("gang %s has not run", state.Job().ID)
			}
		}
	})
}

// gangRig lets gangs contend for the workers of two owners.
func gangRig(draw *rapid.T, fault fault) *rig {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.requireWholeGangs = true
	r.lossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(draw, "loss")
	r.addEntry("entry-0")
	r.addEntry("entry-1")
	for i := range 4 {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), true)
	}
	r.epoch("entry-0", "entry-1")
	for i := range rapid.IntRange(2, 5).Draw(draw, "gangs") {
		tasks := rapid.IntRange(3, 8).Draw(draw, "tasks")
		r.append(testJob(fmt.Sprintf("gang-%d", i), recorder.Gang, tasks, cores(4), 3*time.Second))
	}
	r.runUntil(5*time.Minute, func() bool {
		return len(r.violations) > 0 || !slices.ContainsFunc(r.logState.Jobs(), func(s replayer.JobState) bool {
			_, ended := s.Ended()
			return !ended
		})
	})
	return r
}

// contendingOwners lets two owners take over from each other under a steady
// load, at workers that refuse nothing and only report their epoch.
func contendingOwners(draw *rapid.T, fault fault) *chaos {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	c := &chaos{
		rig: r,
	}
	c.newEntry()
	c.newEntry()
	for i := range 3 {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), false)
	}
	r.epoch(c.aliveEntries()...)
	c.submitRepeatedly()
	r.run(6 * time.Second)
	for range rapid.IntRange(1, 6).Draw(draw, "steps") {
		entry := c.entries[rapid.SampledFrom(c.aliveEntries()).Draw(draw, "entry")]
		pause := time.Duration(rapid.IntRange(3000, 12_000).Draw(draw, "pause")) * time.Millisecond
		r.trace("%v pause %s for %v", r.clock.Now().Sub(r.start), entry.name, pause)
		switch rapid.SampledFrom([]string{"freeze", "deafen", "exclude"}).Draw(draw, "action") {
		case "freeze":
			for tries := 0; tries < 500 && !entry.hasStartInFlight(); tries++ {
				r.run(time.Millisecond)
			}
			entry.frozenUntil = r.clock.Now().Add(pause)
		case "deafen":
			cutAll := rapid.Bool().Draw(draw, "all")
			for _, name := range c.liveWorkers() {
				if cutAll || c.chance(0.5) {
					r.disconnected[[2]string{name, entry.name}] = true
					c.workers[name].wasCut = true
				}
			}
			r.schedule(pause, func() { clear(r.disconnected) })
		default:
			entry.logCutOff = true
			r.schedule(pause, func() { entry.logCutOff = false })
		}
		if rapid.Bool().Draw(draw, "replaced") {
			r.run(time.Duration(rapid.IntRange(0, 2000).Draw(draw, "noticed")) * time.Millisecond)
			r.epoch(slices.DeleteFunc(c.aliveEntries(), func(name string) bool { return name == entry.name })...)
		}
		r.run(pause + time.Second)
		r.epoch(c.aliveEntries()...)
		r.run(time.Duration(rapid.IntRange(0, 6000).Draw(draw, "wait")) * time.Millisecond)
	}
	return c
}

// loseAnswers cuts the answers of one worker to its owner, while the worker
// still receives the owner's messages and other workers have capacity for its
// tasks.
func loseAnswers(draw *rapid.T, fault fault) *rig {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.addEntry("entry-0")
	for i := range 3 {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), false)
	}
	r.epoch("entry-0")
	r.append(testJob("long", recorder.Batch, 6, cores(2), time.Hour))
	r.runUntil(time.Minute, func() bool { return r.running("long") == 6 })
	r.run(time.Duration(rapid.IntRange(0, 3000).Draw(draw, "wait")) * time.Millisecond)
	for _, name := range sortedKeys(r.workers) {
		if r.workers[name].used.IsZero() {
			continue
		}
		r.trace("%v cut off answers of %s", r.clock.Now().Sub(r.start), name)
		r.disconnected[[2]string{name, "entry-0"}] = true
		break
	}
	r.run(30 * time.Second)
	return r
}

func TestLapsedTasksRunElsewhere(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		r := loseAnswers(draw, 0)
		if len(r.violations) > 0 {
			draw.Fatalf("%v", r.violations)
		}
		if n := r.running("long"); n != 6 {
			draw.Fatalf("%d of 6 tasks run", n)
		}
	})
}

// hasStartInFlight reports whether the entry has a start order without an answer
// yet.
func (e *rigEntry) hasStartInFlight() bool {
	for _, l := range e.tables.links.byName {
		for _, s := range l.runs {
			if s.state == runSending {
				return true
			}
		}
	}
	return false
}

// submitRepeatedly submits a job at random intervals, in total more work than
// the workers can hold.
func (c *chaos) submitRepeatedly() {
	c.schedule(time.Duration(c.random.Int64N(int64(600*time.Millisecond))), func() {
		runTime := time.Second + time.Duration(c.random.Int64N(int64(8*time.Second)))
		c.append(testJob(fmt.Sprintf("job-%d", c.jobCount), recorder.Batch, 2, cores(3), runTime))
		c.jobCount++
		c.submitRepeatedly()
	})
}

func TestOwnersTakeOverFromEachOther(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		if c := contendingOwners(draw, 0); len(c.violations) > 0 {
			draw.Fatalf("%v", c.violations)
		}
	})
}

// TestSeededFaultsAreFound checks that the property tests above find a violation
// if a rule of the dispatcher is broken on purpose.
func TestSeededFaultsAreFound(t *testing.T) {
	const tries = 1000
	chaosViolations := func(fault fault) func(*rapid.T) []string {
		return func(draw *rapid.T) []string {
			c, _ := runChaos(draw, fault)
			return c.violations
		}
	}
	takeoverViolations := func(fault fault) func(*rapid.T) []string {
		return func(draw *rapid.T) []string {
			return contendingOwners(draw, fault).violations
		}
	}
	lapseViolations := func(draw *rapid.T) []string {
		return loseAnswers(draw, faultEarlyLapse).violations
	}
	gangViolations := func(draw *rapid.T) []string {
		return gangRig(draw, faultPartialGang).violations
	}
	for _, test := range []struct {
		name  string
		run   func(*rapid.T) []string
		shows string
	}{
		{"early takeover", takeoverViolations(faultEarlyTakeover), "task .* started at .* runs at|worker .* holds"},
		{"early lapse", lapseViolations, "task .* started at .* runs at|worker .* holds"},
		{"early acknowledgement", chaosViolations(faultEarlyAcknowledge), "forgot the finished task"},
		{"late start", takeoverViolations(faultLateStart), "task .* started at .* runs at|worker .* holds"},
		{"no census", chaosViolations(faultNoCensus), "task .* started at .* runs at"},
		{"unknown start forgotten", chaosViolations(faultForgetUnknown), "task .* started at .* runs at|worker .* holds"},
		{"partial gang", gangViolations, "gang .* started with room for"},
	} {
		t.Run(test.name, func(t *testing.T) {
			shows := regexp.MustCompile(test.shows)
			generator := rapid.Custom(test.run)
			for seed := range tries {
				if slices.ContainsFunc(generator.Example(seed), shows.MatchString) {
					t.Logf("found by run %d", seed+1)
					return
				}
			}
			t.Fatalf("not found in %d runs", tries)
		})
	}
}
