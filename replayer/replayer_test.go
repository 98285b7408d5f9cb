package replayer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// applier applies records at consecutive offsets.
type applier struct {
	state *State
	next  namer.Offset
}

func newApplier(state *State) *applier {
	return &applier{
		state: state,
		next:  state.Offset() + 1,
	}
}

// apply applies a record whose identity is its offset and returns the verdict.
func (a *applier) apply(body recorder.Body) Verdict {
	id := fmt.Sprintf("%036d", a.next)
	a.state.Apply(a.next, recorder.New(id, "entry1", time.Unix(0, 0), body))
	a.next++
	verdict, _ := a.state.Verdict(id)
	return verdict
}

func configChange(key, value string, base namer.Offset) recorder.ConfigChange {
	return recorder.ConfigChange{
		Key:      key,
		Base:     base,
		Value:    json.RawMessage(value),
		Operator: "anna",
	}
}

func newMembership(epoch namer.Epoch, names ...string) recorder.Membership {
	m := recorder.Membership{
		DataCentre: "here",
		Epoch:      epoch,
	}
	for _, name := range names {
		m.Members = append(m.Members, recorder.Member{
			Name:  name,
			Peers: name,
		})
	}
	return m
}

func newJob(id string, tasks int) recorder.Job {
	return recorder.Job{
		ID:         id,
		Name:       "night report",
		Team:       "omuti",
		Policy:     recorder.Batch,
		Tasks:      tasks,
		Size:       sizer.New(1000, 1<<30, 0),
		RunTime:    time.Hour,
		DataCentre: "here",
		Operator:   "anna",
	}
}

func jobProgress(id string, finished ...int) recorder.JobProgress {
	return recorder.JobProgress{
		Job:      id,
		Finished: finished,
	}
}

// TestRules checks the verdict on each of a sequence of records. An empty reason
// means that the record is accepted.
func TestRules(t *testing.T) {
	c := qt.New(t)
	a := newApplier(New())
	for i, step := range []struct {
		body   recorder.Body
		reason string
	}{
		{configChange("team/omuti", `{"weight":2}`, 0), ""},
		{configChange("team/omuti", `{"weight":3}`, 0), `based on offset 0, but team/omuti was set at offset 1 by anna`},
		{configChange("team/omuti", `{"weight":3}`, 1), ""},
		{configChange("team/omuti", `{"weight":0}`, 3), `.*weight is above 0.*`},
		{configChange("team/omuti", `{"wieght":1}`, 3), `.*unknown field.*`},
		{configChange("team/", `{"weight":1}`, 0), `.*lacks a name.*`},
		{configChange("a b", `1`, 0), `.*space.*`},
		{configChange("service/desk", `{"team":"omuti","deadline":"2s"}`, 0), ""},
		{configChange("service/scan", `{"team":"omuti","deadline":"soon"}`, 0), `.*invalid duration.*`},
		{configChange("team/omuti", ``, 3), ""},
		{configChange("team/omuti", `{"weight":1}`, 0), `based on offset 0, but team/omuti is absent since offset 10`},
		{configChange("team/omuti", `{"weight":1}`, 10), ""},
		{configChange("none", ``, 0), "there is no entry none to remove"},
		{newMembership(1, "a", "b"), ""},
		{newMembership(1, "a"), "epoch 1 does not follow 1"},
		{newMembership(3, "a"), "epoch 3 does not follow 1"},
		{newMembership(2, "b", "a"), "the members are not sorted.*"},
		{newMembership(2, "a"), ""},
		{newJob("j", 2), ""},
		{newJob("j", 2), "job j was submitted at offset 19"},
		{newJob("k", 0), "the number of tasks is out of range"},
		{jobProgress("j", 2), "job j has no task 2"},
		{jobProgress("j", 0), ""},
		{recorder.JobCancel{
			Job: "j",
		}, ""},
		{jobProgress("j", 0, 1), ""},
		{recorder.JobCancel{
			Job: "j",
		}, "job j has ended"},
		{recorder.JobEnd{
			Job: "k",
		}, "there is no job k"},
		{recorder.Audit{}, "audit records have no place.*"},
	} {
		verdict := a.apply(step.body)
		c.Check(verdict.Reason(), qt.Matches, step.reason, qt.Commentf("step %d", i+1))
		c.Check(verdict.Accepted(), qt.Equals, step.reason == "", qt.Commentf("step %d", i+1))
	}
	service, ok := a.state.Service("desk")
	c.Assert(ok, qt.IsTrue)
	c.Assert(service.Deadline, qt.Equals, 2*time.Second)
	c.Assert(a.state.Teams()["omuti"].Weight, qt.Equals, 1.0)
	j, _ := a.state.Job("j")
	end, ended := j.Ended()
	c.Assert(ended && j.Cancelled() && j.Finished().Has(1), qt.IsTrue)
	c.Assert(end.Outcome, qt.Equals, recorder.Done)
	c.Assert(a.state.JobsChanged(24), qt.HasLen, 1)
	c.Assert(a.state.JobsChanged(25), qt.HasLen, 0)
}

func TestAwaitEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New().Await(ctx, "never")
	c.Assert(err, qt.ErrorIs, ErrAwait)
}

// TestTeamsFollowTheConfiguration checks that Teams returns the current
// configuration, also after a snapshot was restored, and that a map that was
// returned before does not change.
func TestTeamsFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	a := newApplier(New())
	c.Assert(a.state.Teams(), qt.HasLen, 0)
	a.apply(configChange("team/omuti", `{"weight":1}`, 0))
	firstTeams := a.state.Teams()
	a.apply(configChange("team/omuti", `{"weight":2}`, 1))
	a.apply(configChange("other", `{"weight":2}`, 0))
	a.apply(configChange("team/omuti", `{"weight":9}`, 1))
	c.Assert(firstTeams["omuti"].Weight, qt.Equals, 1.0)
	c.Assert(a.state.Teams()["omuti"].Weight, qt.Equals, 2.0)
	parts, err := a.state.Snapshot()
	c.Assert(err, qt.IsNil)
	a.apply(configChange("team/omuti", ``, 2))
	c.Assert(a.state.Teams(), qt.HasLen, 0)
	fresh := New()
	c.Assert(fresh.Teams(), qt.HasLen, 0)
	c.Assert(fresh.Restore(parts...), qt.IsNil)
	c.Assert(fresh.Teams()["omuti"].Weight, qt.Equals, 2.0)
}

// BenchmarkTeams measures a call of Teams, with 1,000 teams, after a record that
// changes no team.
func BenchmarkTeams(b *testing.B) {
	a := newApplier(fullScaleState(0))
	for b.Loop() {
		a.apply(jobProgress("none", 0))
		if len(a.state.Teams()) != 1000 {
			b.Fatal("teams are missing")
		}
	}
}

// TestEndedJobsAndVerdictsAreForgotten checks that the state is bounded: the
// oldest ended jobs and verdicts are evicted, and a job beyond the limit is
// refused.
func TestEndedJobsAndVerdictsAreForgotten(t *testing.T) {
	c := qt.New(t)
	a := newApplier(New(func(s *State) {
		s.limits.ended = 2
		s.limits.decisions = 3
		s.limits.jobs = 1
	}))
	for i := range 4 {
		id := fmt.Sprint(i)
		c.Assert(a.apply(newJob(id, 1)).Accepted(), qt.IsTrue)
		c.Assert(a.apply(newJob("another", 1)).Reason(), qt.Equals, "the cell is full at 1 jobs")
		c.Assert(a.apply(jobProgress(id, 0)).Accepted(), qt.IsTrue)
	}
	_, known := a.state.Job("1")
	c.Assert(known, qt.IsFalse)
	c.Assert(a.state.Jobs(), qt.HasLen, 2)
	_, known = a.state.Verdict(fmt.Sprintf("%036d", 1))
	c.Assert(known, qt.IsFalse)
}

// TestRepeatedUnknownRecordCountsOnce guards against a regression: a record of an
// unknown kind that was appended twice was counted twice, also after a snapshot.
func TestRepeatedUnknownRecordCountsOnce(t *testing.T) {
	c := qt.New(t)
	record := func(id string) recorder.Record {
		return recorder.New(id, "entry1", time.Unix(0, 0), recorder.Unknown{
			Name: "novelty",
			Raw:  json.RawMessage("1"),
		})
	}
	state := New()
	state.Apply(1, record("a"))
	state.Apply(2, record("a"))
	c.Assert(state.Unknown(), qt.Equals, uint64(1))
	state.Apply(3, record("b"))
	c.Assert(state.Unknown(), qt.Equals, uint64(2))

	parts, err := state.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := New()
	c.Assert(restored.Restore(parts...), qt.IsNil)
	restored.Apply(4, record("a"))
	c.Assert(restored.Unknown(), qt.Equals, uint64(2))
	first, _ := restored.unknown.get("a")
	c.Assert(first.offset, qt.Equals, namer.Offset(1))
}

