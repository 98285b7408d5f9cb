// Package namer defines the identifiers that all parts of galenacove share, and
// computes which member owns a key.
//
// Ownership uses rendezvous hashing: all processes with the same list of members
// compute the same owner, and a member that joins or leaves changes only the owner
// of its own share of the keys. The package does not decide who the members are.
package namer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Offset is the position of a record in a stream of the platform's log. The first
// record of a stream has offset 1; 0 means none.
type Offset uint64

// Epoch numbers the memberships of one data centre. It is the fencing token of
// everything that an owner sends to a worker or a minion; 0 means none.
type Epoch uint64

// TaskID identifies a task of a job.
type TaskID struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Index is the number of the task within the job, from 0.
	Index int `json:"index"`
}

// String returns the identity as job/index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

// Attempt identifies a start of a task. No two starts have the same Attempt, even
// if different owners made them: Sequence counts the starts of one owner within
// one epoch.
type Attempt struct {
	// Epoch is the epoch in which the start was decided.
	Epoch Epoch `json:"epoch"`
	// Sequence counts the starts of one owner within the epoch.
	Sequence uint64 `json:"sequence"`
	// Owner is the member that decided the start.
	Owner string `json:"owner"`
}

// TaskRef identifies one start of one task.
type TaskRef struct {
	// Task is the task.
	Task TaskID `json:"task"`
	// Attempt is the start of the task.
	Attempt Attempt `json:"attempt"`
}

// NewIdentity returns a new unique identity. Identities sort by the time at which
// they were created.
func NewIdentity() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Owner returns the member that owns the key, and false if there are no members.
// The result does not depend on the order of the members.
func Owner(key string, members []string) (string, bool) {
	var best string
	var bestScore uint64
	for _, member := range members {
		score := rendezvousScore(key, member)
		if best == "" || score > bestScore || (score == bestScore && member < best) {
			best = member
			bestScore = score
		}
	}
	return best, best != ""
}

func rendezvousScore(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(member)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
