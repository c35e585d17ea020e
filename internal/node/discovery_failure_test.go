package node

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/discovery"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// A watch that falls silent is opened anew before what it misses counts as told, and so
// is one that is reset; what has changed meanwhile arrives, indented or not.
func TestWatchFallsSilentOrIsReset(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		for _, how := range []string{"", "reset"} {
			t.Run(mode+" "+how, func(t *testing.T) {
				t.Parallel()
				addr, calls, answers := scripted(t)
				n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
					file["discovery"] = addr
					file["settings"] = testkit.JSON(strings.Replace(settingsText, "pushed", mode, 1))
				}))
				testkit.Wait(t, calls, "the first call")
				answers <- `{"generation":3,"reset":true,"instances":[]}`
				n.waitReady(http.StatusOK)
				testkit.Wait(t, calls, "the watch")
				began := time.Now()
				if how != "" {
					answers <- how
				}
				again := testkit.Wait(t, calls, "the watch anew")
				if took := time.Since(began); took >= policy.NotificationDeadline {
					t.Errorf("opened anew after %v", took)
				}
				if q := again.URL.RawQuery; !strings.HasPrefix(q, "after=3&") {
					t.Errorf("asks for %q", q)
				}
				b := testkit.NewBackend(t, testkit.OK)
				text, err := json.MarshalIndent(endpoint.List{Generation: 4, Endpoints: []endpoint.Endpoint{b.Endpoint("s-0")}}, "", "  ")
				if err != nil {
					t.Fatal(err)
				}
				answers <- string(text)
				testkit.Wait(t, calls, "the next watch")
				if a := n.do(n.request("read")); a.status != http.StatusOK {
					t.Errorf("status %d", a.status)
				}
			})
		}
	}
}

// Discovery moves while a call is out, at any point of it: the old call ends, whatever it
// still brings, and the new place is asked for all.
func TestDiscoveryMovesUnderACall(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["settings"] = testkit.JSON(strings.Replace(settingsText, "pushed", mode, 1))
			}))
			first := testkit.Wait(t, calls, "the first call")
			next, nextCalls, nextAnswers := scripted(t)
			n.node.MoveDiscovery(next) // before anything is known
			if q := testkit.Wait(t, nextCalls, "a call to the new place").URL.RawQuery; q != "" {
				t.Errorf("the new place is asked for %q", q)
			}
			testkit.Wait(t, first.Context().Done(), "the end of the old call")
			nextAnswers <- `{"generation":9,"reset":true,"instances":[]}`
			n.waitReady(http.StatusOK)
			watch := testkit.Wait(t, nextCalls, "the watch")
			n.node.MoveDiscovery(addr) // and back, under the watch
			testkit.Wait(t, watch.Context().Done(), "the end of the watch")
			if q := testkit.Wait(t, calls, "a call to the old place").URL.RawQuery; q != "" {
				t.Errorf("the old place is asked for %q", q)
			}
			answers <- `{"generation":2,"reset":true,"instances":[]}`
			if q := testkit.Wait(t, calls, "its watch").URL.RawQuery; !strings.HasPrefix(q, "after=2&") {
				t.Errorf("then for %q", q)
			}
		})
	}
}

// Discovery moves to a place that turns the first call away: its news count as told 4 s after
// the move, so that the nodes of a large fleet must not back off as after other failures.
func TestNewDiscoveryFailsAtFirst(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["known"] = endpoint.List{Endpoints: []endpoint.Endpoint{{InstanceID: "s", Address: "127.0.0.1:1", Lifecycle: "Gone"}}}
				text := strings.Replace(settingsText, "pushed", mode, 1)
				file["settings"] = testkit.JSON(strings.Replace(text, `"Limits"`, `"Balancers": 300, "Contract": {"MustAskInMs": 600000}, "Limits"`, 1))
			}))
			next, nextCalls, nextAnswers := scripted(t)
			n.waitReady(http.StatusOK)
			began := time.Now()
			n.node.MoveDiscovery(next)
			for range 3 {
				testkit.Wait(t, nextCalls, "a call to the new place")
				nextAnswers <- "reset"
			}
			testkit.Wait(t, nextCalls, "a call after the failed ones")
			if took := time.Since(began); took >= 4*time.Second {
				t.Errorf("asked again after %v", took)
			}
			nextAnswers <- `{"generation":1,"reset":true,"instances":[]}`
			testkit.Wait(t, nextCalls, "the watch")
			_, _ = calls, answers
		})
	}
}

