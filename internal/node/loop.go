package node

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

const (
	// clockStart keeps a server that started before this node on the positive
	// side of the clock: the module takes 0 and less for "long ago".
	clockStart = time.Hour
	// eventQueue is how many events may wait before their senders do.
	eventQueue = 1024
)

// loop owns the balancer, its clock and its timers, and carries out its
// actions. All else sends it events; only its goroutine touches the fields
// below events.
type loop struct {
	ctx      context.Context
	zero     time.Time // of the clock, less clockStart
	unixZero time.Time // wall time at the zero of the clock
	up       *upstream.Pool
	events   chan func(now time.Duration)

	balancer   *policy.Balancer
	watcher    watcher
	zones      map[string]int
	ready      atomic.Bool // a list of servers is known
	requests   map[policy.RequestID]*request
	lastID     policy.RequestID
	maxTries   int
	classes    []policy.Class
	stopped    bool                      // the node ends: what still comes is turned away
	retryAfter time.Duration             // told to those who are turned away by a node that ends
	after      []func(now time.Duration) // what host calls leave to be told to the balancer
}

// watcher starts a watch of the endpoint list.
type watcher interface{ RequestWatch() }

// answer is a request's final answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// request is a client's request that has an attempt out or no final answer yet.
type request struct {
	upstream.Request
	class, tenant int
	hint          time.Duration
	end           time.Duration // when the answer must be on its way
	gone          func() bool   // tells whether its client has left, as of now

	id       policy.RequestID
	answer   chan answer // takes one
	attempts []*attempt
	out      int  // attempts with no outcome yet
	ended    bool // has its final answer, or its client left
	deadline *time.Timer
}

// attempt is one send of a request.
type attempt struct {
	call     *upstream.Call
	server   policy.ServerID
	sent     time.Duration
	told     bool // the balancer has its outcome
	neverRan bool // as that says
	timer    *time.Timer
}

func newLoop(ctx context.Context, cfg *config.Config, up *upstream.Pool, w watcher) (*loop, error) {
	l := &loop{
		ctx: ctx, zero: time.Now().Add(-clockStart), up: up,
		events: make(chan func(time.Duration), eventQueue), watcher: w, zones: cfg.Zones,
		requests: map[policy.RequestID]*request{}, maxTries: cfg.Policy.Limits.MaxAttempts,
		retryAfter: cfg.Policy.Limits.MaxRetryAfter, classes: cfg.Policy.Classes,
	}
	l.unixZero = l.zero.Round(0)
	var err error
	l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l)
	return l, err
}

// clock gives the node's monotonic time.
func (l *loop) clock() time.Duration { return time.Since(l.zero) }

// run handles events until the context ends. An event's time is when it is taken.
func (l *loop) run() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case event := <-l.events:
			event(l.clock())
			for len(l.after) > 0 {
				next := l.after[0]
				l.after = l.after[1:]
				next(l.clock())
			}
		}
	}
}

// post sends the loop an event; false if the loop has ended.
func (l *loop) post(event func(now time.Duration)) bool {
	select {
	case l.events <- event:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// do has a request decided and waits for its final answer. It is false if the
// client left first, which ctx tells.
func (l *loop) do(ctx context.Context, r *request) (answer, bool) {
	r.answer = make(chan answer, 1)
	if !l.post(func(now time.Duration) { l.begin(now, r) }) {
		return answer{}, false
	}
	select {
	case a := <-r.answer:
		return a, a.status != 0
	case <-ctx.Done():
		l.post(func(now time.Duration) { l.left(now, r) })
	case <-l.ctx.Done():
	}
	return answer{}, false
}

func (l *loop) begin(now time.Duration, r *request) {
	l.lastID++
	for l.requests[l.lastID] != nil { // after 2^32 requests
		l.lastID++
	}
	r.id = l.lastID
	if l.stopped {
		l.finish(r, answer{status: http.StatusServiceUnavailable, retryAfter: l.retryAfter})
		return
	}
	l.requests[r.id] = r
	left := max(0, r.end-now)
	r.deadline = time.AfterFunc(left, func() { l.post(func(now time.Duration) { l.expire(now, r) }) })
	l.balancer.Request(now, policy.Request{ID: r.id, Class: r.class, Tenant: r.tenant, Timeout: left, CostHint: r.hint})
	l.release(r)
}

// left ends a request whose client went away: nothing is owed any more.
func (l *loop) left(now time.Duration, r *request) {
	if r.ended {
		return
	}
	l.finish(r, answer{}) // nobody reads it, but whoever waits for an answer learns of it
	l.balancer.ClientDisconnected(now, r.id)
	l.release(r)
}

// expire ends the attempts that are still out when the client's time is up. The
// balancer answers the request then.
func (l *loop) expire(now time.Duration, r *request) {
	for i := range r.attempts {
		l.outcome(now, r, i, upstream.Result{Status: policy.Timeout})
	}
}

// abandon has all that is still open answered: the node ends. What comes later was
// never sent on and is turned away at once.
func (l *loop) abandon() {
	l.post(func(now time.Duration) {
		l.stopped = true
		l.balancer.TerminateAll(now)
	})
}

// outcome tells the balancer the end of an attempt, once; what comes later is dropped.
func (l *loop) outcome(now time.Duration, r *request, index int, res upstream.Result) {
	a := r.attempts[index]
	if a.told {
		return
	}
	a.told = true
	a.neverRan = res.Status.NeverRan()
	r.out--
	a.call.Cancel()
	if a.timer != nil {
		a.timer.Stop()
	}
	if res.Status == policy.OK && !r.ended {
		l.finish(r, answer{status: http.StatusOK, header: res.Header, body: res.Body})
	}
	l.balancer.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: index, Server: a.server, Status: res.Status, RequestEnded: r.ended, Latency: now - a.sent,
	})
	l.release(r)
}

