package dispatcher

import (
	"slices"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// setMembership begins a new epoch. If it directly follows the last one, this
// entry keeps the workers that it still owns and the jobs whose home it still
// is. After a gap it takes all of them over again, because other members may
// have had them in between.
func (t *tables) setMembership(m recorder.Membership, membershipOffset namer.Offset) {
	if m.DataCentre != t.dataCentre || m.Epoch <= t.epoch {
		return
	}
	consecutive := t.member && m.Epoch == t.epoch+1
	formerMembers := t.members
	t.epoch = m.Epoch
	t.membershipOffset = membershipOffset
	t.epochLearnedAt = t.now
	t.members = make([]string, 0, len(m.Members))
	for _, member := range m.Members {
		t.members = append(t.members, member.Name)
	}
	slices.Sort(t.members)
	t.member = slices.Contains(t.members, t.self)
	t.censusSent = false
	t.censusComplete = false
	t.metrics.epoch.Set(float64(m.Epoch))
	t.log.Infof("dispatcher: epoch %d with %d members", m.Epoch, len(t.members))
	if !t.member {
		t.dropAll()
		return
	}
	t.openStreams(m)
	t.moveLinks(consecutive)
	t.moveHoldings(consecutive, formerMembers)
	t.moveHomes(consecutive, formerMembers)
	t.reconcileHosts()
	t.sendToAll(Ready{
		Epoch: t.epoch,
	})
	t.applyLocal()
}

// dropAll drops the state of workers, tasks and jobs once this entry is not a
// member: the members take the workers and jobs over.
func (t *tables) dropAll() {
	for _, name := range slices.Clone(t.links.sortedNames()) {
		t.dropLink(t.links.byName[name])
	}
	for _, name := range sortedKeys(t.reservations) {
		t.releaseReservation(name)
	}
	for _, id := range sortedTasks(t.held) {
		t.placer.Cancel(id)
		t.removeHolding(id)
	}
	clear(t.homeJobs)
	clear(t.dirtyJobs)
	clear(t.waitingJobs)
	clear(t.unknownJobs.byJob)
	clear(t.streams)
	t.selfStream = memberStream{}
}

// moveLinks drops the workers that have another owner now, and sends the owner a
// Handover for each that this member had taken over.
func (t *tables) moveLinks(consecutive bool) {
	for _, name := range slices.Clone(t.links.sortedNames()) {
		l := t.links.byName[name]
		owner, _ := namer.Owner(name, t.members)
		switch {
		case owner != t.self:
			if l.adopted {
				t.send(owner, Handover{
					Host: l.host,
				})
			}
			t.dropLink(l)
		case !consecutive || l.state == linkSuperseded:
			t.resetLink(l)
		default:
			t.renewOnNextTick(l)
		}
	}
}

// moveHoldings reports to each job's home which of its tasks this member has.
// Tasks that only wait are dropped if their home has changed, or after a gap in
// the epochs.
func (t *tables) moveHoldings(consecutive bool, formerMembers []string) {
	for _, name := range sortedKeys(t.reservations) {
		t.releaseReservation(name)
	}
	for _, job := range sortedKeys(t.heldIndexes) {
		home := t.homeOf(job)
		former, _ := namer.Owner(job, formerMembers)
		moved := !consecutive || home != former
		kept := make([]int, 0, len(t.heldIndexes[job]))
		for _, index := range t.heldIndexesOf(job) {
			id := namer.TaskID{
				Job:   job,
				Index: index,
			}
			h := t.held[id]
			h.home = home
			if h.run == nil && moved {
				t.placer.Cancel(id)
				t.removeHolding(id)
				continue
			}
			kept = append(kept, index)
		}
		if len(kept) > 0 {
			t.send(home, Held{
				Job:     job,
				Indexes: kept,
			})
		}
	}
	for _, ref := range sortedRefs(t.finished) {
		t.send(t.homeOf(ref.Task.Job), Finished{
			Refs: []namer.TaskRef{ref},
		})
	}
}

// moveHomes drops the jobs whose home has changed, or all jobs after a gap in
// the epochs, and adds those whose home is this member now. Tasks that were
// with holders are uncertain until the holders have reported them in this
// epoch.
func (t *tables) moveHomes(consecutive bool, formerMembers []string) {
	clear(t.unknownJobs.byJob)
	for _, id := range sortedKeys(t.homeJobs) {
		j := t.homeJobs[id]
		former, _ := namer.Owner(id, formerMembers)
		if !consecutive || former != t.self || t.homeOf(id) != t.self {
			delete(t.homeJobs, id)
			delete(t.dirtyJobs, id)
			delete(t.waitingJobs, id)
			continue
		}
		t.markUncertain(j)
	}
	for _, id := range sortedKeys(t.jobs) {
		if t.homeOf(id) == t.self && t.homeJobs[id] == nil {
			t.updateHome(t.jobs[id], false)
		}
	}
}

// markUncertain makes the tasks uncertain that are held or whose end is being
// recorded: in the new epoch their holders report both kinds again.
func (t *tables) markUncertain(j *homeJob) {
	for index := range j.tasks {
		if state := j.tasks[index].state; state == taskHeld || state == taskRecording {
			j.setState(index, taskUncertain)
		}
	}
	j.unrecorded = nil
	j.recording = false
	j.withdrawSent = false
	if j.gang != nil && j.gang.state != gangStopping {
		j.gang.state = gangWaiting
	}
	t.markDirty(j)
}

// updateCensus sends this member's Census once the reports of all its workers
// are read. It completes the census once every member has sent its Census and
// the leases that no member knew of have lapsed.
func (t *tables) updateCensus() {
	if !t.censusSent && t.censusBlocker() == "" {
		t.censusSent = true
		// The summary that is sent with the Census must include the last
		// takeovers.
		t.nextSummaryAt = t.now
		t.sendToAll(Census{
			Epoch: t.epoch,
		})
	}
	if t.censusComplete || t.now.Before(t.epochLearnedAt.Add(t.settings.timings.expiryDelay())) || !t.selfStream.census {
		return
	}
	for _, stream := range t.streams {
		if !stream.census {
			return
		}
	}
	t.censusComplete = true
	t.metrics.census.Observe(t.now.Sub(t.epochLearnedAt).Seconds())
	t.log.Infof("dispatcher: every member has reported in epoch %d", t.epoch)
	for _, j := range t.homeJobs {
		t.markDirty(j)
	}
}

// censusBlocker returns what this member's Census still waits for, empty if for
// nothing.
func (t *tables) censusBlocker() string {
	if !t.hostsKnown {
		return "the host list"
	}
	for _, name := range sortedKeys(t.streams) {
		if !t.streams[name].ready {
			return "member " + name
		}
	}
	for _, name := range slices.Clone(t.links.sortedNames()) {
		if l := t.links.byName[name]; !l.adopted {
			return "worker " + name + ", which is " + l.state.String()
		}
	}
	return ""
}
