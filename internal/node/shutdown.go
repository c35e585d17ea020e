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

const (
	// A node is killed killDeadlineExtra after the longest request deadline from SIGTERM on,
	// of which killDeadlineCap counts at most. The grace period ends killDeadlineMargin before
	// that: a node may be held up for 150 ms, and the last responses take some time to write.
	killDeadlineCap    = 3 * time.Second
	killDeadlineExtra  = 700 * time.Millisecond
	killDeadlineMargin = 250 * time.Millisecond

	// quietPeriod is how long clients are still assigned to a node that is not ready any
	// more, and how long no request must have come for the node to drain early.
	quietPeriod = 500 * time.Millisecond
	// quietPollInterval is how often a node that shuts down checks for the quiet period.
	quietPollInterval = 10 * time.Millisecond
	// drainPeriod is the last part of the grace period, in which clients are sent away.
	drainPeriod = 300 * time.Millisecond
	// terminationPeriod is the last part of the drain period, in which no connection is
	// accepted any more and every request is answered at once.
	terminationPeriod = 50 * time.Millisecond
	// finishPeriod is how long after the grace period the last responses may be written, for
	// instance to a client that does not read. The node ends before it is killed.
	finishPeriod = killDeadlineMargin / 2
	// minFinishPeriod is the least time for writing the last responses, also if a node that
	// was held up comes to them after its grace period.
	minFinishPeriod = 100 * time.Millisecond
)

// shutdownGracePeriod returns how long a graceful shutdown may take. A request that is active
// for longer is completed at its end, as failed if necessary: the node would be killed under it.
func shutdownGracePeriod(cfg *config.Config) time.Duration {
	longest := time.Duration(0)
	for _, class := range cfg.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadlineCap) + killDeadlineExtra - killDeadlineMargin
}

// shutdown completes the accepted requests and closes the connections, within the grace
// period. Each of its steps begins at its time or, on a node that was held up, later, but
// none is left out and their order is always the same: requests are served; connections
// without one are closed; all requests are answered and no more connections are accepted;
// the rest is closed. It returns an error if accepting connections failed.
func (s *service) shutdown(ctx context.Context) error {
	gracePeriod := shutdownGracePeriod(s.cfg)
	began, beganOnClock := time.Now(), s.loop.clock.now()
	slog.Info("shutting down", "grace_period", gracePeriod)
	s.handler.shuttingDown.Store(true)
	s.serveUntilQuiet(beganOnClock, gracePeriod-drainPeriod)
	err := s.drain(ctx, began.Add(gracePeriod))
	s.finish(ctx, began.Add(gracePeriod))
	s.logEnd(began)
	return err
}

// serveUntilQuiet goes on serving until no requests come any more, for the given time at
// most: clients may have no other node to go to.
func (s *service) serveUntilQuiet(began, limit time.Duration) {
	for s.loop.clock.now()-began < limit && s.handler.activeSince(began) {
		time.Sleep(quietPollInterval)
	}
}

// drain closes the clients' connections as they become idle until none is open, or until
// the termination period before the given end. Then it has the active requests answered and
// closes the listener, whose last connections it drains as well. It does not use
// http.Server.Shutdown, which drops requests that are just being read.
func (s *service) drain(ctx context.Context, end time.Time) error {
	s.logStep("draining connections")
	s.handler.draining.Store(true)
	limit, cancel := context.WithDeadline(ctx, end.Add(-terminationPeriod))
	defer cancel()
	s.conns.Drain(limit)
	s.terminate()
	err := s.stopAccepting(ctx, end)
	s.conns.Drain(limit)
	s.terminate()
	return err
}

// terminate has all active requests answered, and those that still come rejected at once,
// unless no connection is open. It may be called again, which has an effect only if none was.
func (s *service) terminate() {
	if s.terminated || s.conns.Open() == 0 {
		return
	}
	s.terminated = true
	s.logStep("terminating requests")
	s.loop.terminateAll()
}

// stopAccepting closes the listener once the connections in its queue are accepted. It
// returns why accepting ended if that was not the reason.
func (s *service) stopAccepting(ctx context.Context, end time.Time) error {
	limit, cancel := finishContext(ctx, end)
	defer cancel()
	s.listener.StopAccepting(limit)
	if err := <-s.serveResult; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// finish closes the connections without a request at the given end, or later if their clients
// have just connected and may be sending one. It returns when each request that was read has
// its response.
func (s *service) finish(ctx context.Context, end time.Time) {
	limit, cancel := context.WithTimeout(ctx, max(terminationPeriod, time.Until(end)))
	defer cancel()
	s.conns.Drain(limit)

	finish, cancelFinish := finishContext(ctx, end)
	defer cancelFinish()
	s.conns.Shutdown(finish)
}

// finishContext returns the context of what must not be left out at the end of a shutdown,
// also if it is late.
func finishContext(ctx context.Context, end time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(minFinishPeriod, time.Until(end.Add(finishPeriod))))
}

// logStep logs that a step of the shutdown begins.
func (s *service) logStep(step string) {
	open := s.conns.Stats()
	slog.Info(step, "connections", open.Open, "active", open.Active)
}

// logEnd logs the end of a shutdown and what became of all requests.
func (s *service) logEnd(began time.Time) {
	remaining := s.conns.Stats()
	slog.Info("shutdown complete", "took", time.Since(began).Round(time.Millisecond),
		"connections", remaining.Open, "unanswered", remaining.Active,
		"evicted", remaining.Evicted, "incomplete", remaining.Incomplete, "requests", &s.handler.stats)
}
