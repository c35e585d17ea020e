package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// event is something that happens in a hollowFleet; those of one moment in the order they were set.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario is a run of real Balancers over hollow servers on one virtual clock.
type scenario struct {
	nodes, servers int
	rules          Rules
	load           float64       // offered work as a share of what all servers can do when warm
	cold           float64       // share of the servers that start anew,
	over           time.Duration // one after another in so long,
	lost           time.Duration // each after being away for so long,
	replaced       bool          // under a new id instead of the old one
	burst          float64       // factor on the arrivals once the first is back
	bad            bool          // a third of the other servers fails or hangs by then
	late           bool          // a third of the nodes learns of a start 1 to 5 s late
	fresh          time.Duration // if set: all nodes are restarted so long after the first server stops
	warmUp         time.Duration
}

// hollowFleet plays a scenario and keeps what the cold servers were sent.
type hollowFleet struct {
	scenario
	t       *testing.T
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  events
	nodes   []*hollowNode
	weights []float64 // of the nodes in the traffic, summed up
	servers []*hollowServer
	factor  float64    // on the arrivals
	news    []Endpoint // changes that no node has heard of yet
	next    RequestID

	told, drawn float64 // the worst window of FallFor over its limit, of sends by nodes that knew: by mean work; by drawn work
	broken      int     // sends over the limit with over two thirds of its window from such nodes
	sent, able  float64 // work sent to cold servers once listed, and what they could do meanwhile
}

// hollowServer works at one request after another.
type hollowServer struct {
	Endpoint
	speed      float64 // work a second when warm
	bad, hangs bool
	queue      []*job
	busy       *job
	sends      []coldSend // within FallFor
}

type coldSend struct {
	at          time.Duration
	mean, drawn float64 // work, in requests of mean work
	told        bool
}

// job is an attempt at a server.
type job struct {
	n     *hollowNode
	q     *query
	index int
	s     *hollowServer
	sent  time.Duration
	over  bool
}

// query is a client's try.
type query struct {
	id         RequestID
	class, try int
	work       float64 // seconds
	jobs       []*job
	done       bool
}

// hollowNode is the Host of one Balancer.
type hollowNode struct {
	f       *hollowFleet
	b       *Balancer
	queries map[RequestID]*query
	dead    bool
}

const meanWork = 0.04 // seconds

var classWork = []float64{1.1 * meanWork, 0.6 * meanWork, 0.8 * meanWork} // six, one and one in eight

func (f *hollowFleet) at(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at, f.seq, do})
}

func (f *hollowFleet) after(mean time.Duration, do func()) {
	f.at(f.now+time.Duration(f.rng.ExpFloat64()*float64(mean)), do)
}

// share is the present capacity as the settings give it, 1 when warm.
func (f *hollowFleet) share(s *hollowServer) float64 {
	if age := f.now - s.StartedAt; s.StartedAt > 0 && age < f.rules.SlowStartDuration {
		return f.rules.SlowStartShare + (1-f.rules.SlowStartShare)*age.Seconds()/f.rules.SlowStartDuration.Seconds()
	}
	return 1
}

// count takes a send to a cold server into its window.
func (f *hollowFleet) count(s *hollowServer, x coldSend) {
	s.sends = append(slices.DeleteFunc(s.sends, func(x coldSend) bool { return f.now-x.at >= f.rules.OverloadWindow }), x)
	all, told, drawn := 0.0, 0.0, 0.0
	for _, x := range s.sends {
		all += x.mean
		if x.told {
			told += x.mean
			drawn += x.drawn
		}
	}
	n := f.rules.OverloadMultiple * s.speed * f.share(s) * f.rules.OverloadWindow.Seconds() / meanWork
	limit := n + 2*math.Sqrt(n) + 2
	f.told = max(f.told, told/limit)
	if n >= 10 { // below, a few heavy requests are the limit by chance, and no node is told their work
		f.drawn = max(f.drawn, drawn/limit)
	}
	if all > limit && told > all*2/3 {
		f.broken++
	}
}

