package policy

// All decisions are made in this file. The interface they use, the settings, events and
// actions, is in api.go; the records and their upkeep in state.go.

import (
	"math"
	"slices"
	"time"
)

const (
	outcomesKept   = 100              // outcomes a server is judged by
	outcomesFor    = 10 * time.Second // and for how long: an avoided server is forgotten, then met again
	outcomesSparse = 4 * time.Second  // the same where many nodes move a server's load within seconds
	priorOutcomes  = 3.0              // weight of the fleet's mean beside a server's own outcomes
	successPart    = 0.7              // of the score
	latencyPart    = 0.3              // of the score
	nearTie        = 0.1              // scores this close go by own requests in flight
	failuresToOpen = 5                // consecutive failures that open a breaker,
	fewToOpen      = 2                // the same for no answer or no connection where many share a server
	failuresMost   = 12               // or up to so many for a server that often fails:
	byChance       = 1e-5             // a run as likely as this by its usual failures
	failuresFor    = 60 * time.Second // and the window that they must fall in
	openFirst      = 2 * time.Second  // an open breaker turns half-open after this,
	openMost       = 30 * time.Second // doubled with each failed trial up to this
	backoffShare   = 1.0 / 16         // first retry delay as a share of the class's objective; doubles
	backoffMost    = 30 * time.Second
	slowAfter      = 5.0             // times a lone latency: an answer counts towards opening
	silentAfter    = 4.0             // times the expected latency: an unanswered attempt counts as a failure
	crowdingGoal   = 0.3             // log of latency over a lone request's that the bound steers to
	limitUp        = 0.025           // growth of the bound in a typical latency, while requests wait for it
	startFaster    = 6.0             // times that until servers were crowded for the first time
	limitDown      = 0.1             // its shrinking in a typical latency for each unit of excess
	restLimit      = 0.5             // requests a server that a sparse node's bound may fall to: servers rest
	limitFor       = 60.0            // seconds over which a bound that was known to be good is forgotten
	fewPerServer   = 5.0             // nodes at a server up to which each one's own requests tell its load
	meanOutSpan    = 1.0             // seconds over which a sparse node's requests in flight are averaged
	shedMargin     = 2.5             // times the expected latency that must fit where others' waits go unseen
	usualOver      = 100.0           // requests over which the value for work of arrivals is averaged
	precious       = 2.0             // times that, from which a request goes before a sparse node's mean
	subsetLeast    = 4               // closed servers that a node uses at least
	subsetSpan     = time.Second / 4 // in which each of its servers gets one request
	rampSafety     = 0.8             // share of a cold server's bearable load that is sent
	sweepEvery     = 10 * time.Millisecond
	watchAgain     = 500 * time.Millisecond
	watchPerNode   = 60 * time.Millisecond   // of the span over which the nodes spread their list calls
	listAnswer     = 1500 * time.Millisecond // of the time until news are due: what a call's answer may take
)

const (
	tokenSweep, tokenWatch = 0, 1 // of the timers
	never                  = time.Duration(math.MaxInt64)
)

// ---- the list of servers

// UpdateEndpoints follows the list. Where it must be asked for it is watched.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.watchDelay = watchAgain
	if kind == UpdateCached && b.set.PollEndpoints {
		// Nodes of a release start in step. Discovery takes calls in turn, those that were given up
		// included: at once, most of 80 calls time out, and so do those that come again behind them.
		span := min(time.Duration(b.set.Nodes)*watchPerNode, b.set.Rules.MaxPollInterval/2,
			NotificationDeadline-listAnswer)
		if span > watchAgain && len(entries) > 0 {
			b.host.SetTimer(now+b.fullJitter(span), tokenWatch)
		} else {
			b.host.WatchEndpoints()
		}
	}
	b.list(kind, entries)
	b.refreshed = -1
	b.dispatch(now)
}

