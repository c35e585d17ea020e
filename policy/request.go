package policy

import (
	"slices"
	"time"

	"calicohinge/internal/tokenbucket"
)

type attempt struct {
	server       *server
	request      *request
	zone, cell   int
	sentAt       time.Duration
	inFlight     bool
	neverRan     bool
	unloaded     bool // no other attempt of ours was out at the server
	unresponsive bool // counted as a failure for its silence
}

type request struct {
	Request
	class             *requestClass
	deadline          time.Duration       // the client gives up
	objectiveDeadline time.Duration       // an answer after this is worth nothing
	queueingDeadline  time.Duration       // half of the client's time is over
	weight            float64             // what an answer is worth now
	quota             *tokenbucket.Bucket // its tenant's, of which it holds a token; nil if it has none
	attempts          []attempt
	inFlight          int
	retryAt           time.Duration // waits for its backoff if not 0
	queued            bool
	streaming         bool
	completed         bool
	activeIndex       int // place in Balancer.open
}

// newRequest adds a request to the open ones.
func (b *Balancer) addRequest(q Request, c *requestClass) *request {
	if q.CostHint > 0 {
		c.costHintSamples = min(c.costHintSamples+1, 64)
		c.meanCostHint += (q.CostHint.Seconds() - c.meanCostHint) / c.costHintSamples
	}
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r = b.freeRequests[n-1]
		b.freeRequests = b.freeRequests[:n-1]
	} else {
		// The attempts are never grown: servers point into them.
		r = &request{attempts: make([]attempt, 0, b.settings.Limits.MaxAttempts)}
	}
	*r = request{Request: q, class: c, attempts: r.attempts[:0], activeIndex: len(b.active)}
	b.requests[q.ID] = r
	b.active = append(b.active, r)
	return r
}

// find gives the attempt that an event is about; nil if it is not out.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// begin puts a new attempt on the books.
func (b *Balancer) addAttempt(now time.Duration, r *request, s *server) *attempt {
	r.attempts = append(r.attempts, attempt{
		server: s, request: r, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true,
		unloaded: len(s.inFlight) == 0 && float64(b.out)*b.nodesPerServer <= 3*float64(len(b.subset)),
	})
	a := &r.attempts[len(r.attempts)-1]
	r.inFlight++
	b.out++
	s.inFlight = append(s.inFlight, a)
	return a
}

// send starts an attempt; pick has asked the gate.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	a := b.addAttempt(now, r, s)
	if s.breaker == breakerHalfOpen {
		s.trial = a
	}
	b.sent.Add(now, b.baselineLatency(r))
	s.slowStartBudget -= b.baselineLatency(r) // counts for a cold server only
	b.host.Send(r.ID, s.Server, 0)
}

// ended takes an attempt off the books.
func (b *Balancer) attemptEnded(r *request, a *attempt) {
	a.inFlight = false
	r.inFlight--
	if !a.unresponsive {
		b.out--
	}
	if i := slices.Index(a.server.inFlight, a); i >= 0 {
		a.server.inFlight = slices.Delete(a.server.inFlight, i, i+1)
	}
}

// cancel stops the attempts that are out but for one.
func (b *Balancer) cancelAttempts(r *request, kept *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a != kept && b.settings.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// finish ends a request; attempts that are still out are cancelled.
func (b *Balancer) complete(r *request) {
	if !r.completed {
		b.cancelAttempts(r, nil)
	}
	b.release(r)
}

// close takes a request off the books once it is done and its attempts are in.
func (b *Balancer) release(r *request) {
	if !r.completed {
		r.completed = true
		last := b.active[len(b.active)-1]
		b.active[r.activeIndex] = last
		last.activeIndex = r.activeIndex
		b.active = b.active[:len(b.active)-1]
	}
	if r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if !r.queued { // else dispatch drops it from the queue first
			b.freeRequests = append(b.freeRequests, r)
		}
	}
}

// lastUse is when an answer loses its last value.
func (r *request) retryDeadline() time.Duration {
	if r.class.LateFraction > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}
