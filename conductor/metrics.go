package conductor

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/scheduler"
)

// Metrics holds the metrics of all conductors of a process.
type Metrics struct {
	starts              *prometheus.CounterVec
	adviceSeconds       prometheus.Histogram
	silentRenewals      prometheus.Counter
	storeErrors         prometheus.Counter
	takeoverSeconds     prometheus.Histogram
	adviceCalls         *prometheus.CounterVec
	adviceInFlight      *prometheus.GaugeVec
	adviceLimit         *prometheus.GaugeVec
	adviceDenied        *prometheus.GaugeVec
	adviceDeniedSeconds *prometheus.GaugeVec
	lastingWaiting      *prometheus.GaugeVec
	lastingWaitSeconds  *prometheus.GaugeVec
	allotmentCalls      *prometheus.CounterVec
	workersLost         *prometheus.CounterVec
	runsLost            *prometheus.CounterVec
	tasksGivenUp        prometheus.Counter
	writeSeconds        prometheus.Histogram
	writeRecords        prometheus.Histogram
	plannedSeconds      *prometheus.GaugeVec
	plannedDropped      prometheus.Counter
	runsOutlived        prometheus.Counter
	endsUnread          prometheus.Counter
	unfencedSeconds     prometheus.Histogram
	cancellations       *prometheus.CounterVec
	withoutProgress     prometheus.Counter
	deletionsFailed     prometheus.Counter
	repeatedWrites      prometheus.Counter
	jobsReadAt          *prometheus.GaugeVec
	confirmedAt         *prometheus.GaugeVec
	delegationCalls     *prometheus.CounterVec
	grantedTasks        *prometheus.GaugeVec
	guestTasks          *prometheus.GaugeVec
	workers             *prometheus.GaugeVec
	milliCores          *prometheus.GaugeVec
	waitingSteps        *prometheus.GaugeVec
	stepWaitSeconds     *prometheus.GaugeVec
	stops               *prometheus.CounterVec
	pendingStops        *prometheus.GaugeVec
	pendingStopSeconds  *prometheus.GaugeVec
	organisations       *organisationMetrics
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		organisations: newOrganisationMetrics(),
		delegationCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_delegation_calls_total",
			Help: "Calls to owners of other partitions about tasks that they run or could run for this one, by outcome.",
		}, []string{"outcome"}),
		grantedTasks: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_granted_tasks",
			Help: "Tasks of the partition's jobs that belong to owners of other partitions.",
		}, []string{"partition"}),
		guestTasks: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_guest_tasks",
			Help: "Tasks of other partitions' jobs that belong to the owner of the partition.",
		}, []string{"partition"}),
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_workers",
			Help: "Workers of a service in the shard of the partition, by whether new runs may be started there.",
		}, []string{"partition", "service", "state"}),
		milliCores: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_milli_cores",
			Help: "Thousandths of a core of the available workers of a service in the shard of the partition, in all and without runs.",
		}, []string{"partition", "service", "kind"}),
		waitingSteps: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_waiting_steps",
			Help: "Steps of the partition's jobs with tasks that wait for room, by service.",
		}, []string{"partition", "service"}),
		stepWaitSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_step_wait_seconds",
			Help: "For how long the first of these steps has waited.",
		}, []string{"partition", "service"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_starts_total",
			Help: "Orders to start a run, by their outcome.",
		}, []string{"outcome"}),
		adviceSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_advice_seconds",
			Help:    "Time from asking for advice to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		stops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_stops_total",
			Help: "Orders to stop a run, by whether they were answered and whether the run had been stopped before.",
		}, []string{"outcome", "repeated"}),
		pendingStops: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_pending_stops",
			Help: "Runs that were stopped and are not known to have ended.",
		}, []string{"partition"}),
		pendingStopSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_pending_stop_seconds",
			Help: "Time since the first stop of the run that has been stopped for the longest time.",
		}, []string{"partition"}),
		silentRenewals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_silent_holds_total",
			Help: "Renewals of a worker's lease that had no answer.",
		}),
		storeErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_store_errors_total",
			Help: "Tries to store progress that failed.",
		}),
		takeoverSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_takeover_seconds",
			Help:    "Time from being dealt a partition to its first start that a worker carried out.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 10),
		}),
		adviceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_advice_calls_total",
			Help: "Calls for advice, by what they are for.",
		}, []string{"purpose"}),
		adviceInFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_under_way",
			Help: "Calls for advice under way.",
		}, []string{"partition", "kind"}),
		adviceLimit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_allowed",
			Help: "Calls for advice that may be under way at once.",
		}, []string{"partition", "kind"}),
		adviceDenied: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_denied",
			Help: "Steps of which a call for advice waits for another one to end.",
		}, []string{"partition"}),
		adviceDeniedSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_denied_seconds",
			Help: "For how long the first of these steps has waited.",
		}, []string{"partition"}),
		lastingWaiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_lasting_waiting",
			Help: "Lasting tasks that have no run.",
		}, []string{"partition"}),
		lastingWaitSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_lasting_wait_seconds",
			Help: "For how long the first of these tasks has not been in service.",
		}, []string{"partition"}),
		allotmentCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_allotment_calls_total",
			Help: "Calls that ask other owners for parts of allotments, by their outcome.",
		}, []string{"outcome"}),
		workersLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_workers_lost_total",
			Help: "Workers that were lost with runs on them, by the reason.",
		}, []string{"reason"}),
		runsLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_runs_lost_total",
			Help: "Runs that were lost with their worker, by the reason.",
		}, []string{"reason"}),
		tasksGivenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_tasks_given_up_total",
			Help: "Tasks that were given up as workers crashed under them.",
		}),
		writeSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_write_seconds",
			Help:    "Time that a write of progress took with all its tries.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		writeRecords: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_write_records",
			Help:    "Records in a write of progress.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 12),
		}),
		plannedSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_planned_wait_seconds",
			Help: "For how long the oldest run whose start waits for a write has waited.",
		}, []string{"partition"}),
		plannedDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_planned_runs_dropped_total",
			Help: "Runs that were dropped before their start as the store took no writes.",
		}),
		runsOutlived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_runs_outlived_total",
			Help: "Runs that workers reported after their leases had counted as over.",
		}),
		endsUnread: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_ends_unread_total",
			Help: "Ends of runs that were acknowledged before the owner had read them.",
		}),
		unfencedSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_unfenced_seconds",
			Help:    "Time from the last sign of a worker's former incarnation to the first answer of the next one to its own token.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 10),
		}),
		cancellations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_cancellations_total",
			Help: "Cancellations that owners have read, by what they found.",
		}, []string{"found"}),
		withoutProgress: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_jobs_without_progress_total",
			Help: "Jobs that a takeover found without stored progress, and so took for new.",
		}),
		deletionsFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_deletions_failed_total",
			Help: "Ended jobs whose records a try did not delete, as the store did not take the deletion.",
		}),
		repeatedWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_repeated_writes_total",
			Help: "Writes of progress that the store took for a repetition of an earlier one.",
		}),
		jobsReadAt: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_jobs_read_timestamp_seconds",
			Help: "Time of the last answered read of the jobs partition, by partition.",
		}, []string{"partition"}),
		confirmedAt: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_confirmed_timestamp_seconds",
			Help: "Latest time at which the partition is known to have been assigned to its owner here, by partition.",
		}, []string{"partition"}),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return append([]prometheus.Collector{
		m.starts, m.adviceSeconds, m.silentRenewals, m.storeErrors, m.takeoverSeconds,
		m.adviceCalls, m.adviceInFlight, m.adviceLimit, m.adviceDenied, m.adviceDeniedSeconds,
		m.lastingWaiting, m.lastingWaitSeconds, m.allotmentCalls, m.workersLost, m.runsLost, m.tasksGivenUp,
		m.writeSeconds, m.writeRecords, m.plannedSeconds, m.plannedDropped, m.runsOutlived, m.endsUnread, m.unfencedSeconds,
		m.cancellations, m.withoutProgress, m.deletionsFailed, m.repeatedWrites, m.jobsReadAt, m.confirmedAt,
		m.delegationCalls, m.grantedTasks, m.guestTasks,
		m.workers, m.milliCores, m.waitingSteps, m.stepWaitSeconds,
		m.stops, m.pendingStops, m.pendingStopSeconds,
	}, m.organisations.collectors()...)
}

