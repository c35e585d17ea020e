package policy

// The Balancer and its event handlers.

import (
	"math/rand/v2"
	"time"
)

// maxAttemptsPerRequest is the upper bound of Limits.MaxAttempts. Each request allocates space for all the
// attempts that it may have.
const maxAttemptsPerRequest = 16

// Tokens of the timers that the Balancer sets.
const (
	timerCheck uint64 = iota // the periodic check
	timerWatch               // the next watch or poll of the endpoint list
	timerSync                // the end of syncTimeout
)

// Balancer makes the decisions of one node. Create it with New. Each component keeps its own state, and the
// Balancer coordinates them.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand

	endpoints endpointSet
	watch     watchSchedule
	sync      listSync
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
	candidates candidates // scratch space of selectServer, reused to avoid allocations

	refreshedAt  time.Duration // time of the last refresh
	needsRefresh bool          // another refresh is due even at the time refreshedAt
	checkTimer   checkTimer
}

// New returns a Balancer, or the *SettingError of Settings.Validate. The seed determines all random choices.
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
		sync:      newListSync(&settings, host),
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

// Request handles the arrival of a client's request. It rejects a request of an unknown class and ignores
// a request whose ID is already in use.
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

// StreamStarted handles the start of a response that is streamed to the client. The request gets no further
// attempts, its other attempts are cancelled if Limits.Cancel permits it, and its deadline no longer
// applies.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	request, attempt := b.requests.findAttempt(id, index)
	if request == nil {
		return
	}
	request.startStream()
	attempt.server.recordSuccess(now, attempt)
	b.cancelAttempts(request, attempt)
}

// ClientDisconnected completes a request whose client has disconnected. The request gets no final response.
func (b *Balancer) ClientDisconnected(_ time.Duration, id RequestID) {
	if request := b.requests.byID[id]; request != nil {
		b.complete(request)
	}
}

// Outcome handles the end of an attempt. It updates the measurements of the server, then completes the
// request or schedules a retry.
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
	case outcome.RequestCompleted || outcome.Status == StatusOK:
		b.complete(request)
	case request.completed: // completed before this outcome, which may end its last attempt in flight
		b.requests.release(request)
	case request.inFlight == 0:
		b.scheduleRetry(now, request)
	}
	b.dispatch(now)
}

// StartSync handles the start of a process. Until its endpoint list is in sync, the node is not ready and
// makes no attempts; see listSync. The host must report lists with EndpointsSynced and failed calls with
// WatchFailed. Without StartSync, the Balancer makes attempts as soon as it has endpoints.
func (b *Balancer) StartSync(now time.Duration) { b.sync.start(now) }

// EndpointsSynced handles a response of the service with which the endpoint list is that of the service.
// An update with its changes, if any, precedes it.
func (b *Balancer) EndpointsSynced(now time.Duration) {
	if b.sync.complete() {
		b.dispatch(now)
	}
}

// DiscoveryConnected handles a connection to the service, on which a call may still wait for its response.
func (b *Balancer) DiscoveryConnected(now time.Duration) { b.sync.recordConnection(now) }

// UpdateEndpoints handles an update of the endpoint list. With Settings.PollEndpoints, a cached list also
// starts the watch.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, endpoints []Endpoint) {
	b.watch.reset()
	if kind == UpdateCached {
		b.sync.recordCachedList(len(endpoints))
	}
	if kind == UpdateCached && b.settings.PollEndpoints {
		b.watch.start(now, b.host, len(endpoints))
	}
	lost := b.endpoints.update(kind, endpoints)
	b.limiter.markAllUnresponsive(lost)
	b.subset.invalidate()
	b.needsRefresh = true
	b.dispatch(now)
}

// WatchFailed handles the failure of a call for the endpoint list. The node keeps its list. With
// Settings.PollEndpoints, it makes the next call after a delay.
func (b *Balancer) WatchFailed(now time.Duration, failure WatchFailure) {
	if b.sync.recordFailure(failure) {
		b.dispatch(now)
	}
	if b.settings.PollEndpoints {
		b.host.SetTimer(now+b.watch.nextBackoff(now, failure), timerWatch)
	}
}

// TerminateAll rejects or fails every active request when the node shuts down.
func (b *Balancer) TerminateAll(now time.Duration) {
	for len(b.requests.active) > 0 {
		b.rejectOrFail(b.requests.active[len(b.requests.active)-1])
	}
	b.dispatch(now) // removes the completed requests from the queue
}

// Timer handles a timer of Host.SetTimer that is due. It ignores outdated timers and unknown tokens.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case timerCheck:
		if b.checkTimer.isDue(now) {
			b.checkTimer.clear()
			b.periodicCheck(now)
		}
	case timerWatch:
		b.host.WatchEndpoints()
	case timerSync:
		if b.sync.timeOut(now) {
			b.dispatch(now)
		}
	}
}
