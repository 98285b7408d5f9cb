package conductor

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
)

// carryOut executes an effect of the scheduler and reports the outcome to it.
func (c *Conductor) carryOut(ctx context.Context, effect scheduler.Effect) error {
	switch effect := effect.(type) {
	case scheduler.StartTask:
		return c.start(ctx, effect)
	case scheduler.StopTask:
		return c.stop(ctx, effect)
	case scheduler.AskAdvice:
		c.advise(ctx, effect)
	case scheduler.PaceTask:
		return c.pace(ctx, effect)
	}
	return nil
}

// errOrderOutdated is logged for an order that was not sent in time, as after a pause of the
// process.
var errOrderOutdated = errors.New("conductor: the order was not sent in time, or the worker has started again since")

// errCallOutdated is logged for a call that the worker refused as its token was raised meanwhile.
var errCallOutdated = errors.New("conductor: the token of the worker was raised after the call was made")

// maySend reports whether a start may still be sent.
func (c *Conductor) maySend(order scheduler.StartTask) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.MaySend(order, c.readClock())
}

// tokenRaised reports whether calls to the worker carry a higher token by now, so that its refusal of this
// one does not mean that there is a later owner.
func (c *Conductor) tokenRaised(worker string, token int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.WorkerToken(worker) > token
}

