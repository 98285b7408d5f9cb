package server

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// ErrLost is returned for a record that another one was in the way of.
var ErrLost = errors.New("server: refused by what is in force")

// record returns a record of this process.
func (s *Server) record(id string, body recorder.Body) recorder.Record {
	return recorder.New(id, s.self.Name, s.settings.clock.Now(), body)
}

// commit appends a record and waits until it is read back.
func (s *Server) commit(ctx context.Context, p appender.Priority, r recorder.Record) (replayer.Verdict, error) {
	return s.appender.Commit(ctx, p, r, s.state)
}

// commitNew commits a body under a new identity, and fails with ErrLost if it
// was not accepted.
func (s *Server) commitNew(ctx context.Context, p appender.Priority, body recorder.Body) error {
	verdict, err := s.commit(ctx, p, s.record(namer.NewIdentity(), body))
	if err != nil {
		return err
	}
	if !verdict.Accepted() {
		return errors.Wrap(ErrLost, verdict.Reason())
	}
	return nil
}

// commitJob keeps what the dispatcher has to say of a job.
func (s *Server) commitJob(ctx context.Context, body recorder.Body) error {
	return s.commitNew(ctx, appender.PriorityJob, body)
}

// propose asks the log for a membership.
func (s *Server) propose(ctx context.Context, m recorder.Membership) error {
	return s.commitNew(ctx, appender.PriorityMembership, m)
}

// membership returns the membership of this data centre that is in force.
func (s *Server) membership() (recorder.Membership, bool) {
	m, _, found := s.state.Membership(s.dataCentre)
	return m, found
}

const (
	// trailBacklog is the most lines of the audit trail that wait for the log.
	trailBacklog = 1024
	// trailRate is in lines a second, trailBurst in lines.
	trailRate  = 20
	trailBurst = 200
)

// trail carries lines to the audit stream of the log. They wait in memory, so
// that a command does not wait for them: a process that dies loses those that
// were not yet written. A line that finds the backlog full is dropped, and the
// process logs that.
type trail struct {
	server *Server
	lines  chan recorder.Audit
	limit  *rate.Limiter
}

func newTrail(s *Server) *trail {
	return &trail{
		server: s,
		lines:  make(chan recorder.Audit, trailBacklog),
		limit:  rate.NewLimiter(trailRate, trailBurst),
	}
}

// add takes a line without waiting.
func (t *trail) add(line recorder.Audit) {
	select {
	case t.lines <- line:
	default:
		t.server.settings.logger.WithField("what", line.What).Warn("server: the audit trail is full, a line was dropped")
	}
}

func (t *trail) run(ctx context.Context) error {
	for {
		select {
		case line := <-t.lines:
			if err := t.write(ctx, line); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// write appends one line, and again until the log has taken it.
func (t *trail) write(ctx context.Context, line recorder.Audit) error {
	if err := t.limit.Wait(ctx); err != nil {
		return err
	}
	record := t.server.record(namer.NewIdentity(), line)
	for ctx.Err() == nil {
		err := t.server.appender.Append(ctx, appender.PriorityAudit, recorder.StreamAudit, record)
		if err == nil {
			return nil
		}
		t.server.settings.logger.WithError(err).Warn("server: the audit trail waits for the log")
	}
	return ctx.Err()
}
