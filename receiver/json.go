package receiver

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
)

// maxID bounds the identity of a job in JSON, in bytes. It is a part of keys
// in the store.
const maxID = 64

// JSON is the product's own form of callers' bodies: a job is written as
// scheduler.Job is.
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
		// A struct of one string can always be encoded.
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

// ValidID implements Bodies: letters, digits, dashes and underscores.
func (JSON) ValidID(id string) bool {
	if id == "" || len(id) > maxID {
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
