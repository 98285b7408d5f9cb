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

// chaos is a rig to which faults happen.
type chaos struct {
	*rig
	jobs  int
	names int
	// service is the first service; the others are cancelled in the end.
	service string
}

func newChaos(draw *rapid.T, fault fault) *chaos {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(draw, "loss")
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
	r.epoch(c.alive()...)
	return c
}

func (c *chaos) newEntry() {
	c.addEntry(fmt.Sprintf("entry-%d", c.names))
	c.names++
}

func (c *chaos) alive() []string {
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

// submit puts a job into the log.
func (c *chaos) submit(draw *rapid.T) {
	kind := rapid.SampledFrom([]recorder.JobKind{recorder.Batch, recorder.Batch, recorder.Gang, recorder.Service}).Draw(draw, "kind")
	tasks := rapid.IntRange(1, 8).Draw(draw, "tasks")
	n := rapid.Int64Range(1, 4).Draw(draw, "cores")
	if kind == recorder.Gang {
		// A gang fits beside the one service that stays to the end.
		n = min(n, 2)
	}
	runTime := time.Duration(rapid.IntRange(200, 20_000).Draw(draw, "runTime")) * time.Millisecond
	if kind == recorder.Service {
		runTime = 0
		tasks = min(tasks, 2)
		if c.service == "" {
			tasks = 1
			c.service = fmt.Sprintf("job-%d", c.jobs)
		}
	}
	c.append(testJob(fmt.Sprintf("job-%d", c.jobs), kind, min(tasks, 4), cores(n), runTime))
	c.jobs++
}

// fail makes one thing go wrong.
func (c *chaos) fail(draw *rapid.T) {
	action := rapid.SampledFrom([]string{
		"submit", "submit", "cancel", "kill", "freeze", "freeze", "epoch", "epoch", "join",
		"cutLog", "cutWorker", "cutPeer", "restart", "loseWorker", "failing", "heal",
	}).Draw(draw, "action")
	entry := rapid.SampledFrom(c.alive()).Draw(draw, "entry")
	worker := rapid.SampledFrom(c.liveWorkers()).Draw(draw, "worker")
	c.trace("%v %s %s %s", c.clock.Now().Sub(c.start), action, entry, worker)
	switch action {
	case "submit":
		c.submit(draw)
	case "cancel":
		if c.jobs > 0 {
			c.append(recorder.JobCancel{
				Job: fmt.Sprintf("job-%d", rapid.IntRange(0, c.jobs-1).Draw(draw, "job")),
			})
		}
	case "kill":
		if len(c.alive()) > 1 {
			c.entries[entry].dead = true
		}
	case "freeze":
		c.entries[entry].frozen = c.clock.Now().Add(time.Duration(rapid.IntRange(100, 12_000).Draw(draw, "pause")) * time.Millisecond)
	case "epoch":
		some := rapid.SliceOfDistinct(rapid.SampledFrom(c.alive()), rapid.ID[string]).Draw(draw, "members")
		if len(some) == 0 {
			some = c.alive()
		}
		c.epoch(some...)
	case "join":
		if len(c.entries) < 5 {
			c.newEntry()
			c.epoch(c.alive()...)
		}
	case "cutLog":
		c.entries[entry].cutOff = !c.entries[entry].cutOff
	case "cutWorker":
		if rapid.Bool().Draw(draw, "bothWays") {
			c.part(entry, worker)
		}
		c.cut[[2]string{worker, entry}] = true
		c.workers[worker].wasCut = true
	case "cutPeer":
		c.part(entry, c.alive()[0])
	case "restart":
		c.workers[worker].restart(time.Second)
	case "loseWorker":
		if len(c.liveWorkers()) > 2 {
			c.workers[worker].lost = true
			c.workers[worker].restart(time.Hour)
			c.after(2*time.Second, func() { c.listed[worker] = false })
		}
	case "failing":
		c.workers[worker].failing = !c.workers[worker].failing
	case "heal":
		clear(c.cut)
	}
}

// heal ends every fault.
func (c *chaos) heal() {
	clear(c.cut)
	for _, e := range c.entries {
		e.cutOff = false
		e.frozen = time.Time{}
	}
	for _, w := range c.workers {
		w.failing = false
	}
	for _, state := range c.truth.Jobs() {
		if job := state.Job(); job.Policy == recorder.Service && job.ID != c.service {
			c.append(recorder.JobCancel{
				Job: job.ID,
			})
		}
	}
	c.run(12 * time.Second)
	c.epoch(c.alive()...)
}

// why returns what each entry says of each task of a job.
func (c *chaos) why(job recorder.Job) string {
	said := ""
	for _, name := range c.alive() {
		for index := range job.Tasks {
			id := namer.TaskID{
				Job:   job.ID,
				Index: index,
			}
			if reason, ok := c.entries[name].tables.why(id); ok {
				said += fmt.Sprintf("\n%s of %d: %s", name, index, reason)
			}
		}
	}
	return said
}

// unsettled reports what still has to happen, empty if all is as it should be.
func (c *chaos) unsettled() string {
	for _, state := range c.truth.Jobs() {
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

// runChaos returns the violations, and what was left undone in the end.
func runChaos(draw *rapid.T, fault fault) (*chaos, string) {
	c := newChaos(draw, fault)
	c.run(time.Duration(rapid.IntRange(0, 10_000).Draw(draw, "start")) * time.Millisecond)
	for range rapid.IntRange(1, 25).Draw(draw, "steps") {
		c.fail(draw)
		c.run(time.Duration(rapid.IntRange(10, 5_000).Draw(draw, "wait")) * time.Millisecond)
		if len(c.violations) > 0 {
			return c, ""
		}
	}
	c.heal()
	c.until(5*time.Minute, func() bool { return c.unsettled() == "" || len(c.violations) > 0 })
	return c, c.unsettled()
}

func TestNothingTwiceNothingLost(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		c, left := runChaos(draw, 0)
		if len(c.violations) > 0 {
			draw.Fatalf("%v", c.violations)
		}
		if left != "" {
			draw.Fatalf("left: %s", left)
		}
	})
}

func TestGangsStartWhole(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		r := gangRig(draw, 0)
		if len(r.violations) > 0 {
			draw.Fatalf("%v", r.violations)
		}
		for _, state := range r.truth.Jobs() {
			if _, ended := state.Ended(); !ended {
				draw.Fatalf("gang %s has not run", state.Job().ID)
			}
		}
	})
}

