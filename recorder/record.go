// Package recorder defines the records that galenacove stores in the platform's
// log, and encodes and decodes them.
//
// The writer of a record chooses its identity before the append, so that an append
// that is repeated after its response was lost is recognised as a duplicate.
//
// Package connector accesses the log, and package replayer applies the records.
package recorder

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Version is the version of the records that this package writes. The bodies of
// records with a later version are decoded as Unknown.
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

// ErrEncoding is returned if a record cannot be encoded or decoded.
var ErrEncoding = errors.New("recorder: bad encoding of a record")

// Record is a record in the platform's log.
type Record struct {
	// id identifies the record, and is the same in a repeated append.
	id string
	// writer is the member that created the record.
	writer string
	// createdAt is the time at which the record was created, by the writer's
	// clock. It is only displayed: no rule depends on it.
	createdAt time.Time
	// body is never nil.
	body Body
}

// New returns a record with the given identity.
func New(id, writer string, createdAt time.Time, body Body) Record {
	return Record{
		id:        id,
		writer:    writer,
		createdAt: createdAt,
		body:      body,
	}
}

// ID returns the identity of the record.
func (r Record) ID() string { return r.id }

// Writer returns the name of the member that created the record.
func (r Record) Writer() string { return r.writer }

// CreatedAt returns the time at which the writer created the record.
func (r Record) CreatedAt() time.Time { return r.createdAt }

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

// Encode returns the encoding of the record for the log.
func Encode(r Record) ([]byte, error) {
	body, err := encodeBody(r.body)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(envelope{
		Version: Version,
		ID:      r.id,
		Writer:  r.writer,
		At:      r.createdAt,
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

// Decode decodes a record. A record of an unknown kind or a later version is no
// error, but has an Unknown body.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, errors.WithStack(fmt.Errorf("%w: decode: %w", ErrEncoding, err))
	}
	if e.ID == "" || e.Kind == "" {
		return Record{}, errors.Wrap(ErrEncoding, "a record without an identity or a kind")
	}
	body, err := decodeBody(e)
	if err != nil {
		return Record{}, err
	}
	return New(e.ID, e.Writer, e.At, body), nil
}

func decodeBody(e envelope) (Body, error) {
	if e.Version > Version {
		return unknownBody(e), nil
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
		return unknownBody(e), nil
	}
}

func decodeAs[B Body](e envelope) (Body, error) {
	var body B
	if err := json.Unmarshal(e.Body, &body); err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: decode %s: %w", ErrEncoding, e.Kind, err))
	}
	return body, nil
}

func unknownBody(e envelope) Body {
	return Unknown{
		Name: e.Kind,
		Raw:  e.Body,
	}
}

// KindUnreadable is the kind of the records that Unreadable returns.
const KindUnreadable Kind = "unreadable"

// maxUnreadableBytes is how many bytes Unreadable keeps.
const maxUnreadableBytes = 256

// Unreadable returns a record in place of data that Decode refused, so that its
// offset in the log is not skipped. The record has the given identity, and the
// first 256 bytes of data as its body.
func Unreadable(id string, data []byte) Record {
	// Encoding a slice of bytes cannot fail.
	raw, _ := json.Marshal(data[:min(len(data), maxUnreadableBytes)])
	return New(id, "", time.Time{}, Unknown{
		Name: KindUnreadable,
		Raw:  raw,
	})
}
