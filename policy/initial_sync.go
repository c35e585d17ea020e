package policy

// The initial sync of a new process: from when on the node is ready and may use its cached endpoint list.

import "time"

const (
	// initialSyncTimeout is the longest time that a new process waits for a list. A restarted node has to be
	// ready within NotificationDeadline, of which readinessMargin is left for its start and a health check.
	initialSyncTimeout = NotificationDeadline - readinessMargin
	readinessMargin    = 500 * time.Millisecond
	// minRefusals is the number of refused connections in a row after which the service counts as down. A
	// single one may be due to a fault of that connection.
	minRefusals = 3
)

// initialSync decides from when on a new process may use the endpoint list that was cached before it started.
// Where lists are pushed, a node counts as notified of all changes from its first moment, unless the service
// is down. The cached list is then no ground for an attempt as long as the service may be up, however slow or
// overloaded it is.
//
//	event                                  endpoints polled    endpoints pushed
//	-----                                  ----------------    ----------------
//	cached list with endpoints             SyncNotRequired     unchanged
//	a list from the service                SyncDone            SyncDone
//	minRefusals refused connections        unchanged           SyncUnreachable: nothing listens at the
//	in a row                                                   address, so the service is down
//	a connection, in SyncUnreachable       unchanged           SyncPending, and initialSyncTimeout begins
//	                                                           again: the service is back with a list
//	error status, reset, timeout or        unchanged           unchanged: an overloaded service that is up
//	malformed response                                         fails calls in the same ways
//	initialSyncTimeout has passed          unchanged           SyncTimedOut
//
// Without endpoints in the cached list, only a list from the service ends SyncPending. The node stays ready
// when it returns to SyncPending: its requests wait for the list.
type initialSync struct {
	host        Host
	polled      bool
	state       SyncState
	ready       bool          // whether Host.Ready was called
	hasCached   bool          // whether the cached list has endpoints
	timeoutAt   time.Duration // when initialSyncTimeout ends
	hasTimedOut bool          // whether initialSyncTimeout has passed
	refusals    int           // number of refused connections in a row
}

// newInitialSync returns an initialSync that has not started. It permits attempts.
func newInitialSync(settings *Settings, host Host) initialSync {
	return initialSync{host: host, polled: settings.PollEndpoints, state: SyncNotRequired}
}

// start begins the initial sync.
func (s *initialSync) start(now time.Duration) {
	s.state = SyncPending
	if !s.polled {
		s.startTimeout(now)
	}
}

// startTimeout starts initialSyncTimeout.
func (s *initialSync) startTimeout(now time.Duration) {
	s.timeoutAt = now + initialSyncTimeout
	s.host.SetTimer(s.timeoutAt, timerInitialSync)
}

// permitsAttempts reports whether the node may make attempts.
func (s *initialSync) permitsAttempts() bool { return s.state != SyncPending }

// recordCachedList handles the cached list. Like the methods below, it reports whether it ended SyncPending.
func (s *initialSync) recordCachedList(endpoints int) bool {
	s.hasCached = endpoints > 0
	return s.update()
}

// recordFailure handles a failed call to the service.
func (s *initialSync) recordFailure(failure WatchFailure) bool {
	if failure.Refused {
		s.refusals++
	} else {
		s.refusals = 0
	}
	return s.update()
}

// recordConnection handles a connection to the service: one that counted as down is up again.
func (s *initialSync) recordConnection(now time.Duration) {
	s.refusals = 0
	if s.state == SyncUnreachable {
		s.enter(SyncPending)
		s.startTimeout(now)
	}
}

// timeOut handles a timer of initialSyncTimeout, which may have been started again meanwhile.
func (s *initialSync) timeOut(now time.Duration) bool {
	s.hasTimedOut = now >= s.timeoutAt
	return s.update()
}

// complete handles a list from the service.
func (s *initialSync) complete() bool { return s.enter(SyncDone) }

// update ends SyncPending as soon as the cached list may be used.
func (s *initialSync) update() bool {
	switch {
	case s.state != SyncPending || !s.hasCached:
		return false
	case s.polled:
		return s.enter(SyncNotRequired)
	case s.refusals >= minRefusals:
		return s.enter(SyncUnreachable)
	case s.hasTimedOut:
		return s.enter(SyncTimedOut)
	}
	return false
}

// enter changes the state. The first end of SyncPending makes the node ready.
func (s *initialSync) enter(next SyncState) bool {
	wasPending := s.state == SyncPending
	s.state = next
	if wasPending && !s.ready {
		s.ready = true
		s.host.Ready(next)
	}
	return wasPending
}
