package watcher

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// minFailedHeartbeats is how many consecutive heartbeats to a member must fail,
// in addition to its silence, before the member is suspected.
const minFailedHeartbeats = 3

// peer holds the state of one other process.
type peer struct {
	member recorder.Member
	// silentSince is the time from which the peer's silence is counted: the latest
	// of its last heartbeat, the last call of resetSilence, and the addition of the
	// peer.
	silentSince time.Time
	// lastHeartbeat is the time of the last heartbeat from the peer itself,
	// zero if there was none.
	lastHeartbeat time.Time
	// vouchedAt is when a witness last confirmed that it hears the peer.
	vouchedAt time.Time
	// failedHeartbeats counts the heartbeats to the peer that have failed since
	// silentSince.
	failedHeartbeats int
	// joiningSince is when the peer began to ask to join, zero if it does not
	// ask. leaving is set if it asks to leave.
	joiningSince  time.Time
	leaving       bool
	appliedOffset namer.Offset
	load          json.RawMessage
}

// table is the state of a watcher. It does no I/O and reads no clock.
type table struct {
	self       recorder.Member
	dataCentre string
	timing     Timing
	// membership is the membership in force. Its epoch never decreases.
	membership recorder.Membership
	// targets are the members that this process watches: it sends heartbeats to
	// them, and suspects only them. The slice is replaced when the membership
	// changes and is never modified.
	targets []recorder.Member
	// peers holds the other members, and processes outside the membership that
	// sent heartbeats, by name.
	peers map[string]*peer
	// startedAt is the time of the first round, lastRound that of the last.
	startedAt time.Time
	lastRound time.Time
	// isMember is set while this process is a member, since joinedAt.
	isMember bool
	joinedAt time.Time
	// rejoinAt is the time before which this process does not ask to join
	// again, and rejoinBackoff the wait that led to it.
	rejoinAt      time.Time
	rejoinBackoff time.Duration
}

// witnessPoll is the result of asking witnesses about suspects.
type witnessPoll struct {
	// askedAbout are the suspects that the witnesses were asked about.
	askedAbout []string
	// answeringTargets is how many of the witnesses that answered are targets
	// of this process.
	answeringTargets int
}

func newTable(self recorder.Member, dataCentre string, timing Timing) *table {
	return &table{
		self:       self,
		dataCentre: dataCentre,
		timing:     timing,
		peers:      make(map[string]*peer),
	}
}

// startRound records the start of a round, and reports whether this process was
// paused since the last one. After a pause it restarts the silence of the
// peers, since heartbeats missed during the pause do not indicate that they
// have failed.
func (t *table) startRound(now time.Time) bool {
	if t.startedAt.IsZero() {
		t.startedAt = now
		t.lastRound = now
	}
	paused := t.roundOverdue(now)
	t.lastRound = now
	if paused {
		t.resetSilence(now)
	}
	return paused
}

// resetSilence restarts the silence of every peer.
func (t *table) resetSilence(now time.Time) {
	for _, p := range t.peers {
		p.silentSince = now
		p.failedHeartbeats = 0
	}
}

// applyMembership applies m, the membership in force, if it is newer than that
// of the table. It also deletes the peers outside m that have been silent for
// longer than MaxRejoinBackoff.
func (t *table) applyMembership(now time.Time, m recorder.Membership) {
	if m.Epoch <= t.membership.Epoch {
		return
	}
	t.membership = m
	t.targets = t.ringSuccessors(m.Members)
	for _, member := range m.Members {
		if member.Name == t.self.Name {
			continue
		}
		if t.peers[member.Name] == nil {
			t.peers[member.Name] = &peer{
				member:      member,
				silentSince: now,
			}
		}
	}
	t.updateSelf(now, containsMember(m.Members, t.self.Name))
	for name, p := range t.peers {
		if !containsMember(m.Members, name) && now.Sub(p.silentSince) > t.timing.MaxRejoinBackoff {
			delete(t.peers, name)
		}
	}
}

// updateSelf records whether this process is a member. If it has just been
// removed, updateSelf sets the rejoin backoff. If it has just joined,
// updateSelf restarts the silence of the peers, since their earlier silence may
// be the fault of this process.
func (t *table) updateSelf(now time.Time, isMember bool) {
	switch {
	case isMember && !t.isMember:
		t.joinedAt = now
		t.resetSilence(now)
	case !isMember && t.isMember:
		if t.rejoinBackoff == 0 || now.Sub(t.joinedAt) > t.timing.MaxRejoinBackoff {
			t.rejoinBackoff = t.timing.RejoinBackoff
		} else {
			t.rejoinBackoff = min(2*t.rejoinBackoff, t.timing.MaxRejoinBackoff)
		}
		t.rejoinAt = now.Add(t.rejoinBackoff)
	}
	t.isMember = isMember
}

