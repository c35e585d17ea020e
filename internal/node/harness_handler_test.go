package node

import (
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

// empty waits until nothing is open but idle connections to servers.
func (f *handler) empty(t *testing.T) {
	t.Helper()
	f.loop.open(t, 0, 0)
	testkit.Until(t, "the connections' end", func() bool {
		pool := f.loop.pool.Stats()
		return f.conns.Open() == 0 && pool.Open == pool.Idle()
	})
}

// accepted gives both ends of a connection that counts.
func accepted(t *testing.T, conns *downstream.Conns) (client net.Conn, node *downstream.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	capped := conns.Listener(l)
	t.Cleanup(func() { capped.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := capped.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return client, nc.(*downstream.Conn)
}
