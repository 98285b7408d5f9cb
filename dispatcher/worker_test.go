package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// rigAddress is a placeholder for the client of a worker: the rig makes the
// calls itself.
type rigAddress string

func (rigAddress) Start(context.Context, connector.Start) error { return nil }

func (rigAddress) Renew(context.Context, connector.Renewal) (connector.Report, error) {
	return connector.Report{}, nil
}

func (rigAddress) Stop(context.Context, connector.Stop) error { return nil }

func (rigAddress) Throttle(context.Context, connector.Throttle) error { return nil }

// rigWorker simulates a worker.
type rigWorker struct {
	rig  *rig
	host connector.Host
	// checks is set if lower epochs and tasks without free capacity are
	// refused. Otherwise the worker only reports the highest epoch.
	checks bool
	// clockDrift is the relative rate error of the worker's clock.
	clockDrift  float64
	dead        bool
	incarnation int
	epoch       namer.Epoch
	tasks       map[namer.TaskRef]*rigTask
	used        sizer.Size
	// failing makes each task fail.
	failing bool
	// lost workers do not come back.
	lost bool
	// wasCut is set once the worker has been cut off from some entry.
	wasCut bool
}

type rigTask struct {
	report      connector.TaskReport
	leaseExpiry time.Time
}

func (r *rig) addWorker(name string, capacity sizer.Size, checks bool) *rigWorker {
	w := &rigWorker{
		rig: r,
		host: connector.Host{
			Name:       name,
			Kind:       connector.KindWorker,
			State:      connector.HostLive,
			DataCentre: testDataCentre,
			Rack:       name[:1],
			Address:    name,
			Capacity:   capacity,
		},
		checks:     checks,
		clockDrift: r.timings.clockError * (2*r.random.Float64() - 1) * 0.9,
		tasks:      make(map[namer.TaskRef]*rigTask),
	}
	r.workers[name] = w
	r.listed[name] = true
	return w
}

func (w *rigWorker) fenced(epoch namer.Epoch) bool {
	if epoch < w.epoch {
		return w.checks
	}
	w.epoch = epoch
	return false
}

func (w *rigWorker) leaseExpiry(d time.Duration) time.Time {
	return w.rig.clock.Now().Add(time.Duration(float64(d) * (1 + w.clockDrift)))
}

func (w *rigWorker) startTask(s connector.Start) error {
	if w.fenced(s.Epoch) {
		return connector.ErrFenced
	}
	if w.tasks[s.Ref] != nil {
		return nil
	}
	r := w.rig
	if used := w.used.Add(s.Size); !used.Fits(w.host.Capacity) {
		if w.checks {
			return connector.ErrNoCapacity
		}
		r.addViolation("worker %s holds %s of %s", w.host.Name, used, w.host.Capacity)
	}
	id := s.Ref.Task
	if r.runs[id] == nil {
		r.runs[id] = make(map[namer.TaskRef]*rigWorker)
	}
	for otherRef, otherWorker := range r.runs[id] {
		r.addViolation("task %s started at %s by %v, runs at %s by %v", id, w.host.Name, s.Ref.Attempt, otherWorker.host.Name, otherRef.Attempt)
	}
	// A task may have finished on a worker that its owner could not reach.
	if otherWorker := r.finished[id]; otherWorker != nil && !otherWorker.wasCut && r.lossRate == 0 && s.Kind != string(recorder.Service) {
		r.addViolation("task %s started at %s, finished at %s", id, w.host.Name, otherWorker.host.Name)
	}
	if s.Kind == string(recorder.Gang) && r.requireWholeGangs {
		r.checkGang(id.Job)
	}
	r.trace("%v start %s %v at %s", r.clock.Now().Sub(r.start), id, s.Ref.Attempt, w.host.Name)
	r.runs[id][s.Ref] = w
	w.used = w.used.Add(s.Size)
	task := &rigTask{
		report: connector.TaskReport{
			Ref:   s.Ref,
			State: connector.TaskRunning,
			Team:  s.Team,
			Kind:  s.Kind,
			Size:  s.Size,
			Usage: s.Size,
		},
		leaseExpiry: w.leaseExpiry(s.Lease),
	}
	w.tasks[s.Ref] = task
	w.watchLease(task, w.incarnation)
	if s.RunTime > 0 {
		incarnation := w.incarnation
		state := connector.TaskFinished
		if w.failing {
			state = connector.TaskFailed
		}
		r.schedule(s.RunTime, func() {
			if w.incarnation == incarnation {
				w.end(task, state)
			}
		})
	}
	return nil
}

