package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedEvent is a scheduled event of a simulatedFleet. Events with the same time run in the order in which they
// were scheduled.
type simulatedEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap.Interface whose least event is the next event to run.
type eventQueue []simulatedEvent

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(simulatedEvent)) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario configures a simulation in which real Balancers send requests to simulated servers, some of which restart.
type scenario struct {
	nodeCount, serverCount int
	rules                  Rules
	offeredLoad            float64       // offered work as a fraction of the capacity of all servers when warm
	restartedFraction      float64       // fraction of the servers that restart, at least one server
	restartSpan            time.Duration // time over which the restarted servers stop, one after another
	downtime               time.Duration // time from the stop of a server to its start
	replaceServers         bool          // restarted servers get new IDs
	burstFactor            float64       // multiplies the arrival rate once the first server has restarted; 0: no burst
	othersFail             bool          // a third of the other servers fails or hangs after the first restart
	lateNotifications      bool          // a third of the nodes is notified of changes 1 to 5 s late
	nodesRestartAfter      time.Duration // time from the first stop to the restart of all nodes; 0: never
	leadTime               time.Duration // time under load before the first server stops
}

// simulatedFleet runs a scenario on a virtual clock and measures the work that is sent to servers that are warming up.
type simulatedFleet struct {
	scenario
	t                 *testing.T
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	lastSequence      int
	events            eventQueue
	nodes             []*simulatedNode
	cumulativeTraffic []float64 // cumulative sums of the nodes' shares of the traffic, not normalized
	servers           []*simulatedServer
	arrivalFactor     float64    // multiplies the arrival rate
	pendingUpdates    []Endpoint // changes of which no node is notified yet
	lastID            RequestID

	// Peak work that a server got within an OverloadWindow from nodes that were notified of its start, as a multiple
	// of its limit. The first value counts the mean work of each request's class, the second the work of the request
	// itself.
	peakNotifiedMeanWork, peakNotifiedActualWork float64

	// overloads is the number of sends that left the work of a window above its limit while notified nodes had sent
	// more than two thirds of that work.
	overloads int

	// Work that was sent to servers while they were warming up, and the work that these servers could do. Both count
	// from notificationDelay after a server's start, as no node is notified of the start before then.
	workSent, workCapacity float64
}

// simulatedServer executes one attempt at a time. Other attempts wait in its queue.
type simulatedServer struct {
	Endpoint
	workRate     float64 // work per second when warm
	fails, hangs bool    // fails: responds with an error at once; hangs: starts no attempt
	queue        []*simulatedAttempt
	running      *simulatedAttempt
	sends        []slowStartSend // within the last OverloadWindow
}

// slowStartSend records an attempt at a server that is warming up. Its work is in multiples of meanWork.
type slowStartSend struct {
	at         time.Duration
	meanWork   float64 // mean work of the request's class
	actualWork float64 // work of the request itself
	notified   bool    // the node was notified of the server's start
}

// meanWork is the mean work of a request over all classes, in seconds on a server of work rate 1.
const meanWork = 0.04

// meanClassWork returns the mean work of a class. Of eight requests, six belong to class 0, one to class 1 and one to
// class 2 on average, so that the mean over all requests is meanWork.
func meanClassWork(class int) float64 {
	return []float64{1.1 * meanWork, 0.6 * meanWork, 0.8 * meanWork}[class]
}

// schedule runs an action at the given time.
func (f *simulatedFleet) schedule(at time.Duration, action func()) {
	f.lastSequence++
	heap.Push(&f.events, simulatedEvent{at, f.lastSequence, action})
}

// scheduleAfterRandomDelay runs an action after an exponentially distributed delay.
func (f *simulatedFleet) scheduleAfterRandomDelay(mean time.Duration, action func()) {
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()*float64(mean)), action)
}

// capacityShare returns the current capacity of a server as a fraction of its capacity when warm. It grows linearly
// from SlowStartShare to 1 over SlowStartDuration.
func (f *simulatedFleet) capacityShare(s *simulatedServer) float64 {
	if age := f.now - s.StartedAt; s.StartedAt > 0 && age < f.rules.SlowStartDuration {
		return f.rules.SlowStartShare + (1-f.rules.SlowStartShare)*age.Seconds()/f.rules.SlowStartDuration.Seconds()
	}
	return 1
}

// recordSlowStartSend adds an attempt to the overload window of a server that is warming up, and compares the work in
// the window with its limit. The limit is n + 2 sqrt(n) + 2 requests of mean work, where n is OverloadMultiple times
// the number of such requests that the server can execute in the window. The other terms allow for random peaks.
func (f *simulatedFleet) recordSlowStartSend(s *simulatedServer, added slowStartSend) {
	expired := func(send slowStartSend) bool { return f.now-send.at >= f.rules.OverloadWindow }
	s.sends = append(slices.DeleteFunc(s.sends, expired), added)
	all, notified, actual := 0.0, 0.0, 0.0
	for _, send := range s.sends {
		all += send.meanWork
		if send.notified {
			notified += send.meanWork
			actual += send.actualWork
		}
	}
	n := f.rules.OverloadMultiple * s.workRate * f.capacityShare(s) * f.rules.OverloadWindow.Seconds() / meanWork
	limit := n + 2*math.Sqrt(n) + 2
	f.peakNotifiedMeanWork = max(f.peakNotifiedMeanWork, notified/limit)
	if n >= 10 { // a few heavy requests can exceed a lower limit by chance, as nodes know only the mean work
		f.peakNotifiedActualWork = max(f.peakNotifiedActualWork, actual/limit)
	}
	if all > limit && notified > all*2/3 {
		f.overloads++
	}
}