// end bars attempts that wait for a connection from being sent: nothing may go
// out once the request has its final answer.
func (l *loop) end(r *request) {
	r.ended = true
	for _, a := range r.attempts {
		a.call.Revoke()
	}
}

// finish gives the final answer.
func (l *loop) finish(r *request, a answer) {
	l.end(r)
	r.answer <- a
}

// release forgets a request that is over in every way.
func (l *loop) release(r *request) {
	if r.ended && r.out == 0 {
		r.deadline.Stop()
		delete(l.requests, r.id)
	}
}

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	now := l.clock()
	a := &attempt{server: server, sent: now, call: upstream.NewCall(l.ctx, r.gone)}
	index := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.out++
	if r.ended || index >= l.maxTries || now >= r.end {
		l.after = append(l.after, func(now time.Duration) { l.outcome(now, r, index, upstream.Result{Status: policy.NotSent}) })
		return
	}
	if timeout > 0 && now+timeout < r.end {
		a.timer = time.AfterFunc(timeout, func() {
			l.post(func(now time.Duration) { l.outcome(now, r, index, upstream.Result{Status: policy.Timeout}) })
		})
	}
	l.keepWindow(r, a, index)
	go func() {
		res := l.up.Send(a.call, server, &r.Request, r.end-now)
		l.post(func(now time.Duration) {
			if res.ClientDisconnected {
				l.left(now, r)
			}
			l.outcome(now, r, index, res)
		})
	}()
}

// keepWindow has no attempt of a keyed request written once its repeats are not dropped any
// more. They count from the first that may have run; but which of those that are out gets its
// connection first is open, so each keeps to the same end.
func (l *loop) keepWindow(r *request, a *attempt, index int) {
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if c := &l.classes[r.class]; c.Idempotency == policy.IdempotentWithKey && first < index {
		end := l.zero.Add(r.attempts[first].sent + c.KeyRetention)
		for _, a := range r.attempts[first:] {
			a.call.SetWriteDeadline(end)
		}
		a.timer = time.AfterFunc(time.Until(end), func() {
			l.post(func(now time.Duration) {
				if a.call.Revoke() {
					l.outcome(now, r, index, upstream.Result{Status: policy.NotSent})
				}
			})
		})
	}
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	l.after = append(l.after, func(now time.Duration) { l.outcome(now, r, index, upstream.Result{Status: policy.Cancelled}) })
}

// Reject implements policy.Host.
func (l *loop) Reject(id policy.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil && !r.ended {
		l.finish(r, answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
		l.after = append(l.after, func(time.Duration) { l.release(r) })
	}
}

// Fail implements policy.Host.
func (l *loop) Fail(id policy.RequestID) {
	if r := l.requests[id]; r != nil && !r.ended {
		l.finish(r, answer{status: http.StatusBadGateway})
		l.after = append(l.after, func(time.Duration) { l.release(r) })
	}
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-l.clock(), func() {
		l.post(func(now time.Duration) { l.balancer.Timer(now, token) })
	})
}

// WatchEndpoints implements policy.Host.
func (l *loop) WatchEndpoints() { l.watcher.RequestWatch() }

// UpdateEndpoints implements discovery.Handler: first the pool learns where servers are, then
// the module. Endpoints with no id, or no address where one is needed, are left out.
func (l *loop) UpdateEndpoints(kind policy.UpdateKind, list []endpoint.Endpoint) {
	var usable []endpoint.Endpoint
	var entries []policy.Endpoint
	for _, in := range list {
		state := in.State()
		if in.InstanceID == "" || (in.Address == "" && state == policy.Ready) {
			continue
		}
		zone, ok := l.zones[in.Zone]
		if !ok {
			zone = len(l.zones) // no zone of ours
		}
		usable = append(usable, in)
		entries = append(entries, policy.Endpoint{
			Server: in.ServerID(), Zone: zone, Cell: in.Cell, State: state,
			Weight: max(0, in.Weight), StartedAt: l.startedAt(in.StartedUnixMilli),
		})
	}
	l.post(func(now time.Duration) {
		barred := l.bar(l.up.UpdateEndpoints(kind != policy.UpdateDelta, usable))
		l.balancer.UpdateEndpoints(now, kind, entries)
		for _, b := range barred {
			l.outcome(now, b.request, b.index, upstream.Result{Status: policy.NotSent})
		}
	})
}

// EndpointsKnown implements discovery.Handler.
func (l *loop) EndpointsKnown() { l.ready.Store(true) }

// WatchFailed implements discovery.Handler.
func (l *loop) WatchFailed(notifiedAt time.Time) {
	l.post(func(now time.Duration) { l.balancer.WatchFailed(now, notifiedAt.Sub(l.zero)) })
}

// startedAt maps wall time onto the loop's clock, always by the same difference:
// a start that moved would look like a restart.
func (l *loop) startedAt(unixMs float64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(int64(unixMs)).Sub(l.unixZero))
}

// unsentAttempt is an attempt of which nothing was or will be written.
type unsentAttempt struct {
	request *request
	index   int
}

// bar revokes the attempts on servers that drain, are gone or are another process now,
// as far as no byte of theirs is out: one that opens a connection could take as long
// as that takes, and send after the time that a drain allows.
func (l *loop) bar(servers upstream.RevokedServers) (barred []unsentAttempt) {
	for _, r := range l.requests {
		for i, a := range r.attempts {
			if !a.told && servers.Contains(a.server) && a.call.Revoke() {
				barred = append(barred, unsentAttempt{r, i})
			}
		}
	}
	return barred
}