// watchLease ends the task when its lease expires.
func (w *rigWorker) watchLease(task *rigTask, incarnation int) {
	w.rig.schedule(task.leaseExpiry.Sub(w.rig.clock.Now()), func() {
		switch {
		case w.incarnation != incarnation || task.report.State != connector.TaskRunning:
		case w.rig.clock.Now().Before(task.leaseExpiry):
			w.watchLease(task, incarnation)
		default:
			w.end(task, connector.TaskLapsed)
		}
	})
}

func (w *rigWorker) end(task *rigTask, state connector.TaskState) {
	if task.report.State != connector.TaskRunning {
		return
	}
	id := task.report.Ref.Task
	w.rig.trace("%v %s %s at %s", w.rig.clock.Now().Sub(w.rig.start), state, id, w.host.Name)
	task.report.State = state
	w.used = w.used.Sub(task.report.Size)
	delete(w.rig.runs[id], task.report.Ref)
	if state == connector.TaskFinished {
		w.rig.finished[id] = w
	}
}

func (w *rigWorker) renew(renewal connector.Renewal) (connector.Report, error) {
	if w.fenced(renewal.Epoch) {
		return connector.Report{}, connector.ErrFenced
	}
	for _, ref := range renewal.Refs {
		if task := w.tasks[ref]; task != nil && task.report.State == connector.TaskRunning {
			task.leaseExpiry = maxTime(task.leaseExpiry, w.leaseExpiry(renewal.Lease))
		}
	}
	for _, ref := range renewal.Acknowledged {
		if task := w.tasks[ref]; task != nil && task.report.State != connector.TaskRunning {
			w.forget(task)
		}
	}
	report := connector.Report{
		Worker:      w.host.Name,
		Incarnation: fmt.Sprint(w.incarnation),
		Epoch:       w.epoch,
		Capacity:    w.host.Capacity,
	}
	for _, task := range w.tasks {
		report.Tasks = append(report.Tasks, task.report)
	}
	slices.SortFunc(report.Tasks, func(a, b connector.TaskReport) int {
		return slices.Compare([]uint64{uint64(a.Ref.Attempt.Epoch), a.Ref.Attempt.Sequence}, []uint64{uint64(b.Ref.Attempt.Epoch), b.Ref.Attempt.Sequence})
	})
	return report, nil
}

// forget drops an ended task, and adds a violation if the task has finished and
// the log has not recorded that.
func (w *rigWorker) forget(task *rigTask) {
	delete(w.tasks, task.report.Ref)
	id := task.report.Ref.Task
	state, _ := w.rig.logState.Job(id.Job)
	_, ended := state.Ended()
	if task.report.State == connector.TaskFinished && !ended && !state.Finished().Has(id.Index) {
		w.rig.addViolation("worker %s forgot the finished task %s, which the log does not have", w.host.Name, id)
	}
}

func (w *rigWorker) stop(s connector.Stop) error {
	if w.fenced(s.Epoch) {
		return connector.ErrFenced
	}
	for _, ref := range s.Refs {
		if task := w.tasks[ref]; task != nil {
			state := connector.TaskStopped
			if s.Checkpoint {
				state = connector.TaskCheckpointed
				task.report.Checkpoint = "saved"
			}
			w.end(task, state)
		}
	}
	return nil
}

// restart ends all tasks of the worker, which comes back with a new incarnation
// after d.
func (w *rigWorker) restart(d time.Duration) {
	for _, task := range w.tasks {
		w.end(task, connector.TaskStopped)
		if w.rig.finished[task.report.Ref.Task] == w {
			delete(w.rig.finished, task.report.Ref.Task)
		}
	}
	w.incarnation++
	w.dead = true
	w.epoch = 0
	w.tasks = make(map[namer.TaskRef]*rigTask)
	w.rig.schedule(d, func() { w.dead = false })
}

// checkGang reports a violation unless every task of a gang has capacity.
func (r *rig) checkGang(job string) {
	state, _ := r.logState.Job(job)
	ready := 0
	for index := range state.Job().Tasks {
		id := namer.TaskID{
			Job:   job,
			Index: index,
		}
		if r.finished[id] != nil || state.Finished().Has(index) || r.reservedFor(id) {
			ready++
		}
	}
	if ready < state.Job().Tasks {
		r.addViolation("gang %s started with room for %d of %d tasks", job, ready, state.Job().Tasks)
	}
}

func (r *rig) reservedFor(id namer.TaskID) bool {
	for _, e := range r.entries {
		if task, ok := e.tables.placer.Task(id); ok && task.Worker() != "" {
			return true
		}
	}
	return false
}
