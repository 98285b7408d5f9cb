package receiver

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// The errors with which implementations of Jobs mark their errors.
var (
	// ErrNotStored means that the call had no effect: a submitted job was not
	// stored and will not run.
	ErrNotStored = errors.New("receiver: the job was not stored")
	// ErrTooLarge means that the store cannot hold the job or its progress.
	ErrTooLarge = errors.New("receiver: the job is too large to be stored")
	// ErrUnknown means that the call may have taken effect: a submitted job
	// may have been stored.
	ErrUnknown = errors.New("receiver: outcome unknown, the job may have been stored")
	// ErrNoJob means that the job does not exist.
	ErrNoJob = errors.New("receiver: the job does not exist")
	// ErrOwnerUnreachable means that the member that owns the job cannot be
	// reached at present.
	ErrOwnerUnreachable = errors.New("receiver: the owner of the job cannot be reached")
)

const (
	// defaultBodyLimit is the maximum length of a request body in bytes if the
	// configuration sets none.
	defaultBodyLimit = 256 << 10
	// minRetryAfter is the shortest time after which a refused caller should
	// try again, about the duration of a takeover.
	minRetryAfter = time.Second
	// retryAfterJitter bounds the random addition to minRetryAfter, which keeps
	// callers that were refused at the same time from returning at the same
	// time.
	retryAfterJitter = 2 * time.Second
	// submitTimeout limits how long a caller waits until its job, or the
	// cancellation of a job, is stored. After it the outcome is unknown.
	submitTimeout = 2 * time.Second
	// queryTimeout limits how long a caller waits for the state of a job or the
	// number of waiting jobs.
	queryTimeout = 1200 * time.Millisecond
)

// Jobs stores jobs and knows their states.
type Jobs interface {
	// Submit stores a job. Its errors are marked with ErrNotStored, ErrTooLarge or
	// ErrUnknown, or are a *RefusedError.
	Submit(ctx context.Context, job scheduler.Job) error
	// Cancel stores that a job is cancelled. Its errors are marked with ErrNoJob,
	// ErrNotStored or ErrUnknown.
	Cancel(ctx context.Context, job JobRef) error
	// State returns the state of a job. Its errors are marked with ErrNoJob or
	// ErrOwnerUnreachable.
	State(ctx context.Context, job JobRef) (scheduler.JobState, error)
	// WaitingJobs returns the number of jobs in a queue that have not started.
	WaitingJobs(ctx context.Context, queue scheduler.Queue) (int, error)
}

// JobRef names a job as a caller does.
type JobRef struct {
	ID    string
	Queue scheduler.Queue
	// Organisation is the organisation on whose behalf the caller asks, empty on a
	// public route or if there are no organisations. A job of another organisation does
	// not exist for the caller.
	Organisation string
}

// Bodies decodes request bodies and encodes response bodies.
type Bodies interface {
	// DecodeJob decodes a job, without its ID and queue. Its errors are marked
	// with scheduler.ErrBadJob.
	DecodeJob(data []byte) (scheduler.Job, error)
	EncodeState(state scheduler.JobState) []byte
	EncodeWaiting(jobs int) ([]byte, error)
	// ValidID reports whether id is a well-formed job ID.
	ValidID(id string) bool
}

// Receiver serves callers over HTTP. It implements http.Handler.
type Receiver struct {
	jobs       Jobs
	bodies     Bodies
	clock      timekeeper.Clock
	logger     log.Interface
	routeTable atomic.Pointer[routeTable]
	evidence   KeyEvidence
	refusals   *refusalLog

	answers   *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

var _ http.Handler = (*Receiver)(nil)

// Option configures a Receiver.
type Option func(*Receiver)

// Clock sets the clock. The default is the host's clock.
func Clock(clock timekeeper.Clock) Option {
	return func(r *Receiver) {
		r.clock = clock
	}
}

// Logger sets the logger for answered and refused requests. By default nothing
// is logged.
func Logger(logger log.Interface) Option {
	return func(r *Receiver) {
		r.logger = logger
	}
}

// New returns a receiver without a configuration. It refuses all requests until
// SetConfig is called.
func New(jobs Jobs, bodies Bodies, opts ...Option) *Receiver {
	r := &Receiver{
		jobs:   jobs,
		bodies: bodies,
		clock:  timekeeper.System(),
		logger: &log.Logger{
			Handler: log.HandlerFunc(func(*log.Entry) error { return nil }),
			Level:   log.FatalLevel,
		},
		evidence: authenticator.NewEvidence(timekeeper.SystemBoot()),
		refusals: newRefusalLog(),
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
	r.refusals.clock = r.clock
	return r
}

// Collectors returns the metrics.
func (r *Receiver) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.answers, r.durations, r.refusals.counter}
}

