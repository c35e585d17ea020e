package node

// Clients that leave by every way there is, at every point of a request, over a real frontend
// before a loop that the test holds up: the socket shows the leaving, the loop has not heard.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/downstream"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// served is a frontend on a socket, and the loop behind it.
type served struct {
	*running
	front *handler
	loop  *loop
	conns sync.Map // *downstream.Conn by its client's address
}

// serve starts one with deadlines so long that no time runs out, and places for 400 clients.
func serve(t *testing.T, list ...endpoint.Endpoint) *served {
	t.Helper()
	return serveLingering(t, downstream.DefaultLingerTimeout, list...)
}

// serveLingering does the same with another time that clients have to close their connection.
func serveLingering(t *testing.T, linger time.Duration, list ...endpoint.Endpoint) *served {
	t.Helper()
	cfg := testConfig(t, testkit.NewRegistry(t), deadlines(600000))
	cfg.Policy.Classes[1].KeyRetention = 10 * time.Minute
	cfg.ConnectTimeout = testkit.Patience
	l, err := newLoop(t.Context(), cfg, upstream.NewPool(upstreamConfig(cfg, 400)), unwatched{})
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	l.UpdateEndpoints(policy.UpdateSnapshot, list)
	conns := downstreamConfig(400, 0)
	conns.LingerTimeout = linger
	s := &served{loop: l, front: newHandler(cfg, l, downstream.NewConns(conns))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.running = &running{t: t, addr: listener.Addr().String()}
	srv := s.front.server()
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		s.conns.Store(nc.RemoteAddr().String(), nc)
		s.front.conns.ConnState(nc, state)
	}
	go srv.Serve(s.front.conns.Listener(listener))
	t.Cleanup(func() { srv.Close() })
	return s
}

// asks has a client ask; behind its request come further bytes in the same write.
func (s *served) asks(class, behind string) *net.TCPConn {
	s.t.Helper()
	nc := s.dial().(*net.TCPConn)
	if _, err := io.WriteString(nc, s.text(class)+behind); err != nil {
		s.t.Fatal(err)
	}
	return nc
}

// text is a valid request as it goes over the wire.
func (s *served) text(class string) string {
	r := s.request(class)
	r.Header.Set("X-Timeout-Ms", "600000")
	var b strings.Builder
	r.Write(&b)
	return b.String()
}

// conn is the node's end of a client's connection; nil before it is accepted.
func (s *served) conn(client net.Conn) *downstream.Conn {
	c, _ := s.conns.Load(client.LocalAddr().String())
	conn, _ := c.(*downstream.Conn)
	return conn
}

// shows waits until the node's end of a connection shows that its client left.
func (s *served) shows(client *net.TCPConn) {
	s.t.Helper()
	sees(s.t, s.conn(client).Conn, sockstate.Closed)
}

// forgotten waits until no request is known any more in any part of the node.
func (s *served) forgotten() {
	s.t.Helper()
	s.loop.open(s.t, 0, 0)
	testkit.Until(s.t, "the ids to be free", func() bool {
		return s.front.activeIDs.count() == 0
	})
}

// up waits until so many connections to an address have come up, unused.
func (s *served) up(n int, addr net.Addr) {
	s.t.Helper()
	testkit.Until(s.t, "connections to come up", func() bool {
		idle := 0
		for _, server := range s.loop.pool.Stats().Servers {
			if server.Address == addr.String() {
				idle += server.Idle
			}
		}
		return idle == n
	})
}

// hold queues an event that holds the loop up once it is reached, until it is released.
func (l *loop) hold(t *testing.T) (reached <-chan struct{}, release func()) {
	r, on := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(on) })
	t.Cleanup(release)
	l.post(eventFunc(func(time.Duration) { close(r); <-on }))
	return r, release
}

// due moves the clock on past every retry and to where a hedged request is due, and looks.
func (l *loop) due(time.Duration) {
	l.clockOrigin = l.clockOrigin.Add(-200 * time.Second)
	l.balancer.Timer(l.clock(), 0)
}

// begun counts the attempts of which a first byte went out.
func begun(requests ...*request) (n int) {
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.call.Started() {
				n++
			}
		}
	}
	return n
}

