package conductor

import (
	"context"

	"github.com/galenacove/galenacove/scheduler"
)

// State returns the state of a job, and whether the job exists for callers of the
// organisation. Before it reports that a job does not exist, it reads the jobs partition
// up to its end.
func (c *Conductor) State(ctx context.Context, id, organisation string) (scheduler.JobState, bool, error) {
	state, found, ready := c.jobState(id, organisation)
	if !ready {
		return "", false, ErrNotReady
	}
	if found {
		return state, true, nil
	}
	if err := c.catchUp(ctx); err != nil {
		return "", false, err
	}
	state, found, _ = c.jobState(id, organisation)
	return state, found, nil
}

func (c *Conductor) jobState(id, organisation string) (state scheduler.JobState, found, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return "", false, false
	}
	if !c.scheduler.Accessible(id, organisation) || c.scheduler.IsGuest(id) {
		return "", false, true
	}
	state, found = c.scheduler.State(id)
	return state, found, true
}

// Foreign reports whether the job exists only for callers of another organisation, as far as the
// jobs have been read.
func (c *Conductor) Foreign(id, organisation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return false
	}
	_, known := c.scheduler.State(id)
	return known && !c.scheduler.Accessible(id, organisation)
}

// QueueOf returns the name of the queue for which a job was accepted, or "" if the job is not known.
func (c *Conductor) QueueOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.QueueOf(id)
}

// catchUp waits until all jobs are read that were stored before the call. It
// returns an error if that takes longer than catchUpTimeout.
func (c *Conductor) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	c.mu.Lock()
	next := c.next
	c.mu.Unlock()
	page, err := c.readJobs(ctx, next, 0)
	if err != nil {
		return err
	}
	c.applyPage(next, page)
	for {
		c.mu.Lock()
		caughtUp := c.next >= page.End
		progressed := c.progressed
		c.mu.Unlock()
		if caughtUp {
			return nil
		}
		select {
		case <-progressed:
		case <-ctx.Done():
			return ErrNotReady
		}
	}
}

// WaitingJobs counts the jobs of a queue that have not begun.
func (c *Conductor) WaitingJobs(queue string) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return 0, ErrNotReady
	}
	return c.scheduler.WaitingJobs(queue), nil
}
