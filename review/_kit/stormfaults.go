package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// stormFault plays one disruption to its end.
type stormFault struct {
	name string
	// weight is in proportion to how often the fault is played.
	weight int
	play   func(s *storm, rng *rand.Rand)
}

var stormFaults = []stormFault{
	{
		name:   "kill one",
		weight: 6,
		play:   (*storm).killOne,
	},
	{
		name:   "kill all",
		weight: 3,
		play:   (*storm).killAll,
	},
	{
		name:   "terminate",
		weight: 6,
		play:   (*storm).terminate,
	},
	{
		name:   "freeze",
		weight: 6,
		play:   (*storm).freeze,
	},
	{
		name:   "throttle",
		weight: 3,
		play:   (*storm).throttle,
	},
	{
		name:   "store cut",
		weight: 6,
		play:   (*storm).cutFromStore,
	},
	{
		name:   "peers cut",
		weight: 4,
		play:   (*storm).cutFromPeers,
	},
	{
		name:   "workers cut",
		weight: 5,
		play:   (*storm).cutFromWorkers,
	},
	{
		name:   "store down",
		weight: 6,
		play:   (*storm).storeDown,
	},
	{
		name:   "partitions down",
		weight: 5,
		play:   (*storm).partitionsDown,
	},
	{
		name:   "store slow",
		weight: 3,
		play:   (*storm).storeSlow,
	},
	{
		name:   "appends late",
		weight: 6,
		play:   (*storm).appendsLate,
	},
	{
		name:   "answers lost",
		weight: 5,
		play:   (*storm).answersLost,
	},
	{
		name:   "memberships expired",
		weight: 5,
		play:   (*storm).expireMembers,
	},
	{
		name:   "partitions re-dealt",
		weight: 6,
		play:   (*storm).redeal,
	},
	{
		name:   "history forgotten",
		weight: 4,
		play:   (*storm).forget,
	},
	{
		name:   "workers silent",
		weight: 5,
		play:   (*storm).silenceWorkers,
	},
	{
		name:   "orders late",
		weight: 6,
		play:   (*storm).lateWorkers,
	},
	{
		name:   "worker answers lost",
		weight: 4,
		play:   (*storm).loseWorkerAnswers,
	},
	{
		name:   "workers grey",
		weight: 3,
		play:   (*storm).greyWorkers,
	},
	{
		name:   "workers crash",
		weight: 5,
		play:   (*storm).crashWorkers,
	},
	{
		name:   "workers reborn",
		weight: 6,
		play:   (*storm).rebirth,
	},
	{
		name:   "power lost",
		weight: 2,
		play:   (*storm).losePower,
	},
	{
		name:   "entries replaced",
		weight: 3,
		play:   (*storm).replaceEntries,
	},
	{
		name:   "configuration changed",
		weight: 3,
		play:   (*storm).changeConfig,
	},
	{
		name:   "workers drain",
		weight: 4,
		play:   (*storm).drainWorkers,
	},
	{
		name:   "entries of the directory lapse",
		weight: 4,
		play:   (*storm).lapse,
	},
}

// playFaults plays random faults until the storm is over, and waits for their ends.
func (s *storm) playFaults(rng *rand.Rand) {
	faults := slices.DeleteFunc(slices.Clone(stormFaults), func(f stormFault) bool {
		return s.options.only != "" && !strings.Contains(s.options.only, f.name) || strings.Contains(s.options.without, f.name)
	})
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var group errgroup.Group
	if s.options.faults > 0 {
		group.SetLimit(s.options.faults)
	}
	for number := uint64(0); total > 0 && s.options.faults > 0 && !s.isOver(); number++ {
		draw := rng.IntN(total)
		chosen := 0
		for draw >= faults[chosen].weight {
			draw -= faults[chosen].weight
			chosen++
		}
		f := faults[chosen]
		faultRNG := rand.New(rand.NewPCG(s.options.seed, number+1_000_000))
		pause := between(rng, 100*time.Millisecond, 1500*time.Millisecond)
		group.Go(func() error {
			s.rec.printf("fault %d begins: %s", number, f.name)
			f.play(s, faultRNG)
			s.rec.printf("fault %d ends: %s", number, f.name)
			return nil
		})
		select {
		case <-time.After(pause):
		case <-s.over:
		}
	}
	<-s.over
	_ = group.Wait()
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// takeEntries reserves up to n entries for a fault.
func (s *storm) takeEntries(rng *rand.Rand, n int) []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := slices.DeleteFunc(slices.Clone(s.entries), func(e *entry) bool { return s.busy[e.name] })
	rng.Shuffle(len(free), func(i, k int) { free[i], free[k] = free[k], free[i] })
	free = free[:min(n, len(free))]
	for _, e := range free {
		s.busy[e.name] = true
	}
	return free
}

