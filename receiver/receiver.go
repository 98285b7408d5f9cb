package receiver

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// The errors of Jobs.
var (
	// ErrNotRun tells that the job was not taken and never runs.
	ErrNotRun = errors.New("receiver: the job was not taken")
	// ErrUnknown tells that the job may have been taken.
	ErrUnknown = errors.New("receiver: it is not known whether the job was taken")
	// ErrNoJob tells that there is no such job.
	ErrNoJob = errors.New("receiver: no such job")
	// ErrNoAnswer tells that whoever knows cannot be asked now.
	ErrNoAnswer = errors.New("receiver: the owner of the job cannot be asked")
)

const (
	// defaultBodyLimit holds where the configuration sets none.
	defaultBodyLimit = 256 << 10
	// comeBack is the shortest time after which a refused caller should try
	// again: about how long a takeover lasts.
	comeBack = time.Second
	// comeBackSpread spreads the callers that were refused together.
	comeBackSpread = 2 * time.Second
	// submitTimeout bounds how long a caller waits for its job to be stored.
	// Past it the outcome is unknown.
	submitTimeout = 2 * time.Second
	// askTimeout bounds how long a caller waits for a state.
	askTimeout = 1200 * time.Millisecond
)

// Jobs is where jobs are kept.
type Jobs interface {
	// Submit stores a job. Its error is marked with ErrNotRun or ErrUnknown.
	Submit(ctx context.Context, job scheduler.Job) error
	// Cancel stores that a job is cancelled.
	Cancel(ctx context.Context, queue scheduler.Queue, id string) error
	// State returns the state of a job. Its error is marked with ErrNoJob or
	// ErrNoAnswer.
	State(ctx context.Context, queue scheduler.Queue, id string) (scheduler.JobState, error)
	// Waiting counts the jobs of a queue that have not begun.
	Waiting(ctx context.Context, queue scheduler.Queue) (int, error)
}

// Bodies translates the bodies of callers.
type Bodies interface {
	// DecodeJob decodes a job, without its identity and queue. Its error is
	// marked with scheduler.ErrBadJob.
	DecodeJob(data []byte) (scheduler.Job, error)
	EncodeState(state scheduler.JobState) []byte
	EncodeWaiting(jobs int) ([]byte, error)
	// ValidID tells whether that can be the identity of a job.
	ValidID(id string) bool
}

// Receiver serves callers over HTTP. It implements http.Handler.
type Receiver struct {
	jobs   Jobs
	bodies Bodies
	clock  timekeeper.Clock
	logger log.Interface
	table  atomic.Pointer[table]

	answers   *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

var _ http.Handler = (*Receiver)(nil)

// Option changes how a Receiver works.
type Option func(*Receiver)

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(r *Receiver) {
		r.clock = clock
	}
}

// Logger sets where decisions are logged. The default is nowhere.
func Logger(logger log.Interface) Option {
	return func(r *Receiver) {
		r.logger = logger
	}
}

// New returns a receiver that has no configuration yet.
func New(jobs Jobs, bodies Bodies, opts ...Option) *Receiver {
	r := &Receiver{
		jobs:   jobs,
		bodies: bodies,
		clock:  timekeeper.System(),
		logger: &log.Logger{
			Handler: log.HandlerFunc(func(*log.Entry) error { return nil }),
			Level:   log.FatalLevel,
		},
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_receiver_answers_total",
			Help: "Answers to callers, by what they asked for and the status.",
		}, []string{"call", "status"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "galenacove_receiver_duration_seconds",
			Help:    "Time from reading a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"call"}),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Collectors returns the metrics.
func (r *Receiver) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.answers, r.durations}
}

// SetConfig puts a configuration into force, unless a later one is. It reports
// whether it did.
func (r *Receiver) SetConfig(config Config) bool {
	next := newTable(config)
	for {
		known := r.table.Load()
		if known != nil && known.config.Version >= config.Version {
			return false
		}
		if r.table.CompareAndSwap(known, next) {
			return true
		}
	}
}

// Config returns the configuration in force.
func (r *Receiver) Config() (Config, bool) {
	known := r.table.Load()
	if known == nil {
		return Config{}, false
	}
	return known.config, true
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	began := r.clock.Now()
	call, id, got := r.serve(w, request)
	r.answers.WithLabelValues(call, strconv.Itoa(got.status)).Inc()
	r.durations.WithLabelValues(call).Observe(r.clock.Now().Sub(began).Seconds())
	entry := r.logger.WithFields(log.Fields{
		"call":   call,
		"id":     id,
		"status": got.status,
		"tookMs": r.clock.Now().Sub(began).Milliseconds(),
	})
	if got.err != nil {
		entry = entry.WithField("reason", got.err.Error())
	}
	if got.status >= http.StatusBadRequest && got.status != http.StatusGone && got.status != http.StatusNotFound {
		entry.Warn("receiver: caller refused")
	} else if call == callSubmit || call == callCancel {
		entry.Info("receiver: caller answered")
	}
	w.Header().Set("Content-Type", "application/json")
	if got.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(got.retry/time.Second)))
	}
	w.WriteHeader(got.status)
	if _, err := w.Write(got.body); err != nil {
		entry.WithError(err).Warn("receiver: caller left before the answer")
	}
}

