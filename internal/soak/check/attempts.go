package check

import (
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

const (
	// pauseSlack is how long a node may be paused between reading its clock and writing.
	pauseSlack = 150 * time.Millisecond
	// socketSlack is what the operators' pages add to each time limit on sockets.
	socketSlack = 50 * time.Millisecond
	// disconnectSlack is how long after its client has disconnected an attempt may begin.
	disconnectSlack = 100 * time.Millisecond
)

// checkAttempts checks every attempt that arrived at a server.
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

// allowedPause returns how long the node may have been paused before an attempt: pauseSlack, or for longer if the
// node has reported that the busy machine paused it for longer.
func allowedPause(request *history.Request, attempt *history.Attempt) time.Duration {
	if request.Incarnation == nil {
		return pauseSlack
	}
	return max(pauseSlack, request.Incarnation.MaxPauseNear(attempt.At))
}

// checkDrain checks that an attempt was not sent to a draining or removed server after the drain grace.
func (c *checker) checkDrain(request *history.Request, attempt *history.Attempt) {
	discovery := &c.History.Discovery
	generation := attempt.Server.DelistedGeneration.Load()
	if generation == 0 || attempt.At.Before(discovery.PublishedAt(generation)) {
		return
	}
	notified := discovery.NotifiedAt(request.Incarnation, generation)
	late := attempt.At.Sub(notified) - c.Settings.DrainGrace - socketSlack - pauseSlack
	if late > c.lag(attempt.At) {
		c.addViolation("drain", attempt.At, request, "sent to %s %v after the notification of generation %d at %v, grace %v",
			attempt.Server.ID, attempt.At.Sub(notified), generation, notified.Sub(c.History.StartTime()), c.Settings.DrainGrace)
	}
}

// checkDeadline checks that the server was given at most the time that its client had left.
func (c *checker) checkDeadline(request *history.Request, attempt *history.Attempt) {
	left := request.SentAt.Add(request.Timeout).Sub(attempt.At)
	if excess := attempt.Timeout - left - allowedPause(request, attempt); excess > c.lag(attempt.At) {
		c.addViolation("deadline", attempt.At, request, "the server was given %v, the client had %v left", attempt.Timeout, left)
	}
}

// checkDisconnect checks that the attempt did not begin after its client had disconnected.
func (c *checker) checkDisconnect(request *history.Request, attempt *history.Attempt) {
	if request.DisconnectedAt.IsZero() {
		return
	}
	if late := attempt.At.Sub(request.DisconnectedAt) - disconnectSlack; late > c.lag(attempt.At) {
		c.addViolation("disconnect", attempt.At, request, "began %v after its client had disconnected", late+disconnectSlack)
	}
}

// checkRetry checks that an attempt may be sent although an earlier one may have been executed.
func (c *checker) checkRetry(request *history.Request, index int) {
	attempt, class := &request.Attempts[index], &request.Class
	for _, earlier := range request.Attempts[:index] {
		if earlier.NotExecuted {
			continue
		}
		age := attempt.At.Sub(earlier.At)
		switch class.Effect {
		case scenario.EffectSideEffect:
			c.addViolation("duplicate", attempt.At, request, "sent again %v after an attempt that may have been executed", age)
		case scenario.EffectToken:
			if age > class.KeyRetention+c.lag(attempt.At) {
				c.addViolation("duplicate", attempt.At, request, "sent again %v after an attempt, keys are retained for %v",
					age, class.KeyRetention)
			}
		case scenario.EffectPure: // may be sent again at any time
		}
	}
}
