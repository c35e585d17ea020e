package discovery

import "time"

// addressChangeDeadline is the time from SIGHUP until a node counts as notified of the list at the new
// address. The operators' contract sets it.
const addressChangeDeadline = 4 * time.Second

// initialListDeadlines are the deadlines of the initial lists at new addresses. At its deadline a node counts
// as notified of a list, whether or not the list has arrived.
type initialListDeadlines struct {
	current  time.Time // for the list at the present address; zero if the address has not changed
	previous time.Time // for the list at a previous address if that list has not arrived either, else zero
}

// nextAfter returns the deadline that the node has to meet next at a time: the previous one until it has passed,
// then the present one.
func (d initialListDeadlines) nextAfter(now time.Time) time.Time {
	if now.Before(d.previous) {
		return d.previous
	}
	return d.current
}