func (c *Conductor) start(ctx context.Context, order scheduler.StartTask) error {
	began := c.clock.Now()
	var outcome scheduler.StartOutcome
	var err error
	uncertain := false
	var unanswered error
	for range startTries {
		if !c.maySend(order) {
			outcome, err = scheduler.StartRefused, errOrderOutdated
			break
		}
		// Sending the same order again is safe: the worker starts the run at most
		// once.
		outcome, err = c.workers.Start(ctx, order.Token, order)
		if outcome == scheduler.StartUnknown {
			uncertain = true
			unanswered = errors.CombineErrors(unanswered, err)
			continue
		}
		if outcome == scheduler.StartSuperseded && c.tokenRaised(order.Worker.ID, order.Token) {
			// The worker may have carried out an earlier one of these calls, also of an older incarnation.
			outcome, uncertain = scheduler.StartUnknown, true
		}
		break
	}
	if uncertain && !outcome.Done() && outcome != scheduler.StartWorkerGone {
		// An earlier order without an answer may still be carried out.
		outcome = scheduler.StartUnknown
	}
	now := c.clock.Now()
	c.metrics.starts.WithLabelValues(outcome.String()).Inc()
	fields := log.Fields{
		"id":      order.Run.Task.Step.Job,
		"task":    order.Run.Task.String(),
		"attempt": order.Run.Attempt,
		"worker":  order.Worker.ID,
		"token":   c.token,
		"outcome": outcome.String(),
		"tookMs":  now.Sub(began).Milliseconds(),
	}
	lasting := !order.WithoutRunSince.IsZero()
	if lasting {
		fields["withoutRunMs"] = now.Sub(order.WithoutRunSince).Milliseconds()
	}
	if outcome.Done() && c.startedRun.CompareAndSwap(false, true) {
		c.metrics.takeoverSeconds.Observe(now.Sub(c.assignedAt).Seconds())
		c.logger.WithFields(fields).WithFields(log.Fields{
			"partition":    c.partition,
			"sinceDealtMs": now.Sub(c.assignedAt).Milliseconds(),
		}).Info("conductor: first start of the ownership")
	}
	switch {
	case err != nil && !outcome.Done():
		if unanswered != nil {
			fields["unanswered"] = unanswered.Error()
		}
		c.mu.Lock()
		fields["confirmedAgoMs"] = now.Sub(c.scheduler.ConfirmedAt()).Milliseconds()
		c.mu.Unlock()
		c.logger.WithFields(fields).WithError(err).Warn("conductor: a start failed or its outcome is unknown")
	case lasting:
		c.logger.WithFields(fields).Info("conductor: start of a lasting run answered")
	default:
		c.logger.WithFields(fields).Debug("conductor: start answered")
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.mu.Lock()
	c.scheduler.StartAnswered(order.Worker.ID, order.Run, outcome, now)
	if uncertain {
		c.scheduler.StartUnanswered(order.Worker.ID, order.Run)
	}
	if keeper := c.leaseKeepers[order.Worker.ID]; keeper != nil {
		keeper.wakeUp()
	}
	c.mu.Unlock()
	c.requestTick()
	if outcome == scheduler.StartSuperseded {
		return ErrSuperseded
	}
	return nil
}

func (c *Conductor) stop(ctx context.Context, order scheduler.StopTask) error {
	err := c.workers.Stop(ctx, order.Token, order)
	if errors.Is(err, ErrSuperseded) && c.tokenRaised(order.Worker.ID, order.Token) {
		err = errCallOutdated
	}
	logEntry := c.logger.WithFields(log.Fields{
		"id":      order.Run.Task.Step.Job,
		"task":    order.Run.Task.String(),
		"attempt": order.Run.Attempt,
		"worker":  order.Worker.ID,
		"token":   c.token,
		"reason":  order.Reason,
		"stop":    order.Number,
	})
	c.metrics.addStop(order, err)
	if err != nil {
		logEntry.WithError(err).Warn("conductor: a stop failed or was not answered")
	} else {
		logEntry.Info("conductor: stopped a run")
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.mu.Lock()
	// Read here, so that a renewal that was sent before the scheduler knows of the answer counts as
	// earlier.
	now := c.clock.Now()
	if errors.Is(err, ErrWorkerGone) {
		c.scheduler.WorkerGone(order.Worker.ID, order.WorkerStartedAt, now)
	}
	c.scheduler.StopAnswered(order, err == nil, now)
	c.renewAtOnce(order.Worker.ID)
	c.mu.Unlock()
	c.requestTick()
	if errors.Is(err, ErrSuperseded) {
		return ErrSuperseded
	}
	return nil
}

func (c *Conductor) pace(ctx context.Context, order scheduler.PaceTask) error {
	c.mu.Lock()
	token := c.scheduler.WorkerToken(order.Worker.ID)
	c.mu.Unlock()
	err := c.workers.Pace(ctx, token, order)
	if errors.Is(err, ErrSuperseded) && !c.tokenRaised(order.Worker.ID, token) {
		return ErrSuperseded
	}
	if err != nil {
		c.logger.WithError(err).WithField("task", order.Run.Task.String()).Warn("conductor: setting the pace of a run failed")
	}
	return nil
}

func (c *Conductor) advise(ctx context.Context, order scheduler.AskAdvice) {
	began := c.clock.Now()
	approved, validity, err := c.adviser.Advise(ctx, order)
	now := c.clock.Now()
	c.metrics.adviceSeconds.Observe(now.Sub(began).Seconds())
	c.metrics.adviceCalls.WithLabelValues(order.Purpose.String()).Inc()
	logEntry := c.logger.WithFields(log.Fields{
		"id":       order.Step.Job,
		"step":     order.Step.String(),
		"asked":    len(order.Workers),
		"purpose":  order.Purpose.String(),
		"approved": len(approved),
		"costMs":   order.Cost.Milliseconds(),
		"tookMs":   now.Sub(began).Milliseconds(),
	})
	c.mu.Lock()
	if err != nil {
		logEntry.WithError(err).Warn("conductor: the call for advice failed")
		c.scheduler.AdviceFailed(order.Step, order.Workers, now)
	} else {
		logEntry.Debug("conductor: advice received")
		c.scheduler.AdviceAnswered(order.Step, order.Workers, approved, validity, now)
	}
	c.mu.Unlock()
	c.requestTick()
}

// leaseKeeper renews the lease of one worker.
type leaseKeeper struct {
	cancel context.CancelFunc
	// sentAt is the time at which the last renewal was sent, and interrupt ends it if it still
	// waits for its answer. interrupt is nil before the first renewal, and for one that acknowledges
	// ends.
	sentAt    time.Time
	interrupt context.CancelFunc
	// wake has an element if what an acknowledgement waits for may have changed.
	wake chan struct{}
}

// wakeUp has the keeper look again at what an acknowledgement waits for.
func (k *leaseKeeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// renewAtOnce renews the lease of a worker now if a report that is requested later than the one
// under way tells whether a run exists. The caller holds mu.
func (c *Conductor) renewAtOnce(id string) {
	keeper := c.leaseKeepers[id]
	if keeper == nil {
		return
	}
	keeper.wakeUp()
	if keeper.interrupt != nil && c.scheduler.AwaitsReport(id, keeper.sentAt) {
		keeper.interrupt()
	}
}

// updateLeaseKeepers starts the renewal of leases for new workers, and ends it for
// those that the scheduler no longer uses. The caller holds mu.
func (c *Conductor) updateLeaseKeepers(ctx context.Context, group *errgroup.Group) {
	wanted := make(map[string]bool)
	for _, ref := range c.scheduler.Workers() {
		wanted[ref.ID] = true
		if c.leaseKeepers[ref.ID] != nil {
			continue
		}
		renewCtx, cancel := context.WithCancel(ctx)
		keeper := &leaseKeeper{
			cancel: cancel,
			wake:   make(chan struct{}, 1),
		}
		c.leaseKeepers[ref.ID] = keeper
		group.Go(func() error {
			defer cancel()
			err := c.renewLease(renewCtx, ref.ID, keeper)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.leaseKeepers[ref.ID] == keeper {
				// The renewal ended because the scheduler dropped the worker. It
				// begins again if the scheduler uses the worker again.
				delete(c.leaseKeepers, ref.ID)
			}
			return err
		})
	}
	for id, keeper := range c.leaseKeepers {
		if !wanted[id] {
			keeper.cancel()
			delete(c.leaseKeepers, id)
		}
	}
}

// renewLease renews the lease of a worker and passes its reports to the scheduler,
// until the scheduler drops the worker.
func (c *Conductor) renewLease(ctx context.Context, id string, keeper *leaseKeeper) error {
	wait := time.Duration(0)
	failures := 0
	for ctx.Err() == nil {
		c.mu.Lock()
		sentAt := c.readClock()
		order, known := c.scheduler.LeaseRenewal(id, sentAt)
		if !known {
			c.mu.Unlock()
			break
		}
		// Starts wait for the answer to an acknowledgement.
		if order.Acknowledge > 0 || c.scheduler.AwaitsReport(id, keeper.sentAt) {
			wait = 0
		}
		callCtx, interrupt := context.WithCancel(ctx)
		keeper.sentAt, keeper.interrupt = sentAt, interrupt
		if order.Acknowledge > 0 {
			keeper.interrupt = nil
		}
		c.mu.Unlock()
		report, err := c.workers.RenewLease(callCtx, order.Token, order, wait)
		interrupted := errors.Is(err, ErrUnreachable) && callCtx.Err() != nil && ctx.Err() == nil
		interrupt()
		if interrupted || errors.Is(err, ErrSuperseded) && c.tokenRaised(id, order.Token) {
			continue
		}
		if err == nil || !order.Unseen {
			failures = 0
		} else {
			failures++
		}
		if wait = c.handleRenewal(ctx, keeper, order, report, err, sentAt, renewalPause(failures)); errors.Is(err, ErrSuperseded) {
			return ErrSuperseded
		}
	}
	// The scheduler no longer uses the worker, or ctx has ended.
	return nil
}

// maxUnseenPause is the longest pause before a call to a worker that has never answered is
// repeated. Another writer may have left it in the directory, and there may be hundreds of them.
const maxUnseenPause = 3200 * time.Millisecond

// renewalPause returns the pause after that number of consecutive failures with a worker that has
// never answered. For any other worker the number is 0.
func renewalPause(failures int) time.Duration {
	const maxDoublings = 8
	return min(renewalRetryPause<<min(max(0, failures-1), maxDoublings), maxUnseenPause)
}

// handleRenewal handles the outcome of a renewal. It waits for pause if the renewal failed, and until
// reported ends can be acknowledged. It returns how long the worker may wait for the end of a
// run at the next renewal.
func (c *Conductor) handleRenewal(ctx context.Context, keeper *leaseKeeper, order scheduler.LeaseRenewal, report scheduler.Report, err error, sentAt time.Time, pause time.Duration) time.Duration {
	if ctx.Err() != nil || errors.Is(err, ErrSuperseded) {
		return 0
	}
	if err != nil {
		c.recordRenewalFailure(order, err)
		c.pauseRenewal(ctx, pause)
		return 0
	}
	c.applyReport(order.Worker.ID, report, sentAt)
	c.awaitAcknowledgement(ctx, order.Worker.ID, keeper)
	return renewalWait
}

// applyReport passes the report of a worker to the scheduler.
func (c *Conductor) applyReport(id string, report scheduler.Report, sentAt time.Time) {
	c.mu.Lock()
	c.scheduler.Report(id, report, sentAt, c.readClock())
	unwritten, _ := c.scheduler.Unwritten()
	c.mu.Unlock()
	if unwritten {
		c.requestWrite()
	}
	c.requestTick()
}

const (
	// maxRenewalLines limits the log lines on the failed renewals of one worker in each
	// renewalLineInterval.
	maxRenewalLines     = 5
	renewalLineInterval = 10 * time.Second
)

// allowRenewalLine reports whether a line on a failed renewal of the worker may be logged, and how
// many were omitted since the last one. The caller holds mu.
func (c *Conductor) allowRenewalLine(id string, now time.Time) (omitted int, allowed bool) {
	lines := c.renewalLines[id]
	if lines == nil {
		// Workers come and go.
		maps.DeleteFunc(c.renewalLines, func(_ string, l *limitedLines) bool {
			return now.Sub(l.since) >= renewalLineInterval
		})
		lines = &limitedLines{}
		c.renewalLines[id] = lines
	}
	return lines.allow(maxRenewalLines, renewalLineInterval, now)
}

// recordRenewalFailure records that a worker gave no usable answer to a renewal,
// or that it has ended.
func (c *Conductor) recordRenewalFailure(order scheduler.LeaseRenewal, err error) {
	id := order.Worker.ID
	now := c.clock.Now()
	c.mu.Lock()
	omitted, allowed := c.allowRenewalLine(id, now)
	switch {
	case errors.Is(err, ErrWorkerGone):
		c.scheduler.WorkerGone(id, order.WorkerStartedAt, now)
	case errors.Is(err, ErrDisconnected):
		c.scheduler.RenewalBroken(id, now)
	case errors.Is(err, ErrNotListening):
		c.scheduler.RenewalRefused(id, now)
	default:
		c.scheduler.RenewalFailed(id, now)
	}
	c.mu.Unlock()
	gone := errors.Is(err, ErrWorkerGone)
	if !gone {
		c.metrics.silentRenewals.Inc()
	}
	if allowed {
		logEntry := c.logger.WithError(err).WithFields(log.Fields{
			"worker":      id,
			"omitted":     omitted,
			"acknowledge": order.Acknowledge,
		})
		if gone {
			logEntry.Info("conductor: worker has ended")
		} else {
			logEntry.Warn("conductor: worker does not answer")
		}
	}
	c.requestTick()
}

// pauseRenewal waits before a failed renewal is repeated.
func (c *Conductor) pauseRenewal(ctx context.Context, pause time.Duration) {
	timer := c.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// awaitAcknowledgement waits until the ends that a worker has reported can be acknowledged, but no longer
// than renewalRetryPause, so that the lease does not expire. While there are such ends, the worker answers
// renewals without waiting.
func (c *Conductor) awaitAcknowledgement(ctx context.Context, id string, keeper *leaseKeeper) {
	timer := c.clock.NewTimer(renewalRetryPause)
	defer timer.Stop()
	for {
		c.mu.Lock()
		state := c.scheduler.AckState(id)
		reportAwaited := c.scheduler.AwaitsReport(id, keeper.sentAt)
		progressed := c.progressed
		c.mu.Unlock()
		if state == scheduler.AckNone || state == scheduler.AckDue || reportAwaited {
			return
		}
		select {
		case <-progressed:
		case <-keeper.wake:
		case <-timer.C():
			return
		case <-ctx.Done():
			return
		}
	}
}
