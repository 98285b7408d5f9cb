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

// minMisses is how many heartbeats in a row must have failed, beside the time,
// before a member is taken for gone.
const minMisses = 3

// peer is what is known of one other process.
type peer struct {
	member recorder.Member
	// heard is when there was last a sign of life, or when the watch began.
	heard time.Time
	// answered is when the peer itself was last heard, zero if it never was.
	answered time.Time
	// vouched is when a witness last heard the peer.
	vouched time.Time
	// misses counts the heartbeats that failed since the peer was heard.
	misses int
	// joining is since when the peer wants to be a member, zero if it does
	// not; leaving says that it wants to be none.
	joining time.Time
	leaving bool
	offset  namer.Offset
	load    json.RawMessage
}

// table is what a watcher knows. It does no I/O and reads no clock.
type table struct {
	self       recorder.Member
	dataCentre string
	terms      Terms
	// membership is the one in force. Its epoch never falls.
	membership recorder.Membership
	// targets are the members that this process watches. It is replaced with
	// the membership and never changed.
	targets []recorder.Member
	// peers holds the other members, and others that were heard.
	peers map[string]*peer
	// began is when the watch began, last the time of the last round.
	began time.Time
	last  time.Time
	// member says that this process is a member, since when in joined.
	member bool
	joined time.Time
	// rejoin is before when this process does not ask to be a member again,
	// and pause how long it then waited.
	rejoin time.Time
	pause  time.Duration
}

// inquiry is what came of asking the witnesses.
type inquiry struct {
	// names are the members that were asked about.
	names []string
	// answered is how many of the witnesses that are members answered.
	answered int
}

func newTable(self recorder.Member, dataCentre string, terms Terms) *table {
	return &table{
		self:       self,
		dataCentre: dataCentre,
		terms:      terms,
		peers:      make(map[string]*peer),
	}
}

// begin starts a round. It reports whether this process was paused since the
// last: what it did not hear meanwhile says nothing about the others.
func (t *table) begin(now time.Time) bool {
	if t.began.IsZero() {
		t.began = now
		t.last = now
	}
	paused := t.overdue(now)
	t.last = now
	if paused {
		t.forgive(now)
	}
	return paused
}

// forgive begins the watch of every peer anew.
func (t *table) forgive(now time.Time) {
	for _, p := range t.peers {
		p.heard = now
		p.misses = 0
	}
}

// follow takes over the membership in force.
func (t *table) follow(now time.Time, m recorder.Membership) {
	if m.Epoch <= t.membership.Epoch {
		return
	}
	t.membership = m
	t.targets = t.ringAfter(m.Members)
	for _, member := range m.Members {
		if member.Name == t.self.Name {
			continue
		}
		if t.peers[member.Name] == nil {
			t.peers[member.Name] = &peer{
				member: member,
				heard:  now,
			}
		}
	}
	t.followSelf(now, contains(m.Members, t.self.Name))
	for name, p := range t.peers {
		if !contains(m.Members, name) && now.Sub(p.heard) > t.terms.RejoinMax {
			delete(t.peers, name)
		}
	}
}

// followSelf makes a process that was taken out wait before it comes back, and
// one that came in begin its watch, since what it did not hear before may be
// its own fault.
func (t *table) followSelf(now time.Time, member bool) {
	switch {
	case member && !t.member:
		t.joined = now
		t.forgive(now)
	case !member && t.member:
		if t.pause == 0 || now.Sub(t.joined) > t.terms.RejoinMax {
			t.pause = t.terms.Rejoin
		} else {
			t.pause = min(2*t.pause, t.terms.RejoinMax)
		}
		t.rejoin = now.Add(t.pause)
	}
	t.member = member
}

// heard notes a heartbeat.
func (t *table) heard(now time.Time, h Heartbeat) {
	if h.From.Name == t.self.Name || h.From.Name == "" {
		return
	}
	p := t.peers[h.From.Name]
	if p == nil {
		p = &peer{}
		t.peers[h.From.Name] = p
	}
	p.member = h.From
	p.heard = now
	p.answered = now
	p.misses = 0
	p.offset = max(p.offset, h.Offset)
	p.load = h.Load
	p.leaving = h.Leaving
	if !h.Joining {
		p.joining = time.Time{}
	} else if p.joining.IsZero() {
		p.joining = now
	}
}

// missed notes that a heartbeat to the member failed.
func (t *table) missed(name string) {
	if p := t.peers[name]; p != nil {
		p.misses++
	}
}

// vouch notes that a witness hears the member.
func (t *table) vouch(now time.Time, name string) {
	if p := t.peers[name]; p != nil {
		p.vouched = now
	}
}

// hears reports whether the member itself was heard lately.
func (t *table) hears(now time.Time, name string) bool {
	p := t.peers[name]
	return p != nil && !p.answered.IsZero() && now.Sub(p.answered) <= t.terms.Suspicion
}

// alive reports whether nothing speaks against the member's being there. Of
// members that this process does not watch it knows nothing.
func (t *table) alive(now time.Time, name string) bool {
	if name == t.self.Name {
		return true
	}
	p := t.peers[name]
	if p == nil {
		return false
	}
	if contains(t.membership.Members, name) && !contains(t.targets, name) {
		return true
	}
	return now.Sub(p.heard) <= t.terms.Suspicion
}

