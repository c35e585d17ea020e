package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

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