// WatchFailed is told when a call for the list failed, or the watch broke; the list at hand
// stays in force. What that missed counts as told when due, and an answer has to fit before.
// The nodes that lost discovery together come back apart, each after the same time from then
// on, so that a discovery that carries their watches carries their return as well.
func (b *Balancer) WatchFailed(now, due time.Duration) {
	most := min(max(due-now-listAnswer, (due-now)/2, 0), max(b.set.Rules.MaxPollInterval, watchAgain))
	wait := min(max(b.watchDelay, time.Duration(b.set.Nodes)*watchPerNode), most)
	if b.watchDelay == watchAgain {
		wait = b.fullJitter(wait)
	}
	b.host.SetTimer(now+wait, tokenWatch)
	b.watchDelay = min(2*b.watchDelay, b.set.Rules.MaxPollInterval/4+watchAgain)
}

// renewSubset keeps the node to its own subset of the ready servers, so many closed ones that
// each is met once in subsetSpan. A sparse node would meet the whole fleet too rarely to
// judge it, and open a connection each time. The parts cover the ring of servers evenly;
// more traffic takes a longer part, and a node whose servers fail goes on along the ring.
func (b *Balancer) renewSubset(now time.Duration) {
	want := max(subsetLeast, int(b.arrivals.perSecond(now)*subsetSpan.Seconds()+0.5))
	if !b.subsetStale && want <= b.subsetSize && now-b.subsetAt < subsetSpan {
		return
	}
	b.subsetStale, b.subsetSize, b.subsetAt = false, want, now
	b.subset = b.subset[:0]
	n := len(b.ready)
	start := int((float64(b.set.Node%b.set.Nodes) + 0.5) / float64(b.set.Nodes) * float64(n))
	for i, left := 0, float64(want); i < n && left > 0; i++ {
		s := b.ready[(start+i)%n]
		b.subset = append(b.subset, s)
		if s.breaker != open {
			left -= b.rampShare(s, now) // cold ones alone could not carry the node's traffic
		}
	}
	b.nodesPerServer = max(1, float64(b.set.Nodes)*float64(len(b.subset))/float64(max(1, n)))
}

// sparse tells whether so many nodes share a server that this one sees little of its load.
func (b *Balancer) sparse() bool { return b.nodesPerServer > fewPerServer }

// memory is how long an outcome counts.
func (b *Balancer) memory() time.Duration {
	if b.sparse() {
		return outcomesSparse
	}
	return outcomesFor
}

// rampShare is the share of its capacity that a server has at least.
func (b *Balancer) rampShare(s *server, now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.set.Rules.SlowStartDuration {
		return 1
	}
	rules := &b.set.Rules
	gained := (1 - rules.SlowStartShare) * max(0, age).Seconds()
	return rules.SlowStartShare + gained/rules.SlowStartDuration.Seconds()
}

// rampAllows tells whether a cold server can bear this work too. This node cannot see
// the others, so it keeps to its own part of what makes the server fall over: a bucket
// fills by what a server got while most were warm. It starts with a debt drawn by chance
// up to a request: one send from each node at once could push the server over.
func (b *Balancer) rampAllows(s *server, now time.Duration, work float64) bool {
	share := b.rampShare(s, now)
	if share >= 1 {
		return true
	}
	if s.rampAt == 0 {
		s.rampAt, s.rampLeft = now, -work*b.rng.Float64()
	}
	rate := b.warmPart / b.nodesPerServer * b.set.Rules.OverloadMultiple
	if b.warmPart == 0 { // a new node among cold servers knows only what it is asked itself
		rate = b.arrivals.perSecond(now) * work / float64(len(b.subset))
	}
	rate *= share * rampSafety
	s.rampLeft = min(s.rampLeft+rate*(now-s.rampAt).Seconds(), rate*b.set.Rules.OverloadWindow.Seconds()/4)
	s.rampAt = now
	return s.rampLeft > 0
}

// ---- health

