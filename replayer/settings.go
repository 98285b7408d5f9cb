package replayer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

const (
	// TeamPrefix begins the keys of teams; the team's name follows.
	TeamPrefix = "team/"
	// ServicePrefix begins the keys of services; the service's name follows.
	ServicePrefix = "service/"
	// DrainPrefix begins the keys of hosts that get nothing new; the kind of
	// the host, a slash and its name follow.
	DrainPrefix = "drain/"

	// maxKey and maxValue are in bytes.
	maxKey     = 200
	maxValue   = 16 << 10
	maxMembers = 200
	// maxWeight and maxQueue bound what a typing error can do.
	maxWeight = 1e6
	maxQueue  = 1_000_000
)

// Setting is one entry of the configuration.
type Setting struct {
	key   string
	value json.RawMessage
	// offset is where the entry was last set.
	offset   namer.Offset
	operator string
	// id is the identity of the record that set the entry.
	id string
}

// Key returns the entry's name.
func (s Setting) Key() string { return s.key }

// Value returns the entry's value. It must not be changed.
func (s Setting) Value() json.RawMessage { return s.value }

// Offset returns where the entry was last set: the base of the next change.
func (s Setting) Offset() namer.Offset { return s.offset }

// Operator returns who set the entry.
func (s Setting) Operator() string { return s.operator }

// Team is the value of an entry "team/NAME".
type Team struct {
	// Weight is the team's weight in the placing of tasks, above 0.
	Weight float64 `json:"weight"`
	// Quota is the most that the team's tasks may hold, zero for no bound.
	Quota sizer.Size `json:"quota"`
	// Shares is the team's weight in the queues of services; 0 stands for
	// Weight.
	Shares float64 `json:"shares,omitempty"`
}

// Service is the value of an entry "service/NAME". In JSON its durations are
// strings such as "1.5s".
type Service struct {
	// Team pays for the service.
	Team string
	// QueueLimit is the most requests that wait, 0 for the default.
	QueueLimit int
	// Deadline is the time a request is given if its caller gives none, 0 for
	// the default.
	Deadline time.Duration
	// AttemptTimeout is the longest that one attempt may take, 0 for the
	// default.
	AttemptTimeout time.Duration
}

type wireService struct {
	Team           string `json:"team"`
	QueueLimit     int    `json:"queueLimit,omitempty"`
	Deadline       string `json:"deadline,omitempty"`
	AttemptTimeout string `json:"attemptTimeout,omitempty"`
}

// MarshalJSON encodes the service with its durations as strings.
func (s Service) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireService{
		Team:           s.Team,
		QueueLimit:     s.QueueLimit,
		Deadline:       formatDuration(s.Deadline),
		AttemptTimeout: formatDuration(s.AttemptTimeout),
	})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (s *Service) UnmarshalJSON(data []byte) error {
	var w wireService
	if err := decodeStrictly(data, &w); err != nil {
		return err
	}
	deadline, err := parseDuration(w.Deadline)
	if err != nil {
		return err
	}
	attempt, err := parseDuration(w.AttemptTimeout)
	if err != nil {
		return err
	}
	*s = Service{
		Team:           w.Team,
		QueueLimit:     w.QueueLimit,
		Deadline:       deadline,
		AttemptTimeout: attempt,
	}
	return nil
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.WithStack(fmt.Errorf("%w: duration: %w", ErrValue, err))
	}
	if d < 0 {
		return 0, errors.Wrapf(ErrValue, "%s is below zero", text)
	}
	return d, nil
}

// decodeStrictly refuses keys that the value does not know, so that a typing
// error is not taken for a default.
func decodeStrictly(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.WithStack(fmt.Errorf("%w: decode a value: %w", ErrValue, err))
	}
	return nil
}

// CheckSetting returns ErrValue if the rule refuses the entry whatever its
// base. It is what Apply uses, so a caller can tell an operator beforehand.
func CheckSetting(key string, value json.RawMessage) error {
	if err := checkKey(key); err != nil {
		return err
	}
	if len(value) > maxValue {
		return errors.Wrapf(ErrValue, "%s is longer than %d bytes", key, maxValue)
	}
	if !json.Valid(value) {
		return errors.Wrapf(ErrValue, "%s is no JSON", key)
	}
	switch {
	case strings.HasPrefix(key, TeamPrefix):
		_, err := decodeTeam(value)
		return err
	case strings.HasPrefix(key, ServicePrefix):
		_, err := decodeService(value)
		return err
	default:
		return nil
	}
}

func checkKey(key string) error {
	if key == "" || len(key) > maxKey {
		return errors.Wrapf(ErrValue, "a key has 1 to %d bytes", maxKey)
	}
	for _, r := range key {
		if r <= ' ' || r == '"' || r == 0x7f {
			return errors.Wrapf(ErrValue, "the key %q has a space, quote or control character", key)
		}
	}
	if key == TeamPrefix || key == ServicePrefix {
		return errors.Wrapf(ErrValue, "the key %s lacks a name", key)
	}
	return nil
}

func decodeTeam(value json.RawMessage) (Team, error) {
	var team Team
	if err := decodeStrictly(value, &team); err != nil {
		return Team{}, err
	}
	if team.Weight <= 0 || team.Weight > maxWeight {
		return Team{}, errors.Wrapf(ErrValue, "weight is above 0 and at most %g", maxWeight)
	}
	if team.Shares < 0 || team.Shares > maxWeight {
		return Team{}, errors.Wrapf(ErrValue, "shares is from 0 to %g", maxWeight)
	}
	if team.Quota.IsNegative() {
		return Team{}, errors.Wrap(ErrValue, "quota is below zero")
	}
	return team, nil
}

func decodeService(value json.RawMessage) (Service, error) {
	var service Service
	if err := json.Unmarshal(value, &service); err != nil {
		return Service{}, errors.WithStack(fmt.Errorf("%w: %w", ErrValue, err))
	}
	if service.Team == "" {
		return Service{}, errors.Wrap(ErrValue, "a service needs a team")
	}
	if service.QueueLimit < 0 || service.QueueLimit > maxQueue {
		return Service{}, errors.Wrapf(ErrValue, "queueLimit is from 0 to %d", maxQueue)
	}
	return service, nil
}

// Teams returns the teams in force by name. The map must not be changed; it is
// another one after a team has changed.
func (s *State) Teams() map[string]Team {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.teams == nil {
		s.teams = make(map[string]Team)
		for key, setting := range s.settings {
			s.indexTeam(key, setting.value)
		}
	}
	return s.teams
}

// teamChanged takes over a change of an entry that may be a team's. An empty
// value stands for its removal.
func (s *State) teamChanged(key string, value json.RawMessage) {
	name, isTeam := strings.CutPrefix(key, TeamPrefix)
	if !isTeam || s.teams == nil {
		return
	}
	s.teams = maps.Clone(s.teams)
	delete(s.teams, name)
	if len(value) > 0 {
		s.indexTeam(key, value)
	}
}

// indexTeam adds the entry if it is a team's.
func (s *State) indexTeam(key string, value json.RawMessage) {
	name, isTeam := strings.CutPrefix(key, TeamPrefix)
	if !isTeam {
		return
	}
	// What is in force was checked when it was applied.
	if team, err := decodeTeam(value); err == nil {
		s.teams[name] = team
	}
}

// Service returns the terms of the service.
func (s *State) Service(name string) (Service, bool) {
	setting, ok := s.Config(ServicePrefix + name)
	if !ok {
		return Service{}, false
	}
	service, err := decodeService(setting.value)
	return service, err == nil
}
