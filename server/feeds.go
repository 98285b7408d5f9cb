package server

import (
	"context"
	"strings"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// minFeedInterval is the shortest time between two feeds, which bounds their
	// cost when the log is busy.
	minFeedInterval = 50 * time.Millisecond
	// maxFeedInterval is how long a feed waits for a change, once minFeedInterval
	// has passed. A feed without changes tells the components that the log had
	// nothing new.
	maxFeedInterval = time.Second
)

// feedState passes the state that was replayed from the log to the components. It
// does so each time the state has changed, and without a change at least once
// every minFeedInterval plus maxFeedInterval.
func (s *Server) feedState(ctx context.Context) error {
	var fedOffset namer.Offset
	for {
		changed := s.state.Changed()
		// currentAsOf is taken before the state is read, so that the state includes
		// every record that was in the log at that time.
		currentAsOf := s.follower.CurrentAsOf()
		fedOffset = s.feedOnce(fedOffset)
		if !currentAsOf.IsZero() {
			s.dispatcher.SetLogContact(currentAsOf)
		}
		if err := s.awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}) error {
	if err := timekeeper.Sleep(ctx, s.settings.clock, minFeedInterval); err != nil {
		return err
	}
	timer := s.settings.clock.NewTimer(maxFeedInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// feedOnce passes the current state to the components; of the jobs, it passes only
// those that have changed since the offset. It returns the offset up to which the
// components are now informed.
func (s *Server) feedOnce(since namer.Offset) namer.Offset {
	reached := s.state.Offset()
	s.appender.SetBudget(appendBudget(len(s.memberNames())))
	teams := s.state.Teams()
	s.dispatcher.SetTeams(teams)
	s.router.SetTeams(queueWeights(teams))
	for _, setting := range s.state.ConfigUnder(replayer.ServicePrefix) {
		name := setting.Key()[len(replayer.ServicePrefix):]
		if service, found := s.state.Service(name); found {
			s.router.SetService(name, serviceTerms(service))
		}
	}
	s.feedDrains()
	// The jobs are read before the membership, so that every membership that was
	// accepted before one of them is passed on with it.
	jobs := s.localJobsChanged(since)
	if m, offset, found := s.state.Membership(s.dataCentre); found {
		s.dispatcher.SetMembership(m, offset)
		s.router.SetMembership(m)
	}
	s.dispatcher.SetJobs(jobs)
	return reached
}

const (
	// cellAppendRate is how many appends a second all members together may make.
	// maxAppendRate and minAppendRate bound the share of one member.
	cellAppendRate = 300
	maxAppendRate  = 10
	minAppendRate  = 1
)

// appendBudget returns how many appends a second one member may make, given the
// number of members, so that all of them together stay within the log's limit.
func appendBudget(members int) float64 {
	if members == 0 {
		return maxAppendRate
	}
	return min(maxAppendRate, max(minAppendRate, float64(cellAppendRate)/float64(members)))
}

// feedDrains informs the components of hosts that were drained or resumed since
// the last call.
func (s *Server) feedDrains() {
	drained := make(map[string]bool)
	for _, setting := range s.state.ConfigUnder(replayer.DrainPrefix) {
		drained[strings.TrimPrefix(setting.Key(), replayer.DrainPrefix)] = true
	}
	for host := range s.drained {
		if !drained[host] {
			s.setHostDrained(host, false)
		}
	}
	for host := range drained {
		if !s.drained[host] {
			s.setHostDrained(host, true)
		}
	}
	s.drained = drained
}

// setHostDrained informs the dispatcher (of a worker) or the router (of a minion)
// whether the host is drained. The host is given as kind/name.
func (s *Server) setHostDrained(host string, drained bool) {
	kind, name, _ := strings.Cut(host, "/")
	switch connector.HostKind(kind) {
	case connector.KindWorker:
		s.dispatcher.Drain(name, drained)
	case connector.KindMinion:
		s.router.Drain(name, drained)
	}
}

// localJobsChanged returns the jobs of this data centre that changed after the
// offset.
func (s *Server) localJobsChanged(since namer.Offset) []replayer.JobState {
	var local []replayer.JobState
	for _, job := range s.state.JobsChanged(since) {
		if job.Job().DataCentre == s.dataCentre {
			local = append(local, job)
		}
	}
	return local
}

func queueWeights(teams map[string]replayer.Team) map[string]float64 {
	weights := make(map[string]float64, len(teams))
	for name, team := range teams {
		weights[name] = team.Weight
		if team.Shares > 0 {
			weights[name] = team.Shares
		}
	}
	return weights
}

func serviceTerms(service replayer.Service) router.ServiceConfig {
	var opts []router.ServiceOption
	if service.QueueLimit > 0 {
		opts = append(opts, router.QueueLimit(service.QueueLimit))
	}
	if service.Deadline > 0 {
		opts = append(opts, router.DefaultTimeout(service.Deadline))
	}
	if service.AttemptTimeout > 0 {
		opts = append(opts, router.AttemptTimeout(service.AttemptTimeout))
	}
	return router.NewServiceConfig(opts...)
}

// feedHosts polls the platform's host list and passes it to the components.
// While the platform is unreachable the last list stays in use; a process that
// has none yet asks its peers for theirs.
func (s *Server) feedHosts(ctx context.Context) error {
	return timekeeper.Every(ctx, s.settings.clock, s.settings.hostPollInterval, func(ctx context.Context) {
		hosts, err := s.platform.List(ctx)
		if err != nil {
			s.settings.logger.WithError(err).Debug("server: cannot read the platform's host list")
			if s.hosts.Load() != nil {
				return
			}
			if hosts = s.hostsFromPeers(ctx); hosts == nil {
				return
			}
		}
		s.hosts.Store(&hosts)
		s.dispatcher.SetHosts(hosts)
		s.router.SetHosts(hosts)
	})
}

// hostsFromPeers returns the host list of the first peer that has one, or nil.
func (s *Server) hostsFromPeers(ctx context.Context) []connector.Host {
	for _, address := range s.peerAddresses() {
		var reply HostsReply
		if err := s.callPeer(ctx, address, "Query.Hosts", HostsArgs{}, &reply); err == nil && reply.Hosts != nil {
			s.settings.logger.WithField("peer", address).Info("server: using the host list of a peer")
			return reply.Hosts
		}
	}
	return nil
}

// callPeer calls a method of a peer with a timeout of its own, so that a peer
// that hangs does not hold up the calls to the others.
func (s *Server) callPeer(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return s.pool.Call(ctx, address, method, args, reply)
}