// refresh brings the scores up to date: 0.7 x success + 0.3 x (1 - latency /
// the highest). A server without outcomes stands at the mean of the others.
func (b *Balancer) refresh(now time.Duration) {
	if b.refreshed == now {
		return
	}
	b.refreshed = now
	b.renewSubset(now)
	b.tally(now)
	if 4*b.warm >= 3*len(b.subset) && len(b.ready) > 0 { // else it stays as known before
		got := b.sent.perSecond(now) * float64(b.set.Nodes) / float64(len(b.ready))
		b.warmPart += (got - b.warmPart) * min(1, (now-b.meanAt).Seconds()/outcomesFor.Seconds())
	}
	b.average(now)
	b.closed, b.awaiting = 0, 0
	highest := 0.0
	for _, s := range b.subset {
		s.success = (float64(s.good) + priorOutcomes*b.meanSuccess) / (float64(s.kept) + priorOutcomes)
		s.latency = (s.latencySum + priorOutcomes*b.meanLatency) / (float64(s.good) + priorOutcomes)
		if s.breaker == open && now >= s.reopenAt {
			s.breaker, s.trial = halfOpen, nil
		}
		switch {
		case s.breaker == closed:
			highest = max(highest, s.latency)
			b.closed++
		case s.breaker == halfOpen && s.trial == nil:
			b.awaiting++
		}
	}
	for _, s := range b.subset {
		s.score = successPart*s.success + latencyPart*(1-s.latency/max(highest, s.latency, 1e-9))
	}
}

// countFailure counts a failure towards opening the breaker. One for want of an answer may be
// slowness alone and opens it only while fewer than half of the servers are out:
// when all are slow together, ejecting them would refuse everything.
func (b *Balancer) countFailure(now time.Duration, a *attempt, how Status) {
	s := a.server
	s.failures = append(s.failures, now)
	s.failures = slices.DeleteFunc(s.failures, func(at time.Duration) bool { return now-at > failuresFor })
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.openFor = min(2*s.openFor, openMost)
	case s.breaker != closed || !b.trips(s, how):
		return
	case how == Timeout && 2*(b.notClosed()+1) > len(b.subset):
		return
	}
	s.breaker, s.trial = open, nil
	for _, a := range s.out {
		b.silence(a)
	}
	b.subsetStale = true
	s.reopenAt = now + b.jitter(s.openFor)
}

// trips tells whether the failures in a row open a breaker. A sparse node meets a server so
// seldom that five would take it seconds, in which all nodes fill the server's queue with work
// that nobody waits for, or have requests wait for connections to a machine that is gone. To
// get no answer or no connection at all says more than a quick error.
func (b *Balancer) trips(s *server, how Status) bool {
	if b.sparse() && (how == Timeout || how == ConnectFailed) {
		return len(s.failures) >= fewToOpen
	}
	return len(s.failures) >= failuresToOpen && !b.failsUsually(s)
}

// failsUsually tells whether a server fails so often that its present run of failures says
// nothing new. Its score steers requests away from it then; to open its breaker would
// take what it still serves from a fleet in which, say, connections break everywhere.
func (b *Balancer) failsUsually(s *server) bool {
	run := len(s.failures)
	before := float64(max(0, s.kept-s.good-run)) + priorOutcomes*(1-b.meanSuccess)
	share := before / (float64(max(0, s.kept-run)) + priorOutcomes)
	return run < failuresMost && math.Pow(share, float64(run)) > byChance
}

// silence frees the room of an attempt whose answer hardly comes, or hangs would stop all sends.
func (b *Balancer) silence(a *attempt) {
	if !a.silent {
		a.silent = true
		b.out--
	}
}

// succeeded closes the breaker. An answer to an older attempt shows an open
// server to be alive, so its trial may come at once.
func (s *server) succeeded(now time.Duration, a *attempt) {
	s.failures = s.failures[:0]
	s.answeredAt = now
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.breaker, s.trial, s.openFor = closed, nil, openFirst
	case s.breaker == open:
		s.reopenAt = now
	}
}

// adjustLimit moves the concurrency limit, the bound on requests in flight. What a server can
// hold is told nowhere, but crowding shows: requests take longer than lone ones. The limit grows
// while requests wait for it and no crowd shows, and shrinks in a crowd; but not much below what
// was good lately, since a fleet that is slow as a whole looks the same.
func (b *Balancer) adjustLimit(now time.Duration) {
	seconds := min((now - b.adjustedAt).Seconds(), 0.1)
	rounds := seconds / b.typical // answers come back once a round; faster steps would swing
	b.adjustedAt = now
	excess := b.crowding - crowdingGoal
	switch {
	case excess > 0 && !b.crowded: // the start's fast growth went too far
		b.crowded = true
		if b.sparse() {
			b.limit *= 0.6 // and answers tell it late
		}
		b.limitKnown = b.limit
	case excess > 0:
		least, step := max(1, 0.9*b.limitKnown), 0.2
		if b.sparse() {
			least, step = restLimit, 1
		}
		b.limit = max(least, b.limit*(1-limitDown*min(excess, step)*rounds))
		b.limitKnown *= 1 - seconds/limitFor
	case len(b.held) > 0:
		if !b.crowded {
			rounds *= startFaster
		}
		if b.sparse() { // by steps: nodes that share servers come to equal parts of them
			b.limit += limitUp * rounds
		} else {
			b.limit *= 1 + limitUp*rounds
		}
		b.limitKnown = max(b.limitKnown, b.limit)
	}
}