// A client leaves in the moment in which the module decides the next attempt, whether the
// loop has heard of it or only the socket shows it: no attempt begins, nothing is kept.
// One that ends its sending only looks like one that closes, until something is written to
// it; it is taken for gone, so its connection ends with no answer.
func TestNoAttemptBeginsOnceAClientLeft(t *testing.T) {
	for point, p := range map[string]struct {
		class  string
		serves http.HandlerFunc
		others int // requests that take all the room before
		due    func(s *served) func(time.Duration)
		begun  int // its attempts before it leaves
		out    int // and those that are out then
	}{
		"held": {"pay", testkit.Silent(nil), 2, func(s *served) func(time.Duration) {
			return func(now time.Duration) {
				for _, r := range s.loop.requests {
					if r.inFlight > 0 { // one of the others: it makes room
						s.loop.reportOutcome(now, r, 0, upstream.Result{Status: policy.OK})
						return
					}
				}
			}
		}, 0, 0},
		"waits for a retry": {"read", testkit.ServerError, 0, func(s *served) func(time.Duration) { return s.loop.due }, 1, 0},
		"a hedged request":  {"read", testkit.Silent(nil), 0, func(s *served) func(time.Duration) { return s.loop.due }, 1, 1},
	} {
		for way, w := range map[string]struct {
			behind string // its request
			leave  func(nc *net.TCPConn)
		}{
			"closes":              {"", func(nc *net.TCPConn) { nc.Close() }},
			"resets":              {"", func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() }},
			"ends its sending":    {"", func(nc *net.TCPConn) { nc.CloseWrite() }},
			"asks twice, closes":  {"GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9\r\n\r\n", func(nc *net.TCPConn) { nc.Close() }},
			"sends much, closes":  {strings.Repeat("x", 9000), func(nc *net.TCPConn) { nc.Close() }},
			"sends on, closes":    {"", func(nc *net.TCPConn) { io.WriteString(nc, "GET /read HTTP/1.1\r\nHost: x"); nc.Close() }},
			"sends on and resets": {"", func(nc *net.TCPConn) { io.WriteString(nc, strings.Repeat("x", 9000)); nc.SetLinger(0); nc.Close() }},
		} {
			for _, heard := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/heard=%v", point, way, heard), func(t *testing.T) {
					t.Parallel()
					a, b := testkit.NewBackend(t, p.serves), testkit.NewBackend(t, p.serves)
					s := serve(t, a.Endpoint("s-0"), b.Endpoint("s-1"))
					l := s.loop
					l.then(t, func() { // a request took half a minute here
						l.balancer.Request(l.clock(), policy.Request{ID: 1 << 31, Timeout: time.Hour})
						l.balancer.Outcome(l.clock(), policy.Outcome{ID: 1 << 31, RequestEnded: true, Latency: 30 * time.Second})
					})
					for i := range p.others {
						s.asks("pay", "")
						l.open(t, i+1, i+1)
					}
					client := s.asks(p.class, w.behind)
					l.open(t, p.others+1, p.others+p.out)
					testkit.Until(t, "the attempts before", func() bool { return len(a.Requests)+len(b.Requests) == p.others+p.begun })

					reached, release := l.hold(t)
					testkit.Wait(t, reached, "the loop")
					r, looked := l.requests[l.lastID], make(chan bool, 10)
					conn, last := r.client, l.lastID
					r.client = clientFunc(func() bool { gone := conn.ClientDisconnected(); looked <- gone; return gone })
					if heard {
						release()
						w.leave(client)
						l.open(t, p.others, p.others)
						l.post(eventFunc(p.due(s)))
					} else {
						l.post(eventFunc(p.due(s)))
						behind, on := l.hold(t)
						w.leave(client)
						s.shows(client)
						release()
						if !testkit.Wait(t, looked, "the last look") {
							t.Error("the last look misses that the client left")
						}
						testkit.Wait(t, behind, "the loop")
						on()
					}
					if p.others > 0 {
						l.open(t, p.others-1, p.others-1)
					} else {
						s.forgotten()
					}
					l.then(t, func() {
						if n := begun(r); n != p.begun || l.lastID != last {
							t.Errorf("%d attempts began, want %d; requests %d, want %d", n, p.begun, l.lastID, last)
						}
					})
					if text, err := io.ReadAll(client); len(text) > 0 || testkit.IsTimeout(err) {
						t.Errorf("the client was told %q, %v", text, err)
					}
				})
			}
		}
	}
}

// A client leaves while a connection for its first or its second attempt is being opened,
// which comes up before the loop has heard: nothing is written on it.
func TestClientLeavesBeforeALateConnection(t *testing.T) {
	for name, attempt := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far, bad := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError)
			s := serve(t, []endpoint.Endpoint{far.Endpoint("s-0"), bad.Endpoint("s-1")}[attempt])
			l := s.loop
			client := s.asks("read", "")
			if attempt > 0 {
				testkit.Wait(t, bad.Requests, "the first attempt")
				l.open(t, 1, 0)
				l.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{far.Endpoint("s-0")})
				l.post(eventFunc(l.due))
			}
			l.open(t, 1, 1)
			reached, release := l.hold(t)
			testkit.Wait(t, reached, "the loop")
			r := l.requests[l.lastID]
			client.Close()
			s.shows(client)
			said := far.Admit()
			s.up(1, far.Addr())
			release()
			s.forgotten()
			if n := begun(r); len(r.attempts) != attempt+1 || n != attempt || len(said) > 0 {
				t.Errorf("%d of %d attempts began, want %d", n, len(r.attempts), attempt)
			}
		})
	}
}

