package dispatcher

import (
	"container/heap"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	testDataCentre = "klein-hall"
	// rigGangTerm is the GangTerm in the rig.
	rigGangTerm = 2 * time.Second
)

// rig simulates entries, workers and the log in virtual time, in one goroutine.
// It delays, loses and repeats messages within the limits of the timings.
type rig struct {
	clock    *timekeeper.Fake
	start    time.Time
	random   *rand.Rand
	queue    rigQueue
	serial   int
	entries  map[string]*rigEntry
	workers  map[string]*rigWorker
	logState *replayer.State
	records  int
	// listed are the workers in the host list.
	listed map[string]bool
	// lossRate is the probability that a message is lost, and also the
	// probability that it is delivered twice.
	lossRate float64
	timings  timings
	fault    fault
	// requireWholeGangs makes it a violation if a task of a gang starts before
	// every task has capacity.
	requireWholeGangs bool
	// runs are the workers on which each task runs, and finished is the worker
	// on which it has finished.
	runs       map[namer.TaskID]map[namer.TaskRef]*rigWorker
	finished   map[namer.TaskID]*rigWorker
	violations []string
	// disconnected are the pairs of hosts of which the first does not reach the
	// second.
	disconnected map[[2]string]bool
	// messages and bytes are the numbers of messages and bytes sent, by kind of
	// effect. bytes is nil unless bytes are counted.
	messages     map[string]int
	bytes        map[string]int
	encoder      *gob.Encoder
	encodedBytes byteCounter
	// tablesTime is the time spent in the tables of the entries,
	// codecTime that of encoding and decoding.
	tablesTime time.Duration
	codecTime  time.Duration
	trace      func(format string, args ...any)
}

type rigEvent struct {
	dueAt  time.Time
	serial int
	run    func()
}

type rigQueue []rigEvent

func (q rigQueue) Len() int { return len(q) }
func (q rigQueue) Less(i, j int) bool {
	if q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].serial < q[j].serial
	}
	return q[i].dueAt.Before(q[j].dueAt)
}
func (q rigQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *rigQueue) Push(x any)   { *q = append(*q, x.(rigEvent)) }
func (q *rigQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newRig(seed uint64) *rig {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &rig{
		clock:        timekeeper.NewFake(start),
		start:        start,
		random:       rand.New(rand.NewPCG(seed, seed)),
		entries:      make(map[string]*rigEntry),
		workers:      make(map[string]*rigWorker),
		logState:     replayer.New(),
		listed:       make(map[string]bool),
		runs:         make(map[namer.TaskID]map[namer.TaskRef]*rigWorker),
		finished:     make(map[namer.TaskID]*rigWorker),
		disconnected: make(map[[2]string]bool),
		messages:     make(map[string]int),
		trace:        func(string, ...any) {},
		timings: timings{
			lease:      4 * time.Second,
			renewal:    time.Second,
			clockError: 0.01,
			delivery:   500 * time.Millisecond,
		},
	}
}

func (r *rig) schedule(d time.Duration, run func()) {
	r.serial++
	heap.Push(&r.queue, rigEvent{
		dueAt:  r.clock.Now().Add(d),
		serial: r.serial,
		run:    run,
	})
}

// run advances the virtual time by d.
func (r *rig) run(d time.Duration) {
	end := r.clock.Now().Add(d)
	for len(r.queue) > 0 && !r.queue[0].dueAt.After(end) {
		next := heap.Pop(&r.queue).(rigEvent)
		r.clock.Advance(next.dueAt.Sub(r.clock.Now()))
		next.run()
	}
	r.clock.Advance(end.Sub(r.clock.Now()))
}

// runUntil runs until the condition holds, for at most d, and reports whether
// it holds.
func (r *rig) runUntil(d time.Duration, done func() bool) bool {
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		if done() {
			return true
		}
		r.run(100 * time.Millisecond)
	}
	return done()
}

func (r *rig) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.trace("%v VIOLATION %s", r.clock.Now().Sub(r.start), text)
	r.violations = append(r.violations, text)
}

func (r *rig) chance(p float64) bool { return r.random.Float64() < p }

// delay returns the delivery time of a message: mostly short, sometimes up to
// the longest.
func (r *rig) delay() time.Duration {
	if r.chance(0.05) {
		return time.Duration(r.random.Int64N(int64(r.timings.delivery)))
	}
	return time.Duration(r.random.Int64N(int64(2 * time.Millisecond)))
}

func (r *rig) reaches(from, to string) bool {
	return !r.disconnected[[2]string{from, to}]
}