// The calls of a caller.
const (
	callSubmit  = "submit"
	callState   = "state"
	callCancel  = "cancel"
	callWaiting = "waiting"
	callOther   = "other"
)

// answer is what to tell a caller.
type answer struct {
	status int
	body   []byte
	// retry is when to come back, 0 where that is left to the caller.
	retry time.Duration
	// err is why the call was not served.
	err error
}

func (r *Receiver) serve(w http.ResponseWriter, request *http.Request) (call, id string, got answer) {
	known := r.table.Load()
	if known == nil {
		return callOther, "", refuse(errors.New("no configuration yet"))
	}
	route, found := known.find(request.Host, request.URL.Path)
	if !found {
		return callOther, "", answer{
			status: http.StatusNotFound,
		}
	}
	id = request.URL.Path[len(route.Prefix):]
	ctx := request.Context()
	switch {
	case request.Method == http.MethodGet && id == "":
		return callWaiting, id, r.waiting(ctx, route.Queue)
	case !r.bodies.ValidID(id):
		return callOther, id, answer{
			status: http.StatusBadRequest,
			err:    fmt.Errorf("%q is no identity of a job", id),
		}
	case request.Method == http.MethodPost:
		return callSubmit, id, r.submit(ctx, w, request, known.config, route.Queue, id)
	case request.Method == http.MethodGet:
		return callState, id, r.state(ctx, route.Queue, id)
	case request.Method == http.MethodDelete:
		return callCancel, id, r.cancel(ctx, route.Queue, id)
	default:
		return callOther, id, answer{
			status: http.StatusMethodNotAllowed,
		}
	}
}

func (r *Receiver) submit(ctx context.Context, w http.ResponseWriter, request *http.Request, config Config, queue scheduler.Queue, id string) answer {
	limit := config.BodyLimit
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	if err != nil {
		return answer{
			status: http.StatusBadRequest,
			err:    err,
		}
	}
	job, err := r.bodies.DecodeJob(data)
	if err == nil {
		job.ID = id
		job.Queue = queue
		job.Accepted = r.clock.Now()
		err = job.Validate()
	}
	if err != nil {
		return answer{
			status: http.StatusBadRequest,
			err:    err,
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	err = r.jobs.Submit(ctx, job)
	switch {
	case err == nil:
		return answer{
			status: http.StatusOK,
		}
	case errors.Is(err, ErrNotRun):
		return refuse(err)
	default:
		return answer{
			status: http.StatusGatewayTimeout,
			err:    err,
		}
	}
}

func (r *Receiver) state(ctx context.Context, queue scheduler.Queue, id string) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := r.jobs.State(ctx, queue, id)
	switch {
	case err == nil:
		return answer{
			status: http.StatusOK,
			body:   r.bodies.EncodeState(state),
		}
	case errors.Is(err, ErrNoJob):
		return answer{
			status: http.StatusGone,
		}
	default:
		return refuse(err)
	}
}

func (r *Receiver) cancel(ctx context.Context, queue scheduler.Queue, id string) answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	err := r.jobs.Cancel(ctx, queue, id)
	switch {
	case err == nil:
		return answer{
			status: http.StatusOK,
		}
	case errors.Is(err, ErrNoJob):
		return answer{
			status: http.StatusGone,
		}
	case errors.Is(err, ErrNotRun):
		return refuse(err)
	default:
		return answer{
			status: http.StatusGatewayTimeout,
			err:    err,
		}
	}
}

func (r *Receiver) waiting(ctx context.Context, queue scheduler.Queue) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	jobs, err := r.jobs.Waiting(ctx, queue)
	if err != nil {
		return refuse(err)
	}
	body, err := r.bodies.EncodeWaiting(jobs)
	if err != nil {
		return refuse(err)
	}
	return answer{
		status: http.StatusOK,
		body:   body,
	}
}

// refuse turns a caller away with a time to come back.
func refuse(err error) answer {
	return answer{
		status: http.StatusServiceUnavailable,
		retry:  comeBack + rand.N(comeBackSpread),
		err:    err,
	}
}