// ---- the pick

// maySend is the one gate for every attempt. It keeps the rules: nothing after
// the end, no attempt too many, nothing to a server that drains or is gone, no
// effect twice, no cold server pushed over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.stream || now >= r.end || b.spent(r, now) || s.State != Ready {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && (a.out && !b.set.Limits.Hedging ||
			r.class.Idempotency == IdempotentWithKey && !r.class.sameGroup(a, s)) {
			return false
		}
	}
	return b.rampAllows(s, now, b.loneLatency(r))
}

// spent tells whether no attempt may follow at a time: there were as many as may be, or one may
// have run whose repeats are not dropped, or not any more.
func (b *Balancer) spent(r *request, at time.Duration) bool {
	first := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
	return len(r.attempts) >= b.set.Limits.MaxAttempts || first >= 0 &&
		(r.class.Idempotency == NotIdempotent ||
			r.class.Idempotency == IdempotentWithKey && at-r.attempts[first].sent >= r.class.KeyRetention)
}

// mayRefuse tells whether the promise of a refusal holds.
func (r *request) mayRefuse() bool {
	c := r.class
	return c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll) || !r.mayHaveRun()
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// room tells whether a server is below the bound on own requests in flight.
func (b *Balancer) room(s *server, now time.Duration) bool {
	return float64(len(s.out)+1) <= max(1, math.Round(b.limit/b.nodesPerServer)*b.rampShare(s, now))
}

// mayAdd tells whether the node may have one more request in flight. Where many share
// the servers, a node's bound is a few requests or less, which its own arrivals overstep
// by chance: its mean is held to the bound, since the chances of many nodes even out.
func (b *Balancer) mayAdd(r *request, bound float64) bool {
	if !b.sparse() {
		return float64(b.out+1) <= max(1, bound)
	}
	// What is worth most does not wait for the mean, which makes room at the others' expense.
	return (b.meanOut < bound || r.value > precious*b.usualValue*r.class.work) &&
		float64(b.out+1) <= bound+2*math.Sqrt(bound+1)
}

// pick chooses a server for the next attempt, or nil: a half-open server that
// awaits its trial, else the better of two random closed servers for a first
// send and the best other closed server for a further one.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	b.refresh(now)
	b.choices = b.choices[:0]
	for _, s := range b.subset {
		if s.breaker == open || r.tried(s) || !b.maySend(now, r, s) {
			continue
		}
		if s.breaker == closed && b.room(s, now) {
			b.choices = append(b.choices, s)
		} else if s.breaker == halfOpen && s.trial == nil &&
			// One that is not idempotent is the trial only when no other came.
			(r.class.Idempotency != NotIdempotent || now > s.reopenAt+s.openFor) {
			return s
		}
	}
	n := len(b.choices)
	if n == 0 || !b.mayAdd(r, b.limit/b.nodesPerServer*float64(b.closed)) {
		return nil
	}
	if len(r.attempts) == 0 && n > 2 {
		i := b.rng.IntN(n)
		j := (i + 1 + b.rng.IntN(n-1)) % n
		return better(b.choices[i], b.choices[j])
	}
	best := b.choices[0]
	for _, s := range b.choices[1:] {
		best = better(best, s)
	}
	return best
}

// better compares by score; near-ties go to fewer own in flight, equal ones to this zone.
func better(x, y *server) *server {
	switch {
	case x.score > y.score+nearTie:
		return x
	case y.score > x.score+nearTie || len(y.out) < len(x.out):
		return y
	case len(y.out) == len(x.out) && y.near && !x.near:
		return y
	}
	return x
}

