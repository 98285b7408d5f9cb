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

// ErrRejected is returned for a record that was written but not accepted when
// it was replayed, because it conflicts with the state in force.
var ErrRejected = errors.New("server: record rejected by the state in force")

// newRecord returns a record with this process as its writer and the current
// time.
func (s *Server) newRecord(id string, body recorder.Body) recorder.Record {
	return recorder.New(id, s.self.Name, s.settings.clock.Now(), body)
}

// commit appends a record and waits until it has been read back from the log and
// applied to the state.
func (s *Server) commit(ctx context.Context, p appender.Priority, r recorder.Record) (replayer.Verdict, error) {
	return s.appender.Commit(ctx, p, r, s.state)
}

// commitNew commits a body under a new identity, and fails with ErrRejected if
// it was not accepted.
func (s *Server) commitNew(ctx context.Context, p appender.Priority, body recorder.Body) error {
	verdict, err := s.commit(ctx, p, s.newRecord(namer.NewIdentity(), body))
	if err != nil {
		return err
	}
	if !verdict.Accepted() {
		return errors.Wrap(ErrRejected, verdict.Reason())
	}
	return nil
}

// commitJob commits a change of a job's state for the dispatcher.
func (s *Server) commitJob(ctx context.Context, body recorder.Body) error {
	return s.commitNew(ctx, appender.PriorityJob, body)
}

// propose commits a new membership for the watcher.
func (s *Server) propose(ctx context.Context, m recorder.Membership) error {
	return s.commitNew(ctx, appender.PriorityMembership, m)
}

// membership returns the membership of this data centre that is in force.
func (s *Server) membership() (recorder.Membership, bool) {
	m, _, found := s.state.Membership(s.dataCentre)
	return m, found
}

const (
	// auditBacklog is how many lines of the audit trail may wait for the log.
	auditBacklog = 1024
	// auditRate is how many lines a second may be appended on average, and
	// auditBurst how many at once.
	auditRate  = 20
	auditBurst = 200
)

// auditTrail writes lines to the audit stream of the log. Lines are queued in
// memory, so that a command does not wait for the write; a process that crashes
// loses the queued ones. When the queue is full, a new line is dropped and a
// warning is logged.
type auditTrail struct {
	server  *Server
	lines   chan recorder.Audit
	limiter *rate.Limiter
}

func newAuditTrail(s *Server) *auditTrail {
	return &auditTrail{
		server:  s,
		lines:   make(chan recorder.Audit, auditBacklog),
		limiter: rate.NewLimiter(auditRate, auditBurst),
	}
}

// add queues a line without waiting, or drops it if the queue is full.
func (t *auditTrail) add(line recorder.Audit) {
	select {
	case t.lines <- line:
	default:
		t.server.settings.logger.WithField("what", line.What).Warn("server: audit queue full, line dropped")
	}
}

func (t *auditTrail) run(ctx context.Context) error {
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

// write appends one line, retrying until the append succeeds or the context
// ends.
func (t *auditTrail) write(ctx context.Context, line recorder.Audit) error {
	if err := t.limiter.Wait(ctx); err != nil {
		return err
	}
	newRecord := t.server.newRecord(namer.NewIdentity(), line)
	for ctx.Err() == nil {
		err := t.server.appender.Append(ctx, appender.PriorityAudit, recorder.StreamAudit, newRecord)
		if err == nil {
			return nil
		}
		t.server.settings.logger.WithError(err).Warn("server: cannot append an audit line, retrying")
	}
	return ctx.Err()
}
