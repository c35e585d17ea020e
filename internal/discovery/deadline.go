package discovery

import "time"

// addressChangeDeadline is the time from SIGHUP until a node counts as notified of the list at the new address.
// It is fixed by the contract with the operators.
const addressChangeDeadline = 4 * time.Second

// initialListDeadlines holds the deadlines of the initial lists at new addresses. When the deadline of a list
// passes, the node counts as notified of it, whether or not the list has arrived.
type initialListDeadlines struct {
	current  time.Time // for the current address; zero if the address has not changed
	previous time.Time // for a previous address whose list has not arrived either, else zero
}

// nextAfter returns the deadline that the node has to meet next: that of the previous address until it has passed,
// then that of the current one.
func (d initialListDeadlines) nextAfter(now time.Time) time.Time {
	if now.Before(d.previous) {
		return d.previous
	}
	return d.current
}
