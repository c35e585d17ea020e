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
	nodes, servers    int
	rules             Rules
	load              float64       // offered work as a share of what all servers can do when warm
	restarted         float64       // share of the servers that restart
	restartSpan       time.Duration // time within which they stop one after another
	downtime          time.Duration // time from the stop of a server to its start
	replaced          bool          // a server starts under a new ID
	burst             float64       // factor on the arrivals once the first server has restarted
	othersFail        bool          // a third of the other servers fails or hangs from then on
	lateNotice        bool          // a third of the nodes is notified of a start 1 to 5 s late
	nodesRestartAfter time.Duration // time from the first stop to the restart of all nodes; 0: they do not restart
	warmUp            time.Duration // time with load before the first server stops
}

// simulatedFleet runs a scenario and measures what the warming servers were sent.
type simulatedFleet struct {
	scenario
	t              *testing.T
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	lastSequence   int
	events         eventQueue
	nodes          []*simulatedNode
	weights        []float64 // cumulative shares of the nodes in the traffic
	servers        []*simulatedServer
	arrivalFactor  float64    // on the rate of the arrivals
	pendingUpdates []Endpoint // that no node is notified of yet
	lastID         RequestID

	// The largest work within an OverloadWindow, as a multiple of its limit, in sends of nodes that were notified.
	// The first value counts each request as mean work, the second counts the work that was drawn for it.
	worstNotified, worstNotifiedDrawn float64

	overloads              int     // sends over the limit, with over two thirds of the window from notified nodes
	workSent, workPossible float64 // work sent to warming servers once listed, and what they could do in that time
}

// simulatedServer works at one request after another.
type simulatedServer struct {
	Endpoint
	speed        float64 // work per second when warm
	fails, hangs bool
	queue        []*serverJob
	running      *serverJob
	sends        []slowStartSend // within OverloadWindow
}

// slowStartSend is a send to a warming server. Its work is in requests of mean work.
type slowStartSend struct {
	at        time.Duration
	meanWork  float64 // mean work of the request's class
	drawnWork float64 // work of the request itself
	notified  bool    // the node was notified of the server's start
}

const meanWork = 0.04 // seconds, over all classes

// classWork returns the mean work of a class, of which six, one and one in eight requests are.
func classWork(class int) float64 {
	return []float64{1.1 * meanWork, 0.6 * meanWork, 0.8 * meanWork}[class]
}

func (f *simulatedFleet) schedule(at time.Duration, do func()) {
	f.lastSequence++
	heap.Push(&f.events, simulatedEvent{at, f.lastSequence, do})
}

// scheduleAbout runs an action after an exponentially distributed time.
func (f *simulatedFleet) scheduleAbout(mean time.Duration, do func()) {
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()*float64(mean)), do)
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
	all, notified, drawn := 0.0, 0.0, 0.0
	for _, send := range s.sends {
		all += send.meanWork
		if send.notified {
			notified += send.meanWork
			drawn += send.drawnWork
		}
	}
	n := f.rules.OverloadMultiple * s.speed * f.capacityShare(s) * f.rules.OverloadWindow.Seconds() / meanWork
	limit := n + 2*math.Sqrt(n) + 2
	f.worstNotified = max(f.worstNotified, notified/limit)
	if n >= 10 { // a few heavy requests exceed a lower limit by chance, and no node knows their work
		f.worstNotifiedDrawn = max(f.worstNotifiedDrawn, drawn/limit)
	}
	if all > limit && notified > all*2/3 {
		f.overloads++
	}
}

// serve starts the next job of a server.
func (f *simulatedFleet) serve(s *simulatedServer) {
	for s.running == nil && len(s.queue) > 0 && !s.hangs && s.State == Ready {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.ended {
			continue
		}
		s.running = j
		f.schedule(f.now+time.Duration(j.request.work/(s.speed*f.capacityShare(s))*float64(time.Second)), func() {
			if s.running == j {
				s.running = nil
				f.end(j, OK)
				f.serve(s)
			}
		})
	}
}

// end gives a node the outcome of an attempt.
func (f *simulatedFleet) end(j *serverJob, status Status) {
	if j.ended || j.node.dead {
		return
	}
	j.ended = true
	j.request.completed = j.request.completed || status == OK || status == Timeout
	j.node.balancer.Outcome(f.now, Outcome{
		ID: j.request.id, Attempt: j.index, Server: j.server.Server, Status: status,
		RequestCompleted: j.request.completed, Latency: f.now - j.sent,
	})
}

// request has a client send a request to a node, and disconnect at its deadline.
func (f *simulatedFleet) request(class, attempt int, work float64) {
	i, _ := slices.BinarySearch(f.weights, f.rng.Float64()*f.weights[len(f.weights)-1])
	n := f.nodes[i]
	f.lastID++
	request := &clientRequest{id: f.lastID, class: class, attempt: attempt, work: work}
	n.requests[request.id] = request
	left := f.settings.Classes[class].Deadline
	n.balancer.Request(f.now, Request{ID: request.id, Class: class, Timeout: left})
	f.schedule(f.now+left, func() {
		for _, j := range request.jobs {
			f.end(j, Timeout)
		}
		f.schedule(f.now+time.Second, func() { delete(n.requests, request.id) })
	})
}

