package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
)

// Hundreds that connect and say nothing, or half of it, must not turn usual
// clients away, and are closed themselves before long.
func TestSilentFloodMakesRoom(t *testing.T) {
	n := startSmall(t, testkit.NewBackend(t, testkit.OK))
	var flood []net.Conn
	for i := range 150 {
		nc := n.dial()
		if i%3 == 0 {
			io.WriteString(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Req")
		}
		flood = append(flood, nc)
		if i%15 == 0 {
			if resp := n.ask(n.dial()); resp.StatusCode != http.StatusOK {
				t.Fatalf("a usual client got status %d", resp.StatusCode)
			}
		}
	}
	for _, nc := range flood {
		if _, err := io.Copy(io.Discard, nc); testkit.IsTimeout(err) {
			t.Fatal("a silent connection stays open")
		}
	}
}

// Clients that ask once and keep their connection for good make room at once. Were
// newcomers to wait until one has been idle for seconds, a crowd of clients would
// wait behind one another until nobody is there to be answered.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	n := startSmall(t, testkit.NewBackend(t, testkit.OK))
	began := time.Now()
	for range 200 {
		if resp := n.ask(n.dial()); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d although others are idle", resp.StatusCode)
		}
	}
	if took := time.Since(began); took > testkit.Patience/2 {
		t.Errorf("served after %v: newcomers wait for others to age", took)
	}
}

// Where every connection is at work a newcomer is told when to come back, and
// past the spare descriptors it is closed.
func TestAllConnectionsAtWork(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		testkit.OK(w, r)
	})
	n := startSmall(t, b)
	var busy []net.Conn
	for range 20 { // the module may hold some of them back: at work all the same
		nc := n.dial()
		if err := n.request("read").Write(nc); err != nil {
			t.Fatal(err)
		}
		busy = append(busy, nc)
	}
	for end := time.Now().Add(testkit.Patience); ; {
		resp := n.ask(n.dial())
		if resp.StatusCode == http.StatusServiceUnavailable {
			if !resp.Close || resp.Header.Get("Retry-After") == "" {
				t.Errorf("close %v, headers %v", resp.Close, resp.Header)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("never refused over the cap")
		}
	}
	close(release)
	for _, nc := range busy {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("one at work ended with %v, %v", resp, err)
		}
	}
}

// A client that asks and asks but reads nothing must not hold its connection
// past its time: the node closes it.
func TestClientReadsNothing(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testkit.Patience))
	for err == nil {
		r := n.request("read")
		r.Header.Set("X-Timeout-Ms", "1000")
		err = r.Write(nc)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the node keeps the connection")
	}
}

// Clients in a crowd send noise, half a request or hundreds at once, and go or stay: others are
// served between them, and nothing stays behind.
func TestFloodLeavesNothingBehind(t *testing.T) {
	s := serve(t, testkit.NewBackend(t, testkit.OK).Endpoint("s-0"))
	n, f := s.running, s.front
	var one strings.Builder
	n.request("read").Write(&one)
	var open []net.Conn
	for i := range 60 {
		nc := n.dial()
		switch open = append(open, nc); i % 6 {
		case 0:
			io.WriteString(nc, "\x00\xff noise\r\n\r\n")
		case 1:
			io.WriteString(nc, one.String()[:40])
		case 2, 3:
			for range 300 {
				n.request("read").Write(nc)
			}
			if i%6 == 3 {
				nc.Close()
			}
		case 4:
			io.WriteString(nc, strings.Repeat("x", 2*(maxHeader+maxBody)))
			nc.Close()
		default:
			if resp := n.ask(nc); resp.StatusCode != http.StatusOK {
				t.Errorf("a good one got status %d", resp.StatusCode)
			}
		}
	}
	for _, nc := range open {
		nc.Close()
	}
	f.empty(t)
}

// Requests at work hold every connection to servers that a small node has: each further one
// is answered, served where a place comes free in time, and refused where none does.
func TestServerConnectionsAtTheirCap(t *testing.T) {
	for _, freed := range []bool{true, false} {
		for class, name := range []string{"read", "push", "pay"} {
			t.Run(fmt.Sprintf("%s, freed %v", name, freed), func(t *testing.T) {
				t.Parallel()
				release := make(chan struct{})
				held := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) { <-release; testkit.OK(w, r) })
				var list []endpoint.Endpoint
				for i := range 40 { // more than the cap, so that none is at its own limit
					list = append(list, held.Endpoint(fmt.Sprintf("s-%d", i)))
				}
				l := loopWith(t, func(pool *upstream.Config) { pool.MaxOpen = 2 }, list...)
				answered := make(chan response, 3)
				for range 2 {
					go func() { x, _ := l.submit(t.Context(), l.newRequest(0, staysConnected)); answered <- x }()
					testkit.Wait(t, held.Requests, "a request at work")
				}
				last := l.newRequest(class, staysConnected)
				last.deadline = l.clock() + 4*time.Second
				further := make(chan response, 1)
				go func() { x, _ := l.submit(t.Context(), last); further <- x }()
				if freed {
					testkit.Until(t, "a try", func() (tried bool) {
						l.then(t, func() { tried = len(last.attempts) > 0 })
						return tried
					})
					close(release)
				}
				want := http.StatusServiceUnavailable
				if freed {
					want = http.StatusOK
				}
				if x := testkit.Wait(t, further, "the further request's answer"); x.status != want {
					t.Errorf("status %d, want %d", x.status, want)
				}
				if !freed {
					if len(held.Requests) > 0 {
						t.Error("it was sent")
					}
					close(release)
				}
				for range 2 {
					if x := testkit.Wait(t, answered, "the answer of one at work"); x.status != http.StatusOK {
						t.Errorf("one at work gets status %d", x.status)
					}
				}
				l.open(t, 0, 0)
				if x, _ := l.submit(t.Context(), l.newRequest(class, staysConnected)); x.status != http.StatusOK {
					t.Errorf("status %d once places are free", x.status)
				}
			})
		}
	}
}