// startNextAttempt starts the next queued attempt of a server that is idle and takes requests.
func (f *simulatedFleet) startNextAttempt(s *simulatedServer) {
	for s.running == nil && len(s.queue) > 0 && !s.hangs && s.State == EndpointReady {
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		if attempt.ended {
			continue
		}
		s.running = attempt
		f.schedule(f.now+time.Duration(attempt.request.work/(s.workRate*f.capacityShare(s))*float64(time.Second)), func() {
			if s.running == attempt { // the server has not restarted
				s.running = nil
				f.endAttempt(attempt, StatusOK)
				f.startNextAttempt(s)
			}
		})
	}
}

// endAttempt reports the outcome of an attempt to its node, unless the attempt has ended or the node has stopped.
func (f *simulatedFleet) endAttempt(attempt *simulatedAttempt, status Status) {
	if attempt.ended || attempt.node.stopped {
		return
	}
	attempt.ended = true
	attempt.request.completed = attempt.request.completed || status == StatusOK || status == StatusTimeout
	attempt.node.balancer.Outcome(f.now, Outcome{
		ID: attempt.request.id, Attempt: attempt.index, Server: attempt.server.Server, Status: status,
		RequestCompleted: attempt.request.completed, Latency: f.now - attempt.sentAt,
	})
}

// sendRequest sends a client's request to a random node. The client disconnects at the deadline, which ends all
// attempts. The client has already retried the request the given number of times.
func (f *simulatedFleet) sendRequest(class, retries int, work float64) {
	i, _ := slices.BinarySearch(f.cumulativeTraffic, f.rng.Float64()*f.cumulativeTraffic[len(f.cumulativeTraffic)-1])
	n := f.nodes[i]
	f.lastID++
	request := &clientRequest{id: f.lastID, class: class, retries: retries, work: work}
	n.requests[request.id] = request
	timeout := f.settings.Classes[class].Deadline
	n.balancer.Request(f.now, Request{ID: request.id, Class: class, Timeout: timeout})
	f.schedule(f.now+timeout, func() {
		for _, attempt := range request.attempts {
			f.endAttempt(attempt, StatusTimeout)
		}
		f.schedule(f.now+time.Second, func() { delete(n.requests, request.id) })
	})
}

// generateArrivals sends a request of a random class and schedules the next request, independently of the response.
func (f *simulatedFleet) generateArrivals() {
	class := max(0, f.rng.IntN(8)-5)
	f.sendRequest(class, 0, meanClassWork(class)*f.rng.ExpFloat64())
	rate := f.offeredLoad * float64(f.serverCount) / meanWork * f.arrivalFactor
	f.scheduleAfterRandomDelay(time.Duration(float64(time.Second)/rate), f.generateArrivals)
}

// startNode starts a new process of node i, with a snapshot of the ready servers. A previous process of the node stops.
func (f *simulatedFleet) startNode(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].stopped = true
	}
	n := &simulatedNode{fleet: f, requests: map[RequestID]*clientRequest{}}
	settings := f.settings
	settings.Node = i
	balancer, err := New(settings, f.rng.Uint64(), n)
	if err != nil {
		f.t.Fatalf("New(%+v): %v", settings, err)
	}
	n.balancer, f.nodes[i] = balancer, n
	var entries []Endpoint
	for _, s := range f.servers {
		if s.State == EndpointReady {
			entries = append(entries, s.Endpoint)
		}
	}
	balancer.UpdateEndpoints(f.now, UpdateSnapshot, entries)
}

// notificationDelay is the time from a change until the first node is notified. The changes of that time are combined
// into one delta.
const notificationDelay = 300 * ms

// notifyNodes notifies each node of the change of an endpoint after a random delay.
func (f *simulatedFleet) notifyNodes(e Endpoint) {
	if f.pendingUpdates = append(f.pendingUpdates, e); len(f.pendingUpdates) > 1 {
		return
	}
	f.schedule(f.now+notificationDelay, func() {
		updates := f.pendingUpdates
		f.pendingUpdates = nil
		for i := range f.nodes {
			notify := func() { f.nodes[i].balancer.UpdateEndpoints(f.now, UpdateDelta, updates) }
			if f.lateNotifications && i%3 == 0 {
				f.schedule(f.now+time.Second+time.Duration(f.rng.Float64()*float64(4*time.Second)), notify)
			} else {
				f.scheduleAfterRandomDelay(100*ms, notify)
			}
		}
	})
}

