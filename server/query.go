package server

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/parser"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// queryFanOut is how many members are queried concurrently.
	queryFanOut = 16
	// maxAuditReads bounds the reads of the log for one query of the audit trail,
	// each of up to auditBatchSize records.
	maxAuditReads  = 20
	auditBatchSize = 1000
)

// errQuery is returned for a query that cannot be answered.
var errQuery = errors.New("server: the query cannot be answered")

// QueryArgs requests the rows of a table that only the called member knows.
type QueryArgs struct {
	// Table is a table of the operators' language, or one of the internal tables
	// jobLoads and teamLoads.
	Table string
}

// QueryReply returns the rows.
type QueryReply struct {
	// Table is an answerer.Table in JSON.
	Table []byte
}

// WhyArgs requests the reason why a task does not run.
type WhyArgs struct {
	Task namer.TaskID
}

// WhyReply returns the reason, if the member knows one.
type WhyReply struct {
	Known  bool
	Reason string
}

// HostsArgs requests the host list that a member uses.
type HostsArgs struct{}

// HostsReply returns the host list, nil if the member has none yet.
type HostsReply struct {
	Hosts []connector.Host
}

// receiver serves the RPC methods that peers call for queries.
type receiver struct {
	server *Server
}

// Rows returns the rows of one table that this member knows.
func (r *receiver) Rows(args QueryArgs, reply *QueryReply) error {
	data, err := json.Marshal(r.server.localTable(parser.Table(args.Table)))
	reply.Table = data
	return err
}

// Why returns the reason why a task does not run.
func (r *receiver) Why(args WhyArgs, reply *WhyReply) error {
	reply.Reason, reply.Known = r.server.dispatcher.Why(args.Task)
	return nil
}

// Hosts returns the host list that this member uses.
func (r *receiver) Hosts(_ HostsArgs, reply *HostsReply) error {
	if hosts := r.server.hosts.Load(); hosts != nil {
		reply.Hosts = *hosts
	}
	return nil
}

// query runs a statement that changes nothing, within queryTimeout.
func (s *Server) query(ctx context.Context, statement parser.Statement) (answerer.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	switch q := statement.(type) {
	case parser.Show:
		table, err := s.showTable(ctx, q)
		if err != nil {
			return answerer.Table{}, err
		}
		return answerer.Select(q, table)
	case parser.Why:
		return s.explainTask(ctx, q.Task())
	default:
		return answerer.Table{}, errors.Wrapf(errQuery, "%T is not known", statement)
	}
}

// showTable returns the table that the statement shows, with all rows; the caller
// filters them.
func (s *Server) showTable(ctx context.Context, q parser.Show) (answerer.Table, error) {
	switch q.Table() {
	case parser.Jobs:
		return s.jobTable(s.collectTable(ctx, jobLoads)), nil
	case parser.Teams:
		return s.teamTable(s.collectTable(ctx, teamLoads)), nil
	case parser.Members:
		return s.memberTable(), nil
	case parser.Config:
		if offset := q.At(); offset != 0 && offset != s.state.Offset() {
			return s.configAt(ctx, offset)
		}
		return answerer.NewTable(tableColumns[parser.Config], configRows(s.state)...), nil
	case parser.Audit:
		return s.auditTable(ctx, q.Since())
	default:
		return s.collectTable(ctx, q.Table()), nil
	}
}

// collectTable merges the rows that each member of each data centre knows. A
// member that does not answer is listed as missing.
func (s *Server) collectTable(ctx context.Context, table parser.Table) answerer.Table {
	collected := answerer.NewTable(tableColumns[table])
	var mu sync.Mutex
	s.forEachMember(ctx, func(ctx context.Context, dataCentre string, member recorder.Member) {
		part, err := s.queryMember(ctx, member, table)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			s.settings.logger.WithError(err).WithField("member", member.Name).Warn("server: a member did not answer a query")
			collected = collected.WithMissing(dataCentre + "/" + member.Name)
			return
		}
		collected = collected.Merge(part)
	})
	return collected
}

// forEachMember calls visit for each member of each data centre, up to
// queryFanOut of them concurrently.
func (s *Server) forEachMember(ctx context.Context, visit func(ctx context.Context, dataCentre string, member recorder.Member)) {
	var group errgroup.Group
	group.SetLimit(queryFanOut)
	for _, dataCentre := range s.state.DataCentres() {
		m, _, _ := s.state.Membership(dataCentre)
		for _, member := range m.Members {
			group.Go(func() error {
				visit(ctx, dataCentre, member)
				return nil
			})
		}
	}
	// The goroutines return no error.
	_ = group.Wait()
}

func (s *Server) queryMember(ctx context.Context, member recorder.Member, table parser.Table) (answerer.Table, error) {
	if member.Name == s.self.Name {
		return s.localTable(table), nil
	}
	var reply QueryReply
	args := QueryArgs{
		Table: string(table),
	}
	if err := s.pool.Call(ctx, member.Peers, "Query.Rows", args, &reply); err != nil {
		return answerer.Table{}, err
	}
	var part answerer.Table
	err := json.Unmarshal(reply.Table, &part)
	return part, err
}