// disconnect cuts two hosts off from each other.
func (r *rig) disconnect(a, b string) {
	r.disconnected[[2]string{a, b}] = true
	r.disconnected[[2]string{b, a}] = true
}

// deliver calls read once, twice or not at all, within the longest delivery
// time.
func (r *rig) deliver(from, to string, read func()) {
	if !r.reaches(from, to) || r.chance(r.lossRate) {
		return
	}
	r.schedule(r.delay(), read)
	if r.chance(r.lossRate) {
		r.schedule(r.delay(), read)
	}
}

// append appends a record to the log.
func (r *rig) append(body recorder.Body) {
	r.records++
	offset := namer.Offset(r.records)
	r.logState.Apply(offset, recorder.New(fmt.Sprintf("record-%d", offset), "rig", r.clock.Now(), body))
}

// epoch appends a membership of the given entries to the log and returns its
// epoch.
func (r *rig) epoch(names ...string) namer.Epoch {
	last, _, _ := r.logState.Membership(testDataCentre)
	m := recorder.Membership{
		DataCentre: testDataCentre,
		Epoch:      last.Epoch + 1,
		Cause:      "test",
	}
	slices.Sort(names)
	for _, name := range names {
		m.Members = append(m.Members, recorder.Member{
			Name:  name,
			Peers: name,
		})
	}
	r.trace("%v epoch %d %v", r.clock.Now().Sub(r.start), m.Epoch, names)
	r.append(m)
	return m.Epoch
}

// rigEntry is one entry process.
type rigEntry struct {
	rig    *rig
	name   string
	tables *tables
	dead   bool
	// frozenUntil is the end of the pause of the process.
	frozenUntil time.Time
	// logCutOff is set while the entry does not reach the log.
	logCutOff bool
	position  namer.Offset
}

func (r *rig) addEntry(name string) *rigEntry {
	e := &rigEntry{
		rig:  r,
		name: name,
	}
	s := defaultSettings()
	s.clock = r.clock
	s.timings = r.timings
	s.fault = r.fault
	s.gangTerm = rigGangTerm
	s.seed = r.random.Uint64()
	s.newWorker = func(address string) connector.Worker { return rigAddress(address) }
	e.tables = newTables(name, testDataCentre, &s, newMetrics(nil))
	r.entries[name] = e
	r.schedule(0, e.tick)
	r.schedule(0, e.poll)
	return e
}

// whenAwake runs f in the process: at once, at the end of a pause, or never if
// the process is dead.
func (e *rigEntry) whenAwake(f func()) {
	if e.dead {
		return
	}
	if pause := e.frozenUntil.Sub(e.rig.clock.Now()); pause > 0 {
		e.rig.schedule(pause, func() { e.whenAwake(f) })
		return
	}
	f()
}

func (e *rigEntry) tick() {
	e.whenAwake(func() {
		e.step()
		e.rig.schedule(100*time.Millisecond, e.tick)
	})
}

func (e *rigEntry) step() {
	begin := time.Now()
	e.tables.tick(e.rig.clock.Now())
	e.rig.tablesTime += time.Since(begin)
	e.launch()
}

func (e *rigEntry) launch() {
	for _, effect := range e.tables.takeEffects() {
		e.perform(effect)
	}
}

func (e *rigEntry) handle(ev event) {
	e.whenAwake(func() {
		begin := time.Now()
		e.tables.handle(e.rig.clock.Now(), ev)
		e.rig.tablesTime += time.Since(begin)
		e.step()
	})
}

// poll reads the log and the host list with a delay, one read after the other.
func (e *rigEntry) poll() {
	e.whenAwake(func() {
		if e.logCutOff {
			e.rig.schedule(200*time.Millisecond, e.poll)
			return
		}
		sentAt := e.rig.clock.Now()
		m, membershipOffset, known := e.rig.logState.Membership(testDataCentre)
		jobs := e.rig.logState.JobsChanged(e.position)
		e.position = e.rig.logState.Offset()
		hosts := e.rig.hosts()
		e.rig.schedule(e.rig.delay(), func() {
			e.whenAwake(func() {
				begin := time.Now()
				e.tables.now = e.rig.clock.Now()
				if known {
					e.tables.setMembership(m, membershipOffset)
				}
				e.tables.setJobs(jobs)
				e.tables.setHosts(hosts)
				e.tables.applyLocal()
				e.tables.logReadSentAt = maxTime(e.tables.logReadSentAt, sentAt)
				e.rig.tablesTime += time.Since(begin)
				e.step()
				e.rig.schedule(200*time.Millisecond, e.poll)
			})
		})
	})
}