func (s *storm) takeWorkers(rng *rand.Rand, n int) []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := slices.DeleteFunc(slices.Clone(s.workers), func(w *worker) bool { return s.busy[w.id] })
	rng.Shuffle(len(free), func(i, k int) { free[i], free[k] = free[k], free[i] })
	free = free[:min(n, len(free))]
	for _, w := range free {
		s.busy[w.id] = true
	}
	return free
}

func (s *storm) release(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.busy, name)
	}
}

// onEntries plays a disruption of up to n entries.
func (s *storm) onEntries(rng *rand.Rand, n int, what string, play func([]*entry)) {
	entries := s.takeEntries(rng, n)
	var spans []*span
	var names []string
	for _, e := range entries {
		spans = append(spans, s.calendar.begin(e.name, what))
		names = append(names, e.name)
	}
	s.rec.printf("fault: %s: %s", what, strings.Join(names, " "))
	play(entries)
	s.calendar.end(spans...)
	s.release(names...)
}

// onWorkers plays a disruption of up to n workers.
func (s *storm) onWorkers(rng *rand.Rand, n int, what string, play func([]*worker)) {
	workers := s.takeWorkers(rng, n)
	var spans []*span
	var names []string
	for _, w := range workers {
		spans = append(spans, s.calendar.begin(w.id, what))
		names = append(names, w.id)
	}
	s.rec.printf("fault: %s: %s", what, strings.Join(names, " "))
	play(workers)
	s.calendar.end(spans...)
	s.release(names...)
}

// onStore plays a disruption of the store.
func (s *storm) onStore(what string, play func()) {
	span := s.calendar.begin("", what)
	s.rec.printf("fault: %s", what)
	play()
	s.calendar.end(span)
}

// signal sends a signal to an entry that may have ended.
func (s *storm) signal(e *entry, sig syscall.Signal) {
	if err := e.cmd.Process.Signal(sig); err != nil {
		s.rec.printf("%s: signal %v: %v", e.name, sig, err)
	}
}

func (s *storm) kill(entries []*entry, down time.Duration) {
	for _, e := range entries {
		s.signal(e, syscall.SIGKILL)
	}
	for _, e := range entries {
		<-e.done
	}
	time.Sleep(down)
	for _, e := range entries {
		e.start()
	}
}

func (s *storm) killOne(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(2), "killed", func(entries []*entry) {
		s.kill(entries, between(rng, 50*time.Millisecond, 3*time.Second))
	})
}

func (s *storm) killAll(rng *rand.Rand) {
	s.onEntries(rng, len(s.entries), "all killed", func(entries []*entry) {
		s.kill(entries, between(rng, 50*time.Millisecond, 2*time.Second))
	})
}

func (s *storm) terminate(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(2), "terminated", func(entries []*entry) {
		for _, e := range entries {
			s.signal(e, syscall.SIGTERM)
		}
		for _, e := range entries {
			select {
			case <-e.done:
			case <-time.After(6 * time.Second):
				s.signal(e, syscall.SIGKILL)
				<-e.done
			}
		}
		time.Sleep(between(rng, 0, time.Second))
		for _, e := range entries {
			e.start()
		}
	})
}

func (s *storm) freeze(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(2), "frozen", func(entries []*entry) {
		for _, e := range entries {
			s.signal(e, syscall.SIGSTOP)
		}
		time.Sleep(between(rng, 200*time.Millisecond, 8*time.Second))
		for _, e := range entries {
			s.signal(e, syscall.SIGCONT)
		}
	})
}

// throttle lets entries run for 40 of each 100 ms, as a limit on processor time does.
func (s *storm) throttle(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(3), "throttled", func(entries []*entry) {
		for range 30 + rng.IntN(50) {
			for _, e := range entries {
				s.signal(e, syscall.SIGSTOP)
			}
			time.Sleep(60 * time.Millisecond)
			for _, e := range entries {
				s.signal(e, syscall.SIGCONT)
			}
			time.Sleep(40 * time.Millisecond)
		}
	})
}

