package policy

// The records of requests and their attempts.

import (
	"slices"
	"time"

	"calicohinge/internal/tokenbucket"
)

// attempt is one send of a request to a server. It keeps the server's place as of the send.
type attempt struct {
	server       *server
	request      *request
	zone, cell   int
	sentAt       time.Duration
	inFlight     bool
	neverRan     bool // known not to have been executed
	unloaded     bool // had the server to itself when it was sent
	unresponsive bool // not counted as in flight by the limiter any more
}

// request is a client's request with the state of its attempts.
type request struct {
	Request
	class             *requestClass
	deadline          time.Duration       // of the client's final answer
	objectiveDeadline time.Duration       // of a response of full weight
	queueingDeadline  time.Duration       // of the first attempt: half of the client's time
	weight            float64             // priority weight of a response in time
	quota             *tokenbucket.Bucket // of its tenant, from which it took a token; nil if it did not
	attempts          []attempt           // never reallocated, since servers point into it
	inFlight          int                 // attempts in flight
	retryAt           time.Duration       // end of its backoff; 0 if it is in none
	queued            bool                // in the admission queue
	streaming         bool                // the client gets the response of an attempt
	completed         bool                // not active any more
	activeIndex       int                 // in requestTable.active
}

// setDeadlines allows for a final answer that is handled a tick late, of which AnswerGrace covers a part.
func (r *request) setDeadlines(now time.Duration, settings *Settings) {
	timeout := min(r.Timeout, r.class.Deadline) - max(0, settings.Tick-settings.Rules.AnswerGrace)
	r.deadline = now + max(0, timeout)
	r.queueingDeadline = now + (r.deadline-now)/2 - checkInterval
	extension := time.Duration(r.class.ObjectivePerWork * float64(r.CostHint))
	r.objectiveDeadline = min(r.deadline, now+r.class.Objective+extension)
}

// requestTable holds the active requests, which have no final answer yet, and the completed ones whose
// attempts are still in flight. Records are reused.
type requestTable struct {
	byID        map[RequestID]*request
	active      []*request
	free        []*request
	maxAttempts int
}

func (t *requestTable) add(arrival Request, class *requestClass) *request {
	var r *request
	if n := len(t.free); n > 0 {
		r = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		r = &request{attempts: make([]attempt, 0, t.maxAttempts)}
	}
	*r = request{Request: arrival, class: class, attempts: r.attempts[:0], activeIndex: len(t.active)}
	r.weight = class.PriorityWeight
	t.byID[arrival.ID] = r
	t.active = append(t.active, r)
	return r
}

// findAttempt returns the attempt of an event, or nil if it is not in flight.
func (t *requestTable) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := t.byID[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// release marks a request as completed, and forgets it once no attempt is in flight.
func (t *requestTable) release(r *request) {
	if !r.completed {
		r.completed = true
		last := t.active[len(t.active)-1]
		t.active[r.activeIndex] = last
		last.activeIndex = r.activeIndex
		t.active = t.active[:len(t.active)-1]
	}
	if r.inFlight == 0 && t.byID[r.ID] == r {
		delete(t.byID, r.ID)
		if !r.queued { // the queue still refers to it otherwise
			t.free = append(t.free, r)
		}
	}
}

// send starts an attempt that attemptPermitted has admitted.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	a := b.addAttempt(now, r, s)
	if s.breaker.state == breakerHalfOpen {
		s.breaker.trial = a
	}
	b.slowStart.sentWork.Add(now, r.baselineLatency())
	s.budget.work -= r.baselineLatency() // has no effect on a warm server
	b.host.Send(r.ID, s.Server, 0)
}

func (b *Balancer) addAttempt(now time.Duration, r *request, s *server) *attempt {
	r.attempts = append(r.attempts, attempt{server: s, request: r, zone: s.Zone, cell: s.Cell, sentAt: now})
	a := &r.attempts[len(r.attempts)-1]
	a.inFlight, a.unloaded = true, b.isUnloaded(s)
	r.inFlight++
	b.limiter.inFlight++
	s.inFlight = append(s.inFlight, a)
	return a
}

func (b *Balancer) attemptEnded(r *request, a *attempt) {
	a.inFlight = false
	r.inFlight--
	if !a.unresponsive {
		b.limiter.inFlight--
	}
	// A server that has restarted since does not list the attempt.
	if i := slices.Index(a.server.inFlight, a); i >= 0 {
		a.server.inFlight = slices.Delete(a.server.inFlight, i, i+1)
	}
}

func (b *Balancer) complete(r *request) {
	if !r.completed {
		b.cancelAttempts(r, nil)
	}
	b.requests.release(r)
}

func (b *Balancer) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a != except && b.settings.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}
