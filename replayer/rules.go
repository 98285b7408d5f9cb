package replayer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Verdict says what became of a record.
type Verdict struct {
	accepted bool
	// reason is empty if the record was accepted.
	reason string
	// offset is where the record was first found.
	offset namer.Offset
	// winner is set if the record lost a race.
	winner winner
}

// winner names the record that another lost to.
type winner struct {
	id  string
	who string
	at  namer.Offset
}

// Accepted reports whether the record took effect.
func (v Verdict) Accepted() bool { return v.accepted }

// Reason says why the record was refused, in words for people.
func (v Verdict) Reason() string { return v.reason }

// Offset returns where the record was first found in the log.
func (v Verdict) Offset() namer.Offset { return v.offset }

// Winner returns the identity, the maker and the offset of the record that
// this one lost a race to. The identity is empty if there was no race.
func (v Verdict) Winner() (id, who string, at namer.Offset) {
	return v.winner.id, v.winner.who, v.winner.at
}

func accept(offset namer.Offset) Verdict {
	return Verdict{
		accepted: true,
		offset:   offset,
	}
}

func refuse(offset namer.Offset, format string, args ...any) Verdict {
	return Verdict{
		reason: fmt.Sprintf(format, args...),
		offset: offset,
	}
}

// decide applies the rule of the record's kind and remembers the verdict.
func (s *State) decide(offset namer.Offset, r recorder.Record) {
	if _, again := s.decisions.get(r.ID()); again {
		return
	}
	switch body := r.Body().(type) {
	case recorder.ConfigChange:
		s.decisions.put(r.ID(), s.changeConfig(offset, r, body))
	case recorder.Membership:
		s.decisions.put(r.ID(), s.changeMembership(offset, r, body))
	case recorder.Job:
		s.decisions.put(r.ID(), s.submit(offset, body))
	case recorder.JobCancel:
		s.decisions.put(r.ID(), s.cancel(offset, body))
	case recorder.JobProgress:
		s.notes.put(r.ID(), s.progress(offset, body))
	case recorder.JobEnd:
		s.notes.put(r.ID(), s.end(offset, body))
	case recorder.Snapshot:
		s.notes.put(r.ID(), accept(offset))
		s.snapshots.note(offset, r.At(), body)
	case recorder.Unknown:
		s.keepUnknown(offset, r, body)
	case recorder.Claim, recorder.ClaimEnd, recorder.Audit:
		s.notes.put(r.ID(), refuse(offset, "%s records have no place in the control stream", body.Kind()))
	}
}

// changeConfig accepts a valid change whose base is where the entry was last
// set.
func (s *State) changeConfig(offset namer.Offset, r recorder.Record, c recorder.ConfigChange) Verdict {
	if base := s.base(c.Key); base != c.Base {
		return s.lostRace(offset, c, base)
	}
	if len(c.Value) == 0 {
		return s.removeConfig(offset, c)
	}
	if err := CheckSetting(c.Key, c.Value); err != nil {
		return refuse(offset, "%v", err)
	}
	_, there := s.settings[c.Key]
	if !there && len(s.settings) >= s.limits.settings {
		return refuse(offset, "the configuration is full at %d entries", s.limits.settings)
	}
	s.removed.remove(c.Key)
	s.settings[c.Key] = Setting{
		key:      c.Key,
		value:    slices.Clone(c.Value),
		offset:   offset,
		operator: c.Operator,
		id:       r.ID(),
	}
	s.teamChanged(c.Key, c.Value)
	return accept(offset)
}

func (s *State) removeConfig(offset namer.Offset, c recorder.ConfigChange) Verdict {
	if _, ok := s.settings[c.Key]; !ok {
		return refuse(offset, "there is no entry %s to remove", c.Key)
	}
	delete(s.settings, c.Key)
	s.teamChanged(c.Key, nil)
	s.removed.put(c.Key, offset)
	return accept(offset)
}

func (s *State) lostRace(offset namer.Offset, c recorder.ConfigChange, base namer.Offset) Verdict {
	setting, ok := s.settings[c.Key]
	if !ok {
		return refuse(offset, "based on offset %d, but %s is absent since offset %d", c.Base, c.Key, base)
	}
	v := refuse(offset, "based on offset %d, but %s was set at offset %d by %s", c.Base, c.Key, base, setting.operator)
	v.winner = winner{
		id:  setting.id,
		who: setting.operator,
		at:  setting.offset,
	}
	return v
}

// changeMembership accepts the members whose epoch follows the last.
func (s *State) changeMembership(offset namer.Offset, r recorder.Record, m recorder.Membership) Verdict {
	last := s.memberships[m.DataCentre]
	if m.Epoch != last.body.Epoch+1 {
		v := refuse(offset, "epoch %d does not follow %d", m.Epoch, last.body.Epoch)
		v.winner = winner{
			id:  last.id,
			who: last.writer,
			at:  last.at,
		}
		return v
	}
	if reason := memberFault(m); reason != "" {
		return refuse(offset, "%s", reason)
	}
	m.Members = slices.Clone(m.Members)
	s.memberships[m.DataCentre] = membership{
		body:   m,
		at:     offset,
		id:     r.ID(),
		writer: r.Writer(),
	}
	return accept(offset)
}

// memberFault returns what is wrong with the members, or nothing.
func memberFault(m recorder.Membership) string {
	if m.DataCentre == "" {
		return "the data centre has no name"
	}
	if len(m.Members) > maxMembers {
		return fmt.Sprintf("more than %d members", maxMembers)
	}
	for i, member := range m.Members {
		if member.Name == "" || member.Peers == "" {
			return "a member lacks a name or an address"
		}
		if i > 0 && strings.Compare(m.Members[i-1].Name, member.Name) >= 0 {
			return "the members are not sorted by name without repeats"
		}
	}
	return ""
}

// keepUnknown keeps the record as it was, but for one that is too long.
func (s *State) keepUnknown(offset namer.Offset, r recorder.Record, body recorder.Unknown) {
	s.unknownCount++
	if len(body.Raw) > maxValue {
		body.Raw = nil
		r = recorder.New(r.ID(), r.Writer(), r.At(), body)
	}
	s.unknown.put(r.ID(), unknownRecord{
		offset: offset,
		record: r,
	})
}
