package parser

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/sizer"
)

// Prefixes of the configuration keys of teams and services; the name follows.
const (
	teamPrefix    = "team/"
	servicePrefix = "service/"
)

// ErrValue is returned if the value in force is not a JSON object, so that a
// setting cannot change its fields.
var ErrValue = errors.New("parser: the value in force is no object")

func teamKey(name string) string    { return teamPrefix + name }
func serviceKey(name string) string { return servicePrefix + name }

// Key returns "team/NAME".
func (s TeamSetting) Key() string { return teamKey(s.name) }

// Key returns "service/NAME".
func (s ServiceSetting) Key() string { return serviceKey(s.name) }

// Key returns the key as given in the statement.
func (s EntrySetting) Key() string { return s.key }

// teamFields are the fields of a team's value that a statement can change.
type teamFields struct {
	Weight *float64    `json:"weight,omitempty"`
	Shares *float64    `json:"shares,omitempty"`
	Quota  *sizer.Size `json:"quota,omitempty"`
}

// Apply returns the value in force with the named fields changed. A new team
// without a weight gets the weight 1.
func (s TeamSetting) Apply(current json.RawMessage) (json.RawMessage, error) {
	fields := teamFields{
		Weight: s.weight,
		Shares: s.shares,
	}
	if s.hasQuota {
		fields.Quota = &s.quota
	}
	if len(current) == 0 && s.weight == nil {
		fields.Weight = ptr(1.0)
	}
	return merge(current, fields)
}

// serviceFields are the fields of a service's value that a statement can
// change.
type serviceFields struct {
	Team           *string `json:"team,omitempty"`
	QueueLimit     *int    `json:"queueLimit,omitempty"`
	Deadline       *string `json:"deadline,omitempty"`
	AttemptTimeout *string `json:"attemptTimeout,omitempty"`
}

// Apply returns the value in force with the named fields changed.
func (s ServiceSetting) Apply(current json.RawMessage) (json.RawMessage, error) {
	return merge(current, serviceFields{
		Team:           s.team,
		QueueLimit:     s.queue,
		Deadline:       durationText(s.deadline),
		AttemptTimeout: durationText(s.attempt),
	})
}

func durationText(d *time.Duration) *string {
	if d == nil {
		return nil
	}
	return ptr(d.String())
}

// Apply returns the value as given in the statement.
func (s EntrySetting) Apply(json.RawMessage) (json.RawMessage, error) {
	return s.value, nil
}

// merge returns the object in force with the given fields replaced.
func merge(current json.RawMessage, fields any) (json.RawMessage, error) {
	merged := make(map[string]json.RawMessage)
	if len(current) > 0 {
		if err := json.Unmarshal(current, &merged); err != nil {
			return nil, errors.Wrap(ErrValue, err.Error())
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(ErrValue, err.Error())
	}
	// Unmarshalling null sets the map to nil.
	if merged == nil {
		merged = make(map[string]json.RawMessage)
	}
	// Unmarshalling the output of Marshal cannot fail.
	_ = json.Unmarshal(data, &merged)
	return json.Marshal(merged)
}