// arrive generates requests in an open loop.
func (f *simulatedFleet) arrive() {
	class := max(0, f.rng.IntN(8)-5)
	f.request(class, 0, classWork(class)*f.rng.ExpFloat64())
	rate := f.load * float64(f.scenario.servers) / meanWork * f.arrivalFactor
	f.scheduleAbout(time.Duration(float64(time.Second)/rate), f.arrive)
}

// startNode starts the process of a node with a list of all ready servers.
func (f *simulatedFleet) startNode(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].dead = true
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

// announce notifies all nodes of a change.
func (f *simulatedFleet) announce(e Endpoint) {
	if f.pendingUpdates = append(f.pendingUpdates, e); len(f.pendingUpdates) > 1 {
		return
	}
	f.schedule(f.now+notificationDelay, func() {
		updates := f.pendingUpdates
		f.pendingUpdates = nil
		for i := range f.nodes {
			notify := func() { f.nodes[i].balancer.UpdateEndpoints(f.now, UpdateDelta, updates) }
			if f.lateNotice && i%3 == 0 {
				f.schedule(f.now+time.Second+time.Duration(f.rng.Float64()*float64(4*time.Second)), notify)
			} else {
				f.scheduleAbout(100*ms, notify)
			}
		}
	})
}

// restart stops a server and starts it, or another one in its place, again.
func (f *simulatedFleet) restart(s *simulatedServer) {
	s.State = Removed
	if s.running != nil {
		s.queue = append(s.queue, s.running)
	}
	for _, j := range s.queue {
		f.end(j, Reset)
	}
	s.queue, s.running = nil, nil
	if f.downtime > 0 || f.replaced {
		f.announce(s.Endpoint)
	}
	f.schedule(f.now+f.downtime, func() {
		if f.replaced {
			s = &simulatedServer{Endpoint: s.Endpoint, speed: s.speed}
			s.Server += 1000
			f.servers = append(f.servers, s)
		}
		s.State, s.StartedAt, s.sends = Ready, f.now, nil
		f.announce(s.Endpoint)
	})
}

// sumCapacity adds up what the warming servers could do.
func (f *simulatedFleet) sumCapacity() {
	const step = 20 * ms
	for _, s := range f.servers {
		if share := f.capacityShare(s); s.State == Ready && share < 1 && f.now >= s.StartedAt+notificationDelay {
			f.workPossible += s.speed * share * step.Seconds()
		}
	}
	f.schedule(f.now+step, f.sumCapacity)
}

// simulate runs the scenario until the last server has warmed up.
func (c scenario) simulate(t *testing.T, seed uint64) *simulatedFleet {
	t.Helper()
	f := newSimulatedFleet(t, c, seed)
	f.arrive()
	began := f.now + c.warmUp
	f.scheduleFaults(began)
	f.schedule(began, f.sumCapacity)
	f.runUntil(began + c.restartSpan + c.downtime + c.rules.SlowStartDuration)
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
		nodes:         make([]*simulatedNode, c.nodes),
		arrivalFactor: 1,
	}
	f.settings.Nodes, f.settings.Rules = c.nodes, c.rules
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
	for i, e := range readyEndpoints(1, c.servers) {
		f.servers = append(f.servers, &simulatedServer{Endpoint: e, speed: speeds[i%len(speeds)]})
	}
	f.rng.Shuffle(c.servers, func(i, j int) { f.servers[i], f.servers[j] = f.servers[j], f.servers[i] })
	sum := 0.0
	for i := range f.nodes {
		f.startNode(i)
		sum += 0.3 + 0.7*f.rng.ExpFloat64() // some nodes get several times the mean
		f.weights = append(f.weights, sum)
	}
	return f
}

// scheduleFaults schedules the restarts of the scenario and all that goes with them.
func (f *simulatedFleet) scheduleFaults(began time.Duration) {
	restarted := max(1, int(f.restarted*float64(f.scenario.servers)))
	for i, s := range f.servers[:restarted] {
		at := began + f.restartSpan*time.Duration(i)/time.Duration(restarted)
		f.schedule(at, func() { f.restart(s) })
	}
	others := f.servers[restarted:]
	f.schedule(began+f.downtime, func() {
		f.arrivalFactor = max(1, f.burst)
		for i := 0; f.othersFail && i < len(others)/3; i++ {
			others[i].fails, others[i].hangs = i%2 == 0, i%2 == 1
		}
	})
	if f.nodesRestartAfter > 0 {
		f.schedule(began+f.nodesRestartAfter, f.restartNodes)
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
		event := heap.Pop(&f.events).(simulatedEvent)
		f.now = event.at
		event.action()
	}
}
