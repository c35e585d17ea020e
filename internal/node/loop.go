package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/processstart"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

const (
	// clockOffset is what the loop's clock shows at its creation. It keeps the start of a
	// server that is older than this node positive: the balancer takes 0 and less for "long ago".
	clockOffset = time.Hour
	// eventQueueSize is how many events may wait before their senders block.
	eventQueueSize = 1024
)

var errClientDisconnected = errors.New("client disconnected")

// loop owns the balancer, its clock and its timers, and carries out its actions. All
// other goroutines send it events.
type loop struct {
	ctx         context.Context
	clockOrigin time.Time // when the clock would have shown 0
	starts      *processstart.Registry
	pool        *upstream.Pool
	watcher     watcher
	zones       map[string]int // indexes of the configured zones by name
	classes     []policy.Class
	maxAttempts int
	retryAfter  time.Duration // sent with rejections by a node that has terminated all requests
	events      chan event
	ready       atomic.Bool    // an endpoint list is known
	sends       sync.WaitGroup // attempts that are being carried out

	// Only the goroutine of run uses the fields below.
	balancer   *policy.Balancer
	requests   map[policy.RequestID]*request // active ones
	lastID     policy.RequestID
	terminated bool    // new requests are rejected
	deferred   []event // by host calls, which must not call the balancer back
}

// watcher starts a watch of the endpoint list.
type watcher interface{ RequestWatch() }

func newLoop(ctx context.Context, cfg *config.Config, pool *upstream.Pool, watcher watcher) (*loop, error) {
	l := &loop{
		ctx:         ctx,
		clockOrigin: time.Now().Add(-clockOffset),
		pool:        pool,
		watcher:     watcher,
		zones:       cfg.Zones,
		classes:     cfg.Policy.Classes,
		maxAttempts: cfg.Policy.Limits.MaxAttempts,
		retryAfter:  cfg.Policy.Limits.MaxRetryAfter,
		events:      make(chan event, eventQueueSize),
		requests:    map[policy.RequestID]*request{},
	}
	l.starts = processstart.NewRegistry(l.clockOrigin, cfg.Policy.Rules.SlowStartDuration)
	var err error
	l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l)
	return l, err
}

// clock returns the node's monotonic time.
func (l *loop) clock() time.Duration { return time.Since(l.clockOrigin) }

// run handles events until the context ends, and returns when no attempt is being carried
// out any more. An event's time is when it is taken from the queue, not when it was sent.
func (l *loop) run() {
	defer l.sends.Wait()
	for {
		select {
		case <-l.ctx.Done():
			return
		case next := <-l.events:
			next.handle(l, l.clock())
			l.handleDeferred()
		}
	}
}

// handleDeferred handles the events that host calls have deferred, in their order, and those
// that are deferred meanwhile.
func (l *loop) handleDeferred() {
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next.handle(l, l.clock())
	}
}

// deferEvent has an event handled right after the present one.
func (l *loop) deferEvent(e event) { l.deferred = append(l.deferred, e) }

// post sends the loop an event; it reports false if the loop has ended.
func (l *loop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// submit has the balancer decide on a request and waits for its final response. The error is
// errClientDisconnected, also when ctx ends. Once the loop has ended nothing can be decided:
// the request is rejected if it was never forwarded, and has failed otherwise.
func (l *loop) submit(ctx context.Context, req *request) (response, error) {
	req.completion = make(chan completion, 1)
	if !l.post(requestArrived{req}) {
		return response{status: http.StatusServiceUnavailable, retryAfter: l.retryAfter}, nil
	}
	select {
	case final := <-req.completion:
		return final.response, final.err
	case <-ctx.Done():
		l.post(clientDisconnected{req})
		return response{}, errClientDisconnected
	case <-l.ctx.Done():
		return l.lastResponse(req)
	}
}

// lastResponse returns the final response to a request that was active as the loop ended.
func (l *loop) lastResponse(req *request) (response, error) {
	select {
	case final := <-req.completion:
		return final.response, final.err
	default:
		return response{status: http.StatusBadGateway}, nil
	}
}

// terminateAll has every active request answered and later ones, which were never
// forwarded, rejected at once.
func (l *loop) terminateAll() { l.post(terminated{}) }

// start hands a new request to the balancer.
func (l *loop) start(now time.Duration, req *request) {
	req.id = l.nextID()
	if l.terminated {
		l.complete(req, completion{response: response{status: http.StatusServiceUnavailable, retryAfter: l.retryAfter}})
		return
	}
	l.requests[req.id] = req
	timeout := max(0, req.deadline-now)
	req.deadlineTimer = time.AfterFunc(timeout, func() { l.post(deadlineExpired{req}) })
	l.balancer.Request(now, policy.Request{
		ID: req.id, Class: req.class, Tenant: req.tenant, Timeout: timeout, CostHint: req.costHint,
	})
	l.release(req)
}

// nextID returns an ID that no active request has: IDs wrap around after 2^32 requests.
func (l *loop) nextID() policy.RequestID {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// disconnect ends a request whose client has disconnected: no final response is due any more.
func (l *loop) disconnect(now time.Duration, req *request) {
	if req.completed {
		return
	}
	l.complete(req, completion{err: errClientDisconnected})
	l.balancer.ClientDisconnected(now, req.id)
	l.release(req)
}

// expire ends the attempts that are in flight at the request's deadline. The balancer
// completes the request then.
func (l *loop) expire(now time.Duration, req *request) {
	for index := range req.attempts {
		l.reportOutcome(now, req, index, upstream.Result{Status: policy.Timeout})
	}
}

// reportOutcome reports the end of an attempt to the balancer, once; later ends are dropped.
func (l *loop) reportOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	ended := req.attempts[index]
	if ended.reported {
		return
	}
	ended.reported = true
	ended.notExecuted = result.Status.NotExecuted()
	req.inFlight--
	ended.call.Cancel()
	if ended.timer != nil {
		ended.timer.Stop()
	}
	if result.Status == policy.OK && !req.completed {
		l.complete(req, completion{response: response{status: http.StatusOK, header: result.Header, body: result.Body}})
	}
	l.balancer.Outcome(now, policy.Outcome{
		ID: req.id, Attempt: index, Server: ended.server, Status: result.Status,
		RequestCompleted: req.completed, Latency: now - ended.sentAt,
	})
	l.release(req)
}

// complete ends a request for its client. Attempts that still wait for a connection are
// revoked: nothing may be sent once the client has its final response.
func (l *loop) complete(req *request, final completion) {
	req.completed = true
	for _, a := range req.attempts {
		a.call.Revoke()
	}
	req.completion <- final
}

// release forgets a request that is completed and has no attempt in flight.
func (l *loop) release(req *request) {
	if req.completed && req.inFlight == 0 {
		req.deadlineTimer.Stop()
		delete(l.requests, req.id)
	}
}
