package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"calicohinge/internal/config"
)

// After SIGTERM the platform waits for the longest request deadline, but at most killDeadlineCap, and for
// killDeadlineExtra. Then it kills the node.
const (
	killDeadlineCap   = 3 * time.Second
	killDeadlineExtra = 700 * time.Millisecond
	// killDeadlineMargin is how long before that the grace period ends: a process may be paused for 150 ms, and
	// the last responses take some time to write.
	killDeadlineMargin = 250 * time.Millisecond
)

// The phases of a shutdown.
const (
	// quietPeriod is how long the platform still assigns clients to a node that is no longer ready. The node
	// drains early once no request has come for as long.
	quietPeriod = 500 * time.Millisecond
	// quietPollInterval is how often a node that shuts down checks for the quiet period.
	quietPollInterval = 10 * time.Millisecond
	// drainPeriod is the last part of the grace period, in which responses close their connections.
	drainPeriod = 300 * time.Millisecond
	// terminationPeriod is the last part of the drain period, in which no connection is
	// accepted any more and every request is completed at once.
	terminationPeriod = 50 * time.Millisecond
	// writePeriod is how long after the grace period the last responses may be written, for
	// instance to a client that does not read. The node exits before it is killed.
	writePeriod = killDeadlineMargin / 2
	// minWritePeriod is the least time for writing the last responses. It also holds for a process that was
	// paused and writes them after its grace period.
	minWritePeriod = 100 * time.Millisecond
)

// shutdownGracePeriod returns how long a graceful shutdown may take. Requests that are still active at its end
// are completed then, as failed if necessary: otherwise the platform would kill the node before they are.
func shutdownGracePeriod(cfg *config.Config) time.Duration {
	longest := time.Duration(0)
	for _, class := range cfg.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadlineCap) + killDeadlineExtra - killDeadlineMargin
}

// shutdown is a graceful shutdown of a service, from its beginning on.
type shutdown struct {
	*service
	gracePeriod  time.Duration
	startTime    time.Time
	startOnClock time.Duration
	deadline     time.Time // end of the grace period
	terminated   bool      // terminateRequests has terminated the requests
}

// shutdown completes the accepted requests and closes the connections, within the grace
// period. It returns an error if accepting connections failed.
func (s *service) shutdown(ctx context.Context) error {
	gracePeriod := shutdownGracePeriod(s.cfg)
	startTime, startOnClock := time.Now(), s.loop.clock.now()
	sd := &shutdown{
		service:      s,
		gracePeriod:  gracePeriod,
		startTime:    startTime,
		startOnClock: startOnClock,
		deadline:     startTime.Add(gracePeriod),
	}
	return sd.run(ctx)
}

// run carries out the steps of a shutdown in a fixed order. Each begins at its time, or later in a process that
// was paused; none is left out. run does not use http.Server.Shutdown, which drops requests that are being read.
func (s *shutdown) run(ctx context.Context) error {
	s.failReadiness()
	s.serveUntilQuiet()
	s.startDraining()
	s.drainUntilTermination(ctx)
	s.terminateRequests()
	err := s.stopAccepting(ctx)
	s.drainUntilTermination(ctx) // the connections that were in the listener's queue
	s.terminateRequests()
	s.drainUntilDeadline(ctx)
	s.closeConnections(ctx)
	s.logCompletion()
	return err
}

// failReadiness fails the health checks from now on, so that clients are assigned to other nodes.
func (s *shutdown) failReadiness() {
	slog.Info("shutting down", "grace_period", s.gracePeriod)
	s.handler.shuttingDown.Store(true)
}

// serveUntilQuiet goes on serving until no requests come any more, or until the drain period: clients may
// have no other node to go to.
func (s *shutdown) serveUntilQuiet() {
	limit := s.gracePeriod - drainPeriod
	for s.loop.clock.now()-s.startOnClock < limit && s.handler.withinQuietPeriod(s.startOnClock) {
		time.Sleep(quietPollInterval)
	}
}

// startDraining makes each response close its connection from now on.
func (s *shutdown) startDraining() {
	s.logStep("draining connections")
	s.handler.draining.Store(true)
}

// drainUntilTermination closes the clients' connections as they become idle until none is open, or until
// the termination period.
func (s *shutdown) drainUntilTermination(ctx context.Context) {
	limitCtx, cancel := context.WithDeadline(ctx, s.deadline.Add(-terminationPeriod))
	defer cancel()
	s.conns.Drain(limitCtx)
}

// terminateRequests completes all active requests, and rejects those that still arrive. It does nothing if no
// connection is open, or if an earlier call has done it.
func (s *shutdown) terminateRequests() {
	if s.terminated || s.conns.Open() == 0 {
		return
	}
	s.terminated = true
	s.logStep("terminating requests")
	s.loop.terminateAll()
}

// stopAccepting closes the listener once the connections in its queue are accepted. It returns an error if
// accepting ended for another reason.
func (s *shutdown) stopAccepting(ctx context.Context) error {
	limitCtx, cancel := s.withWritePeriod(ctx)
	defer cancel()
	s.listener.StopAccepting(limitCtx)
	if err := <-s.serveResult; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// drainUntilDeadline goes on draining until the end of the grace period, but for terminationPeriod at least:
// clients may have just connected and be sending a request.
func (s *shutdown) drainUntilDeadline(ctx context.Context) {
	limitCtx, cancel := context.WithTimeout(ctx, max(terminationPeriod, time.Until(s.deadline)))
	defer cancel()
	s.conns.Drain(limitCtx)
}

// closeConnections closes the connections without a request. It returns when each request that was read
// has its response, or at the end of the write period.
func (s *shutdown) closeConnections(ctx context.Context) {
	limitCtx, cancel := s.withWritePeriod(ctx)
	defer cancel()
	s.conns.Shutdown(limitCtx)
}

// withWritePeriod returns the context of one of the last steps. It leaves minWritePeriod at least, as a step
// that begins late must not be left out.
func (s *shutdown) withWritePeriod(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(minWritePeriod, time.Until(s.deadline.Add(writePeriod))))
}

// logStep logs that a step of the shutdown begins.
func (s *shutdown) logStep(step string) {
	stats := s.conns.Stats()
	slog.Info(step, "connections", stats.Open, "active", stats.Active)
}

// logCompletion logs the end of a shutdown and the results of all requests since the node's start.
func (s *shutdown) logCompletion() {
	stats := s.conns.Stats()
	slog.Info("shutdown complete", "took", time.Since(s.startTime).Round(time.Millisecond),
		"connections", stats.Open, "unanswered", stats.Active,
		"evicted", stats.Evicted, "incomplete", stats.Incomplete, "requests", &s.handler.stats)
}
