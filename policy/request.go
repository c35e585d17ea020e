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
	notExecuted  bool // known not to have been executed
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

// setDeadlines allows for a final answer that is handled a tick late, of which ResponseGrace covers a part.
func (r *request) setDeadlines(now time.Duration, settings *Settings) {
	timeout := min(r.Timeout, r.class.Deadline) - max(0, settings.Tick-settings.Rules.ResponseGrace)
	r.deadline = now + max(0, timeout)
	r.queueingDeadline = now + (r.deadline-now)/2 - checkInterval
	extension := time.Duration(r.class.ObjectivePerWork * float64(r.CostHint))
	r.objectiveDeadline = min(r.deadline, now+r.class.Objective+extension)
}

// requestTable holds the active requests and the completed ones with attempts in flight. It reuses records.
type requestTable struct {
	byID        map[RequestID]*request
	active      []*request
	free        []*request
	maxAttempts int
}

func (t *requestTable) add(arrival Request, class *requestClass) *request {
	var record *request
	if n := len(t.free); n > 0 {
		record = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		record = &request{attempts: make([]attempt, 0, t.maxAttempts)}
	}
	*record = request{Request: arrival, class: class, attempts: record.attempts[:0]}
	record.weight, record.activeIndex = class.PriorityWeight, len(t.active)
	t.byID[arrival.ID] = record
	t.active = append(t.active, record)
	return record
}

// findAttempt returns the attempt of an event, or nil if it is not in flight.
func (t *requestTable) findAttempt(id RequestID, index int) (*request, *attempt) {
	request := t.byID[id]
	if request == nil || index < 0 || index >= len(request.attempts) || !request.attempts[index].inFlight {
		return nil, nil
	}
	return request, &request.attempts[index]
}

// release marks a request as completed, and forgets it once no attempt is in flight.
func (t *requestTable) release(request *request) {
	if !request.completed {
		request.completed = true
		last := t.active[len(t.active)-1]
		t.active[request.activeIndex] = last
		last.activeIndex = request.activeIndex
		t.active = t.active[:len(t.active)-1]
	}
	if request.inFlight == 0 && t.byID[request.ID] == request {
		delete(t.byID, request.ID)
		if !request.queued { // the queue still refers to it otherwise
			t.free = append(t.free, request)
		}
	}
}

// send starts an attempt that attemptPermitted has admitted.
func (b *Balancer) send(now time.Duration, request *request, server *server) {
	attempt := b.addAttempt(now, request, server)
	server.breaker.startAttempt(attempt)
	b.slowStart.recordSend(now, server, request.baselineLatency())
	b.host.Send(request.ID, server.Server, 0)
}

func (b *Balancer) addAttempt(now time.Duration, request *request, server *server) *attempt {
	request.attempts = append(request.attempts, attempt{server: server, request: request, sentAt: now})
	added := &request.attempts[len(request.attempts)-1]
	added.zone, added.cell = server.Zone, server.Cell
	added.inFlight, added.unloaded = true, b.limiter.serverUnloaded(server, &b.subset)
	request.inFlight++
	b.limiter.startAttempt()
	server.inFlight = append(server.inFlight, added)
	return added
}

func (b *Balancer) attemptEnded(request *request, attempt *attempt) {
	attempt.inFlight = false
	request.inFlight--
	b.limiter.endAttempt(attempt)
	// A server that has restarted since does not list the attempt.
	if i := slices.Index(attempt.server.inFlight, attempt); i >= 0 {
		attempt.server.inFlight = slices.Delete(attempt.server.inFlight, i, i+1)
	}
}

func (b *Balancer) complete(request *request) {
	if !request.completed {
		b.cancelAttempts(request, nil)
	}
	b.requests.release(request)
}

func (b *Balancer) cancelAttempts(request *request, except *attempt) {
	for i := range request.attempts {
		if a := &request.attempts[i]; a.inFlight && a != except && b.settings.Limits.Cancel {
			b.host.Cancel(request.ID, i)
		}
	}
}
