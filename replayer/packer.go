package replayer

import "encoding/json"

// packer distributes the entries of a snapshot over parts of bounded size.
type packer struct {
	// maxPartBytes is the approximate maximum length of a part. A single longer
	// entry gets a part of its own.
	maxPartBytes int
	// part is the part being filled, size its approximate length in bytes.
	part content
	size int
	// encoded holds the finished parts.
	encoded []json.RawMessage
}

// pack encodes the whole content. Empty content makes one empty part.
func (p *packer) pack(c content) error {
	p.part.UnknownCount = c.UnknownCount
	p.part.Published = c.Published
	err := firstError(
		packList(p, c.Settings, func(part *content, e wireSetting) { part.Settings = append(part.Settings, e) }),
		packList(p, c.Removed, func(part *content, e wireRemoved) { part.Removed = append(part.Removed, e) }),
		packList(p, c.Memberships, func(part *content, e wireMembership) { part.Memberships = append(part.Memberships, e) }),
		packList(p, c.Jobs, func(part *content, e wireJob) { part.Jobs = append(part.Jobs, e) }),
		packList(p, c.Ended, func(part *content, e string) { part.Ended = append(part.Ended, e) }),
		packList(p, c.Decisions, func(part *content, e wireDecision) { part.Decisions = append(part.Decisions, e) }),
		packList(p, c.Unknown, func(part *content, e wireUnknown) { part.Unknown = append(part.Unknown, e) }),
	)
	if err != nil {
		return err
	}
	return p.flush()
}

// packList packs the entries of one list, and uses add to append each to a part.
func packList[E any](p *packer, entries []E, add func(*content, E)) error {
	for _, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		if p.size > 0 && p.size+len(data) > p.maxPartBytes {
			if err := p.flush(); err != nil {
				return err
			}
		}
		add(&p.part, entry)
		p.size += len(data)
	}
	return nil
}

// flush encodes p.part and begins an empty one.
func (p *packer) flush() error {
	data, err := json.Marshal(p.part)
	if err != nil {
		return err
	}
	p.encoded = append(p.encoded, data)
	p.part = content{}
	p.size = 0
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