// send starts an attempt; pick has asked the gate.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	a := b.begin(now, r, s)
	if s.breaker == halfOpen {
		s.trial = a
	}
	b.sent.add(now, b.loneLatency(r))
	s.rampLeft -= b.loneLatency(r) // counts for a cold server only
	b.host.Send(r.ID, s.Server, 0)
}

// ---- requests

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
	r := b.newRequest(q, c)
	r.end = now + max(0, min(q.Timeout, c.Deadline)-max(0, b.set.Tick-b.set.Rules.AnswerGrace))
	r.half = now + (r.end-now)/2 - sweepEvery
	r.useful = min(r.end, now+c.Objective+time.Duration(c.ObjectivePerWork*float64(q.CostHint)))
	r.value = c.PriorityWeight
	if q.Tenant >= 0 && q.Tenant < len(b.tenants) {
		r.quota = &b.tenants[q.Tenant]
		if !r.quota.take(now) {
			r.quota, r.value = nil, r.value*b.set.OverQuotaFraction
		}
	}
	b.usualSeen = min(b.usualSeen+1, usualOver)
	b.usualValue += (r.value/c.work - b.usualValue) / b.usualSeen
	b.arrivals.add(now, 1)
	b.hold(r)
	b.dispatch(now)
	b.sweepBy(min(now+sweepEvery, r.end))
}

// before orders the held requests: most value for its work first, then the end of its use.
func (r *request) before(o *request) bool {
	x, y := r.value/r.class.work, o.value/o.class.work
	return x > y || (x == y && r.useful < o.useful)
}

// dispatch sends what is held while servers have room. With every breaker open
// it refuses at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.held) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.held[:0], false
	for _, r := range b.held {
		var s *server
		if !r.done && !full {
			s = b.pick(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			r.held = false
			b.send(now, r, s)
		case b.closed+b.awaiting == 0:
			r.held = false
			b.giveUp(r)
		default:
			kept = append(kept, r)
			full = full || len(r.attempts) == 0 // no room for any that are not bound to a group
		}
	}
	b.held = kept
}

// giveUp ends a request unserved: a refusal where its promise holds, else a failure.
func (b *Balancer) giveUp(r *request) {
	// What is not served takes nothing of a quota, since its client asks again: a sparse node's
	// part is a few requests a second, which tries alone would use up.
	if b.sparse() && r.quota != nil {
		r.quota.tokens++
	}
	if r.mayRefuse() {
		b.host.Reject(r.ID, min(r.class.Objective/2, b.set.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}

// TerminateAll ends every request that is open: the node is about to go.
func (b *Balancer) TerminateAll(now time.Duration) {
	for len(b.open) > 0 {
		b.giveUp(b.open[len(b.open)-1])
	}
	b.dispatch(now) // drops what was held
}

// finish ends a request; attempts that are still out are cancelled.
func (b *Balancer) finish(r *request) {
	if !r.done {
		b.cancel(r, nil)
	}
	b.close(r)
}

// ClientDisconnected is told when a client went away: nothing is owed any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// StreamStarted is told when the answer's stream began: the attempt is the client's now.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.find(id, index)
	if r == nil {
		return
	}
	r.stream = true
	a.server.succeeded(now, a)
	b.cancel(r, a)
}

// cancel stops the attempts that are out but for one.
func (b *Balancer) cancel(r *request, kept *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && a != kept && b.set.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// Outcome takes the end of an attempt: first for the server's health, then for
// the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.find(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.ended(r, a)
	a.neverRan = o.Status.NeverRan()
	b.judge(now, r, a, o)
	if o.RequestEnded || o.Status == OK {
		b.finish(r)
	} else if !r.done && r.out == 0 {
		b.retry(now, r)
	}
	if r.done {
		b.close(r)
	}
	b.dispatch(now)
}

// judge takes an outcome into the server's health. A restarted server is not
// judged by what its former process was sent.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.server
	if a.sent < s.StartedAt {
		return
	}
	latency := o.Latency.Seconds() / b.loneLatency(r)
	switch o.Status {
	case OK:
		s.record(now, true, latency)
		if latency > slowAfter && b.sparse() { // it answers, but is crowded for long: it needs rest
			b.countFailure(now, a, Timeout)
		} else {
			s.succeeded(now, a)
		}
		b.measure(a, r, o.Latency.Seconds())
		b.adjustLimit(now)
	case ServerError, Reset, ConnectFailed:
		s.record(now, false, latency)
		b.countFailure(now, a, o.Status)
	case Timeout:
		// Shorter ones come of impatient clients. The measure is a lone request's latency: the mean
		// rises with every jammed server, until no client waits long enough to count against one.
		if !a.silent && latency > silentAfter {
			s.record(now, false, latency)
			b.countFailure(now, a, Timeout)
		}
	case Rejected: // without a mark on its score a full server would go on being picked
		s.record(now, false, latency)
	}
	if s.trial == a {
		s.trial = nil // no verdict: the next request is the trial
	}
}

// retry waits for the backoff of a further attempt, or answers now if none fits.
func (b *Balancer) retry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.Objective) * backoffShare)
	delay := b.jitter(min(first<<(len(r.attempts)-1), backoffMost))
	if b.spent(r, now+delay) || now+delay+b.expected(r) > r.lastUse() {
		b.giveUp(r)
		return
	}
	r.retryAt = now + delay
	b.sweepBy(now + sweepEvery)
}

