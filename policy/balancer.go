package policy

// The Balancer and the events that drive it.

import (
	"math/rand/v2"
	"time"
)

// maxAttemptsPerRequest caps Limits.MaxAttempts, as room for all attempts is allocated.
const maxAttemptsPerRequest = 16

// The tokens of the timers.
const (
	timerCheck uint64 = iota // the periodic check
	timerWatch               // the next call for the endpoint list
)

// Balancer makes the decisions of one node. Create it with New. Each concern keeps its own state, and the
// Balancer calls the concerns in order.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand

	endpoints endpointSet
	watch     watchSchedule
	requests  requestTable
	classes   []requestClass
	quotas    tenantQuotas
	arrivals  arrivalStats
	queue     admissionQueue
	shedder   loadShedder
	retry     retryPolicy

	subset     subset
	means      outcomeMeans
	latency    latencyEstimator
	limiter    concurrencyLimiter
	slowStart  slowStart
	candidates candidates // reused by selectServer

	refreshedAt  time.Duration
	needsRefresh bool // refresh is due even at refreshedAt
	checkTimer   checkTimer
}

// New returns a Balancer, or the *SettingError of Settings.Validate. The seed fixes all random choices.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, maxAttemptsPerRequest)
	random := rand.New(rand.NewPCG(seed, 0))
	balancer := &Balancer{
		settings: settings,
		host:     host,
		random:   random,

		endpoints: newEndpointSet(settings.Zone),
		watch:     newWatchSchedule(&settings, random),
		requests:  newRequestTable(settings.Limits.MaxAttempts),
		quotas:    newTenantQuotas(&settings),
		arrivals:  newArrivalStats(),
		retry:     retryPolicy{limits: settings.Limits, random: random},

		subset:    newSubset(&settings),
		means:     newOutcomeMeans(),
		limiter:   newConcurrencyLimiter(settings.Nodes),
		slowStart: newSlowStart(&settings, random),

		needsRefresh: true,
		checkTimer:   newCheckTimer(host),
	}
	for _, class := range settings.Classes {
		balancer.classes = append(balancer.classes, newRequestClass(class, &settings))
	}
	balancer.latency = newLatencyEstimator(&balancer.classes[0])
	balancer.shedder = loadShedder{
		retry:    &balancer.retry,
		arrivals: &balancer.arrivals,
		regime:   &balancer.subset.regime,
		means:    &balancer.means,
	}
	return balancer, nil
}

// Request handles the arrival of a client's request. A request of an unknown class is rejected, and one
// whose ID is known already is ignored.
func (b *Balancer) Request(now time.Duration, arrival Request) {
	if b.requests.byID[arrival.ID] != nil {
		return
	}
	if arrival.Class < 0 || arrival.Class >= len(b.classes) {
		b.host.Reject(arrival.ID, 0)
		return
	}
	class := &b.classes[arrival.Class]
	class.recordCostHint(arrival.CostHint)
	request := b.requests.add(arrival, class)
	request.setDeadlines(now, &b.settings)
	b.quotas.charge(now, request)
	b.arrivals.record(now, request)
	b.queue.add(request)
	b.dispatch(now)
	b.checkTimer.scheduleBy(min(now+checkInterval, request.deadline))
}

// StreamStarted reports that an attempt's response streams to the client. The request gets no further
// attempt, and its deadline no longer applies.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	request, attempt := b.requests.findAttempt(id, index)
	if request == nil {
		return
	}
	request.startStream()
	attempt.server.recordSuccess(now, attempt)
	b.cancelAttempts(request, attempt)
}

// ClientDisconnected reports that the client of a request has disconnected: it gets no final response.
func (b *Balancer) ClientDisconnected(_ time.Duration, id RequestID) {
	if request := b.requests.byID[id]; request != nil {
		b.complete(request)
	}
}

// Outcome reports the end of an attempt, which counts for its server first. Then it completes the request or
// leads to a retry.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome) {
	request, attempt := b.requests.findAttempt(outcome.ID, outcome.Attempt)
	if request == nil {
		return
	}
	request.endAttempt(attempt, outcome.Status)
	attempt.server.endAttempt(attempt)
	b.limiter.endAttempt(attempt)
	b.recordOutcome(now, request, attempt, outcome)
	switch {
	case outcome.RequestCompleted || outcome.Status == OK:
		b.complete(request)
	case request.completed: // before this outcome, which may be that of its last attempt
		b.requests.release(request)
	case request.inFlight == 0:
		b.scheduleRetry(now, request)
	}
	b.dispatch(now)
}

// UpdateEndpoints handles an update of the endpoint list. A cached list also starts the watch, with
// Settings.PollEndpoints.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, endpoints []Endpoint) {
	b.watch.reset()
	if kind == UpdateCached && b.settings.PollEndpoints {
		b.watch.start(now, b.host, len(endpoints))
	}
	lost := b.endpoints.update(kind, endpoints)
	b.limiter.markAllUnresponsive(lost)
	b.subset.invalidate()
	b.needsRefresh = true
	b.dispatch(now)
}

// WatchFailed reports that a call for the endpoint list failed or its watch broke. The known list stays in
// force. The node counts as notified of missed changes at the deadline, so the next response must come
// before it.
func (b *Balancer) WatchFailed(now, deadline time.Duration) {
	b.host.SetTimer(now+b.watch.nextBackoff(deadline-now), timerWatch)
}

// TerminateAll rejects or fails every active request, for a node that shuts down.
func (b *Balancer) TerminateAll(now time.Duration) {
	for len(b.requests.active) > 0 {
		b.rejectOrFail(b.requests.active[len(b.requests.active)-1])
	}
	b.dispatch(now) // drops the terminated requests from the queue
}

// Timer reports that a timer of Host.SetTimer is due. Outdated and unknown ones are ignored.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case timerCheck:
		if b.checkTimer.isDue(now) {
			b.checkTimer.clear()
			b.periodicCheck(now)
		}
	case timerWatch:
		b.host.WatchEndpoints()
	}
}
