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

// After SIGTERM, the platform waits for the longest deadline of any class, but no longer than maxDeadlineWait, and then
// for killDelay. If the node still runs, the platform kills it.
const (
	maxDeadlineWait = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	// killMargin is the time between the end of the grace period and the kill. It allows for a pause of the
	// process of 150 ms and for writing the last responses.
	killMargin = 250 * time.Millisecond
)

// The durations of the shutdown phases.
const (
	// quietPeriod is how long the platform may still assign clients to a node after its health checks fail. Once the
	// node has accepted no request for that long, it starts draining without waiting for the drain period.
	quietPeriod = 500 * time.Millisecond
	// quietPollInterval is the interval at which the node checks whether the quiet period has passed.
	quietPollInterval = 10 * time.Millisecond
	// drainPeriod is the last part of the grace period, during which each response closes its connection.
	drainPeriod = 300 * time.Millisecond
	// terminationPeriod is the last part of the drain period, in which the node stops accepting connections and
	// completes every request at once.
	terminationPeriod = 50 * time.Millisecond
	// writePeriod is how long after the grace period the last responses may still be written. Writing takes that long
	// if a client does not read. The period is short enough for the node to exit before it is killed.
	writePeriod = killMargin / 2
	// minWritePeriod is the minimum time for writing the last responses, even if the process was paused and the
	// write period has passed.
	minWritePeriod = 100 * time.Millisecond
)

// shutdownGracePeriod returns the grace period of a shutdown, which ends killMargin before the platform kills the node.
// Requests that are still active near its end are rejected or failed, since the node would be killed before they
// complete.
func shutdownGracePeriod(cfg *config.Config) time.Duration {
	longest := time.Duration(0)
	for _, class := range cfg.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadlineWait) + killDelay - killMargin
}

// shutdown is a graceful shutdown in progress.
type shutdown struct {
	*service
	gracePeriod  time.Duration
	startTime    time.Time
	startOnClock time.Duration // startTime on the node's clock
	deadline     time.Time     // end of the grace period
	terminated   bool          // whether terminateRequests has terminated the requests
}

// shutdown shuts down gracefully: it completes the accepted requests and closes all connections within the grace
// period and the write period. It returns an error if the listener failed.
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

// run carries out the steps of a shutdown in a fixed order. If the process was paused, a step starts late but is never
// skipped. run does not use http.Server.Shutdown, which drops requests that are being read.
func (s *shutdown) run(ctx context.Context) error {
	s.failReadiness()
	s.serveUntilQuiet()
	s.startDraining()
	s.drainUntilTermination(ctx)
	s.terminateRequests()
	err := s.stopAccepting(ctx)
	s.drainUntilTermination(ctx) // drains the connections from the accept queue
	s.terminateRequests()
	s.drainUntilDeadline(ctx)
	s.closeConnections(ctx)
	s.logCompletion()
	return err
}

// failReadiness makes health checks fail from now on, so that the platform assigns clients to other nodes.
func (s *shutdown) failReadiness() {
	slog.Info("shutting down", "grace_period", s.gracePeriod)
	s.handler.shuttingDown.Store(true)
}

// serveUntilQuiet waits for a quiet period without new requests, or for the start of the drain period. Until then the
// node serves as usual, since clients may have no other node.
func (s *shutdown) serveUntilQuiet() {
	limit := s.gracePeriod - drainPeriod
	for s.loop.clock.now()-s.startOnClock < limit && s.handler.withinQuietPeriod(s.startOnClock) {
		time.Sleep(quietPollInterval)
	}
}

// startDraining makes each response from now on close its connection.
func (s *shutdown) startDraining() {
	s.logStep("draining connections")
	s.handler.draining.Store(true)
}

// drainUntilTermination closes client connections as they become idle. It returns when none is open, or when the
// termination period starts.
func (s *shutdown) drainUntilTermination(ctx context.Context) {
	limitCtx, cancel := context.WithDeadline(ctx, s.deadline.Add(-terminationPeriod))
	defer cancel()
	s.conns.Drain(limitCtx)
}

// terminateRequests completes all active requests and makes the node reject later requests. It has no effect if no
// connection is open, or if the requests were terminated before.
func (s *shutdown) terminateRequests() {
	if s.terminated || s.conns.Open() == 0 {
		return
	}
	s.terminated = true
	s.logStep("terminating requests")
	s.conns.LiftThrottle()
	s.loop.terminateAll()
}

// stopAccepting accepts the connections that are in the accept queue, and closes the listener. It returns an error if
// serving ended for another reason than the close.
func (s *shutdown) stopAccepting(ctx context.Context) error {
	limitCtx, cancel := s.withWritePeriod(ctx)
	defer cancel()
	s.listener.StopAccepting(limitCtx)
	if err := <-s.serveResult; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// drainUntilDeadline drains until no connection is open or the grace period ends. It allows at least terminationPeriod,
// since clients that have just connected may be sending a request.
func (s *shutdown) drainUntilDeadline(ctx context.Context) {
	limitCtx, cancel := context.WithTimeout(ctx, max(terminationPeriod, time.Until(s.deadline)))
	defer cancel()
	s.conns.Drain(limitCtx)
}

// closeConnections closes the connections on which no complete request has arrived. It returns when each request that
// was read has its response, or when the write period ends.
func (s *shutdown) closeConnections(ctx context.Context) {
	limitCtx, cancel := s.withWritePeriod(ctx)
	defer cancel()
	s.conns.Shutdown(limitCtx)
}

// withWritePeriod returns a context for one of the last steps. The context ends with the write period but lasts at
// least for minWritePeriod, so that a step that starts late is not skipped.
func (s *shutdown) withWritePeriod(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(minWritePeriod, time.Until(s.deadline.Add(writePeriod))))
}

// logStep logs the start of a shutdown step.
func (s *shutdown) logStep(step string) {
	stats := s.conns.Stats()
	slog.Info(step, "connections", stats.Open, "active", stats.Active)
}

// logCompletion logs the end of the shutdown, with the number of requests by result since the node's start.
func (s *shutdown) logCompletion() {
	stats := s.conns.Stats()
	slog.Info("shutdown complete", "took", time.Since(s.startTime).Round(time.Millisecond),
		"connections", stats.Open, "unanswered", stats.Active,
		"evicted", stats.Evicted, "incomplete", stats.Incomplete, "requests", &s.handler.stats)
}