func (n *hollowNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f, q := n.f, n.queries[id]
	s := f.servers[slices.IndexFunc(f.servers, func(s *hollowServer) bool { return s.Server == server })]
	j := &job{n: n, q: q, index: len(q.jobs), s: s, sent: f.now}
	q.jobs = append(q.jobs, j)
	if s.State == Ready && f.share(s) < 1 {
		if f.now >= s.StartedAt+listedAfter {
			f.sent += q.work
		}
		told := n.b.endpoints.byID[server].StartedAt == s.StartedAt
		f.count(s, coldSend{f.now, classWork[q.class] / meanWork, q.work / meanWork, told})
	}
	switch {
	case s.State != Ready:
		f.at(f.now+150*ms, func() { f.end(j, ConnectFailed) })
	case s.bad:
		f.at(f.now+2*ms, func() { f.end(j, ServerError) })
	default:
		s.queue = append(s.queue, j)
		f.serve(s)
	}
}

func (n *hollowNode) Cancel(id RequestID, attempt int) {
	j := n.queries[id].jobs[attempt]
	n.f.at(n.f.now, func() { n.f.end(j, Cancelled) })
}

func (n *hollowNode) Reject(id RequestID, after time.Duration) { n.turnAway(id, after) }

func (n *hollowNode) Fail(id RequestID) { n.turnAway(id, 0) }

func (n *hollowNode) WatchEndpoints() {}

func (n *hollowNode) SetTimer(at time.Duration, token uint64) {
	n.f.at(max(at, n.f.now), func() {
		if !n.dead {
			n.b.Timer(n.f.now, token)
		}
	})
}

// turnAway ends a query unserved; two in three clients come again, twice at most, at any node.
func (n *hollowNode) turnAway(id RequestID, wait time.Duration) {
	q := n.queries[id]
	q.done = true
	if again := *q; q.try < 2 && n.f.rng.IntN(3) > 0 {
		n.f.at(n.f.now+wait, func() { n.f.after(50*ms, func() { n.f.ask(again.class, again.try+1, again.work) }) })
	}
}

// serve has a server begin what is next in its queue.
func (f *hollowFleet) serve(s *hollowServer) {
	for s.busy == nil && len(s.queue) > 0 && !s.hangs && s.State == Ready {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.over {
			continue
		}
		s.busy = j
		f.at(f.now+time.Duration(j.q.work/(s.speed*f.share(s))*float64(time.Second)), func() {
			if s.busy == j {
				s.busy = nil
				f.end(j, OK)
				f.serve(s)
			}
		})
	}
}

// end tells a node the outcome of an attempt.
func (f *hollowFleet) end(j *job, status Status) {
	if j.over || j.n.dead {
		return
	}
	j.over = true
	j.q.done = j.q.done || status == OK || status == Timeout
	j.n.b.Outcome(f.now, Outcome{ID: j.q.id, Attempt: j.index, Server: j.s.Server, Status: status,
		RequestEnded: j.q.done, Latency: f.now - j.sent})
}

// ask has a client ask a node, and give up when its time is over.
func (f *hollowFleet) ask(class, try int, work float64) {
	i, _ := slices.BinarySearch(f.weights, f.rng.Float64()*f.weights[len(f.weights)-1])
	n := f.nodes[i]
	f.next++
	q := &query{id: f.next, class: class, try: try, work: work}
	n.queries[q.id] = q
	left := f.set.Classes[class].Deadline
	n.b.Request(f.now, Request{ID: q.id, Class: class, Timeout: left})
	f.at(f.now+left, func() {
		for _, j := range q.jobs {
			f.end(j, Timeout)
		}
		f.at(f.now+time.Second, func() { delete(n.queries, q.id) })
	})
}

// arrive has clients ask in an open loop.
func (f *hollowFleet) arrive() {
	class := max(0, f.rng.IntN(8)-5)
	f.ask(class, 0, classWork[class]*f.rng.ExpFloat64())
	rate := f.load * float64(f.scenario.servers) / meanWork * f.factor
	f.after(time.Duration(float64(time.Second)/rate), f.arrive)
}

// boot starts the process of a node, which learns all that is ready from a list.
func (f *hollowFleet) boot(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].dead = true
	}
	n := &hollowNode{f: f, queries: map[RequestID]*query{}}
	set := f.set
	set.Node = i
	b, err := New(set, f.rng.Uint64(), n)
	if err != nil {
		f.t.Fatal(err)
	}
	n.b, f.nodes[i] = b, n
	var entries []Endpoint
	for _, s := range f.servers {
		if s.State == Ready {
			entries = append(entries, s.Endpoint)
		}
	}
	b.UpdateEndpoints(f.now, UpdateSnapshot, entries)
}