// A client leaves with a part of its request sent: there never is a request.
func TestPartsOfARequestAreNeverSent(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := serve(t, b.Endpoint("s-0"))
	whole := s.text("pay")
	for name, part := range map[string]string{
		"nothing": "", "half of the head": whole[:len(whole)/2], "the head": whole[:strings.Index(whole, "{")],
		"half of the body": whole[:len(whole)-3],
	} {
		for way, leave := range map[string]func(nc *net.TCPConn){
			"closes": func(nc *net.TCPConn) { nc.Close() }, "resets": func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
			"ends its sending": func(nc *net.TCPConn) { nc.CloseWrite() },
		} {
			client := s.dial().(*net.TCPConn)
			io.WriteString(client, part)
			leave(client)
			testkit.Until(t, "the end of the connection", func() bool {
				c := s.conn(client)
				return c != nil && c.Closed()
			})
			if len(b.Requests) > 0 || s.loop.lastID > 0 {
				t.Errorf("%s, %s: taken for a request", name, way)
			}
		}
	}
}

// crowd is how many clients leave together: more than a loop's event queue has room left.
const crowd = 300

// Hundreds ask a node whose loop is held up and leave again, until its queue is full and the
// rest of the news waits outside: none of them is sent on, all are forgotten.
func TestCrowdLeavesBehindAFullQueue(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := serve(t, b.Endpoint("s-0"), b.Endpoint("s-1"), b.Endpoint("s-2"), b.Endpoint("s-3"))
	l := s.loop
	l.open(t, 0, 0) // the list is known
	reached, release := l.hold(t)
	testkit.Wait(t, reached, "the loop")
	var clients []*net.TCPConn
	for range crowd {
		clients = append(clients, s.asks([]string{"read", "push", "pay"}[len(clients)%3], ""))
	}
	testkit.Until(t, "the requests", func() bool { return len(l.events) == crowd })
	var all []*request
	l.post(eventFunc(func(time.Duration) {
		for _, r := range l.requests {
			all = append(all, r)
		}
	}))
	for len(l.events) < cap(l.events)-crowd/3 {
		l.post(eventFunc(func(time.Duration) {}))
	}
	for i, leave := 0, []func(*net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() }, func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
	}; i < crowd; i++ {
		leave[i%2](clients[i])
	}
	for _, client := range clients {
		s.shows(client)
	}
	testkit.Until(t, "a full queue", func() bool { return len(l.events) == cap(l.events) })
	release()
	s.forgotten()
	if n := begun(all...); len(all) != crowd || n > 0 || len(b.Requests) > 0 {
		t.Errorf("%d of %d attempts began, %d arrived", n, len(all), len(b.Requests))
	}
}

// Hundreds leave at once from mixed points: held, out, waiting for a retry or with a
// connection being opened, which then comes up, while the module has all retries fall due
// and room falls free, before the loop hears of the first: none of their attempts begins.
func TestCrowdLeavesAtMixedPoints(t *testing.T) {
	t.Parallel()
	far, bad, mute := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError), testkit.NewBackend(t, testkit.Silent(nil))
	var list []endpoint.Endpoint
	for i := range 90 {
		list = append(list, []func(string) endpoint.Endpoint{far.Endpoint, bad.Endpoint, mute.Endpoint}[i%3](fmt.Sprintf("s-%d", i)))
	}
	s := serve(t, list...)
	l := s.loop
	var clients []*net.TCPConn
	for range crowd {
		clients = append(clients, s.asks([]string{"read", "push"}[len(clients)%2], ""))
	}
	// Held up once nothing is on its way: each attempt is out, or waits for its connection.
	points := map[string]int{}
	var all []*request
	var release func()
	testkit.Until(t, "all requests at rest", func() bool {
		reached, on := l.hold(t)
		testkit.Wait(t, reached, "the loop")
		clear(points)
		all = all[:0]
		for _, r := range l.requests {
			all = append(all, r)
			point := "held"
			for _, a := range r.attempts {
				switch addr := l.pool.Stats().Servers[a.server].Address; {
				case a.reported:
					point = "between"
				case addr == far.Addr().String():
					point = "dialling"
				case addr == mute.Listener.Addr().String() && a.call.Started():
					point = "out"
				default:
					point = "moving"
				}
			}
			points[point]++
		}
		release = on
		if len(all) == crowd && points["moving"] == 0 {
			return true
		}
		on()
		return false
	})
	l.post(eventFunc(l.due))
	for _, client := range clients {
		client.Close()
	}
	for _, client := range clients {
		s.shows(client)
	}
	decided, before := 0, begun(all...)
	for _, r := range all {
		decided -= len(r.attempts)
	}
	far.Admit()
	s.up(points["dialling"], far.Addr())
	release()
	s.forgotten()
	l.then(t, func() {
		for _, r := range all {
			decided += len(r.attempts)
		}
		late := begun(all...) - before
		t.Logf("%v; %d attempts began before their clients were gone; then %d were decided, %d began", points, before, decided, late)
		if late > 0 || len(points) != 4 {
			t.Error("late attempts, or not all points were met")
		}
	})
}