// Discovery goes down, which ends the watch, and comes back with a change: the node asks
// again by itself, from where it was, and follows.
func TestWatchEndsAndDiscoveryReturns(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["settings"] = testkit.JSON(strings.Replace(settingsText, "pushed", mode, 1))
			}))
			list := func(generation uint64, in ...endpoint.Endpoint) {
				text, err := json.Marshal(endpoint.List{Generation: generation, Endpoints: in})
				if err != nil {
					t.Error(err)
				}
				answers <- string(text)
			}
			testkit.Wait(t, calls, "the first call")
			list(5, a.Endpoint("s-0"))
			testkit.Wait(t, calls, "the watch")
			answers <- "down"
			testkit.Wait(t, calls, "a call while it is down")
			answers <- "down"
			again := testkit.Wait(t, calls, "a call as it is back")
			if q := again.URL.RawQuery; !strings.HasPrefix(q, "after=5&") {
				t.Errorf("asks for %q", q)
			}
			drains := a.Endpoint("s-0")
			drains.Lifecycle = "Terminating"
			list(6, drains, b.Endpoint("s-1"))
			if q := testkit.Wait(t, calls, "the next watch").URL.RawQuery; !strings.HasPrefix(q, "after=6&") {
				t.Errorf("then for %q", q)
			}
			if x := n.do(n.request("read")); x.status != http.StatusOK || len(a.Requests) > 0 {
				t.Errorf("status %d, %d sends to the server that drains", x.status, len(a.Requests))
			}
		})
	}
}

// Calls to discovery fail twice over, in each way in which they can, at a node of a large fleet
// where little is asked for: news count as told 6 s after discovery could be reached again.
func TestNewsAfterFailedCalls(t *testing.T) {
	const known = `{"generation":3,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Ready"}]}`
	answer := func(text string) func(*running, chan string) {
		return func(_ *running, answers chan string) { answers <- text }
	}
	for name, fail := range map[string]func(n *running, answers chan string){
		"turned away": answer("down"),
		"reset":       answer("reset"),
		"no list":     answer("<html>"),
		"silent":      func(*running, chan string) {},
		"given up at SIGHUP": func(n *running, _ chan string) { // of a file that was not changed
			n.node.MoveDiscovery(n.node.cfg.Discovery)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, testkit.NewRegistry(t), largeFleet(addr)))
			testkit.Wait(t, calls, "the first call")
			answers <- known
			testkit.Wait(t, calls, "the watch")
			for range 2 {
				began := time.Now()
				fail(n, answers)
				testkit.Wait(t, calls, "a call after a failed one")
				if took := time.Since(began); took >= policy.NotificationDeadline {
					t.Errorf("called again after %v", took)
				}
			}
		})
	}
	t.Run("refused", func(t *testing.T) {
		t.Parallel()
		addr := testkit.FreeAddr(t)
		cfg := testConfig(t, testkit.NewRegistry(t), largeFleet(addr))
		d := discovery.New(discovery.Config{Address: addr, Poll: true})
		l, err := newLoop(t.Context(), cfg, upstream.NewPool(upstreamConfig(cfg, 20)), d)
		if err != nil {
			t.Fatal(err)
		}
		go d.Run(t.Context(), l)
		for range 5 { // no list, a refused call, a timer, the same again
			testkit.Wait(t, l.events, "an event").handle(l, l.clock())
		}
		back, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer back.Close()
		began := time.Now()
		go l.run()
		nc, err := back.Accept()
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
		if took := time.Since(began); took >= policy.NotificationDeadline {
			t.Errorf("called again after %v", took)
		}
	})
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