// wantsIn reports whether this process asks to be a member.
func (t *table) wantsIn(now time.Time) bool {
	return !t.member && !now.Before(t.rejoin)
}

// ringAfter returns the members that this process watches: the next ones in
// the ring of names.
func (t *table) ringAfter(members []recorder.Member) []recorder.Member {
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
	return after[:min(len(after), watched)]
}

// overdue reports whether the next round is late: then this process may just
// have been paused, and does not know yet.
func (t *table) overdue(now time.Time) bool {
	return now.Sub(t.last) > t.terms.Suspicion/2
}

// doubted returns the members that look gone after so long a silence.
func (t *table) doubted(now time.Time, patience time.Duration) []string {
	if t.overdue(now) {
		return nil
	}
	var names []string
	for _, target := range t.targets {
		p := t.peers[target.Name]
		silence := min(now.Sub(p.heard), now.Sub(p.vouched))
		if silence <= patience || p.misses < minMisses {
			continue
		}
		if silence > patience+t.turn(now, target.Name) {
			names = append(names, target.Name)
		}
	}
	return names
}

// patience returns how long a member may be silent, after so many witnesses
// have answered. It is longer for a process that reaches less than most of
// those it watches, since the fault is then rather its own.
func (t *table) patience(answered int) time.Duration {
	if 2*(answered+1) > len(t.targets)+1 {
		return t.terms.Suspicion
	}
	return t.terms.Suspicion * time.Duration(t.terms.Minority)
}

// turn returns how long this process leaves it to others to propose a change
// that concerns the named process: the members just before it in the ring go
// first.
func (t *table) turn(now time.Time, name string) time.Duration {
	turns := 0
	for _, member := range t.membership.Members {
		if between(t.self.Name, member.Name, name) && t.alive(now, member.Name) {
			turns++
		}
	}
	return time.Duration(min(turns, watched)) * t.terms.Interval
}

// between reports whether middle lies after first and before last in the ring.
func between(first, middle, last string) bool {
	if middle == first || middle == last {
		return false
	}
	if first < last {
		return first < middle && middle < last
	}
	return first < middle || middle < last
}

// witnesses returns those that are asked about the members in doubt: the
// members that this process watches, and those that ask to be members.
func (t *table) witnesses(now time.Time) []recorder.Member {
	targets := t.targets
	var asked []recorder.Member
	for name, p := range t.peers {
		if t.hears(now, name) && (contains(targets, name) || !p.joining.IsZero()) {
			asked = append(asked, p.member)
		}
	}
	return asked
}

// proposal returns the membership that should follow, and false if the one in
// force will do. Of the members that look gone it takes out only those that
// were asked about, and none while this process is no member itself.
func (t *table) proposal(now time.Time, leaving bool, asked inquiry) (recorder.Membership, bool) {
	var c change
	for _, name := range t.doubted(now, t.patience(asked.answered)) {
		if t.member && slices.Contains(asked.names, name) {
			c.remove(name, "gone")
		}
	}
	t.proposePeers(now, &c)
	t.proposeSelf(now, leaving, &c)
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

// proposePeers adds those that ask to come or to go. Only a member speaks for
// others.
func (t *table) proposePeers(now time.Time, c *change) {
	if !t.member {
		return
	}
	for name, p := range t.peers {
		switch {
		case !t.hears(now, name):
		case p.leaving && contains(t.membership.Members, name):
			c.remove(name, "leaving")
		case !p.joining.IsZero() && now.Sub(p.joining) >= t.terms.Settle+t.turn(now, name):
			t.admit(p.member, c)
		}
	}
}

func (t *table) proposeSelf(now time.Time, leaving bool, c *change) {
	if leaving {
		if t.member {
			c.remove(t.self.Name, "leaving")
		}
		return
	}
	if !t.wantsIn(now) {
		return
	}
	since := t.began
	if t.rejoin.After(since) {
		since = t.rejoin
	}
	if now.Sub(since) >= t.joinPatience(now) {
		t.admit(t.self, c)
	}
}

// joinPatience returns how long this process leaves it to the members to
// propose it. If it hears none of them they may all be gone, or only it may be
// cut off.
func (t *table) joinPatience(now time.Time) time.Duration {
	switch {
	case len(t.membership.Members) == 0:
		return t.terms.Settle
	case t.hearsAny(now):
		return t.terms.Suspicion
	default:
		return t.terms.Suspicion * time.Duration(t.terms.Minority)
	}
}

func (t *table) hearsAny(now time.Time) bool {
	for _, member := range t.membership.Members {
		if t.hears(now, member.Name) {
			return true
		}
	}
	return false
}

// admit adds the member, in place of an earlier life at the same address.
func (t *table) admit(member recorder.Member, c *change) {
	if contains(t.membership.Members, member.Name) {
		return
	}
	for _, other := range t.membership.Members {
		if other.Peers == member.Peers {
			c.remove(other.Name, "replaced")
		}
	}
	c.add(member)
}

// change is what a proposal changes.
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

// apply returns the members after the change, by name.
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

// cause says for people what changes. It is of bounded length.
func (c *change) cause() string {
	const most = 5
	slices.Sort(c.causes)
	if len(c.causes) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(c.causes[:most], ", "), len(c.causes)-most)
	}
	return strings.Join(c.causes, ", ")
}

func contains(members []recorder.Member, name string) bool {
	return slices.ContainsFunc(members, func(m recorder.Member) bool {
		return m.Name == name
	})
}
