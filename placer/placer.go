// Package placer decides which task runs on which worker, for the workers of
// one owner.
//
// It keeps tables of workers, tasks, gangs and teams. Each Tick returns the
// decisions that follow from what changed since the previous one: which tasks
// start on which workers, and which running tasks are preempted. Services are
// spread over racks and data centres, batch work is packed, and a gang gets
// capacity for all of its tasks or for none. Teams share capacity by weighted
// dominant-resource fairness, within their quotas. The capacity of a worker is
// never allocated twice: what a task holds stays allocated until the task has
// certainly ended.
//
// The package does no input or output, starts no goroutine, holds no leases and
// talks to no worker: the caller carries the decisions out and reports the
// results. It knows neither epochs nor other owners; shares and quotas refer to
// the workers that it was given. A Placer is not safe for concurrent use. The
// same calls with the same clock and seed give the same decisions.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// Placer assigns tasks to workers. The zero value is not usable; call New.
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
	// timerSerial is the serial number of the last timer; 0 is no timer.
	timerSerial uint64

	// decisions collects what the next Tick returns.
	decisions []Decision
	// total is the capacity of all workers.
	total sizer.Size
	// totalAvailable is the capacity of the workers that accept tasks, less what
	// is allocated and claimed.
	totalAvailable sizer.Size
	// maxFreed is, for each resource, the most free capacity on any worker on
	// which capacity was freed since the last tick. It is valid in placeWaiting.
	maxFreed sizer.Size
	// maxFreedLevel is the size level of maxFreed: no class of a higher level
	// fits.
	maxFreedLevel int
	// starvationWorkers lists the workers on which capacity is claimed for
	// starving work.
	starvationWorkers []int32
	// starvationCheckAt is the time of the next search for starving work.
	starvationCheckAt time.Time
	// preemptAgain reports that the last tick spent its budget of preemptions, so
	// that urgent work may be left over.
	preemptAgain bool
	// scratchTasks is a buffer for lists of tasks, reused between calls.
	scratchTasks []int32
	// attemptSequence numbers the runs unless WithAttempts was given.
	attemptSequence uint64
}

// New returns a placer without workers or tasks.
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

// Adopt takes over a run that another owner started, as reported by its worker.
// A report in any state but running is ignored: the caller reports the end of a
// known run by Ended. If the task already runs in another run, the adopted run
// is stopped. A task of a gang is treated as one of a gang that the caller
// tracks: see Reserve.
func (p *Placer) Adopt(worker string, task Task, ref namer.TaskRef, running connector.TaskReport) {
	if running.State != connector.TaskRunning {
		return
	}
	p.adopt(worker, task, ref, running)
}
