package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"calicohinge/internal/decayrate"
	"calicohinge/internal/tokenbucket"
)

// checkInterval is the period of the check of all active requests: the resolution of their backoffs
// and deadlines.
const checkInterval = 10 * time.Millisecond

const (
	timerCheck, timerWatch = 0, 1 // of the timers
	maxTime                = time.Duration(math.MaxInt64)
)

// Balancer decides for one node. Create it with New.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand
	classes  []requestClass
	quotas   []tokenbucket.Bucket

	servers        map[ServerID]*server
	ready          []*server // listed as ready, in the order of the ring
	subset         []*server // those that this node uses
	nodesPerServer float64   // that share a server, on average

	subsetStale bool
	subsetSize  int // closed servers wanted in it
	subsetAt    time.Duration
	arrivals    decayrate.Meter // requests

	closed   int // servers of the subset, as of the last refresh
	awaiting int // half-open ones that await their trial
	choices  []*server

	requests     map[RequestID]*request
	active       []*request // those that are not done
	queue        []*request // those that wait for room, the most valuable first
	freeRequests []*request

	meanWeight    float64 // mean value for work of the requests that arrive
	weightSamples float64
	refreshed     time.Duration
	meanSuccess   float64
	meanLatency   float64         // multiple of a lone request's
	sent          decayrate.Meter // work sent
	warm          int             // warm servers whose breaker is closed, as of the last refresh
	warmPart      float64         // work a second that a server got from all nodes while most were warm
	out           int             // own attempts in flight, but for silent ones
	meanOut       float64         // the same, over a while
	meanAt        time.Duration
	limit         float64 // bound on them for each ready server; may be below one
	crowded       bool
	limitKnown    float64 // the highest lately without a crowd
	typical       float64 // mean latency of late, seconds
	adjustedAt    time.Duration
	crowding      float64 // mean latency over a lone request's at the same server, as a logarithm
	nextCheckAt   time.Duration
	watchDelay    time.Duration
}

// New returns a Balancer with the given settings, or the *SettingError of Settings.Validate.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings, host: host, random: rand.New(rand.NewPCG(seed, 0)),
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		meanSuccess: 1, meanLatency: 1, refreshed: -1, watchDelay: initialWatchBackoff, nextCheckAt: maxTime,
		limit: float64(min(3, settings.Nodes)), nodesPerServer: float64(settings.Nodes),
		arrivals: decayrate.New(rateTimeConstant), sent: decayrate.New(rateTimeConstant),
	}
	b.settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, 16) // whatever the settings allow
	for _, class := range settings.Classes {
		if class.Objective == 0 {
			class.Objective = class.Deadline
		}
		b.classes = append(b.classes, requestClass{
			Class:           class,
			baselineLatency: class.Objective.Seconds() / 4, baselineSamples: 1,
			workPerRequest: class.Objective.Seconds() / 4, workSamples: 1,
		})
	}
	for i := range b.classes {
		if settings.WeightByWork {
			b.classes[i].workPerRequest = 1
		}
	}
	b.typical = b.classes[0].baselineLatency
	for _, t := range settings.Tenants {
		b.quotas = append(b.quotas, tokenbucket.New(t.QuotaPerS/float64(settings.Nodes)))
	}
	return b, nil
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Reject(q.ID, 0)
		return
	}
	c := &b.classes[q.Class]
	r := b.addRequest(q, c)
	r.deadline = now + max(0, min(q.Timeout, c.Deadline)-max(0, b.settings.Tick-b.settings.Rules.AnswerGrace))
	r.queueingDeadline = now + (r.deadline-now)/2 - checkInterval
	extension := time.Duration(c.ObjectivePerWork * float64(q.CostHint))
	r.objectiveDeadline = min(r.deadline, now+c.Objective+extension)
	r.weight = c.PriorityWeight
	if q.Tenant >= 0 && q.Tenant < len(b.quotas) {
		r.quota = &b.quotas[q.Tenant]
		if !r.quota.Take(now) {
			r.quota, r.weight = nil, r.weight*b.settings.OverQuotaFraction
		}
	}
	b.weightSamples = min(b.weightSamples+1, maxWeightSamples)
	b.meanWeight += (r.weight/c.workPerRequest - b.meanWeight) / b.weightSamples
	b.arrivals.Add(now, 1)
	b.enqueue(r)
	b.dispatch(now)
	b.scheduleCheck(min(now+checkInterval, r.deadline))
}

