package policy

// When the node may use its endpoint list: after a start, and after an outage of the discovery service.

import "time"

const (
	// syncTimeout is the longest time that a node waits for a list. A restarted node has to be ready within
	// NotificationDeadline, of which readinessMargin is left for its start and a health check.
	syncTimeout     = NotificationDeadline - readinessMargin
	readinessMargin = 500 * time.Millisecond
	// minRefusals is the number of refused connections in a row after which the service counts as down. A
	// single one may be due to a fault of that connection.
	minRefusals = 3
)

// listSync decides when a node is ready, and when it may make attempts with the endpoint list that it has.
// Where lists are pushed, a node counts as notified of all changes while the service is up, from the first
// moment of its process. Until the service has returned a list, a cached list or a list from before an outage
// is then no ground for an attempt, however slow or overloaded the service is.
//
//	state                   event                                     next state, endpoints pushed
//	-----                   -----                                     ----------------------------
//	any                     a list from the service                   SyncDone
//	any, with a list        minRefusals refused connections in a      SyncUnreachable
//	                        row: nothing listens at the address,
//	                        so the service is down
//	SyncPending, with       syncTimeout has passed                    SyncTimedOut
//	a list
//	SyncUnreachable         a connection: the service is back         SyncPending, with a new syncTimeout
//	any                     error status, reset, timeout, malformed   unchanged: an overloaded service that
//	                        response                                  is up fails calls in the same ways
//
// Where endpoints are polled, the state changes from SyncPending to SyncNotRequired with a cached list, and
// to SyncDone with a list from the service. A cached list without endpoints does not count as a list. A node
// that has become ready stays ready; in SyncPending, its requests wait for the list.
type listSync struct {
	host        Host
	polled      bool
	state       SyncState
	hasList     bool          // whether there is a list of the service, or a cached list with endpoints
	timeoutAt   time.Duration // when syncTimeout ends
	hasTimedOut bool          // whether syncTimeout has passed
	refusals    int           // number of refused connections in a row
}

// newListSync returns a listSync that has not started. It permits attempts.
func newListSync(settings *Settings, host Host) listSync {
	return listSync{host: host, polled: settings.PollEndpoints, state: SyncNotRequired}
}

// start handles the start of the process.
func (s *listSync) start(now time.Duration) {
	s.state = SyncPending
	if !s.polled {
		s.startTimeout(now)
	}
}

// startTimeout starts syncTimeout.
func (s *listSync) startTimeout(now time.Duration) {
	s.timeoutAt, s.hasTimedOut = now+syncTimeout, false
	s.host.SetTimer(s.timeoutAt, timerSync)
}

// permitsAttempts reports whether the node may make attempts.
func (s *listSync) permitsAttempts() bool { return s.state != SyncPending }

// recordCachedList handles the cached list. Like the methods below, it reports whether it ended SyncPending.
func (s *listSync) recordCachedList(endpoints int) bool {
	s.hasList = endpoints > 0
	return s.update()
}

// recordFailure handles a failed call to the service.
func (s *listSync) recordFailure(failure WatchFailure) bool {
	if failure.Refused {
		s.refusals++
	} else {
		s.refusals = 0
	}
	return s.update()
}

// recordConnection handles a connection to the service: one that counted as down is up again.
func (s *listSync) recordConnection(now time.Duration) {
	s.refusals = 0
	if s.state == SyncUnreachable {
		s.enter(SyncPending)
		s.startTimeout(now)
	}
}

// timeOut handles a timer of syncTimeout, which may have been started again meanwhile.
func (s *listSync) timeOut(now time.Duration) bool {
	s.hasTimedOut = now >= s.timeoutAt
	return s.update()
}

// complete handles a list from the service.
func (s *listSync) complete() bool {
	s.hasList, s.refusals = true, 0
	return s.enter(SyncDone)
}

// update enters the state that the failed calls and the time since the start of syncTimeout lead to.
func (s *listSync) update() bool {
	switch {
	case s.polled && s.state == SyncPending && s.hasList:
		return s.enter(SyncNotRequired)
	case s.polled || !s.hasList:
		return false
	case s.refusals >= minRefusals:
		return s.enter(SyncUnreachable)
	case s.state == SyncPending && s.hasTimedOut:
		return s.enter(SyncTimedOut)
	}
	return false
}

// enter changes the state and reports the change.
func (s *listSync) enter(next SyncState) bool {
	if next == s.state {
		return false
	}
	wasPending := s.state == SyncPending
	s.state = next
	s.host.SetSyncState(next)
	return wasPending
}
