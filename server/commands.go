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

// requestOrigin identifies the operator who sent a request, and the remote
// address that it came from.
type requestOrigin struct {
	operatorName string
	remoteAddr   string
}

// errCommand is returned for a command that is invalid in the current state,
// such as one that names an unknown job.
var errCommand = errors.New("server: the command cannot be carried out")

// runCommand executes a command and, unless it is a dry run, adds a line to the
// audit trail.
func (s *Server) runCommand(ctx context.Context, origin requestOrigin, statement string, command parser.Command) commander.Result {
	options := command.CommandOptions()
	result := commander.Result{
		Outcome:  commander.Refused,
		Identity: options.Identity(),
	}
	if result.Identity == "" {
		result.Identity = namer.NewIdentity()
	}
	recordBody, effect, err := s.recordBody(origin, result.Identity, command)
	switch {
	case err != nil:
		result.Reason = err.Error()
	case options.DryRun():
		result.Outcome = commander.Checked
		result.Reason = effect
		return result
	default:
		s.commitCommand(ctx, &result, recordBody)
	}
	s.auditTrail.add(recorder.Audit{
		Who:      origin.operatorName,
		What:     statement,
		From:     origin.remoteAddr,
		Base:     options.Base(),
		Accepted: result.Outcome == commander.Accepted,
		Reason:   result.Reason,
	})
	return result
}

// commitCommand commits the body of a command's record to the log, and sets the
// outcome, the offset and the reason of the result.
func (s *Server) commitCommand(ctx context.Context, result *commander.Result, body recorder.Body) {
	priority := appender.PriorityConfig
	switch body.(type) {
	case recorder.Job, recorder.JobCancel:
		priority = appender.PriorityJob
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	verdict, err := s.commit(ctx, priority, s.newRecord(result.Identity, body))
	switch {
	case errors.Is(err, appender.ErrBacklog), errors.Is(err, appender.ErrUnavailable):
		result.Reason = "the platform's log takes nothing now, nothing was changed: " + err.Error()
	case err != nil:
		result.Outcome = commander.Unknown
		result.Reason = "the platform's log has not answered; give the command again with: as \"" + result.Identity + "\""
	case !verdict.Accepted():
		result.Offset = verdict.Offset()
		result.Reason = rejectionReason(verdict)
	default:
		result.Outcome = commander.Accepted
		result.Offset = verdict.Offset()
	}
}

// rejectionReason returns why a record was rejected when it was replayed, and
// which earlier change it conflicts with, if any.
func rejectionReason(verdict replayer.Verdict) string {
	id, operator, offset := verdict.Winner()
	if id == "" {
		return verdict.Reason()
	}
	return fmt.Sprintf("%s; in force is the change %q by %s at offset %d", verdict.Reason(), id, operator, offset)
}

// recordBody returns the body of the log record for a command, and a
// description of its effect for dry runs.
func (s *Server) recordBody(origin requestOrigin, identity string, command parser.Command) (recordBody recorder.Body, effect string, err error) {
	switch c := command.(type) {
	case parser.Submit:
		return s.jobBody(origin, identity, c)
	case parser.Stop:
		return s.cancelBody(origin, c)
	case parser.Drain:
		return s.drainBody(origin, string(c.Kind()), c.Name())
	case parser.Resume:
		return s.resumeBody(origin, string(c.Kind()), c.Name())
	case parser.Set:
		return s.setBody(origin, c)
	case parser.Unset:
		return s.unsetBody(origin, c.Key(), c.CommandOptions().Base())
	default:
		return nil, "", errors.Wrapf(errCommand, "%T is not known", command)
	}
}

func (s *Server) jobBody(origin requestOrigin, identity string, c parser.Submit) (recorder.Body, string, error) {
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
	jobBody := recorder.Job{
		ID:         identity,
		Name:       c.Name(),
		Team:       c.Team(),
		Policy:     c.JobKind(),
		Tasks:      c.Tasks(),
		Size:       c.Size(),
		RunTime:    c.RunTime(),
		Urgent:     c.Urgent(),
		DataCentre: dataCentre,
		Operator:   origin.operatorName,
	}
	return jobBody, fmt.Sprintf("%d tasks of %s in %s", jobBody.Tasks, jobBody.Size, dataCentre), nil
}

func (s *Server) cancelBody(origin requestOrigin, c parser.Stop) (recorder.Body, string, error) {
	job, found := s.state.Job(c.Job())
	if !found {
		return nil, "", errors.Wrapf(errCommand, "there is no job %q", c.Job())
	}
	if _, ended := job.Ended(); ended {
		return nil, "", errors.Wrapf(errCommand, "the job %q has ended", c.Job())
	}
	unfinished := job.Job().Tasks - job.Finished().Len()
	body := recorder.JobCancel{
		Job:      c.Job(),
		Operator: origin.operatorName,
	}
	return body, fmt.Sprintf("%d unfinished tasks of %s job %q", unfinished, job.Job().Policy, job.Job().Name), nil
}

// drainBody returns the body of the record that stops a host from getting new
// work. A drain is stored as a key of the configuration, so that it reaches every
// entry process and survives restarts.
func (s *Server) drainBody(origin requestOrigin, kind, name string) (recorder.Body, string, error) {
	key := replayer.DrainPrefix + kind + "/" + name
	value, err := json.Marshal(struct{}{})
	if err != nil {
		return nil, "", errors.Wrap(err, "server: encode a drain")
	}
	body := recorder.ConfigChange{
		Key:      key,
		Base:     s.state.Base(key),
		Value:    value,
		Operator: origin.operatorName,
	}
	return body, fmt.Sprintf("%s %q gets nothing new", kind, name), nil
}

func (s *Server) resumeBody(origin requestOrigin, kind, name string) (recorder.Body, string, error) {
	key := replayer.DrainPrefix + kind + "/" + name
	if _, found := s.state.Config(key); !found {
		return nil, "", errors.Wrapf(errCommand, "%s %q is not drained", kind, name)
	}
	return s.unsetBody(origin, key, 0)
}

func (s *Server) setBody(origin requestOrigin, c parser.Set) (recorder.Body, string, error) {
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
		Base:     s.baseOrCurrent(key, c.CommandOptions().Base()),
		Value:    value,
		Operator: origin.operatorName,
	}
	return body, fmt.Sprintf("%s becomes %s", key, value), nil
}

func (s *Server) unsetBody(origin requestOrigin, key string, base namer.Offset) (recorder.Body, string, error) {
	if _, found := s.state.Config(key); !found {
		return nil, "", errors.Wrapf(errCommand, "nothing is set at %q", key)
	}
	body := recorder.ConfigChange{
		Key:      key,
		Base:     s.baseOrCurrent(key, base),
		Operator: origin.operatorName,
	}
	return body, key + " is removed", nil
}

// baseOrCurrent returns the base that the operator requested, or, if that is 0,
// the offset of the key's current value in the state of this process.
func (s *Server) baseOrCurrent(key string, requested namer.Offset) namer.Offset {
	if requested != 0 {
		return requested
	}
	return s.state.Base(key)
}