// gangRig lets gangs contend for the workers of several owners.
func gangRig(draw *rapid.T, fault fault) *rig {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.wholeGangs = true
	r.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(draw, "loss")
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
	r.until(5*time.Minute, func() bool {
		return len(r.violations) > 0 || !slices.ContainsFunc(r.truth.Jobs(), func(s replayer.JobState) bool {
			_, ended := s.Ended()
			return !ended
		})
	})
	return r
}

// contest lets two owners take over from each other under a steady load, at
// workers that refuse nothing and only say their epoch.
func contest(draw *rapid.T, fault fault) *chaos {
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
	r.epoch(c.alive()...)
	c.stream()
	r.run(6 * time.Second)
	for range rapid.IntRange(1, 6).Draw(draw, "steps") {
		entry := c.entries[rapid.SampledFrom(c.alive()).Draw(draw, "entry")]
		pause := time.Duration(rapid.IntRange(3000, 12_000).Draw(draw, "pause")) * time.Millisecond
		r.trace("%v pause %s for %v", r.clock.Now().Sub(r.start), entry.name, pause)
		switch rapid.SampledFrom([]string{"freeze", "deafen", "exclude"}).Draw(draw, "action") {
		case "freeze":
			for tries := 0; tries < 500 && !entry.sending(); tries++ {
				r.run(time.Millisecond)
			}
			entry.frozen = r.clock.Now().Add(pause)
		case "deafen":
			all := rapid.Bool().Draw(draw, "all")
			for _, name := range c.liveWorkers() {
				if all || c.chance(0.5) {
					r.cut[[2]string{name, entry.name}] = true
					c.workers[name].wasCut = true
				}
			}
			r.after(pause, func() { clear(r.cut) })
		default:
			entry.cutOff = true
			r.after(pause, func() { entry.cutOff = false })
		}
		if rapid.Bool().Draw(draw, "replaced") {
			r.run(time.Duration(rapid.IntRange(0, 2000).Draw(draw, "noticed")) * time.Millisecond)
			r.epoch(slices.DeleteFunc(c.alive(), func(name string) bool { return name == entry.name })...)
		}
		r.run(pause + time.Second)
		r.epoch(c.alive()...)
		r.run(time.Duration(rapid.IntRange(0, 6000).Draw(draw, "wait")) * time.Millisecond)
	}
	return c
}