// TestRestoreRefusesWhatIsNotWholeOrNotAhead checks that Restore refuses a
// snapshot that is incomplete, malformed or not ahead of the state, and takes
// the parts in any order.
func TestRestoreRefusesWhatIsNotWholeOrNotAhead(t *testing.T) {
	c := qt.New(t)
	a := newApplier(New(PartSize(10)))
	a.apply(configChange("a", "1", 0))
	a.apply(configChange("b", "2", 0))
	parts, err := a.state.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(len(parts) > 1, qt.IsTrue)

	c.Assert(a.state.Restore(parts...), qt.ErrorIs, ErrOlder)
	fresh := New()
	c.Assert(fresh.Restore(), qt.ErrorIs, ErrSnapshot)
	c.Assert(fresh.Restore(parts[1:]...), qt.ErrorIs, ErrSnapshot)
	c.Assert(fresh.Restore(append(parts[1:], parts[1])...), qt.ErrorIs, ErrSnapshot)
	spoilt := slices.Clone(parts)
	spoilt[0].State = json.RawMessage(`[]`)
	c.Assert(fresh.Restore(spoilt...), qt.ErrorIs, ErrSnapshot)
	c.Assert(fresh.Offset(), qt.Equals, namer.Offset(0))

	slices.Reverse(parts)
	c.Assert(fresh.Restore(parts...), qt.IsNil)
	c.Assert(fresh.Offset(), qt.Equals, namer.Offset(2))
	setting, _ := fresh.Config("b")
	c.Assert(string(setting.Value()), qt.Equals, "2")
}

// FuzzRestore checks that bytes that are no snapshot are refused, and that a
// state restored from accepted bytes can be captured and restored again.
func FuzzRestore(f *testing.F) {
	a := newApplier(New())
	a.apply(configChange("a", "1", 0))
	a.apply(newMembership(1, "a"))
	a.apply(newJob("j", 2))
	a.apply(jobProgress("j", 0, 1))
	a.apply(recorder.Unknown{
		Name: "novelty",
		Raw:  json.RawMessage("1"),
	})
	parts, err := a.state.Snapshot()
	qt.Assert(f, err, qt.IsNil)
	f.Add([]byte(parts[0].State))
	f.Add([]byte(`{"jobs":[{"job":{"id":"a"}},{"job":{"id":"a"}}],"ended":["b"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		part := recorder.Snapshot{
			Parts:   1,
			Through: 10,
			State:   data,
		}
		state := New()
		if state.Restore(part) != nil {
			return
		}
		a := newApplier(state)
		a.apply(jobProgress("j", 0))
		a.apply(newJob("new", 1))
		a.apply(jobProgress("new", 0))
		again, err := state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, New().Restore(again...), qt.IsNil)
	})
}

// fullScaleState returns a state of the largest supported size (1,000 teams, 25
// data centres) with the given number of jobs that have not ended.
func fullScaleState(jobs int) *State {
	state := New()
	a := newApplier(state)
	for i := range 1000 {
		a.apply(configChange(fmt.Sprintf("team/team%04d", i), `{"weight":1,"quota":{"milliCores":400000,"bytes":1000000000000}}`, 0))
	}
	for i := range 25 {
		m := newMembership(1, "entry-1-0123456789ab", "entry-2-0123456789ab", "entry-3-0123456789ab", "entry-4-0123456789ab")
		m.DataCentre = fmt.Sprintf("dc%02d", i)
		a.apply(m)
	}
	for i := range jobs {
		j := newJob(fmt.Sprintf("%036d", i), 25)
		j.Team = fmt.Sprintf("team%04d", i%1000)
		j.DataCentre = fmt.Sprintf("dc%02d", i%25)
		a.apply(j)
	}
	return state
}

// TestStateSizeAtFullScale logs the memory and the snapshot size of a full-scale
// state in which none, a tenth, half or all of a day's 92,000 jobs have not
// ended. It checks that each part of the snapshot is shorter than 300 KiB.
func TestStateSizeAtFullScale(t *testing.T) {
	if testing.Short() {
		t.Skip("measures memory, which the race detector multiplies")
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, jobs := range []int{0, 9_200, 46_000, 92_000} {
		before := heap()
		state := fullScaleState(jobs)
		heldBytes := heap() - before
		parts, err := state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		total, longest := 0, 0
		for _, part := range parts {
			total += len(part.State)
			longest = max(longest, len(part.State))
		}
		t.Logf("%d jobs: %.1f MB held, snapshot of %d parts, %.2f MB, longest %d bytes",
			jobs, float64(heldBytes)/1e6, len(parts), float64(total)/1e6, longest)
		qt.Assert(t, longest < 300<<10, qt.IsTrue)
	}
}