// ---- time

// Timer takes a timer set before; one that nobody needs any more does no harm.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = never
			b.sweep(now)
		}
	case tokenWatch:
		b.host.WatchEndpoints()
	}
}

// sweepBy has the next sweep come at the given time at the latest.
func (b *Balancer) sweepBy(at time.Duration) {
	if at < b.sweepAt {
		b.sweepAt = at
		b.host.SetTimer(at, tokenSweep)
	}
}

// sweep looks at every open request. The next one comes when a client's time is up at the
// latest: the answer may be due sooner after that than a period of sweeps.
func (b *Balancer) sweep(now time.Duration) {
	b.refresh(now)
	b.shed(now)
	next := now + sweepEvery
	for i := len(b.open) - 1; i >= 0; i-- { // finish moves the last one here, which was seen
		r := b.open[i]
		switch {
		case r.stream:
		case r.out > 0:
			b.watch(now, r)
		case now >= r.end:
			b.giveUp(r)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.hold(r)
		}
		if !r.done && r.out == 0 {
			next = min(next, r.end)
		}
	}
	b.dispatch(now)
	if len(b.open) > 0 {
		b.sweepBy(next)
	}
}

// shed ends the wait of held requests that cannot be answered in time any more.
func (b *Balancer) shed(now time.Duration) {
	b.held = slices.DeleteFunc(b.held, func(r *request) bool {
		// One that could not be sent by half of its time goes back: its client can ask elsewhere.
		late := b.spent(r, now) || now >= r.half && !r.mayHaveRun()
		if r.done || !late && now+b.mustFit(r) <= b.valuableUntil(r) {
			return false // dispatch drops those that are done
		}
		r.held = false
		b.giveUp(r)
		return true
	})
}

// valuableUntil is when an answer stops being worth its work. On a sparse node a late answer to a
// request of much value may still earn more than one in time to another: the node's room for
// a request comes seldom, but soon enough.
func (b *Balancer) valuableUntil(r *request) time.Duration {
	if b.sparse() && r.value*r.class.LateFraction >= b.usualValue*r.class.work {
		return r.end
	}
	return r.useful
}

// mustFit is how much time must be left to a held request. Where others' waits go unseen an
// answer has to fit amply; but one worth waiting for beyond its objective goes before all others.
func (b *Balancer) mustFit(r *request) time.Duration {
	if b.sparse() && b.valuableUntil(r) == r.useful {
		return time.Duration(shedMargin * float64(b.expected(r)))
	}
	return b.expected(r)
}

// watch counts attempts as failures that got no answer, from a server that gave none
// since. Where allowed a hedged request goes elsewhere then: the time-out comes too late.
func (b *Balancer) watch(now time.Duration, r *request) {
	expected := b.expected(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sent)
		if !a.out || a.silent || age <= silentAfter*float64(expected) || a.server.answeredAt >= a.sent {
			continue
		}
		b.silence(a)
		a.server.record(now, false, 0)
		b.countFailure(now, a, Timeout)
		if r.out == 1 && b.set.Limits.Hedging && now+expected <= r.useful {
			if s := b.pick(now, r); s != nil {
				b.send(now, r, s)
			}
		}
	}
}