// disturb has the store disturb the calls of some entries for a time.
func (s *storm) disturb(d *disturbance, length time.Duration) {
	s.weather.begin(d)
	time.Sleep(length)
	s.weather.end(d)
}

func namesOf(entries []*entry) map[string]bool {
	names := make(map[string]bool, len(entries))
	for _, e := range entries {
		names[e.name] = true
	}
	return names
}

// refusal returns a disturbance that answers 503 or 429, breaks connections, or does not
// answer.
func refusal(rng *rand.Rand, affects func(string, storeCall) bool) *disturbance {
	d := &disturbance{
		affects:     affects,
		probability: 1,
	}
	switch rng.IntN(5) {
	case 0:
		d.status = http.StatusTooManyRequests
	case 1:
		d.reset = true
	case 2:
		d.status = http.StatusServiceUnavailable
	default:
		d.silent = true
	}
	return d
}

func (s *storm) cutFromStore(rng *rand.Rand) {
	n := 1
	if rng.IntN(2) == 0 {
		n = max(1, len(s.entries)/3)
	}
	s.onEntries(rng, n, "cut from the store", func(entries []*entry) {
		names := namesOf(entries)
		s.disturb(refusal(rng, func(entry string, _ storeCall) bool { return names[entry] }), between(rng, 500*time.Millisecond, 9*time.Second))
	})
}

// cutFromPeers cuts entries from their peers, and at times from the store.
func (s *storm) cutFromPeers(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(2), "cut from peers", func(entries []*entry) {
		length := between(rng, 500*time.Millisecond, 7*time.Second)
		names := namesOf(entries)
		s.mu.Lock()
		all := slices.Clone(s.entries)
		s.mu.Unlock()
		set := func(cut bool) {
			for _, e := range all {
				s.network.setCut(e.name, func(_, peer string) bool {
					return peer != "" && (names[e.name] || names[peer])
				}, cut)
			}
		}
		set(true)
		if rng.IntN(2) == 0 {
			s.disturb(refusal(rng, func(entry string, _ storeCall) bool { return names[entry] }), length)
		} else {
			time.Sleep(length)
		}
		set(false)
	})
}

// cutFromWorkers cuts entries from some or all workers.
func (s *storm) cutFromWorkers(rng *rand.Rand) {
	s.onEntries(rng, 1+rng.IntN(2), "cut from workers", func(entries []*entry) {
		share := []uint32{1, 4, 8}[rng.IntN(3)]
		salt := rng.Uint32()
		set := func(cut bool) {
			for _, e := range entries {
				s.network.setCut(e.name, func(address, peer string) bool {
					sum := salt
					for _, c := range address {
						sum = sum*16777619 ^ uint32(c)
					}
					return peer == "" && (!cut || sum%8 < share)
				}, cut)
			}
		}
		set(true)
		time.Sleep(between(rng, 300*time.Millisecond, 7*time.Second))
		set(false)
	})
}

func (s *storm) storeDown(rng *rand.Rand) {
	s.onStore("the store is down", func() {
		began := time.Now()
		s.weather.setWorkersOut(true)
		s.disturb(refusal(rng, func(string, storeCall) bool { return true }), between(rng, 300*time.Millisecond, 7*time.Second))
		s.weather.setWorkersOut(false)
		if rng.IntN(2) == 0 {
			// The times of memberships pause while the store is down.
			s.eachGroup(func(g *memberGroup) { g.prolong(time.Since(began)) })
		}
	})
}

func (s *storm) partitionsDown(rng *rand.Rand) {
	salt := rng.IntN(3)
	topic := []string{"", "jobs", "progress"}[rng.IntN(3)]
	s.onStore("a third of the partitions is down", func() {
		s.disturb(refusal(rng, func(_ string, call storeCall) bool {
			return call.Topic != "" && (topic == "" || call.Topic == topic) && (call.Part+len(call.Topic))%3 == salt
		}), between(rng, 500*time.Millisecond, 7*time.Second))
	})
}

func (s *storm) storeSlow(rng *rand.Rand) {
	s.onStore("the store is slow", func() {
		s.disturb(&disturbance{
			affects:     func(string, storeCall) bool { return true },
			probability: 1,
			slow:        between(rng, 50*time.Millisecond, 600*time.Millisecond),
		}, between(rng, time.Second, 6*time.Second))
	})
}

