package server

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/parser"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// asker is who gives a command, and from where.
type asker struct {
	operator string
	from     string
}

// errCommand is returned for a command that cannot be taken as it stands.
var errCommand = errors.New("server: the command cannot be carried out")

// run carries out a command and leaves a line in the audit trail.
func (s *Server) run(ctx context.Context, who asker, text string, command parser.Command) commander.Result {
	terms := command.Terms()
	answer := commander.Result{
		Outcome:  commander.Refused,
		Identity: terms.Identity(),
	}
	if answer.Identity == "" {
		answer.Identity = namer.NewIdentity()
	}
	body, effect, err := s.body(who, answer.Identity, command)
	switch {
	case err != nil:
		answer.Reason = err.Error()
	case terms.DryRun():
		answer.Outcome = commander.Checked
		answer.Reason = effect
		return answer
	default:
		s.settle(ctx, &answer, body)
	}
	s.trail.add(recorder.Audit{
		Who:      who.operator,
		What:     text,
		From:     who.from,
		Base:     terms.Base(),
		Accepted: answer.Outcome == commander.Accepted,
		Reason:   answer.Reason,
	})
	return answer
}

// settle commits the body and fills in what became of it.
func (s *Server) settle(ctx context.Context, answer *commander.Result, body recorder.Body) {
	priority := appender.PriorityConfig
	switch body.(type) {
	case recorder.Job, recorder.JobCancel:
		priority = appender.PriorityJob
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	verdict, err := s.commit(ctx, priority, s.record(answer.Identity, body))
	switch {
	case errors.Is(err, appender.ErrBacklog), errors.Is(err, appender.ErrUnavailable):
		answer.Reason = "the platform's log takes nothing now, nothing was changed: " + err.Error()
	case err != nil:
		answer.Outcome = commander.Unknown
		answer.Reason = "the platform's log has not answered; give the command again with: as \"" + answer.Identity + "\""
	case !verdict.Accepted():
		answer.Offset = verdict.Offset()
		answer.Reason = lossReason(verdict)
	default:
		answer.Outcome = commander.Accepted
		answer.Offset = verdict.Offset()
	}
}

// lossReason says why the log's order decided against a record, and who won.
func lossReason(verdict replayer.Verdict) string {
	id, who, at := verdict.Winner()
	if id == "" {
		return verdict.Reason()
	}
	return fmt.Sprintf("%s; in force is the change %q by %s at offset %d", verdict.Reason(), id, who, at)
}

// body returns the record's body for a command, and what it would touch.
func (s *Server) body(who asker, identity string, command parser.Command) (body recorder.Body, effect string, err error) {
	switch c := command.(type) {
	case parser.Submit:
		return s.job(who, identity, c)
	case parser.Stop:
		return s.cancel(who, c)
	case parser.Drain:
		return s.drain(who, string(c.Kind()), c.Name())
	case parser.Resume:
		return s.resume(who, string(c.Kind()), c.Name())
	case parser.Set:
		return s.set(who, c)
	case parser.Unset:
		return s.unset(who, c.Key(), c.Terms().Base())
	default:
		return nil, "", errors.Wrapf(errCommand, "%T is not known", command)
	}
}

func (s *Server) job(who asker, identity string, c parser.Submit) (recorder.Body, string, error) {
	if _, found := s.state.Config(replayer.TeamPrefix + c.Team()); !found {
		return nil, "", errors.Wrapf(errCommand, "there is no team %q", c.Team())
	}
	dataCentre := c.DataCentre()
	if dataCentre == "" {
		dataCentre = s.dataCentre
	}
	if _, _, found := s.state.Membership(dataCentre); !found {
		return nil, "", errors.Wrapf(errCommand, "there is no data centre %q", dataCentre)
	}
	job := recorder.Job{
		ID:         identity,
		Name:       c.Name(),
		Team:       c.Team(),
		Policy:     c.Policy(),
		Tasks:      c.Tasks(),
		Size:       c.Size(),
		RunTime:    c.RunTime(),
		Urgent:     c.Urgent(),
		DataCentre: dataCentre,
		Operator:   who.operator,
	}
	return job, fmt.Sprintf("%d tasks of %s in %s", job.Tasks, job.Size, dataCentre), nil
}

func (s *Server) cancel(who asker, c parser.Stop) (recorder.Body, string, error) {
	job, found := s.state.Job(c.Job())
	if !found {
		return nil, "", errors.Wrapf(errCommand, "there is no job %q", c.Job())
	}
	if _, ended := job.Ended(); ended {
		return nil, "", errors.Wrapf(errCommand, "the job %q has ended", c.Job())
	}
	left := job.Job().Tasks - job.Finished().Len()
	body := recorder.JobCancel{
		Job:      c.Job(),
		Operator: who.operator,
	}
	return body, fmt.Sprintf("%d unfinished tasks of %s job %q", left, job.Job().Policy, job.Job().Name), nil
}

// drain keeps a host from new work. It is an entry of the configuration, so
// that every entry process learns of it and none forgets.
func (s *Server) drain(who asker, kind, name string) (recorder.Body, string, error) {
	key := replayer.DrainPrefix + kind + "/" + name
	value, err := json.Marshal(struct{}{})
	if err != nil {
		return nil, "", errors.Wrap(err, "server: encode a drain")
	}
	body := recorder.ConfigChange{
		Key:      key,
		Base:     s.state.Base(key),
		Value:    value,
		Operator: who.operator,
	}
	return body, fmt.Sprintf("%s %q gets nothing new", kind, name), nil
}

func (s *Server) resume(who asker, kind, name string) (recorder.Body, string, error) {
	key := replayer.DrainPrefix + kind + "/" + name
	if _, found := s.state.Config(key); !found {
		return nil, "", errors.Wrapf(errCommand, "%s %q is not drained", kind, name)
	}
	return s.unset(who, key, 0)
}

func (s *Server) set(who asker, c parser.Set) (recorder.Body, string, error) {
	key := c.Setting().Key()
	current, _ := s.state.Config(key)
	value, err := c.Setting().Apply(current.Value())
	if err != nil {
		return nil, "", errors.WithStack(fmt.Errorf("%w: %w", errCommand, err))
	}
	if err := replayer.CheckSetting(key, value); err != nil {
		return nil, "", errors.WithStack(fmt.Errorf("%w: %w", errCommand, err))
	}
	body := recorder.ConfigChange{
		Key:      key,
		Base:     s.baseOf(key, c.Terms().Base()),
		Value:    value,
		Operator: who.operator,
	}
	return body, fmt.Sprintf("%s becomes %s", key, value), nil
}

func (s *Server) unset(who asker, key string, base namer.Offset) (recorder.Body, string, error) {
	if _, found := s.state.Config(key); !found {
		return nil, "", errors.Wrapf(errCommand, "nothing is set at %q", key)
	}
	body := recorder.ConfigChange{
		Key:      key,
		Base:     s.baseOf(key, base),
		Operator: who.operator,
	}
	return body, key + " is removed", nil
}

// baseOf returns the base that the operator gave, or the one in force here.
func (s *Server) baseOf(key string, given namer.Offset) namer.Offset {
	if given != 0 {
		return given
	}
	return s.state.Base(key)
}