// StreamStarted is told when the answer's stream began: the attempt is the client's now.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil {
		return
	}
	r.streaming = true
	a.server.recordSuccess(now, a)
	b.cancelAttempts(r, a)
}

// ClientDisconnected is told when a client went away: nothing is owed any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.complete(r)
	}
}

// Outcome takes the end of an attempt: first for the server's health, then for
// the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.attemptEnded(r, a)
	a.neverRan = o.Status.NeverRan()
	b.recordOutcome(now, r, a, o)
	if o.RequestEnded || o.Status == OK {
		b.complete(r)
	} else if !r.completed && r.inFlight == 0 {
		b.scheduleRetry(now, r)
	}
	if r.completed {
		b.release(r)
	}
	b.dispatch(now)
}

// TerminateAll ends every request that is open: the node is about to go.
func (b *Balancer) TerminateAll(now time.Duration) {
	for len(b.active) > 0 {
		b.terminateUnserved(b.active[len(b.active)-1])
	}
	b.dispatch(now) // drops what was held
}

// Timer takes a timer set before; one that nobody needs any more does no harm.
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

// sweepBy has the next sweep come at the given time at the latest.
func (b *Balancer) scheduleCheck(at time.Duration) {
	if at < b.nextCheckAt {
		b.nextCheckAt = at
		b.host.SetTimer(at, timerCheck)
	}
}

// sweep looks at every open request. The next one comes when a client's time is up at the
// latest: the answer may be due sooner after that than a period of sweeps.
func (b *Balancer) periodicCheck(now time.Duration) {
	b.refresh(now)
	b.shedLoad(now)
	next := now + checkInterval
	for i := len(b.active) - 1; i >= 0; i-- { // finish moves the last one here, which was seen
		r := b.active[i]
		switch {
		case r.streaming:
		case r.inFlight > 0:
			b.detectUnresponsive(now, r)
		case now >= r.deadline:
			b.terminateUnserved(r)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.enqueue(r)
		}
		if !r.completed && r.inFlight == 0 {
			next = min(next, r.deadline)
		}
	}
	b.dispatch(now)
	if len(b.active) > 0 {
		b.scheduleCheck(next)
	}
}

// refresh brings the scores up to date: 0.7 x success + 0.3 x (1 - latency /
// the highest). A server without outcomes stands at the mean of the others.
func (b *Balancer) refresh(now time.Duration) {
	if b.refreshed == now {
		return
	}
	b.refreshed = now
	b.renewSubset(now)
	b.updateMeans(now)
	if 4*b.warm >= 3*len(b.subset) && len(b.ready) > 0 { // else it stays as known before
		got := b.sent.PerSecond(now) * float64(b.settings.Nodes) / float64(len(b.ready))
		b.warmPart += (got - b.warmPart) * min(1, (now-b.meanAt).Seconds()/maxOutcomeAge.Seconds())
	}
	b.updateMeanInFlight(now)
	b.closed, b.awaiting = 0, 0
	highest := 0.0
	for _, s := range b.subset {
		s.estimate(b.meanSuccess, b.meanLatency)
		if s.breaker == breakerOpen && now >= s.halfOpenAt {
			s.breaker, s.trial = breakerHalfOpen, nil
		}
		switch {
		case s.breaker == breakerClosed:
			highest = max(highest, s.relativeLatency)
			b.closed++
		case s.breaker == breakerHalfOpen && s.trial == nil:
			b.awaiting++
		}
	}
	for _, s := range b.subset {
		s.score = successWeight*s.successRate +
			latencyWeight*(1-s.relativeLatency/max(highest, s.relativeLatency, 1e-9))
	}
}

// fullJitter draws a delay up to the given one, which keeps what began in step apart.
func (b *Balancer) fullJitter(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}

// jitter spreads a delay by a fifth either way, so that doubled delays still grow.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*b.random.Float64()))
}