// recordHeartbeat records a heartbeat from a peer.
func (t *table) recordHeartbeat(now time.Time, h Heartbeat) {
	if h.From.Name == t.self.Name || h.From.Name == "" {
		return
	}
	p := t.peers[h.From.Name]
	if p == nil {
		p = &peer{}
		t.peers[h.From.Name] = p
	}
	p.member = h.From
	p.silentSince = now
	p.lastHeartbeat = now
	p.failedHeartbeats = 0
	p.appliedOffset = max(p.appliedOffset, h.Offset)
	p.load = h.Load
	p.leaving = h.Leaving
	if !h.Joining {
		p.joiningSince = time.Time{}
	} else if p.joiningSince.IsZero() {
		p.joiningSince = now
	}
}

// recordFailure records that a heartbeat to the member failed.
func (t *table) recordFailure(name string) {
	if p := t.peers[name]; p != nil {
		p.failedHeartbeats++
	}
}

// recordVouch records that a witness hears the member.
func (t *table) recordVouch(now time.Time, name string) {
	if p := t.peers[name]; p != nil {
		p.vouchedAt = now
	}
}

// hearsDirectly reports whether the member itself sent a heartbeat within
// Suspicion.
func (t *table) hearsDirectly(now time.Time, name string) bool {
	p := t.peers[name]
	return p != nil && !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) <= t.timing.Suspicion
}

// presumedAlive reports whether there is no evidence that the process has
// failed. Members that this process does not watch are presumed alive.
func (t *table) presumedAlive(now time.Time, name string) bool {
	if name == t.self.Name {
		return true
	}
	p := t.peers[name]
	if p == nil {
		return false
	}
	if containsMember(t.membership.Members, name) && !containsMember(t.targets, name) {
		return true
	}
	return now.Sub(p.silentSince) <= t.timing.Suspicion
}

// wantsToJoin reports whether this process asks to be a member.
func (t *table) wantsToJoin(now time.Time) bool {
	return !t.isMember && !now.Before(t.rejoinAt)
}

// ringSuccessors returns the members that this process watches: the first
// maxTargets that follow it in the ring, in which members are ordered by name.
func (t *table) ringSuccessors(members []recorder.Member) []recorder.Member {
	after := make([]recorder.Member, 0, len(members))
	var before []recorder.Member
	for _, member := range members {
		switch strings.Compare(member.Name, t.self.Name) {
		case -1:
			before = append(before, member)
		case 1:
			after = append(after, member)
		}
	}
	after = append(after, before...)
	return after[:min(len(after), maxTargets)]
}

// roundOverdue reports whether the last round started too long ago. This
// process may then have been paused, and startRound has not handled the pause
// yet.
func (t *table) roundOverdue(now time.Time) bool {
	return now.Sub(t.lastRound) > t.timing.Suspicion/2
}

// suspects returns the targets that have been silent for longer than the limit
// plus this process's proposal delay, and to which minFailedHeartbeats or more
// heartbeats have failed. A witness that hears a target ends its silence. While
// a round is overdue there are no suspects.
func (t *table) suspects(now time.Time, silenceLimit time.Duration) []string {
	if t.roundOverdue(now) {
		return nil
	}
	var names []string
	for _, target := range t.targets {
		p := t.peers[target.Name]
		silence := min(now.Sub(p.silentSince), now.Sub(p.vouchedAt))
		if silence <= silenceLimit || p.failedHeartbeats < minFailedHeartbeats {
			continue
		}
		if silence > silenceLimit+t.proposalDelay(now, target.Name) {
			names = append(names, target.Name)
		}
	}
	return names
}

// silenceLimit returns how long a member may be silent, given how many targets
// answered as witnesses. The limit is longer if this process does not reach
// most of its targets, since the fault is then more likely its own.
func (t *table) silenceLimit(answeringTargets int) time.Duration {
	if 2*(answeringTargets+1) > len(t.targets)+1 {
		return t.timing.Suspicion
	}
	return t.timing.Suspicion * time.Duration(t.timing.MinorityFactor)
}

// proposalDelay returns how long this process waits before it proposes to add
// or remove the named process: one interval for each live member between the
// two in the ring, at most maxTargets. The member just before the named process
// thus proposes first.
func (t *table) proposalDelay(now time.Time, name string) time.Duration {
	ahead := 0
	for _, member := range t.membership.Members {
		if betweenInRing(t.self.Name, member.Name, name) && t.presumedAlive(now, member.Name) {
			ahead++
		}
	}
	return time.Duration(min(ahead, maxTargets)) * t.timing.Interval
}

// betweenInRing reports whether middle lies after first and before last in the
// ring.
func betweenInRing(first, middle, last string) bool {
	if middle == first || middle == last {
		return false
	}
	if first < last {
		return first < middle && middle < last
	}
	return first < middle || middle < last
}