// explainTask asks all members why a task does not run, since the home member of
// its job and the member that holds the task each know a part of the answer.
func (s *Server) explainTask(ctx context.Context, task namer.TaskID) (answerer.Table, error) {
	table := answerer.NewTable([]answerer.Column{text("task"), text("member"), text("reason")})
	var mu sync.Mutex
	s.forEachMember(ctx, func(ctx context.Context, dataCentre string, member recorder.Member) {
		reply, err := s.queryWhy(ctx, member, task)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			table = table.WithMissing(dataCentre + "/" + member.Name)
		case reply.Known:
			table = table.Merge(answerer.NewTable(table.Columns(), answerer.Row{task.String(), member.Name, reply.Reason}))
		}
	})
	if len(table.Rows()) == 0 && len(table.Missing()) == 0 {
		return answerer.Table{}, errors.Wrapf(errQuery, "no member knows the task %s", task)
	}
	return table, nil
}

func (s *Server) queryWhy(ctx context.Context, member recorder.Member, task namer.TaskID) (WhyReply, error) {
	var reply WhyReply
	if member.Name == s.self.Name {
		reply.Reason, reply.Known = s.dispatcher.Why(task)
		return reply, nil
	}
	err := s.pool.Call(ctx, member.Peers, "Query.Why", WhyArgs{
		Task: task,
	}, &reply)
	return reply, err
}

// auditTable reads the audit trail from the log. It reads at most maxAuditReads
// batches, and lists the remainder as missing if there is more.
func (s *Server) auditTable(ctx context.Context, since parser.Since) (answerer.Table, error) {
	var earliest time.Time
	if since.Ago() > 0 {
		earliest = s.settings.clock.Now().Add(-since.Ago())
	}
	next, err := s.auditStart(ctx, since.Offset(), earliest)
	if err != nil {
		return answerer.Table{}, err
	}
	var rows []answerer.Row
	for range maxAuditReads {
		batch, err := s.readAudit(ctx, next, auditBatchSize)
		if err != nil {
			return answerer.Table{}, err
		}
		for _, entry := range batch.Entries {
			if row, ok := auditRow(entry.Offset, entry.Payload, earliest); ok {
				rows = append(rows, row)
			}
		}
		next += namer.Offset(len(batch.Entries))
		if next >= batch.Next {
			return answerer.NewTable(tableColumns[parser.Audit], rows...), nil
		}
	}
	return answerer.NewTable(tableColumns[parser.Audit], rows...).WithMissing(fmt.Sprintf("the trail from offset %d on", next)), nil
}

func (s *Server) readAudit(ctx context.Context, from namer.Offset, limit int) (connector.Batch, error) {
	batch, err := s.platform.Read(ctx, recorder.StreamAudit, from, limit, 0)
	if err != nil {
		return batch, errors.WithStack(fmt.Errorf("%w: the log does not answer: %w", errQuery, err))
	}
	return batch, nil
}

// auditStart returns the offset from which to read the audit trail. Without a
// time, that is the requested offset, or the first retained one if that is
// later. With a time, it searches back from the end in steps of auditBatchSize
// for an offset from which the trail covers everything since that time.
func (s *Server) auditStart(ctx context.Context, requested namer.Offset, earliest time.Time) (namer.Offset, error) {
	// A read of no records returns the range of offsets that the log retains.
	retained, err := s.readAudit(ctx, 0, 0)
	if err != nil || earliest.IsZero() {
		return max(requested, retained.First, 1), err
	}
	start := max(retained.Next, 1)
	for start > max(retained.First, 1) {
		start = max(start-min(start, auditBatchSize), retained.First, 1)
		batch, err := s.readAudit(ctx, start, 1)
		if err != nil {
			return 0, err
		}
		if len(batch.Entries) > 0 && recordedBefore(batch.Entries[0].Payload, earliest) {
			break
		}
	}
	return start, nil
}

// recordedBefore reports whether a record was made before the time.
func recordedBefore(payload []byte, earliest time.Time) bool {
	record, err := recorder.Decode(payload)
	return err == nil && record.CreatedAt().Before(earliest)
}

// auditRow returns the row for one record, and false if it was made before the
// earliest time or is not an audit line.
func auditRow(offset namer.Offset, payload []byte, earliest time.Time) (answerer.Row, bool) {
	record, err := recorder.Decode(payload)
	if err != nil || record.CreatedAt().Before(earliest) {
		return nil, false
	}
	line, ok := record.Body().(recorder.Audit)
	if !ok {
		return nil, false
	}
	return answerer.Row{
		formatOffset(offset), answerer.FormatTime(record.CreatedAt()), line.Who, line.What, line.From,
		formatOffset(line.Base), fmt.Sprint(line.Accepted), line.Reason,
	}, true
}
