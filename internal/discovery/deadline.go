package discovery

import "time"

// addressChangeDeadline is the time after a change of the address within which a node counts as notified
// of the list at the new one. The operators' contract gives it, from SIGHUP on.
const addressChangeDeadline = 4 * time.Second

// initialListDeadlines are the times at which a node counts as notified of the lists at addresses that it
// has changed to, whether or not a list has arrived.
type initialListDeadlines struct {
	present  time.Time // of the list at the present address; zero if the address has not changed
	previous time.Time // of a list at a previous address that has not arrived either, else zero
}

// nextAt returns the deadline that is in force: the first one that has not passed, or the last one.
func (d initialListDeadlines) nextAt(now time.Time) time.Time {
	if now.Before(d.previous) {
		return d.previous
	}
	return d.present
}