func (s *storm) appendsLate(rng *rand.Rand) {
	s.onStore("appends are carried out late", func() {
		s.disturb(&disturbance{
			affects:     func(_ string, call storeCall) bool { return call.Path == "/-/log-append" },
			probability: 0.2 + 0.6*rng.Float64(),
			late:        between(rng, 300*time.Millisecond, 4*time.Second),
		}, between(rng, time.Second, 6*time.Second))
	})
}

func (s *storm) answersLost(rng *rand.Rand) {
	s.onStore("answers of the store are lost", func() {
		s.disturb(&disturbance{
			affects:     func(string, storeCall) bool { return true },
			probability: 0.2 + 0.6*rng.Float64(),
			lost:        true,
		}, between(rng, time.Second, 6*time.Second))
	})
}

func (s *storm) eachGroup(change func(*memberGroup)) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, g := range s.store.groups {
		g.mu.Lock()
		change(g)
		g.mu.Unlock()
	}
}

// times returns how often a change of the group is made, and the pauses between.
func times(rng *rand.Rand) []time.Duration {
	var pauses []time.Duration
	for range 1 + rng.IntN(3) {
		pauses = append(pauses, between(rng, 0, 700*time.Millisecond))
	}
	return pauses
}

func (s *storm) expireMembers(rng *rand.Rand) {
	s.onStore("all memberships expired", func() {
		for _, pause := range times(rng) {
			s.eachGroup((*memberGroup).expireAll)
			time.Sleep(pause)
		}
	})
}

func (s *storm) redeal(rng *rand.Rand) {
	s.onStore("all partitions re-dealt", func() {
		for _, pause := range times(rng) {
			shift := 1 + rng.IntN(5)
			s.eachGroup(func(g *memberGroup) { g.redeal(shift) })
			time.Sleep(pause)
		}
	})
}

func (s *storm) forget(rng *rand.Rand) {
	s.onStore("history forgotten", func() {
		for _, pause := range times(rng) {
			s.weather.forget(s.store)
			time.Sleep(pause)
		}
	})
}

// withMode has some workers be in a mode for a time.
func (s *storm) withMode(rng *rand.Rand, what string, mode workerMode) {
	s.onWorkers(rng, 1+rng.IntN(max(1, s.options.workers/3)), what, func(workers []*worker) {
		for _, w := range workers {
			w.setMode(mode)
		}
		time.Sleep(between(rng, 500*time.Millisecond, 8*time.Second))
		for _, w := range workers {
			w.setMode(workerMode{})
		}
	})
}

func (s *storm) silenceWorkers(rng *rand.Rand) {
	s.withMode(rng, "silent", workerMode{
		silent: true,
		mute:   rng.IntN(2) == 0,
	})
}

func (s *storm) lateWorkers(rng *rand.Rand) {
	s.withMode(rng, "carrying out late", workerMode{
		late: between(rng, 200*time.Millisecond, 5*time.Second),
	})
}

func (s *storm) loseWorkerAnswers(rng *rand.Rand) {
	s.withMode(rng, "answers lost", workerMode{
		lost: true,
	})
}

func (s *storm) greyWorkers(rng *rand.Rand) {
	s.withMode(rng, "grey", workerMode{
		grey: 0.3 + 0.7*rng.Float64(),
	})
}

// crashWorkers crashes workers, after which others come under new identities, at times at
// the address of one that has gone, and of another service.
func (s *storm) crashWorkers(rng *rand.Rand) {
	s.onWorkers(rng, 1+rng.IntN(max(1, s.options.workers/4)), "crashed", func(workers []*worker) {
		for _, w := range workers {
			w.end(crashedEnd)
		}
		time.Sleep(between(rng, 100*time.Millisecond, 3*time.Second))
		reuse := rng.IntN(2) == 0
		for i, w := range workers {
			address := ""
			if reuse {
				address = workers[(i+1)%len(workers)].addr
			}
			s.replaceWorker(w, s.startWorker(w.service, s.workerID(), address, w.rack))
		}
		// The entries of the former lives go after three heartbeats of silence.
		time.Sleep(3 * beatEvery)
		for _, w := range workers {
			s.store.put("servers", w.id, nil)
		}
	})
}