// restartServer stops a server, which resets its attempts. After the downtime it starts the server again, or a
// server with a new ID in its place.
func (f *simulatedFleet) restartServer(s *simulatedServer) {
	s.State = EndpointRemoved
	if s.running != nil {
		s.queue = append(s.queue, s.running)
	}
	for _, attempt := range s.queue {
		f.endAttempt(attempt, StatusReset)
	}
	s.queue, s.running = nil, nil
	if f.downtime > 0 || f.replaceServers {
		f.notifyNodes(s.Endpoint)
	}
	f.schedule(f.now+f.downtime, func() {
		if f.replaceServers {
			s = &simulatedServer{Endpoint: s.Endpoint, workRate: s.workRate}
			s.Server += 1000
			f.servers = append(f.servers, s)
		}
		s.State, s.StartedAt, s.sends = EndpointReady, f.now, nil
		f.notifyNodes(s.Endpoint)
	})
}

// addWorkCapacity adds to workCapacity the work that the servers that are warming up can do in the next step, and
// schedules itself for the end of that step.
func (f *simulatedFleet) addWorkCapacity() {
	const step = 20 * ms
	for _, s := range f.servers {
		if share := f.capacityShare(s); s.State == EndpointReady && share < 1 && f.now >= s.StartedAt+notificationDelay {
			f.workCapacity += s.workRate * share * step.Seconds()
		}
	}
	f.schedule(f.now+step, f.addWorkCapacity)
}

// simulate runs the scenario until all restarted servers are warm.
func (c scenario) simulate(t *testing.T, seed uint64) *simulatedFleet {
	t.Helper()
	f := newSimulatedFleet(t, c, seed)
	f.generateArrivals()
	firstRestart := f.now + c.leadTime
	f.scheduleFaults(firstRestart)
	f.schedule(firstRestart, f.addWorkCapacity)
	f.runUntil(firstRestart + c.restartSpan + c.downtime + c.rules.SlowStartDuration)
	return f
}

// newSimulatedFleet returns a fleet with the servers and nodes of a scenario, all of them running. The seed determines
// all random choices.
func newSimulatedFleet(t *testing.T, c scenario, seed uint64) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{
		scenario:      c,
		t:             t,
		settings:      testSettings(),
		rng:           rand.New(rand.NewPCG(seed, 0)),
		now:           time.Hour,
		nodes:         make([]*simulatedNode, c.nodeCount),
		arrivalFactor: 1,
	}
	f.settings.Nodes, f.settings.Rules = c.nodeCount, c.rules
	f.settings.Classes = []Class{
		{Deadline: 600 * ms, Objective: 300 * ms, PriorityWeight: 1, LateFraction: 0.25},
		{
			Deadline: 1500 * ms, Objective: 500 * ms, PriorityWeight: 1, LateFraction: 0.25,
			Idempotency: IdempotentWithKey, KeyRetention: 5 * time.Second,
		},
		{
			Deadline: time.Second, Objective: 300 * ms, PriorityWeight: 10, LateFraction: 0.5,
			Idempotency: NotIdempotent,
		},
	}
	workRates := []float64{1.5, 1.5, 0.9, 0.55, 0.55}
	for i, e := range readyEndpoints(1, c.serverCount) {
		f.servers = append(f.servers, &simulatedServer{Endpoint: e, workRate: workRates[i%len(workRates)]})
	}
	f.rng.Shuffle(c.serverCount, func(i, j int) { f.servers[i], f.servers[j] = f.servers[j], f.servers[i] })
	sum := 0.0
	for i := range f.nodes {
		f.startNode(i)
		sum += 0.3 + 0.7*f.rng.ExpFloat64() // some nodes get several times the mean traffic
		f.cumulativeTraffic = append(f.cumulativeTraffic, sum)
	}
	return f
}

// scheduleFaults schedules the restarts of servers and nodes, the burst of arrivals and the failures of other servers.
func (f *simulatedFleet) scheduleFaults(firstRestart time.Duration) {
	restarted := max(1, int(f.restartedFraction*float64(f.serverCount)))
	for i, s := range f.servers[:restarted] {
		at := firstRestart + f.restartSpan*time.Duration(i)/time.Duration(restarted)
		f.schedule(at, func() { f.restartServer(s) })
	}
	others := f.servers[restarted:]
	f.schedule(firstRestart+f.downtime, func() {
		f.arrivalFactor = max(1, f.burstFactor)
		for i := 0; f.othersFail && i < len(others)/3; i++ {
			others[i].fails, others[i].hangs = i%2 == 0, i%2 == 1
		}
	})
	if f.nodesRestartAfter > 0 {
		f.schedule(firstRestart+f.nodesRestartAfter, f.restartNodes)
	}
}

// restartNodes stops all nodes and starts a new process of each.
func (f *simulatedFleet) restartNodes() {
	for i := range f.nodes {
		f.startNode(i)
	}
}

// runUntil runs the events up to and including the first event at end or later.
func (f *simulatedFleet) runUntil(end time.Duration) {
	for f.now < end {
		next := heap.Pop(&f.events).(simulatedEvent)
		f.now = next.at
		next.action()
	}
}
