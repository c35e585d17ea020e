package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedEvent happens in a simulatedFleet. Events of the same time run in the order of their scheduling.
type simulatedEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events.
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

// scenario describes a run of real Balancers with simulated servers on one virtual clock.
type scenario struct {
	nodeCount, serverCount int
	rules                  Rules
	offeredLoad            float64       // offered work as a share of what all servers can do when warm
	restartedFraction      float64       // share of the servers that restart
	restartSpan            time.Duration // time within which they stop one after another
	downtime               time.Duration // time from the stop of a server to its start
	replaceServers         bool          // a server starts under a new ID
	burstFactor            float64       // factor on the arrivals once the first server has restarted
	othersFail             bool          // a third of the other servers fails or hangs from then on
	lateNotifications      bool          // a third of the nodes is notified of a start 1 to 5 s late
	nodesRestartAfter      time.Duration // time from the first stop to the restart of all nodes; 0: they do not restart
	leadTime               time.Duration // time with load before the first server stops
}

// simulatedFleet runs a scenario and measures what the warming servers were sent.
type simulatedFleet struct {
	scenario
	t                 *testing.T
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	lastSequence      int
	events            eventQueue
	nodes             []*simulatedNode
	cumulativeTraffic []float64 // cumulative shares of the nodes in the traffic
	servers           []*simulatedServer
	arrivalFactor     float64    // on the rate of the arrivals
	pendingUpdates    []Endpoint // that no node is notified of yet
	lastID            RequestID

	// The largest work within an OverloadWindow, as a multiple of its limit, in sends of nodes that were notified.
	// The first value counts each request as mean work, the second counts the work that was drawn for it.
	peakNotifiedMeanWork, peakNotifiedActualWork float64

	overloads              int     // sends over the limit, with over two thirds of the window from notified nodes
	workSent, workCapacity float64 // work sent to warming servers once listed, and what they could do in that time
}

// simulatedServer works at one request after another.
type simulatedServer struct {
	Endpoint
	workRate     float64 // work per second when warm
	fails, hangs bool
	queue        []*simulatedAttempt
	running      *simulatedAttempt
	sends        []slowStartSend // within OverloadWindow
}

// slowStartSend is a send to a warming server. Its work is in requests of mean work.
type slowStartSend struct {
	at         time.Duration
	meanWork   float64 // mean work of the request's class
	actualWork float64 // work of the request itself
	notified   bool    // the node was notified of the server's start
}

const meanWork = 0.04 // seconds, over all classes

// meanClassWork returns the mean work of a class, of which six, one and one in eight requests are.
func meanClassWork(class int) float64 {
	return []float64{1.1 * meanWork, 0.6 * meanWork, 0.8 * meanWork}[class]
}

func (f *simulatedFleet) schedule(at time.Duration, action func()) {
	f.lastSequence++
	heap.Push(&f.events, simulatedEvent{at, f.lastSequence, action})
}

// scheduleAfterRandomDelay runs an action after an exponentially distributed time.
func (f *simulatedFleet) scheduleAfterRandomDelay(mean time.Duration, action func()) {
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()*float64(mean)), action)
}

// capacityShare returns the present capacity by the rules, 1 when warm.
func (f *simulatedFleet) capacityShare(s *simulatedServer) float64 {
	if age := f.now - s.StartedAt; s.StartedAt > 0 && age < f.rules.SlowStartDuration {
		return f.rules.SlowStartShare + (1-f.rules.SlowStartShare)*age.Seconds()/f.rules.SlowStartDuration.Seconds()
	}
	return 1
}

// recordSlowStartSend adds a send to the window of a warming server, and compares the window with its limit.
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
	if n >= 10 { // a few heavy requests exceed a lower limit by chance, and no node knows their work
		f.peakNotifiedActualWork = max(f.peakNotifiedActualWork, actual/limit)
	}
	if all > limit && notified > all*2/3 {
		f.overloads++
	}
}

// startNextAttempt starts the next attempt of a server.
func (f *simulatedFleet) startNextAttempt(s *simulatedServer) {
	for s.running == nil && len(s.queue) > 0 && !s.hangs && s.State == Ready {
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		if attempt.ended {
			continue
		}
		s.running = attempt
		f.schedule(f.now+time.Duration(attempt.request.work/(s.workRate*f.capacityShare(s))*float64(time.Second)), func() {
			if s.running == attempt {
				s.running = nil
				f.endAttempt(attempt, OK)
				f.startNextAttempt(s)
			}
		})
	}
}

