package discovery

import (
	"time"

	"calicohinge/policy"
)

// addressChangeDeadline is the time from SIGHUP until a node counts as notified of the list at the new address.
// It is fixed by the contract with the operators.
const addressChangeDeadline = 4 * time.Second

// WatchFailure describes a failed call. The times correspond to those of policy.WatchFailure.
type WatchFailure struct {
	First          bool      // no other call to the address has failed since the last list
	NotifiedAt     time.Time // when the node counts as notified of the first change that it may have missed
	CallNotifiedAt time.Time // the same for the changes since the failed call started
	Kind           ErrorKind // why the call failed
}

// notificationDeadlines holds the times that determine when the node counts as notified of changes, whether or not a
// list has arrived. There is one deadline at a time for what may have been missed: only a list moves it, and neither
// failed calls nor a change of address do.
//
//	event                                         method          effect
//	-----                                         ------          ------
//	a call starts                                 startCall       begins the deadline, unless it has begun
//	a list from the current address is applied    listApplied     ends the deadline and that of the initial list
//	the address changes                           changeAddress   begins the deadline of the initial list
type notificationDeadlines struct {
	// missedSince is the start of the first call that has not been followed by a list from the current address: any
	// change since then may have been missed. It is zero if there is no such call.
	missedSince time.Time
	// initialList is the deadline of the initial list at the current address; zero if the list has arrived or the
	// address has not changed.
	initialList time.Time
	// previousInitialList is the deadline of a list at a previous address that has not arrived either; zero if there
	// is none.
	previousInitialList time.Time
}

// startCall records that a call starts.
func (d *notificationDeadlines) startCall(now time.Time) {
	if d.missedSince.IsZero() {
		d.missedSince = now
	}
}

// listApplied records that a list from the current address has been applied.
func (d *notificationDeadlines) listApplied() { *d = notificationDeadlines{} }

// changeAddress returns the deadlines after a change of address. The deadlines at the old address stay in force.
func (d *notificationDeadlines) changeAddress(now time.Time) notificationDeadlines {
	next := notificationDeadlines{missedSince: d.missedSince, initialList: now.Add(addressChangeDeadline)}
	if d.initialListPending(now) {
		next.previousInitialList = d.nextInitialList(now)
	}
	return next
}

// initialListPending reports whether the initial list at the current address has not arrived and its deadline has not
// passed.
func (d *notificationDeadlines) initialListPending(now time.Time) bool {
	return now.Before(d.initialList)
}

// nextInitialList returns the deadline of an initial list that the node has to meet next: that at the previous address
// until it has passed, then that at the current address.
func (d *notificationDeadlines) nextInitialList(now time.Time) time.Time {
	if now.Before(d.previousInitialList) {
		return d.previousInitialList
	}
	return d.initialList
}

// failure returns the deadlines after a call that has failed.
func (d *notificationDeadlines) failure(startedAt, now time.Time) WatchFailure {
	callDeadline := startedAt.Add(policy.NotificationDeadline)
	if listDeadline := d.nextInitialList(now); d.initialListPending(now) && listDeadline.Before(callDeadline) {
		callDeadline = listDeadline
	}
	deadline := callDeadline
	if missed := d.missedSince.Add(policy.NotificationDeadline); now.Before(missed) && missed.Before(deadline) {
		deadline = missed
	}
	return WatchFailure{NotifiedAt: deadline, CallNotifiedAt: callDeadline}
}
