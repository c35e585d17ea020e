package discovery

import "time"

// addressChangeDeadline is the time from SIGHUP until a node counts as notified of the list at the new address.
// It is fixed by the contract with the operators.
const addressChangeDeadline = 4 * time.Second

// initialListDeadlines holds the deadlines of the initial lists at new addresses. When the deadline of a list
// passes, the node counts as notified of it, whether or not the list has arrived.
type initialListDeadlines struct {
	current  time.Time // deadline of the list at the current address; zero if the address has not changed
	previous time.Time // deadline of a list at a previous address that has not arrived either; zero if there is none
}

// nextAfter returns the deadline that the node has to meet next: the deadline at the previous address until it has
// passed, then the deadline at the current address.
func (d initialListDeadlines) nextAfter(now time.Time) time.Time {
	if now.Before(d.previous) {
		return d.previous
	}
	return d.current
}