// deafened lets an owner hear nothing from one worker, which hears the owner,
// while others have room for the worker's tasks.
func deafened(draw *rapid.T, fault fault) *rig {
	r := newRig(rapid.Uint64().Draw(draw, "seed"))
	r.trace = draw.Logf
	r.fault = fault
	r.addEntry("entry-0")
	for i := range 3 {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), false)
	}
	r.epoch("entry-0")
	r.append(testJob("long", recorder.Batch, 6, cores(2), time.Hour))
	r.until(time.Minute, func() bool { return r.running("long") == 6 })
	r.run(time.Duration(rapid.IntRange(0, 3000).Draw(draw, "wait")) * time.Millisecond)
	for _, name := range sortedKeys(r.workers) {
		if r.workers[name].used.IsZero() {
			continue
		}
		r.trace("%v cut off answers of %s", r.clock.Now().Sub(r.start), name)
		r.cut[[2]string{name, "entry-0"}] = true
		break
	}
	r.run(30 * time.Second)
	return r
}

func TestLapsedTasksRunElsewhere(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		r := deafened(draw, 0)
		if len(r.violations) > 0 {
			draw.Fatalf("%v", r.violations)
		}
		if n := r.running("long"); n != 6 {
			draw.Fatalf("%d of 6 tasks run", n)
		}
	})
}

// sending reports whether a start is on its way.
func (e *rigEntry) sending() bool {
	for _, l := range e.tables.links.byName {
		for _, s := range l.starts {
			if s.state == startSending {
				return true
			}
		}
	}
	return false
}

// stream submits a job now and then, more than the workers hold.
func (c *chaos) stream() {
	c.after(time.Duration(c.random.Int64N(int64(600*time.Millisecond))), func() {
		runTime := time.Second + time.Duration(c.random.Int64N(int64(8*time.Second)))
		c.append(testJob(fmt.Sprintf("job-%d", c.jobs), recorder.Batch, 2, cores(3), runTime))
		c.jobs++
		c.stream()
	})
}

func TestOwnersTakeOverFromEachOther(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		if c := contest(draw, 0); len(c.violations) > 0 {
			draw.Fatalf("%v", c.violations)
		}
	})
}

// TestSeededFaultsAreFound shows that the properties fail where a rule is
// broken.
func TestSeededFaultsAreFound(t *testing.T) {
	const tries = 1000
	chaotic := func(fault fault) func(*rapid.T) []string {
		return func(draw *rapid.T) []string {
			c, _ := runChaos(draw, fault)
			return c.violations
		}
	}
	contested := func(fault fault) func(*rapid.T) []string {
		return func(draw *rapid.T) []string {
			return contest(draw, fault).violations
		}
	}
	lapsed := func(draw *rapid.T) []string {
		return deafened(draw, faultEarlyLapse).violations
	}
	partial := func(draw *rapid.T) []string {
		return gangRig(draw, faultPartialGang).violations
	}
	for _, test := range []struct {
		name  string
		run   func(*rapid.T) []string
		shows string
	}{
		{"early takeover", contested(faultEarlyTakeover), "task .* started at .* runs at|worker .* holds"},
		{"early lapse", lapsed, "task .* started at .* runs at|worker .* holds"},
		{"early acknowledgement", chaotic(faultEarlyAcknowledge), "forgot the finished task"},
		{"late start", contested(faultLateStart), "task .* started at .* runs at|worker .* holds"},
		{"no census", chaotic(faultNoCensus), "task .* started at .* runs at"},
		{"unknown start forgotten", chaotic(faultForgetUnknown), "task .* started at .* runs at|worker .* holds"},
		{"partial gang", partial, "gang .* started with room for"},
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