// setAdvice sets the metrics of the calls for advice of the owner of a partition.
func (m *Metrics) setAdvice(partition int, load scheduler.AdviceLoad) {
	label := strconv.Itoa(partition)
	for quick, kind := range adviceKinds {
		m.adviceInFlight.WithLabelValues(label, kind).Set(float64(load.InFlight[quick]))
		m.adviceLimit.WithLabelValues(label, kind).Set(float64(load.Limits[quick]))
	}
	m.adviceDenied.WithLabelValues(label).Set(float64(load.Denied))
	m.adviceDeniedSeconds.WithLabelValues(label).Set(load.LongestWait.Seconds())
}

// setLasting sets the metrics of the lasting tasks of the owner of a partition.
func (m *Metrics) setLasting(partition int, load scheduler.LastingLoad) {
	label := strconv.Itoa(partition)
	m.lastingWaiting.WithLabelValues(label).Set(float64(load.Waiting))
	m.lastingWaitSeconds.WithLabelValues(label).Set(load.LongestWait.Seconds())
}

// setPlanned sets the metric of the runs of the owner of a partition that wait for a write.
func (m *Metrics) setPlanned(partition int, oldest time.Duration) {
	m.plannedSeconds.WithLabelValues(strconv.Itoa(partition)).Set(oldest.Seconds())
}

