package main

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const (
	// holdUpSlack is how long a node may be held up between reading its clock and writing.
	holdUpSlack = 150 * time.Millisecond
	// ruleSlack is what the operators' pages add to each time limit on sockets.
	ruleSlack = 50 * time.Millisecond
	// leaveSlack is how long after its client has left an attempt may begin.
	leaveSlack = 100 * time.Millisecond
)

// checkAttempts checks every attempt that arrived at a server.
func (run *soakRun) checkAttempts() {
	run.records.mu.Lock()
	requests := make([]*soakRequest, 0, len(run.records.requests))
	for _, request := range run.records.requests {
		requests = append(requests, request)
	}
	run.records.mu.Unlock()
	for _, request := range requests {
		for i := range request.attempts {
			run.checkDrain(request, &request.attempts[i])
			run.checkDeadline(request, &request.attempts[i])
			run.checkDisconnect(request, &request.attempts[i])
			run.checkRepeat(request, i)
		}
	}
}

// checkDrain checks that nothing was sent to a server that drains or is gone, after the grace.
func (run *soakRun) checkDrain(request *soakRequest, attempt *soakAttempt) {
	generation := attempt.server.leftGeneration.Load()
	if generation == 0 || attempt.at.Before(run.discovery.publishedAt(generation)) {
		return
	}
	notified := run.discovery.notifiedAt(request.incarnation, generation)
	late := attempt.at.Sub(notified) - run.settings.drainGrace - ruleSlack - holdUpSlack
	if late > run.lag.around(attempt.at) {
		run.violate("drain", attempt.at, request, "sent to %s %v after the notification of generation %d at %v, grace %v",
			attempt.server.endpoint.InstanceID, attempt.at.Sub(notified), generation,
			notified.Sub(run.records.began), run.settings.drainGrace)
	}
}

// checkDeadline checks that the server was told at most what its client had left.
func (run *soakRun) checkDeadline(request *soakRequest, attempt *soakAttempt) {
	left := request.sentAt.Add(request.timeout).Sub(attempt.at)
	if excess := attempt.timeout - left - holdUpSlack; excess > run.lag.around(attempt.at) {
		run.violate("deadline", attempt.at, request, "the server was told %v, the client had %v left", attempt.timeout, left)
	}
}

// checkDisconnect checks that the attempt did not begin after its client had left.
func (run *soakRun) checkDisconnect(request *soakRequest, attempt *soakAttempt) {
	if request.leftAt.IsZero() {
		return
	}
	if late := attempt.at.Sub(request.leftAt) - leaveSlack; late > run.lag.around(attempt.at) {
		run.violate("disconnect", attempt.at, request, "began %v after its client had left", late+leaveSlack)
	}
}

// checkRepeat checks an attempt of a request that may have run before.
func (run *soakRun) checkRepeat(request *soakRequest, index int) {
	attempt := &request.attempts[index]
	for _, earlier := range request.attempts[:index] {
		if earlier.notExecuted {
			continue
		}
		age := attempt.at.Sub(earlier.at)
		switch {
		case request.class.effect == effectSideEffect:
			run.violate("duplicate", attempt.at, request, "sent again %v after an attempt that may have run", age)
		case request.class.effect == effectToken && age > request.class.keyRetention+run.lag.around(attempt.at):
			run.violate("duplicate", attempt.at, request, "sent again %v after an attempt, keys are kept for %v",
				age, request.class.keyRetention)
		}
	}
}

// checkSlowStart checks that no server that was warming up got more than it bears from all nodes together.
func (run *soakRun) checkSlowStart() {
	const step = 100 * time.Millisecond
	s := &run.settings
	for _, server := range run.servers {
		if server.joinedAt.IsZero() {
			continue
		}
		for at := server.joinedAt; at.Before(server.joinedAt.Add(s.slowStart)) && at.Before(run.endedAt); at = at.Add(step) {
			end := at.Add(s.overloadWindow)
			age := min(1, end.Sub(server.joinedAt).Seconds()/s.slowStart.Seconds())
			share := s.slowStartShare + (1-s.slowStartShare)*age
			budget := s.overloadMultiple * share * run.warmServerRate(at, end) * s.overloadWindow.Seconds()
			if got := server.arrivalsBetween(at, end); float64(got) > withChance(budget) {
				run.records.mu.Lock()
				run.records.violations = append(run.records.violations, soakViolation{"slow start", at, nil, fmt.Sprintf(
					"%s got %d requests %v after its start, %.1f are allowed", server.endpoint.InstanceID, got,
					at.Sub(server.joinedAt), withChance(budget))})
				run.records.mu.Unlock()
				break
			}
		}
	}
}

// withChance adds to a budget of requests what the operators' terms allow for chance.
func withChance(budget float64) float64 {
	const few = 30
	if budget < few {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// warmServerRate returns the most requests a second that one of the first servers got in a second of the
// time that the nodes go by, while it was listed.
func (run *soakRun) warmServerRate(from, to time.Time) (most float64) {
	const memory = 3 * time.Second
	for _, server := range run.servers {
		if !server.joinedAt.IsZero() || server.hanging.Load() {
			continue
		}
		for at := from.Add(-memory); at.Before(to); at = at.Add(time.Second) {
			most = max(most, float64(server.arrivalsBetween(at, at.Add(time.Second))))
		}
	}
	return most
}

func (run *soakRun) violate(rule string, at time.Time, request *soakRequest, format string, arguments ...any) {
	text := fmt.Sprintf("request %s, class %s: ", request.id, request.class.name) + fmt.Sprintf(format, arguments...)
	run.records.mu.Lock()
	defer run.records.mu.Unlock()
	run.records.violations = append(run.records.violations, soakViolation{rule, at, request.incarnation, text})
}

// report fails the test for each violation, up to a few of each rule, with the run's timeline.
func (run *soakRun) report(t *testing.T) {
	t.Helper()
	const shown, logLines = 3, 40
	r := run.records
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("seed %d: %s; %d requests, %d answered, %d reset in the accept queue of an ending node, %d violations",
		run.seed, run.summary(), len(r.requests), r.answered, r.unread, len(r.violations))
	counts, logs := map[string]int{}, map[*soakIncarnation]bool{}
	for _, v := range r.violations {
		if counts[v.rule]++; counts[v.rule] > shown {
			continue
		}
		name := ""
		if v.incarnation != nil {
			name, logs[v.incarnation] = v.incarnation.name, true
		}
		t.Errorf("rule %s at %.3f, %s: %s (lag %v)", v.rule, v.at.Sub(r.began).Seconds(), name, v.text, run.lag.around(v.at))
	}
	for incarnation := range logs {
		t.Logf("log of %s, started at %.3f:\n%s", incarnation.name, incarnation.startedAt.Sub(r.began).Seconds(),
			incarnation.lastLines(logLines))
	}
	if len(r.violations) > 0 {
		t.Logf("violations by rule: %v; timeline:\n%s", counts, strings.Join(run.timeline, "\n"))
	}
	if r.answered < len(r.requests)/2 {
		t.Errorf("%d of %d requests were answered", r.answered, len(r.requests))
	}
}
