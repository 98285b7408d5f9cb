package receiver

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
)

// maxIDBytes is the maximum length of a job ID in bytes. IDs are part of the keys
// in the store, whose length is limited.
const maxIDBytes = 64

// JSON implements Bodies with galenacove's own format: the body of a job is the
// JSON encoding of scheduler.Job.
type JSON struct{}

var _ Bodies = JSON{}

// DecodeJob implements Bodies.
func (JSON) DecodeJob(data []byte) (scheduler.Job, error) {
	var job scheduler.Job
	if err := json.Unmarshal(data, &job); err != nil {
		return scheduler.Job{}, fmt.Errorf("%w: %w", scheduler.ErrBadJob, errors.Wrap(err, "receiver: decode a job"))
	}
	return job, nil
}

type stateBody struct {
	State scheduler.JobState `json:"state"`
}

// EncodeState implements Bodies.
func (JSON) EncodeState(state scheduler.JobState) []byte {
	data, err := json.Marshal(stateBody{
		State: state,
	})
	if err != nil {
		// Encoding a struct of one string cannot fail.
		panic(err)
	}
	return data
}

type waitingBody struct {
	Waiting int `json:"waiting"`
}

// EncodeWaiting implements Bodies.
func (JSON) EncodeWaiting(jobs int) ([]byte, error) {
	return json.Marshal(waitingBody{
		Waiting: jobs,
	})
}

// ValidID implements Bodies. An ID consists of 1 to 64 ASCII letters, digits,
// dashes and underscores.
func (JSON) ValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, r := range id {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
