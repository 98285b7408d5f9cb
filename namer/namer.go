// Package namer holds the identities that every part of galenacove shares,
// and says which member owns a key.
//
// Ownership is by rendezvous hashing: every process that knows the same
// members reckons the same owner, and a member that comes or goes moves only
// its own share of the keys. The package does not decide who the members are.
package namer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Offset is the place of a record in a stream of the platform's log. The first
// record of a stream has offset 1; 0 stands for none.
type Offset uint64

// Epoch numbers the memberships of one data centre. It is the fencing token of
// everything that an owner sends to a worker or a minion; 0 stands for none.
type Epoch uint64

// TaskID names one task of a job.
type TaskID struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Index counts the tasks of the job from 0.
	Index int `json:"index"`
}

// String returns the identity as job/index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

// Attempt names one start of a task. No two starts share a number, whoever
// makes them: the epoch of the owner comes first, then a count within it.
type Attempt struct {
	// Epoch is the epoch in which the start was decided.
	Epoch Epoch `json:"epoch"`
	// Sequence counts the starts of one owner within the epoch.
	Sequence uint64 `json:"sequence"`
	// Owner is the member that decided the start.
	Owner string `json:"owner"`
}

// TaskRef names one start of one task.
type TaskRef struct {
	// Task is the task.
	Task TaskID `json:"task"`
	// Attempt is the start.
	Attempt Attempt `json:"attempt"`
}

// NewIdentity returns a new identity that sorts by the time of its making.
func NewIdentity() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Owner returns the member that owns the key, and false if there are no
// members. The order of the members does not matter.
func Owner(key string, members []string) (string, bool) {
	var best string
	var bestScore uint64
	for _, member := range members {
		score := weigh(key, member)
		if best == "" || score > bestScore || (score == bestScore && member < best) {
			best = member
			bestScore = score
		}
	}
	return best, best != ""
}

func weigh(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A digest's writes do not fail.
	_, _ = digest.WriteString(member)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
