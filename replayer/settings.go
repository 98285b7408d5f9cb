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
	// TeamPrefix is the key prefix of teams. The team's name follows.
	TeamPrefix = "team/"
	// ServicePrefix is the key prefix of services. The service's name follows.
	ServicePrefix = "service/"
	// DrainPrefix is the key prefix of hosts that are being drained: they are
	// assigned nothing new. The host's kind, a slash and its name follow.
	DrainPrefix = "drain/"

	maxKeyBytes   = 200
	maxValueBytes = 16 << 10
	maxMembers    = 200
	// maxWeight and maxQueueLimit limit the effect of a typing error.
	maxWeight     = 1e6
	maxQueueLimit = 1_000_000
)

// Setting is one entry of the configuration.
type Setting struct {
	key   string
	value json.RawMessage
	// offset is that of the record that last set the entry.
	offset   namer.Offset
	operator string
	// id is the identity of the record that set the entry.
	id string
}

// Key returns the entry's key.
func (s Setting) Key() string { return s.key }

// Value returns the entry's value. The caller must not modify it.
func (s Setting) Value() json.RawMessage { return s.value }

// Offset returns the offset of the record that last set the entry. The next
// change has to name it as its base.
func (s Setting) Offset() namer.Offset { return s.offset }

// Operator returns who set the entry.
func (s Setting) Operator() string { return s.operator }

// Team is the value of an entry "team/NAME".
type Team struct {
	// Weight is the team's weight in task placement, above 0 and at most 1e6.
	Weight float64 `json:"weight"`
	// Quota is the maximum total size of the team's tasks. Zero means no limit.
	Quota sizer.Size `json:"quota"`
	// Shares is the team's weight in the request queues of services, at most
	// 1e6. 0 means the value of Weight.
	Shares float64 `json:"shares,omitempty"`
}

// Service is the value of an entry "service/NAME". In JSON its durations are
// strings such as "1.5s".
type Service struct {
	// Team is the name of the team that is charged for the service.
	Team string
	// QueueLimit is the maximum number of queued requests, at most 1,000,000.
	// 0 means the default.
	QueueLimit int
	// Deadline is the time limit of a request whose caller sets none. 0 means
	// the default.
	Deadline time.Duration
	// AttemptTimeout is the time limit of a single attempt. 0 means the
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

// decodeStrictly decodes the value and refuses unknown keys, so that a mistyped
// key does not silently leave a default in place.
func decodeStrictly(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.WithStack(fmt.Errorf("%w: decode a value: %w", ErrValue, err))
	}
	return nil
}

// CheckSetting returns ErrValue if the entry would be refused whatever its base.
// Apply uses the same check, so a caller can report the error to an operator
// before the record is written.
func CheckSetting(key string, value json.RawMessage) error {
	if err := checkKey(key); err != nil {
		return err
	}
	if len(value) > maxValueBytes {
		return errors.Wrapf(ErrValue, "%s is longer than %d bytes", key, maxValueBytes)
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
	if key == "" || len(key) > maxKeyBytes {
		return errors.Wrapf(ErrValue, "a key has 1 to %d bytes", maxKeyBytes)
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
	if service.QueueLimit < 0 || service.QueueLimit > maxQueueLimit {
		return Service{}, errors.Wrapf(ErrValue, "queueLimit is from 0 to %d", maxQueueLimit)
	}
	return service, nil
}

// Teams returns the teams in force, by name. The caller must not modify the map.
// A change of a team replaces the map and leaves the returned one as it is.
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

// updateTeam updates the cached teams after a change of an entry, if its key is
// that of a team. An empty value removes the team.
func (s *State) updateTeam(key string, value json.RawMessage) {
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

// indexTeam adds the entry to the cached teams if its key is that of a team.
func (s *State) indexTeam(key string, value json.RawMessage) {
	name, isTeam := strings.CutPrefix(key, TeamPrefix)
	if !isTeam {
		return
	}
	// Entries in force were checked when they were applied.
	if team, err := decodeTeam(value); err == nil {
		s.teams[name] = team
	}
}

// Service returns the configuration of the service, or false if it has none.
func (s *State) Service(name string) (Service, bool) {
	setting, ok := s.Config(ServicePrefix + name)
	if !ok {
		return Service{}, false
	}
	service, err := decodeService(setting.value)
	return service, err == nil
}