// endAttempt gives a node the outcome of an attempt.
func (f *simulatedFleet) endAttempt(attempt *simulatedAttempt, status Status) {
	if attempt.ended || attempt.node.stopped {
		return
	}
	attempt.ended = true
	attempt.request.completed = attempt.request.completed || status == OK || status == Timeout
	attempt.node.balancer.Outcome(f.now, Outcome{
		ID: attempt.request.id, Attempt: attempt.index, Server: attempt.server.Server, Status: status,
		RequestCompleted: attempt.request.completed, Latency: f.now - attempt.sentAt,
	})
}

// sendRequest has a client send a request to a node, and disconnect at its deadline.
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
			f.endAttempt(attempt, Timeout)
		}
		f.schedule(f.now+time.Second, func() { delete(n.requests, request.id) })
	})
}

// generateArrivals generates requests in an open loop.
func (f *simulatedFleet) generateArrivals() {
	class := max(0, f.rng.IntN(8)-5)
	f.sendRequest(class, 0, meanClassWork(class)*f.rng.ExpFloat64())
	rate := f.offeredLoad * float64(f.serverCount) / meanWork * f.arrivalFactor
	f.scheduleAfterRandomDelay(time.Duration(float64(time.Second)/rate), f.generateArrivals)
}

// startNode starts the process of a node with a list of all ready servers.
func (f *simulatedFleet) startNode(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].stopped = true
	}
	n := &simulatedNode{fleet: f, requests: map[RequestID]*clientRequest{}}
	settings := f.settings
	settings.Node = i
	balancer, err := New(settings, f.rng.Uint64(), n)
	if err != nil {
		f.t.Fatal(err)
	}
	n.balancer, f.nodes[i] = balancer, n
	var entries []Endpoint
	for _, s := range f.servers {
		if s.State == Ready {
			entries = append(entries, s.Endpoint)
		}
	}
	balancer.UpdateEndpoints(f.now, UpdateSnapshot, entries)
}

// notificationDelay is the time from a change until the first node is notified, with all changes until then.
const notificationDelay = 300 * ms

// notifyNodes notifies all nodes of a change.
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

// restartServer stops a server and starts it, or another one in its place, again.
func (f *simulatedFleet) restartServer(s *simulatedServer) {
	s.State = Removed
	if s.running != nil {
		s.queue = append(s.queue, s.running)
	}
	for _, attempt := range s.queue {
		f.endAttempt(attempt, Reset)
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
		s.State, s.StartedAt, s.sends = Ready, f.now, nil
		f.notifyNodes(s.Endpoint)
	})
}

// addWorkCapacity adds up what the warming servers could do.
func (f *simulatedFleet) addWorkCapacity() {
	const step = 20 * ms
	for _, s := range f.servers {
		if share := f.capacityShare(s); s.State == Ready && share < 1 && f.now >= s.StartedAt+notificationDelay {
			f.workCapacity += s.workRate * share * step.Seconds()
		}
	}
	f.schedule(f.now+step, f.addWorkCapacity)
}

// simulate runs the scenario until the last server has warmed up.
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

// newSimulatedFleet starts the servers and nodes of a scenario.
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
	speeds := []float64{1.5, 1.5, 0.9, 0.55, 0.55}
	for i, e := range readyEndpoints(1, c.serverCount) {
		f.servers = append(f.servers, &simulatedServer{Endpoint: e, workRate: speeds[i%len(speeds)]})
	}
	f.rng.Shuffle(c.serverCount, func(i, j int) { f.servers[i], f.servers[j] = f.servers[j], f.servers[i] })
	sum := 0.0
	for i := range f.nodes {
		f.startNode(i)
		sum += 0.3 + 0.7*f.rng.ExpFloat64() // some nodes get several times the mean
		f.cumulativeTraffic = append(f.cumulativeTraffic, sum)
	}
	return f
}

// scheduleFaults schedules the restarts of the scenario and all that goes with them.
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

// restartNodes starts a new process of every node.
func (f *simulatedFleet) restartNodes() {
	for i := range f.nodes {
		f.startNode(i)
	}
}

// runUntil runs the events up to the first at a time or later.
func (f *simulatedFleet) runUntil(end time.Duration) {
	for f.now < end {
		next := heap.Pop(&f.events).(simulatedEvent)
		f.now = next.at
		next.action()
	}
}