func (r *rig) hosts() []connector.Host {
	hosts := make([]connector.Host, 0, len(r.listed))
	for name, listed := range r.listed {
		if listed {
			hosts = append(hosts, r.workers[name].host)
		}
	}
	slices.SortFunc(hosts, func(a, b connector.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return hosts
}

// perform makes a call after a random time in the queue. A frozen process makes
// it at the end of its pause.
func (e *rigEntry) perform(ef effect) {
	r := e.rig
	queued := time.Duration(r.random.Int64N(int64(time.Millisecond)))
	if r.chance(0.05) {
		queued = time.Duration(r.random.Int64N(int64(300 * time.Millisecond)))
	}
	r.schedule(queued, func() {
		e.whenAwake(func() { e.call(ef) })
	})
}

func (e *rigEntry) call(ef effect) {
	r := e.rig
	sentAt := r.clock.Now()
	kind := strings.TrimPrefix(fmt.Sprintf("%T", ef), "dispatcher.")
	r.messages[kind]++
	switch ef := ef.(type) {
	case renewEffect:
		ev := renewedEvent{
			worker:  ef.worker,
			link:    ef.link,
			sentAt:  sentAt,
			renewal: ef.renewal,
		}
		e.roundTrip(ef.worker, ef.timeout, func(w *rigWorker) (err error) {
			ev.report, err = w.renew(ef.renewal)
			r.countBytes(kind, ef.renewal, ev.report)
			return err
		}, func(err error) {
			ev.err = err
			ev.doneAt = r.clock.Now()
			e.handle(ev)
		})
	case startEffect:
		ev := startedEvent{
			worker: ef.worker,
			link:   ef.link,
			ref:    ef.start.Ref,
			epoch:  ef.start.Epoch,
			sentAt: sentAt,
			doneAt: sentAt,
			err:    errNoRecentRenewal,
		}
		if !e.tables.settings.mayStart(ef) {
			e.handle(ev)
			return
		}
		r.countBytes(kind, ef.start)
		e.roundTrip(ef.worker, ef.timeout, func(w *rigWorker) error { return w.startTask(ef.start) }, func(err error) {
			ev.err = err
			ev.doneAt = r.clock.Now()
			e.handle(ev)
		})
	case stopEffect:
		e.roundTrip(string(ef.client.(rigAddress)), ef.timeout, func(w *rigWorker) error { return w.stop(ef.stop) }, func(error) {
			e.handle(stoppedEvent{
				worker: ef.worker,
			})
		})
	case exchangeEffect:
		e.exchange(ef)
	case commitEffect:
		e.commit(ef)
	default:
	}
}

// roundTrip calls a worker. done is called once, with ErrUnknown if the answer
// does not arrive in time.
func (e *rigEntry) roundTrip(worker string, timeout time.Duration, call func(*rigWorker) error, done func(error)) {
	r := e.rig
	returned := false
	end := func(err error) {
		if !returned {
			returned = true
			done(err)
		}
	}
	w := r.workers[worker]
	r.deliver(e.name, worker, func() {
		if w.dead {
			return
		}
		err := call(w)
		r.deliver(worker, e.name, func() { end(err) })
	})
	r.schedule(timeout, func() { end(connector.ErrUnknown) })
}

func (e *rigEntry) exchange(ef exchangeEffect) {
	r := e.rig
	peer := r.entries[ef.member]
	returned := false
	end := func(ev exchangedEvent) {
		if !returned {
			returned = true
			e.handle(ev)
		}
	}
	ev := exchangedEvent{
		member: ef.member,
		epoch:  ef.message.Epoch,
	}
	r.deliver(e.name, ef.member, func() {
		peer.whenAwake(func() {
			peer.tables.now = r.clock.Now()
			answer := ev
			answer.reply, answer.err = peer.tables.receive(&ef.message)
			r.countBytes("exchangeEffect", &ef.message, &answer.reply)
			peer.step()
			r.deliver(ef.member, e.name, func() { end(answer) })
		})
	})
	r.schedule(ef.timeout, func() {
		ev.err = context.DeadlineExceeded
		end(ev)
	})
}

func (e *rigEntry) commit(ef commitEffect) {
	r := e.rig
	ev := committedEvent{
		body: ef.body,
	}
	if e.logCutOff {
		ev.err = errors.New("no log")
		r.schedule(time.Second, func() { e.handle(ev) })
		return
	}
	r.schedule(20*time.Millisecond+r.delay(), func() {
		if e.dead {
			return
		}
		r.append(ef.body)
		if r.chance(r.lossRate) {
			ev.err = errors.New("outcome unknown")
		}
		r.schedule(20*time.Millisecond+r.delay(), func() { e.handle(ev) })
	})
}
