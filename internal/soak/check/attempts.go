package check

import (
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

const (
	// pauseSlack is how long the process of a node may be paused between reading the clock and writing to a socket.
	pauseSlack = 150 * time.Millisecond
	// socketSlack is the tolerance that the operators' contract adds to each time limit on sockets.
	socketSlack = 50 * time.Millisecond
	// disconnectSlack is how long after the client has disconnected attempts may still arrive at servers.
	disconnectSlack = 100 * time.Millisecond
)

// checkAttempts checks the rules on attempts for each attempt that arrived at a server.
func (c *checker) checkAttempts() {
	for _, request := range c.History.Requests() {
		for i := range request.Attempts {
			c.checkDrain(request, &request.Attempts[i])
			c.checkDeadline(request, &request.Attempts[i])
			c.checkDisconnect(request, &request.Attempts[i])
			c.checkRetry(request, i)
		}
	}
}

// allowedPause returns how long the process of the node may have been paused before an attempt: pauseSlack, or the
// longest pause that the process reported around the time of the attempt, if that is longer. A busy machine causes
// such pauses.
func allowedPause(request *history.Request, attempt *history.Attempt) time.Duration {
	if request.Incarnation == nil {
		return pauseSlack
	}
	return max(pauseSlack, request.Incarnation.MaxPauseNear(attempt.At))
}

// checkDrain checks that no attempt arrives at a draining or removed server later than the drain grace after the node
// was notified of the server's state. It also allows for socketSlack, pauseSlack and the scheduling lag.
func (c *checker) checkDrain(request *history.Request, attempt *history.Attempt) {
	discovery := &c.History.Discovery
	generation := attempt.Server.DelistedGeneration.Load()
	if generation == 0 || attempt.At.Before(discovery.PublishedAt(generation)) {
		return
	}
	notified := discovery.NotifiedAt(request.Incarnation, generation)
	late := attempt.At.Sub(notified) - c.Settings.DrainGrace - socketSlack - pauseSlack
	if late > c.lag(attempt.At) {
		c.addViolation("drain", attempt.At, request,
			"attempt arrived at %s %v after the notification of generation %d (%v into the run), want at most %v (drain grace)",
			attempt.Server.ID, attempt.At.Sub(notified), generation, notified.Sub(c.History.StartTime()), c.Settings.DrainGrace)
	}
}

// checkDeadline checks that the timeout sent to the server is at most the time that was left until the client's
// deadline when the attempt arrived. It also allows for a pause of the node's process and the scheduling lag.
func (c *checker) checkDeadline(request *history.Request, attempt *history.Attempt) {
	left := request.SentAt.Add(request.Timeout).Sub(attempt.At)
	if excess := attempt.Timeout - left - allowedPause(request, attempt); excess > c.lag(attempt.At) {
		c.addViolation("deadline", attempt.At, request,
			"server received a timeout of %v, want at most %v (time left until the client's deadline)", attempt.Timeout, left)
	}
}

// checkDisconnect checks that no attempt arrives at a server more than disconnectSlack after the client of the request
// has disconnected. It also allows for the scheduling lag.
func (c *checker) checkDisconnect(request *history.Request, attempt *history.Attempt) {
	if request.DisconnectedAt.IsZero() {
		return
	}
	if late := attempt.At.Sub(request.DisconnectedAt) - disconnectSlack; late > c.lag(attempt.At) {
		c.addViolation("disconnect", attempt.At, request,
			"attempt arrived %v after the client had disconnected, want at most %v", late+disconnectSlack, disconnectSlack)
	}
}

// checkRetry checks that an attempt is allowed after the earlier attempts of its request. If a server may have executed
// an earlier attempt, another attempt is allowed only if a second execution has no further effect: at any time for
// EffectPure, within the key retention for EffectToken, never for EffectSideEffect.
func (c *checker) checkRetry(request *history.Request, index int) {
	attempt, class := &request.Attempts[index], &request.Class
	for _, earlier := range request.Attempts[:index] {
		if earlier.NotExecuted {
			continue
		}
		age := attempt.At.Sub(earlier.At)
		switch class.Effect {
		case scenario.EffectSideEffect:
			c.addViolation("duplicate", attempt.At, request,
				"attempt arrived %v after an earlier attempt that may have been executed, want no further attempt", age)
		case scenario.EffectToken:
			if age > class.KeyRetention+c.lag(attempt.At) {
				c.addViolation("duplicate", attempt.At, request,
					"attempt arrived %v after an earlier attempt that may have been executed, want at most %v (key retention)",
					age, class.KeyRetention)
			}
		case scenario.EffectPure: // another attempt is allowed at any time
		}
	}
}
