package server

import (
	"slices"
	"strconv"
	"strings"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/parser"
	"github.com/galenacove/galenacove/replayer"
)

// Internal tables that members request from each other, besides those of the
// operators' language.
const (
	// jobLoads counts the running tasks of each job at one member.
	jobLoads parser.Table = "jobLoads"
	// teamLoads lists the resources that each team uses at one member.
	teamLoads parser.Table = "teamLoads"
)

// localTable returns the rows that only this process knows.
func (s *Server) localTable(table parser.Table) answerer.Table {
	var rows []answerer.Row
	switch table {
	case parser.Tasks:
		rows = s.taskRows()
	case parser.Workers:
		rows = s.workerRows()
	case parser.Minions:
		rows = s.minionRows()
	case parser.Services:
		rows = s.serviceRows()
	case parser.Offsets:
		rows = []answerer.Row{{s.self.Name, s.dataCentre, formatOffset(s.state.Offset())}}
	case jobLoads:
		rows = s.jobLoadRows()
	case teamLoads:
		rows = s.teamLoadRows()
	default:
		// The other tables are built from the log, which every process reads.
	}
	return answerer.NewTable(tableColumns[table], rows...)
}

func (s *Server) taskRows() []answerer.Row {
	var rows []answerer.Row
	for _, task := range s.dispatcher.Tasks() {
		row := answerer.Row{
			task.ID().String(), task.ID().Job, task.Team(), string(task.Kind()), task.State(), task.Worker(), task.Member(),
		}
		row = append(row, formatSize(task.Size())...)
		row = append(row, formatInt(task.Usage().MilliCores()), formatInt(task.Usage().Bytes()), answerer.FormatTime(task.Since()))
		rows = append(rows, row)
	}
	return rows
}

func (s *Server) workerRows() []answerer.Row {
	var rows []answerer.Row
	for _, worker := range s.dispatcher.Workers() {
		capacity := worker.Capacity()
		free := capacity.Sub(worker.Used())
		rows = append(rows, answerer.Row{
			worker.Name(), s.dataCentre, worker.Rack(), worker.State(), worker.Owner(),
			formatEpoch(worker.Epoch()), formatInt(worker.Tasks()),
			formatInt(capacity.MilliCores()), formatInt(free.MilliCores()),
			formatInt(capacity.Bytes()), formatInt(free.Bytes()),
			formatInt(capacity.Accelerators()), formatInt(free.Accelerators()),
		})
	}
	return rows
}

func (s *Server) minionRows() []answerer.Row {
	var rows []answerer.Row
	for _, minion := range s.router.Endpoints() {
		rows = append(rows, answerer.Row{
			minion.Name(), minion.Service(), s.dataCentre, minion.State(), s.self.Name,
			formatInt(minion.Slots()), formatInt(minion.Reserved()), formatInt(minion.OlderRequests()),
		})
	}
	return rows
}

func (s *Server) serviceRows() []answerer.Row {
	var rows []answerer.Row
	for _, service := range s.router.Services() {
		load := service.Load()
		rows = append(rows, answerer.Row{
			service.Name(), s.dataCentre, s.self.Name, formatInt(load.Queued), formatInt(load.Free),
		})
	}
	return rows
}

func (s *Server) jobLoadRows() []answerer.Row {
	running := make(map[string]int)
	for _, task := range s.dispatcher.Tasks() {
		if task.State() == stateRunning {
			running[task.ID().Job]++
		}
	}
	var rows []answerer.Row
	for job, count := range running {
		rows = append(rows, answerer.Row{job, formatInt(count)})
	}
	return rows
}

func (s *Server) teamLoadRows() []answerer.Row {
	var rows []answerer.Row
	for _, team := range s.dispatcher.Teams() {
		rows = append(rows, append(answerer.Row{team.Name()}, formatSize(team.Used())...))
	}
	return rows
}

// stateRunning is the state of a task that runs.
const stateRunning = "running"

// sumByKey adds up the cells of rows with the same key, which is the first cell
// of each row.
func sumByKey(table answerer.Table) map[string][]int64 {
	totals := make(map[string][]int64)
	for _, row := range table.Rows() {
		total := totals[row[0]]
		if total == nil {
			total = make([]int64, len(row)-1)
			totals[row[0]] = total
		}
		for i, cell := range row[1:] {
			n, _ := strconv.ParseInt(cell, 10, 64)
			total[i] += n
		}
	}
	return totals
}

// jobTable combines the jobs in the log with the number of running tasks of each
// that the members reported.
func (s *Server) jobTable(loads answerer.Table) answerer.Table {
	running := sumByKey(loads)
	var rows []answerer.Row
	for _, state := range s.state.Jobs() {
		job := state.Job()
		var count int64
		if load := running[job.ID]; load != nil {
			count = load[0]
		}
		rows = append(rows, answerer.Row{
			job.ID, job.Name, job.Team, string(job.Policy), job.DataCentre, jobState(state), jobReason(state),
			formatInt(job.Tasks), formatInt(count), formatInt(state.Finished().Len()),
			strconv.FormatBool(job.Urgent), formatOffset(state.Submitted()),
		})
	}
	return answerer.NewTable(tableColumns[parser.Jobs], rows...).WithMissing(loads.Missing()...)
}

func jobState(state replayer.JobState) string {
	end, ended := state.Ended()
	switch {
	case ended:
		return string(end.Outcome)
	case state.Cancelled():
		return "cancelled"
	default:
		return "active"
	}
}

func jobReason(state replayer.JobState) string {
	end, _ := state.Ended()
	return end.Reason
}

// teamTable combines the configuration of the teams with the resources that the
// members reported as used.
func (s *Server) teamTable(loads answerer.Table) answerer.Table {
	usage := sumByKey(loads)
	var rows []answerer.Row
	for name, team := range s.state.Teams() {
		row := answerer.Row{name, strconv.FormatFloat(team.Weight, 'g', -1, 64)}
		load := usage[name]
		if load == nil {
			load = make([]int64, len(formatSize(team.Quota)))
		}
		for _, n := range load {
			row = append(row, formatInt(n))
		}
		rows = append(rows, append(row, formatSize(team.Quota)...))
	}
	slices.SortFunc(rows, func(a, b answerer.Row) int { return strings.Compare(a[0], b[0]) })
	return answerer.NewTable(tableColumns[parser.Teams], rows...).WithMissing(loads.Missing()...)
}

func configRows(state *replayer.State) []answerer.Row {
	var rows []answerer.Row
	for _, setting := range state.ConfigUnder("") {
		rows = append(rows, answerer.Row{
			setting.Key(), string(setting.Value()), formatOffset(setting.Offset()), setting.Operator(),
		})
	}
	return rows
}

func (s *Server) memberTable() answerer.Table {
	var rows []answerer.Row
	for _, dataCentre := range s.state.DataCentres() {
		m, _, _ := s.state.Membership(dataCentre)
		for _, member := range m.Members {
			rows = append(rows, answerer.Row{member.Name, dataCentre, formatEpoch(m.Epoch), member.Peers})
		}
	}
	return answerer.NewTable(tableColumns[parser.Members], rows...)
}