// SetConfig replaces the configuration, unless the current one has the same or a
// later version, and reports whether the configuration was replaced.
func (r *Receiver) SetConfig(config Config) bool {
	next := newRouteTable(config)
	for {
		current := r.routeTable.Load()
		if current != nil && current.config.Version >= config.Version {
			return false
		}
		if r.routeTable.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Config returns the current configuration, and false if there is none yet.
func (r *Receiver) Config() (Config, bool) {
	current := r.routeTable.Load()
	if current == nil {
		return Config{}, false
	}
	return current.config, true
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
	if got.organisation != "" {
		entry = entry.WithField("organisation", got.organisation)
	}
	if got.err != nil {
		entry = entry.WithField("reason", got.err.Error())
	}
	switch {
	case got.keyRefused:
		// It has been logged by logKeyRefusal.
		if err := r.answerBeforeBody(w, request, got); err != nil {
			entry.WithError(err).Debug("receiver: caller disconnected before the end of a refused call")
		}
		return
	case got.status >= http.StatusBadRequest && got.status != http.StatusGone && got.status != http.StatusNotFound:
		entry.Warn("receiver: caller refused")
	case call == callSubmit || call == callCancel:
		entry.Info("receiver: caller answered")
	}
	if err := r.write(w, got); err != nil {
		entry.WithError(err).Warn("receiver: caller disconnected before the answer")
	}
}

// write writes an answer.
func (r *Receiver) write(w http.ResponseWriter, got answer) error {
	w.Header().Set("Content-Type", "application/json")
	if got.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(got.retryAfter/time.Second)))
	}
	if got.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(got.status)
	_, err := w.Write(got.body)
	return err
}

// The kinds of call, as they appear in logs and metrics.
const (
	callSubmit  = "submit"
	callState   = "state"
	callCancel  = "cancel"
	callWaiting = "waiting"
	callOther   = "other"
)

// answer is the response to a caller.
type answer struct {
	status int
	body   []byte
	// retryAfter is the time after which the caller should try again, 0 to
	// omit the Retry-After header.
	retryAfter time.Duration
	// err is the reason why the request was refused, for the log.
	err error
	// organisation is the organisation on whose behalf the call was made, for the log.
	organisation string
	// keyRefused is set if the call was refused for its key.
	keyRefused bool
}

func (r *Receiver) serve(w http.ResponseWriter, request *http.Request) (call, id string, got answer) {
	current, accepting := r.currentTable()
	if current == nil {
		return callOther, "", unavailable(errors.New("no configuration yet"))
	}
	route, found := current.match(request.Host, request.URL.Path)
	if !found {
		return callOther, "", answer{
			status: http.StatusNotFound,
		}
	}
	id = request.URL.Path[len(route.Prefix):]
	call = r.callOf(request.Method, id)
	organisation, refusal := r.organisationOf(current, accepting, route, request)
	if refusal != nil {
		r.logKeyRefusal(call, id, route, refusal)
		refusal.answer.keyRefused = true
		return call, id, refusal.answer
	}
	job := JobRef{
		ID:           id,
		Queue:        route.Queue,
		Organisation: organisation,
	}
	got = r.serveCall(w, request, current.config, call, job)
	got.organisation = organisation
	return call, id, got
}

func (r *Receiver) submit(ctx context.Context, w http.ResponseWriter, request *http.Request, config Config, ref JobRef) answer {
	limit := config.BodyLimit
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer{
			status: http.StatusRequestEntityTooLarge,
			err:    err,
		}
	case err != nil:
		return answer{
			status: http.StatusBadRequest,
			err:    err,
		}
	}
	job, err := r.bodies.DecodeJob(data)
	if err == nil {
		job.ID = ref.ID
		job.Queue = ref.Queue
		job.Organisation = ref.Organisation
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
	var refused *RefusedError
	switch {
	case err == nil:
		return answer{
			status: http.StatusOK,
		}
	case errors.As(err, &refused):
		return tooMany(refused)
	case errors.Is(err, ErrTooLarge):
		return answer{
			status: http.StatusRequestEntityTooLarge,
			err:    err,
		}
	case errors.Is(err, ErrNotStored):
		return unavailable(err)
	default:
		return answer{
			status: http.StatusGatewayTimeout,
			err:    err,
		}
	}
}

func (r *Receiver) state(ctx context.Context, job JobRef) answer {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	state, err := r.jobs.State(ctx, job)
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
		return unavailable(err)
	}
}

func (r *Receiver) cancel(ctx context.Context, job JobRef) answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	err := r.jobs.Cancel(ctx, job)
	switch {
	case err == nil:
		return answer{
			status: http.StatusOK,
		}
	case errors.Is(err, ErrNoJob):
		return answer{
			status: http.StatusGone,
		}
	case errors.Is(err, ErrNotStored):
		return unavailable(err)
	default:
		return answer{
			status: http.StatusGatewayTimeout,
			err:    err,
		}
	}
}

func (r *Receiver) waiting(ctx context.Context, queue scheduler.Queue) answer {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	jobs, err := r.jobs.WaitingJobs(ctx, queue)
	if err != nil {
		return unavailable(err)
	}
	body, err := r.bodies.EncodeWaiting(jobs)
	if err != nil {
		return unavailable(err)
	}
	return answer{
		status: http.StatusOK,
		body:   body,
	}
}

// unavailable returns an answer that asks the caller to try again later.
func unavailable(err error) answer {
	return answer{
		status:     http.StatusServiceUnavailable,
		retryAfter: minRetryAfter + rand.N(retryAfterJitter),
		err:        err,
	}
}