// losePower has all entries and workers lose power at once. Some workers start again under
// their identities.
func (s *storm) losePower(rng *rand.Rand) {
	s.onEntries(rng, len(s.entries), "without power", func(entries []*entry) {
		s.onWorkers(rng, s.options.workers, "without power", func(workers []*worker) {
			for _, e := range entries {
				s.signal(e, syscall.SIGKILL)
			}
			for _, w := range workers {
				w.end(crashedEnd)
			}
			time.Sleep(between(rng, 100*time.Millisecond, 2*time.Second))
			for _, w := range workers {
				id := w.id
				if rng.IntN(2) == 0 {
					id = s.workerID()
					s.store.put("servers", w.id, nil)
				}
				s.replaceWorker(w, s.startWorker(w.service, id, w.addr, w.rack))
			}
			s.kill(entries, 0)
		})
	})
}

// replaceEntries removes an entry for good, and adds one at another address.
func (s *storm) replaceEntries(rng *rand.Rand) {
	s.onEntries(rng, 1, "replaced", func(entries []*entry) {
		for _, e := range entries {
			s.signal(e, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)])
			s.mu.Lock()
			s.entries = slices.DeleteFunc(s.entries, func(other *entry) bool { return other == e })
			s.mu.Unlock()
			added := s.addEntry(rng)
			added.start()
			select {
			case <-e.done:
			case <-time.After(6 * time.Second):
				s.signal(e, syscall.SIGKILL)
				<-e.done
			}
		}
	})
}

// changeConfig writes configurations that add and remove a route in quick succession.
func (s *storm) changeConfig(rng *rand.Rand) {
	s.onStore("configuration changed", func() {
		for _, pause := range times(rng) {
			s.putConfig()
			time.Sleep(pause)
		}
	})
}

// rebirth crashes workers that start again under their identities.
func (s *storm) rebirth(rng *rand.Rand) {
	s.onWorkers(rng, 1+rng.IntN(max(1, s.options.workers/3)), "reborn", func(workers []*worker) {
		for _, w := range workers {
			w.end(crashedEnd)
		}
		longest := 2 * time.Second
		if rng.IntN(2) == 0 {
			// The next life is there before an owner has noticed the end of the former one.
			longest = 60 * time.Millisecond
		}
		time.Sleep(between(rng, 5*time.Millisecond, longest))
		for _, w := range workers {
			address := w.addr
			if rng.IntN(3) == 0 {
				address = ""
			}
			s.replaceWorker(w, s.startWorker(w.service, w.id, address, w.rack))
		}
	})
}

// drainWorkers has workers leave, and others come.
func (s *storm) drainWorkers(rng *rand.Rand) {
	s.onWorkers(rng, 1+rng.IntN(max(1, s.options.workers/4)), "drained", func(workers []*worker) {
		for _, w := range workers {
			w.drain(2 * time.Second)
		}
		time.Sleep(between(rng, 2*time.Second+beatEvery, 5*time.Second))
		for _, w := range workers {
			w.end("left")
			s.store.put("servers", w.id, nil)
			s.replaceWorker(w, s.startWorker(w.service, s.workerID(), "", w.rack))
		}
	})
}

// lapse removes the directory's entries of live workers for a time.
func (s *storm) lapse(rng *rand.Rand) {
	s.onWorkers(rng, 1+rng.IntN(s.options.workers), "entries lapsed", func(workers []*worker) {
		for _, w := range workers {
			w.setMode(workerMode{
				mute: true,
			})
			s.store.put("servers", w.id, nil)
		}
		time.Sleep(between(rng, 500*time.Millisecond, 5*time.Second))
		for _, w := range workers {
			w.setMode(workerMode{})
		}
	})
}

// expireAll removes all members. The caller holds mu.
func (g *memberGroup) expireAll() {
	clear(g.members)
	g.rebalance()
}

// redeal moves all partitions to other members at once. The caller holds mu.
func (g *memberGroup) redeal(shift int) {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	g.generation++
	for p := range g.holders {
		at := max(0, slices.Index(names, g.holders[p]))
		g.holders[p] = names[(at+shift)%len(names)]
		g.targets[p] = g.holders[p]
	}
}

// prolong prolongs all memberships. The caller holds mu.
func (g *memberGroup) prolong(by time.Duration) {
	for _, m := range g.members {
		m.expires = m.expires.Add(by)
	}
}
