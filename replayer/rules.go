package replayer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Verdict is the decision on a record: accepted, or refused with a reason.
type Verdict struct {
	accepted bool
	// reason is empty if the record was accepted.
	reason string
	// offset is that of the first occurrence of the record in the log.
	offset namer.Offset
	// winner is set if another record was accepted in place of this one.
	winner winner
}

// winner identifies the record that won a race: who is the operator of a
// configuration change or the writer of a membership.
type winner struct {
	id  string
	who string
	at  namer.Offset
}

// Accepted reports whether the record took effect.
func (v Verdict) Accepted() bool { return v.accepted }

// Reason returns why the record was refused, as text for people. It is empty if
// the record was accepted.
func (v Verdict) Reason() string { return v.reason }

// Offset returns the offset of the first occurrence of the record in the log.
func (v Verdict) Offset() namer.Offset { return v.offset }

// Winner returns the identity, the operator or writer, and the offset of the
// record that was accepted in place of this one. The identity is empty if there
// is no such record.
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

// decide applies the rule for the record's kind and stores the verdict. A record
// of an unknown kind has no verdict. A record whose verdict is in s.decisions is
// a repetition and ignored.
func (s *State) decide(offset namer.Offset, r recorder.Record) {
	if _, decided := s.decisions.get(r.ID()); decided {
		return
	}
	switch body := r.Body().(type) {
	case recorder.ConfigChange:
		s.decisions.put(r.ID(), s.changeConfig(offset, r, body))
	case recorder.Membership:
		s.decisions.put(r.ID(), s.changeMembership(offset, r, body))
	case recorder.Job:
		s.decisions.put(r.ID(), s.submitJob(offset, body))
	case recorder.JobCancel:
		s.decisions.put(r.ID(), s.cancelJob(offset, body))
	case recorder.JobProgress:
		s.idempotentVerdicts.put(r.ID(), s.addProgress(offset, body))
	case recorder.JobEnd:
		s.idempotentVerdicts.put(r.ID(), s.endJob(offset, body))
	case recorder.Snapshot:
		s.idempotentVerdicts.put(r.ID(), accept(offset))
		s.snapshots.observe(offset, r.CreatedAt(), body)
	case recorder.Unknown:
		s.storeUnknown(offset, r, body)
	case recorder.Claim, recorder.ClaimEnd, recorder.Audit:
		s.idempotentVerdicts.put(r.ID(), refuse(offset, "%s records have no place in the control stream", body.Kind()))
	}
}

// changeConfig accepts a valid change whose base is the offset at which the
// entry was last set or removed.
func (s *State) changeConfig(offset namer.Offset, r recorder.Record, c recorder.ConfigChange) Verdict {
	if base := s.base(c.Key); base != c.Base {
		return s.refuseStaleBase(offset, c, base)
	}
	if len(c.Value) == 0 {
		return s.removeConfig(offset, c)
	}
	if err := CheckSetting(c.Key, c.Value); err != nil {
		return refuse(offset, "%v", err)
	}
	_, exists := s.settings[c.Key]
	if !exists && len(s.settings) >= s.limits.settings {
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
	s.updateTeam(c.Key, c.Value)
	return accept(offset)
}

func (s *State) removeConfig(offset namer.Offset, c recorder.ConfigChange) Verdict {
	if _, ok := s.settings[c.Key]; !ok {
		return refuse(offset, "there is no entry %s to remove", c.Key)
	}
	delete(s.settings, c.Key)
	s.updateTeam(c.Key, nil)
	s.removed.put(c.Key, offset)
	return accept(offset)
}

// refuseStaleBase refuses a change whose base is not the entry's current base,
// and names the record that last set the entry.
func (s *State) refuseStaleBase(offset namer.Offset, c recorder.ConfigChange, base namer.Offset) Verdict {
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

// changeMembership accepts valid members whose epoch is the successor of the
// data centre's current epoch.
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
	if reason := validateMembers(m); reason != "" {
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

// validateMembers returns the reason why the members are invalid, or an empty
// string.
func validateMembers(m recorder.Membership) string {
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

// storeUnknown stores a record of an unknown kind unchanged, but without its body
// if that is longer than maxValueBytes. A record that is already stored is a
// repetition and ignored.
func (s *State) storeUnknown(offset namer.Offset, r recorder.Record, body recorder.Unknown) {
	if _, stored := s.unknown.get(r.ID()); stored {
		return
	}
	s.unknownCount++
	if len(body.Raw) > maxValueBytes {
		body.Raw = nil
		r = recorder.New(r.ID(), r.Writer(), r.CreatedAt(), body)
	}
	s.unknown.put(r.ID(), unknownRecord{
		offset: offset,
		record: r,
	})
}
