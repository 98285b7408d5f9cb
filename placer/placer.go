// Package placer decides what runs where, for the workers of one owner.
//
// It keeps workers, tasks, gangs and teams in tables, and each Tick returns the
// decisions that follow from what changed since the one before: which task
// starts on which worker, and which has to give way. Services are spread over
// racks and data centres, batch work is packed, and a gang gets all of its room
// or none. Teams take turns by weighted dominant-resource fairness, within
// their quotas. A worker is never promised out twice: the room of a task stays
// taken until its end is certain.
//
// The package does no input or output, starts no goroutine, holds no leases and
// talks to no worker: whoever drives it carries the decisions out and says what
// became of them. It knows neither epochs nor other owners: shares and quotas are
// of the workers that it was given. A Placer is used by
// one goroutine at a time. The same calls with the same clock and seed give the
// same decisions.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// Placer decides what runs where. Its zero value is not usable: see New.
type Placer struct {
	clock    timekeeper.Clock
	settings settings
	random   *rand.Rand

	workers workerTable
	tasks   taskTable
	classes classTable
	teams   teamTable
	gangs   map[string]*reservedGang

	timers timerHeap
	// serial numbers the timers; 0 is none.
	timerSerial uint64

	// decisions collects what the next Tick returns.
	decisions []Decision
	// total is the capacity of all workers.
	total sizer.Size
	// free is the room on open workers that is neither taken nor claimed.
	available sizer.Size
	// freedRoom is the most room on a worker with freed room, valid in fill.
	maxFreed sizer.Size
	// freedLevel is the level of that room: no larger class fits.
	maxFreedLevel int
	// kept lists the workers on which room is kept for starving work.
	starvationWorkers []int32
	// keepAt is when starving work is looked for next.
	starvationCheckAt time.Time
	// pressing says that the last tick left urgent work without a look.
	preemptAgain bool
	// victims is scratch space.
	scratchTasks []int32
	// sequence counts the starts when no other numbers were asked for.
	attemptSequence uint64
}

// New returns a placer without workers or work.
func New(clock timekeeper.Clock, opts ...Option) *Placer {
	p := &Placer{
		clock:    clock,
		settings: defaultSettings(),
		gangs:    make(map[string]*reservedGang),
	}
	for _, opt := range opts {
		opt(&p.settings)
	}
	p.random = rand.New(rand.NewPCG(p.settings.seed, p.settings.seed))
	p.workers.init()
	p.tasks.init()
	p.classes.init()
	p.teams.init()
	return p
}

func (p *Placer) nextAttempt() namer.Attempt {
	if p.settings.attempts != nil {
		return p.settings.attempts()
	}
	p.attemptSequence++
	return namer.Attempt{
		Sequence: p.attemptSequence,
	}
}

// Adopt takes over a start that another owner made, as its worker reports it.
// Only a running one takes room; Ended says what became of the others. If the
// task is known to run from another start, the one that is adopted is stopped.
// A task of a gang belongs to a gang that the caller counts: see Reserve.
func (p *Placer) Adopt(worker string, task Task, ref namer.TaskRef, running connector.TaskReport) {
	if running.State != connector.TaskRunning {
		return
	}
	p.adopt(worker, task, ref, running)
}
