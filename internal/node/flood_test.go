package node

// Floods of clients and of requests against the node's share of descriptors.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// try asks as a client does: once more on a new connection where the first is closed sockstate.Readable.
func (n *running) try() (status int, err error) {
	for range 2 {
		var nc net.Conn
		if nc, err = net.Dial("tcp", n.addr); err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(testkit.Patience))
		r := n.request("read")
		var resp *http.Response
		if err = r.Write(nc); err == nil {
			if resp, err = http.ReadResponse(bufio.NewReader(nc), r); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		nc.Close()
		if err == nil {
			return resp.StatusCode, nil
		}
	}
	return 0, err
}

// flood opens so many connections that stay: one in three says nothing, one says half a
// request, and one is idle after an answer where there is one.
func (n *running) flood(count int) (conns []net.Conn) {
	for i := range count {
		nc, err := net.Dial("tcp", n.addr)
		if err != nil {
			n.t.Error(err)
			return conns
		}
		n.t.Cleanup(func() { nc.Close() })
		conns = append(conns, nc)
		switch i % 3 {
		case 1:
			io.WriteString(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Req")
		case 2:
			r := n.request("read")
			r.Write(nc)
			if resp, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil { // else it made room
				io.Copy(io.Discard, resp.Body)
			}
		}
	}
	return conns
}

// Idle clients take every place while discovery is down, however it is, and as many come the
// moment that it is back: the node follows it in time and answers all who ask.
func TestDiscoveryReturnsUnderAFlood(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		for _, how := range []string{"down", "reset", "silent"} {
			t.Run(mode+" "+how, func(t *testing.T) {
				t.Parallel()
				a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
				addr, calls, answers := scripted(t)
				n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
					file["discovery"] = addr
					file["limits"] = map[string]any{"sockets": 64}
					file["known"] = endpoint.List{Generation: 1, Reset: true, Endpoints: []endpoint.Endpoint{a.Endpoint("s-0")}}
					file["settings"] = testkit.JSON(strings.Replace(settingsText, "pushed", mode, 1))
				}))
				n.waitReady(http.StatusOK)
				answer := func() {
					if how != "silent" {
						answers <- how
					}
				}
				testkit.Wait(t, calls, "a first call")
				answer()
				idle := n.flood(90)
				if how != "silent" {
					testkit.Wait(t, calls, "a call while it is down")
					answer()
				}
				if status, err := n.try(); err != nil || status != http.StatusOK {
					t.Errorf("while discovery is down: status %d, %v", status, err)
				}
				n.waitReady(http.StatusOK)
				open := 0
				for _, nc := range idle {
					if sockstate.Peek(nc) != sockstate.Closed {
						open++
					}
				}
				if open > 22 {
					t.Errorf("%d idle connections are open, want 22 at most", open)
				}
				testkit.Wait(t, calls, "the call as it is back")
				drains := a.Endpoint("s-0")
				drains.Lifecycle = "Terminating"
				text, err := json.Marshal(endpoint.List{Generation: 2, Endpoints: []endpoint.Endpoint{drains, b.Endpoint("s-1")}})
				if err != nil {
					t.Fatal(err)
				}
				back := make(chan struct{})
				var crowd sync.WaitGroup
				for range 5 {
					crowd.Go(func() { <-back; n.flood(30) })
					crowd.Go(func() {
						<-back
						for range 4 {
							if status, err := n.try(); err != nil || status != http.StatusOK {
								t.Errorf("as discovery is back: status %d, %v", status, err)
							}
						}
					})
				}
				began := time.Now()
				close(back)
				answers <- string(text)
				if q := testkit.Wait(t, calls, "the next watch").URL.RawQuery; !strings.HasPrefix(q, "after=2&") {
					t.Errorf("asks for %q", q)
				}
				if took := time.Since(began); took > policy.NotificationDeadline {
					t.Errorf("follows after %v", took)
				}
				crowd.Wait()
				for len(a.Requests) > 0 {
					<-a.Requests
				}
				n.flood(60)
				for range 20 {
					if status, err := n.try(); err != nil || status != http.StatusOK {
						t.Errorf("afterwards: status %d, %v", status, err)
					}
				}
				if len(a.Requests) > 0 {
					t.Errorf("%d sends to the server that drains", len(a.Requests))
				}
			})
		}
	}
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