const listedAfter = 300 * ms // from a change until some node may hear of it, with others of that time

// tell has all nodes hear of a change.
func (f *hollowFleet) tell(e Endpoint) {
	if f.news = append(f.news, e); len(f.news) > 1 {
		return
	}
	f.at(f.now+listedAfter, func() {
		news := f.news
		f.news = nil
		for i := range f.nodes {
			hear := func() { f.nodes[i].b.UpdateEndpoints(f.now, UpdateDelta, news) }
			if f.late && i%3 == 0 {
				f.at(f.now+time.Second+time.Duration(f.rng.Float64()*float64(4*time.Second)), hear)
			} else {
				f.after(100*ms, hear)
			}
		}
	})
}

// restart ends a server and has it, or another one in its place, come back cold.
func (f *hollowFleet) restart(s *hollowServer) {
	s.State = Gone
	if s.busy != nil {
		s.queue = append(s.queue, s.busy)
	}
	for _, j := range s.queue {
		f.end(j, Reset)
	}
	s.queue, s.busy = nil, nil
	if f.lost > 0 || f.replaced {
		f.tell(s.Endpoint)
	}
	f.at(f.now+f.lost, func() {
		if f.replaced {
			s = &hollowServer{Endpoint: s.Endpoint, speed: s.speed}
			s.Server += 1000
			f.servers = append(f.servers, s)
		}
		s.State, s.StartedAt, s.sends = Ready, f.now, nil
		f.tell(s.Endpoint)
	})
}

// look adds up what the cold servers could do.
func (f *hollowFleet) look() {
	const step = 20 * ms
	for _, s := range f.servers {
		if share := f.share(s); s.State == Ready && share < 1 && f.now >= s.StartedAt+listedAfter {
			f.able += s.speed * share * step.Seconds()
		}
	}
	f.at(f.now+step, f.look)
}

func (c scenario) play(t *testing.T, seed uint64) *hollowFleet {
	f := &hollowFleet{scenario: c, t: t, set: testSettings(), rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, factor: 1}
	f.set.Nodes, f.set.Rules = c.nodes, c.rules
	f.set.Classes = []Class{
		{Deadline: 600 * ms, Objective: 300 * ms, PriorityWeight: 1, LateFraction: 0.25},
		{Deadline: 1500 * ms, Objective: 500 * ms, PriorityWeight: 1, LateFraction: 0.25, Idempotency: IdempotentWithKey, KeyRetention: 5 * time.Second},
		{Deadline: time.Second, Objective: 300 * ms, PriorityWeight: 10, LateFraction: 0.5, Idempotency: NotIdempotent},
	}
	for i, e := range ready(1, c.servers) {
		f.servers = append(f.servers, &hollowServer{Endpoint: e, speed: []float64{1.5, 1.5, 0.9, 0.55, 0.55}[i%5]})
	}
	f.rng.Shuffle(c.servers, func(i, j int) { f.servers[i], f.servers[j] = f.servers[j], f.servers[i] })
	f.nodes = make([]*hollowNode, c.nodes)
	sum := 0.0
	for i := range f.nodes {
		f.boot(i)
		sum += 0.3 + 0.7*f.rng.ExpFloat64() // some nodes get several times the mean
		f.weights = append(f.weights, sum)
	}
	f.arrive()
	began := f.now + c.warmUp
	k := max(1, int(c.cold*float64(c.servers)))
	for i, s := range f.servers[:k] {
		f.at(began+c.over*time.Duration(i)/time.Duration(k), func() { f.restart(s) })
	}
	others := f.servers[k:]
	f.at(began+c.lost, func() {
		f.factor = max(1, c.burst)
		for i := 0; c.bad && i < len(others)/3; i++ {
			others[i].bad, others[i].hangs = i%2 == 0, i%2 == 1
		}
	})
	if c.fresh > 0 {
		f.at(began+c.fresh, func() {
			for i := range f.nodes {
				f.boot(i)
			}
		})
	}
	f.at(began, f.look)
	for end := began + c.over + c.lost + c.rules.SlowStartDuration; f.now < end; {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return f
}
