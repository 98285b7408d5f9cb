package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/timekeeper"
)

// Step is the result of one step of the sample.
type Step struct {
	name   string
	detail string
	took   time.Duration
	// err is nil if the step succeeded.
	err error
}

// Name returns a short description of the step.
func (s Step) Name() string { return s.name }

// Done reports whether the step succeeded.
func (s Step) Done() bool { return s.err == nil }

// Result returns "done" or "failed".
func (s Step) Result() string {
	if s.err != nil {
		return "failed"
	}
	return "done"
}

// Took returns how long the step took.
func (s Step) Took() time.Duration { return s.took }

// Detail returns what the step observed, or why it failed.
func (s Step) Detail() string {
	if s.err != nil {
		return s.err.Error()
	}
	return s.detail
}

// errSample is returned by a step that got an unexpected result.
var errSample = errors.New("rehearser: the sample went wrong")

const (
	sampleTeam         = "demo"
	sampleRequests     = 200
	samplePollInterval = 50 * time.Millisecond
	sampleTasks        = 3
)

// sample runs the steps against a started cell.
type sample struct {
	cell     *Cell
	clock    timekeeper.Clock
	operator *commander.Client
}

// Sample uses the started cell as operators and callers would: it sets a team
// and a service, sends requests through every entry, and runs a service, a batch
// job and a gang. It also runs a caller's job in a second, small cell whose entries
// keep all state in a store. A step that fails does not prevent the next ones, until
// the context ends.
func (c *Cell) Sample(ctx context.Context) []Step {
	s := &sample{
		cell:     c,
		clock:    timekeeper.System(),
		operator: commander.New("http://"+c.running[0].operators, Token),
	}
	steps := []Step{
		s.runStep(ctx, "entries are ready", s.awaitEntries),
		s.runStep(ctx, "team and service set", s.configure),
		s.runStep(ctx, "requests answered", s.sendRequests),
	}
	return append(steps, s.runJobs(ctx)...)
}

// runJobs runs one job of each policy and a caller's job, all concurrently.
func (s *sample) runJobs(ctx context.Context) []Step {
	jobs := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{
			name: "service runs, then stops",
			run:  s.runService,
		},
		{
			name: "batch job finishes",
			run: func(ctx context.Context) (string, error) {
				return s.runJob(ctx, "batch", "cpu 500m memory 256MiB")
			},
		},
		{
			name: "gang finishes",
			run: func(ctx context.Context) (string, error) {
				return s.runJob(ctx, "gang", "cpu 2 memory 1GiB")
			},
		},
		{
			name: "caller's job finishes",
			run:  s.runCallersJob,
		},
	}
	steps := make([]Step, len(jobs))
	var group errgroup.Group
	for i, job := range jobs {
		group.Go(func() error {
			steps[i] = s.runStep(ctx, job.name, job.run)
			return nil
		})
	}
	// The goroutines return no error; those of the jobs are in the steps.
	_ = group.Wait()
	return steps
}

// runStep runs one step and returns its result.
func (s *sample) runStep(ctx context.Context, name string, run func(context.Context) (string, error)) Step {
	started := s.clock.Now()
	detail, err := run(ctx)
	return Step{
		name:   name,
		detail: detail,
		took:   s.clock.Now().Sub(started),
		err:    err,
	}
}

// await polls until the check returns true. If the context ends before, it fails
// with errSample and the last error of the check.
func (s *sample) await(ctx context.Context, check func(context.Context) (bool, error)) error {
	for {
		done, err := check(ctx)
		if done {
			return nil
		}
		if sleepErr := timekeeper.Sleep(ctx, s.clock, samplePollInterval); sleepErr != nil {
			return errors.CombineErrors(err, errors.WithStack(fmt.Errorf("%w: %w", errSample, sleepErr)))
		}
	}
}