// witnesses returns the processes to ask about suspects: those that this
// process hears directly and that are its targets or ask to join.
func (t *table) witnesses(now time.Time) []recorder.Member {
	targets := t.targets
	var asked []recorder.Member
	for name, p := range t.peers {
		if t.hearsDirectly(now, name) && (containsMember(targets, name) || !p.joiningSince.IsZero()) {
			asked = append(asked, p.member)
		}
	}
	return asked
}

// nextMembership returns the membership to propose, and false if the one in
// force needs no change. It removes only suspects that witnesses were asked
// about, and none while this process is not a member itself.
func (t *table) nextMembership(now time.Time, leaving bool, poll witnessPoll) (recorder.Membership, bool) {
	var c change
	for _, name := range t.suspects(now, t.silenceLimit(poll.answeringTargets)) {
		if t.isMember && slices.Contains(poll.askedAbout, name) {
			c.remove(name, "gone")
		}
	}
	t.addPeerChanges(now, &c)
	t.addSelfChange(now, leaving, &c)
	members := c.apply(t.membership.Members)
	if slices.Equal(members, t.membership.Members) {
		return recorder.Membership{}, false
	}
	return recorder.Membership{
		DataCentre: t.dataCentre,
		Epoch:      t.membership.Epoch + 1,
		Members:    members,
		Cause:      c.cause(),
	}, true
}

// addPeerChanges adds the peers that ask to join or to leave. Only a member
// proposes changes of others.
func (t *table) addPeerChanges(now time.Time, c *change) {
	if !t.isMember {
		return
	}
	for name, p := range t.peers {
		switch {
		case !t.hearsDirectly(now, name):
		case p.leaving && containsMember(t.membership.Members, name):
			c.remove(name, "leaving")
		case !p.joiningSince.IsZero() && now.Sub(p.joiningSince) >= t.timing.JoinDelay+t.proposalDelay(now, name):
			t.admit(p.member, c)
		}
	}
}

func (t *table) addSelfChange(now time.Time, leaving bool, c *change) {
	if leaving {
		if t.isMember {
			c.remove(t.self.Name, "leaving")
		}
		return
	}
	if !t.wantsToJoin(now) {
		return
	}
	since := t.startedAt
	if t.rejoinAt.After(since) {
		since = t.rejoinAt
	}
	if now.Sub(since) >= t.selfProposalDelay(now) {
		t.admit(t.self, c)
	}
}

// selfProposalDelay returns how long this process waits for a member to propose
// it before it proposes itself. If it hears no member, either all have failed
// or it is cut off itself, so it waits longest.
func (t *table) selfProposalDelay(now time.Time) time.Duration {
	switch {
	case len(t.membership.Members) == 0:
		return t.timing.JoinDelay
	case t.hearsAnyMember(now):
		return t.timing.Suspicion
	default:
		return t.timing.Suspicion * time.Duration(t.timing.MinorityFactor)
	}
}

func (t *table) hearsAnyMember(now time.Time) bool {
	for _, member := range t.membership.Members {
		if t.hearsDirectly(now, member.Name) {
			return true
		}
	}
	return false
}

// admit adds the process to the change, and removes an earlier incarnation at
// the same address. It does nothing if the process is already a member.
func (t *table) admit(member recorder.Member, c *change) {
	if containsMember(t.membership.Members, member.Name) {
		return
	}
	for _, other := range t.membership.Members {
		if other.Peers == member.Peers {
			c.remove(other.Name, "replaced")
		}
	}
	c.add(member)
}

// change collects the differences between the membership in force and a
// proposal.
type change struct {
	added   []recorder.Member
	removed []string
	causes  []string
}

func (c *change) add(member recorder.Member) {
	c.added = append(c.added, member)
	c.causes = append(c.causes, member.Name+" new")
}

func (c *change) remove(name, cause string) {
	if slices.Contains(c.removed, name) {
		return
	}
	c.removed = append(c.removed, name)
	c.causes = append(c.causes, name+" "+cause)
}

// apply returns the members after the change, sorted by name.
func (c *change) apply(members []recorder.Member) []recorder.Member {
	var after []recorder.Member
	for _, member := range members {
		if !slices.Contains(c.removed, member.Name) {
			after = append(after, member)
		}
	}
	after = append(after, c.added...)
	slices.SortFunc(after, func(a, b recorder.Member) int {
		return strings.Compare(a.Name, b.Name)
	})
	return after
}

// cause describes the change for operators, in bounded length.
func (c *change) cause() string {
	const maxCauses = 5
	slices.Sort(c.causes)
	if len(c.causes) > maxCauses {
		return fmt.Sprintf("%s and %d more", strings.Join(c.causes[:maxCauses], ", "), len(c.causes)-maxCauses)
	}
	return strings.Join(c.causes, ", ")
}

func containsMember(members []recorder.Member, name string) bool {
	return slices.ContainsFunc(members, func(m recorder.Member) bool {
		return m.Name == name
	})
}
