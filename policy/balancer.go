package policy

// The Balancer, its events and its timers.

import (
	"math"
	"math/rand/v2"
	"time"

	"calicohinge/internal/tokenbucket"
)

const (
	checkInterval         = 10 * time.Millisecond // of the periodic check; the resolution of all deadlines
	maxAttemptsPerRequest = 16                    // caps Limits.MaxAttempts, as room for all is allocated
	maxTime               = time.Duration(math.MaxInt64)

	timerCheck, timerWatch = uint64(0), uint64(1) // tokens of the timers
)

// Balancer makes the decisions of one node. Create it with New.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand

	classes   []requestClass
	quotas    []tokenbucket.Bucket // by tenant, this node's part of each quota
	requests  requestTable
	queue     admissionQueue
	endpoints endpointSet
	subset    subset
	means     outcomeMeans
	slowStart slowStart
	limiter   concurrencyLimiter

	arrivals    arrivalStats
	latency     latencyEstimator
	candidates  []*server // reused by selectServer
	refreshedAt time.Duration
	outdated    bool          // refresh is due even at refreshedAt
	nextCheckAt time.Duration // of the periodic check; maxTime if none is scheduled
}

// New returns a Balancer, or the *SettingError of Settings.Validate. The seed fixes all random choices.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, maxAttemptsPerRequest)
	random := rand.New(rand.NewPCG(seed, 0))
	balancer := &Balancer{
		settings: settings, host: host, random: random,

		requests:  requestTable{byID: map[RequestID]*request{}, maxAttempts: settings.Limits.MaxAttempts},
		endpoints: endpointSet{byID: map[ServerID]*server{}, watchBackoff: initialWatchBackoff},
		subset:    newSubset(&settings),
		means:     outcomeMeans{successRate: 1, relativeLatency: 1},

		slowStart: newSlowStart(&settings, random),
		limiter:   newConcurrencyLimiter(settings.Nodes),
		arrivals:  newArrivalStats(),

		nextCheckAt: maxTime, outdated: true,
	}
	for _, class := range settings.Classes {
		balancer.classes = append(balancer.classes, newRequestClass(class, &settings))
	}
	for _, tenant := range settings.Tenants {
		balancer.quotas = append(balancer.quotas, tokenbucket.New(tenant.QuotaPerS/float64(settings.Nodes)))
	}
	balancer.latency.smoothed = balancer.classes[0].baseline.Value()
	return balancer, nil
}

// Request handles the arrival of a client's request. One of an unknown class is rejected.
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
	b.applyQuota(now, request)
	b.arrivals.record(now, request)
	b.queue.add(request)
	b.dispatch(now)
	b.scheduleCheckBy(min(now+checkInterval, request.deadline))
}

// StreamStarted reports that an attempt's response streams to the client: no attempt or deadline follows.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	request, attempt := b.requests.findAttempt(id, index)
	if request == nil {
		return
	}
	request.streaming = true
	attempt.server.recordSuccess(now, attempt)
	b.cancelAttempts(request, attempt)
}

// ClientDisconnected reports that the client of a request is gone: it gets no final answer.
func (b *Balancer) ClientDisconnected(_ time.Duration, id RequestID) {
	if r := b.requests.byID[id]; r != nil {
		b.complete(r)
	}
}

// Outcome reports the end of an attempt, which first counts for the server and then for the request.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome) {
	request, attempt := b.requests.findAttempt(outcome.ID, outcome.Attempt)
	if request == nil {
		return
	}
	b.attemptEnded(request, attempt)
	attempt.notExecuted = outcome.Status.NotExecuted()
	b.recordOutcome(now, request, attempt, outcome)
	if outcome.RequestCompleted || outcome.Status == OK {
		b.complete(request)
	} else if !request.completed && request.inFlight == 0 {
		b.scheduleRetry(now, request)
	}
	if request.completed {
		b.requests.release(request)
	}
	b.dispatch(now)
}

// TerminateAll rejects or fails every active request, for a node that shuts down.
func (b *Balancer) TerminateAll(now time.Duration) {
	for len(b.requests.active) > 0 {
		b.terminateUnserved(b.requests.active[len(b.requests.active)-1])
	}
	b.dispatch(now) // drops the terminated requests from the queue
}

// Timer reports that a timer of Host.SetTimer is due. Outdated and unknown ones are ignored.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case timerCheck:
		if now >= b.nextCheckAt {
			b.nextCheckAt = maxTime
			b.periodicCheck(now)
		}
	case timerWatch:
		b.host.WatchEndpoints()
	}
}

func (b *Balancer) scheduleCheckBy(at time.Duration) {
	if at < b.nextCheckAt {
		b.nextCheckAt = at
		b.host.SetTimer(at, timerCheck)
	}
}

// periodicCheck sheds load and checks every active request. The next one runs by the earliest deadline,
// since ResponseGrace may be shorter than checkInterval.
func (b *Balancer) periodicCheck(now time.Duration) {
	b.refresh(now)
	b.shedLoad(now)
	next := now + checkInterval
	// Backwards, since completing a request moves the last one, already checked, to its index.
	for i := len(b.requests.active) - 1; i >= 0; i-- {
		r := b.requests.active[i]
		b.checkRequest(now, r)
		if !r.completed && r.inFlight == 0 {
			next = min(next, r.deadline)
		}
	}
	b.dispatch(now)
	if len(b.requests.active) > 0 {
		b.scheduleCheckBy(next)
	}
}

func (b *Balancer) checkRequest(now time.Duration, request *request) {
	switch {
	case request.streaming:
	case request.inFlight > 0:
		b.detectUnresponsive(now, request)
	case now >= request.deadline:
		b.terminateUnserved(request)
	case request.retryAt > 0 && now >= request.retryAt:
		request.retryAt = 0
		b.queue.add(request)
	}
}

// refresh brings the subset, the scores and all other estimates up to date, once for each time.
func (b *Balancer) refresh(now time.Duration) {
	if !b.outdated && b.refreshedAt == now {
		return
	}
	elapsed := now - b.refreshedAt
	b.outdated, b.refreshedAt = false, now
	b.subset.renewIfDue(now, b.endpoints.ready, b.arrivals.rate.PerSecond(now))
	b.updateMeans(now)
	b.slowStart.updateWarmServerRate(now, elapsed, &b.subset, len(b.endpoints.ready))
	b.limiter.updateMeanInFlight(elapsed)
	b.updateScores(now)
}