func (s *sample) awaitEntries(ctx context.Context) (string, error) {
	for _, entry := range s.cell.running {
		err := s.await(ctx, func(ctx context.Context) (bool, error) {
			status, _, err := doHTTP(ctx, http.MethodGet, "http://"+entry.operators+"/healthz", nil)
			return status == http.StatusOK, err
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d entries, %d workers, %d minions", s.cell.entryCount, s.cell.workerCount, s.cell.minionCount), nil
}

// doHTTP sends one idempotent request and reads the whole answer.
func doHTTP(ctx context.Context, method, address string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Galenacove-Team", sampleTeam)
	req.Header.Set("Galenacove-Idempotent", "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// runCommand sends a command, and fails unless it is accepted.
func (s *sample) runCommand(ctx context.Context, statement string) (commander.Result, error) {
	answer, err := s.operator.Do(ctx, statement)
	switch {
	case err != nil:
		return commander.Result{}, err
	case answer.Command == nil:
		return commander.Result{}, errors.Wrapf(errSample, "%s gave no outcome", statement)
	case answer.Command.Outcome != commander.Accepted:
		return *answer.Command, errors.Wrapf(errSample, "%s was %s: %s", statement, answer.Command.Outcome, answer.Command.Reason)
	default:
		return *answer.Command, nil
	}
}

func (s *sample) configure(ctx context.Context) (string, error) {
	if _, err := s.runCommand(ctx, "set team "+sampleTeam+" weight 1"); err != nil {
		return "", err
	}
	result, err := s.runCommand(ctx, "set service "+Service+" team "+sampleTeam)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("in force from offset %d", result.Offset), nil
}

// sendRequests waits until every entry answers, sends requests through the
// entries in turn, and checks that each answer belongs to its request.
func (s *sample) sendRequests(ctx context.Context) (string, error) {
	if err := s.await(ctx, s.probeEntries); err != nil {
		return "", err
	}
	for i := range sampleRequests {
		entry := s.cell.running[i%len(s.cell.running)]
		if err := s.sendRequest(ctx, entry, fmt.Sprintf("reading %d", i)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d of %d, each with its own bytes", sampleRequests, sampleRequests), nil
}

// probeEntries reports whether every entry answers a request correctly.
func (s *sample) probeEntries(ctx context.Context) (bool, error) {
	for _, entry := range s.cell.running {
		if err := s.sendRequest(ctx, entry, "probe"); err != nil {
			return false, err
		}
	}
	return true, nil
}

func (s *sample) sendRequest(ctx context.Context, entry Entry, body string) error {
	address := "http://" + entry.callers + "/services/" + Service + "/check"
	status, answer, err := doHTTP(ctx, http.MethodPost, address, []byte(body))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Wrapf(errSample, "%s answered %d: %s", entry.name, status, answer)
	}
	if !bytes.Equal(answer, emulator.Answer([]byte(body))) {
		return errors.Wrapf(errSample, "%s gave another answer: %s", entry.name, answer)
	}
	return nil
}

func (s *sample) submit(ctx context.Context, policy, size string) (string, error) {
	statement := fmt.Sprintf("submit %s \"sample-%s\" team %s tasks %d %s", policy, policy, sampleTeam, sampleTasks, size)
	if policy != "service" {
		statement += " for 1s"
	}
	result, err := s.runCommand(ctx, statement)
	return result.Identity, err
}

// awaitJob waits until the job has the state and the number of running tasks.
func (s *sample) awaitJob(ctx context.Context, id, state, running string) error {
	return s.await(ctx, func(ctx context.Context) (bool, error) {
		answer, err := s.operator.Do(ctx, fmt.Sprintf("show jobs where id = %q and state = %s and running = %s", id, state, running))
		if err != nil || answer.Table == nil {
			return false, err
		}
		return len(answer.Table.Rows()) == 1, errors.Wrapf(errSample, "job %s is not yet %s", id, state)
	})
}

func (s *sample) runService(ctx context.Context) (string, error) {
	id, err := s.submit(ctx, "service", "cpu 1 memory 512MiB")
	if err != nil {
		return "", err
	}
	if err := s.awaitJob(ctx, id, "active", fmt.Sprint(sampleTasks)); err != nil {
		return "", err
	}
	if _, err := s.runCommand(ctx, fmt.Sprintf("stop job %q", id)); err != nil {
		return "", err
	}
	if err := s.awaitJob(ctx, id, "cancelled", "0"); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tasks ran", sampleTasks), nil
}

func (s *sample) runJob(ctx context.Context, policy, size string) (string, error) {
	id, err := s.submit(ctx, policy, size)
	if err != nil {
		return "", err
	}
	if err := s.awaitJob(ctx, id, "done", "0"); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tasks of %s", sampleTasks, strings.ReplaceAll(size, "memory ", "")), nil
}
