// Package recorder holds the records that galenacove keeps in the platform's
// log, and turns them into bytes and back.
//
// A record carries an identity that its writer chose before the append, so
// that an append that is repeated after a lost answer is recognised. The
// package does not talk to the log: connector does, and replayer says what the
// records mean together.
package recorder

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Version is the version of the records that this package writes. Records of
// later versions are read as Unknown.
const Version = 1

// The streams of the platform's log.
const (
	// StreamControl carries configuration, memberships, jobs and snapshots.
	StreamControl = "control"
	// StreamClaims carries the claims of non-idempotent requests.
	StreamClaims = "claims"
	// StreamAudit carries the audit trail.
	StreamAudit = "audit"
)

// ErrEncoding is returned for bytes that are no record.
var ErrEncoding = errors.New("recorder: bad encoding of a record")

// Record is one entry of the platform's log.
type Record struct {
	// id is unique, and the same for each append of the same record.
	id string
	// writer is the member that made the record.
	writer string
	// at is the time at the writer. It is for people: no rule depends on it.
	at time.Time
	// body is never nil.
	body Body
}

// New returns a record with the given identity.
func New(id, writer string, at time.Time, body Body) Record {
	return Record{
		id:     id,
		writer: writer,
		at:     at,
		body:   body,
	}
}

// ID returns the identity of the record.
func (r Record) ID() string { return r.id }

// Writer returns the name of the member that made the record.
func (r Record) Writer() string { return r.writer }

// At returns the time at which the writer made the record.
func (r Record) At() time.Time { return r.at }

// Body returns the content of the record.
func (r Record) Body() Body { return r.body }

type envelope struct {
	Version int             `json:"version"`
	ID      string          `json:"id"`
	Writer  string          `json:"writer"`
	At      time.Time       `json:"at"`
	Kind    Kind            `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// Encode returns the record as bytes for the log.
func Encode(r Record) ([]byte, error) {
	body, err := encodeBody(r.body)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(envelope{
		Version: Version,
		ID:      r.id,
		Writer:  r.writer,
		At:      r.at,
		Kind:    r.body.Kind(),
		Body:    body,
	})
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: encode: %w", ErrEncoding, err))
	}
	return data, nil
}

func encodeBody(body Body) (json.RawMessage, error) {
	if unknown, ok := body.(Unknown); ok {
		return unknown.Raw, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: encode %s: %w", ErrEncoding, body.Kind(), err))
	}
	return data, nil
}

// Decode returns the record that the bytes hold. A kind or a version that is
// not known gives a record with an Unknown body, not an error.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, errors.WithStack(fmt.Errorf("%w: decode: %w", ErrEncoding, err))
	}
	if e.ID == "" || e.Kind == "" {
		return Record{}, errors.Wrap(ErrEncoding, "a record without identity or kind")
	}
	body, err := decodeBody(e)
	if err != nil {
		return Record{}, err
	}
	return New(e.ID, e.Writer, e.At, body), nil
}

func decodeBody(e envelope) (Body, error) {
	if e.Version > Version {
		return unknown(e), nil
	}
	switch e.Kind {
	case KindConfigChange:
		return decodeAs[ConfigChange](e)
	case KindMembership:
		return decodeAs[Membership](e)
	case KindJob:
		return decodeAs[Job](e)
	case KindJobCancel:
		return decodeAs[JobCancel](e)
	case KindJobProgress:
		return decodeAs[JobProgress](e)
	case KindJobEnd:
		return decodeAs[JobEnd](e)
	case KindClaim:
		return decodeAs[Claim](e)
	case KindClaimEnd:
		return decodeAs[ClaimEnd](e)
	case KindAudit:
		return decodeAs[Audit](e)
	case KindSnapshot:
		return decodeAs[Snapshot](e)
	default:
		return unknown(e), nil
	}
}

func decodeAs[B Body](e envelope) (Body, error) {
	var body B
	if err := json.Unmarshal(e.Body, &body); err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: decode %s: %w", ErrEncoding, e.Kind, err))
	}
	return body, nil
}

func unknown(e envelope) Body {
	return Unknown{
		Name: e.Kind,
		Raw:  e.Body,
	}
}

// KindUnreadable is the kind of the record that stands for bytes that are none.
const KindUnreadable Kind = "unreadable"

// maxUnreadable is the most bytes that Unreadable keeps.
const maxUnreadable = 256

// Unreadable returns a record that stands for bytes that Decode refused, so
// that their place in the log is not skipped. Its identity is the given one,
// its body the beginning of the bytes.
func Unreadable(id string, data []byte) Record {
	// Bytes can always be encoded.
	raw, _ := json.Marshal(data[:min(len(data), maxUnreadable)])
	return New(id, "", time.Time{}, Unknown{
		Name: KindUnreadable,
		Raw:  raw,
	})
}