// addStop counts an order to stop a run.
func (m *Metrics) addStop(order scheduler.StopTask, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "unanswered"
	}
	m.stops.WithLabelValues(outcome, strconv.FormatBool(order.Number > 1)).Inc()
}

// setPendingStops sets the metrics of the stopped runs of the owner of a partition.
func (m *Metrics) setPendingStops(partition int, load scheduler.StopLoad) {
	label := strconv.Itoa(partition)
	m.pendingStops.WithLabelValues(label).Set(float64(load.Pending))
	m.pendingStopSeconds.WithLabelValues(label).Set(load.LongestWait.Seconds())
}

// addLosses counts workers and runs that were lost.
func (m *Metrics) addLosses(losses scheduler.Losses) {
	for reason, n := range losses.Workers {
		m.workersLost.WithLabelValues(reason).Add(float64(n))
	}
	for reason, n := range losses.Runs {
		m.runsLost.WithLabelValues(reason).Add(float64(n))
	}
	m.tasksGivenUp.Add(float64(losses.GivenUp))
	m.plannedDropped.Add(float64(losses.Unstored))
	m.runsOutlived.Add(float64(losses.Outlived))
	m.endsUnread.Add(float64(losses.Unread))
	for _, unfenced := range losses.Unfenced {
		m.unfencedSeconds.Observe(unfenced.Seconds())
	}
}

// setJobsRead sets the time of the last answered read of the jobs partition.
func (m *Metrics) setJobsRead(partition int, at time.Time) {
	m.jobsReadAt.WithLabelValues(strconv.Itoa(partition)).Set(float64(at.UnixMilli()) / 1000)
}

// setConfirmed sets the time at which the ownership of a partition was last confirmed.
func (m *Metrics) setConfirmed(partition int, at time.Time) {
	m.confirmedAt.WithLabelValues(strconv.Itoa(partition)).Set(float64(at.UnixMilli()) / 1000)
}

// setDelegations sets the numbers of tasks that other owners run for the owner of a partition,
// and that it runs for others.
func (m *Metrics) setDelegations(partition, granted, guests int) {
	label := strconv.Itoa(partition)
	m.grantedTasks.WithLabelValues(label).Set(float64(granted))
	m.guestTasks.WithLabelValues(label).Set(float64(guests))
}

// setServices sets the metrics of the services that have workers in the shard of a partition.
func (m *Metrics) setServices(partition int, loads []scheduler.ServiceLoad) {
	label := strconv.Itoa(partition)
	for _, load := range loads {
		m.workers.WithLabelValues(label, load.Service, "available").Set(float64(load.Available))
		m.workers.WithLabelValues(label, load.Service, "unavailable").Set(float64(load.Workers - load.Available))
		m.milliCores.WithLabelValues(label, load.Service, "total").Set(float64(load.Total.MilliCores()))
		m.milliCores.WithLabelValues(label, load.Service, "free").Set(float64(load.Free.MilliCores()))
		m.waitingSteps.WithLabelValues(label, load.Service).Set(float64(load.WaitingSteps))
		m.stepWaitSeconds.WithLabelValues(label, load.Service).Set(load.LongestWait.Seconds())
	}
}

// deleteLoad removes the gauges of the owner of a partition. It is called once the ownership
// has ended.
func (m *Metrics) deleteLoad(partition int) {
	m.organisations.forget(partition)
	label := prometheus.Labels{
		"partition": strconv.Itoa(partition),
	}
	for _, gauge := range []*prometheus.GaugeVec{
		m.adviceInFlight, m.adviceLimit, m.adviceDenied, m.adviceDeniedSeconds, m.lastingWaiting, m.lastingWaitSeconds, m.plannedSeconds, m.jobsReadAt, m.confirmedAt, m.grantedTasks, m.guestTasks,
		m.workers, m.milliCores, m.waitingSteps, m.stepWaitSeconds, m.pendingStops, m.pendingStopSeconds,
	} {
		gauge.DeletePartialMatch(label)
	}
}

// adviceKinds holds the label of each kind of call for advice. The key is true for
// quick calls, as in scheduler.AdviceLoad.
var adviceKinds = map[bool]string{
	true:  "quick",
	false: "long",
}
