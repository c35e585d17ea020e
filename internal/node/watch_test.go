package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/policy"
)

// scripted is a discovery whose calls the test answers itself.
func scripted(t *testing.T) (addr string, calls chan *http.Request, answers chan string) {
	calls, answers = make(chan *http.Request, 100), make(chan string)
	d := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		calls <- r
		select {
		case text := <-answers:
			switch text {
			case "reset":
				reset(w, r)
			case "down":
				http.Error(w, "down", http.StatusServiceUnavailable)
			default:
				io.WriteString(w, text)
			}
		case <-r.Context().Done():
		}
	})
	return d.Listener.Addr().String(), calls, answers
}

// A watch that falls silent is opened anew before what it misses counts as told, and so
// is one that is reset; what has changed meanwhile arrives, indented or not.
func TestWatchFallsSilentOrIsReset(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		for _, how := range []string{"", "reset"} {
			t.Run(mode+" "+how, func(t *testing.T) {
				t.Parallel()
				addr, calls, answers := scripted(t)
				n := start(t, testConfig(t, newRegistry(t), func(file map[string]any) {
					file["discovery"] = addr
					file["settings"] = jsonText(strings.Replace(settingsText, "pushed", mode, 1))
				}))
				wait(t, calls, "the first call")
				answers <- `{"generation":3,"reset":true,"instances":[]}`
				n.waitReady(http.StatusOK)
				wait(t, calls, "the watch")
				began := time.Now()
				if how != "" {
					answers <- how
				}
				again := wait(t, calls, "the watch anew")
				if took := time.Since(began); took >= policy.NotificationDeadline {
					t.Errorf("opened anew after %v", took)
				}
				if q := again.URL.RawQuery; !strings.HasPrefix(q, "after=3&") {
					t.Errorf("asks for %q", q)
				}
				b := newBackend(t, ok)
				text, err := json.MarshalIndent(registry{Generation: 4, Instances: []instance{b.instance("s-0")}}, "", "  ")
				if err != nil {
					t.Fatal(err)
				}
				answers <- string(text)
				wait(t, calls, "the next watch")
				if a := n.do(n.request("read")); a.status != http.StatusOK {
					t.Errorf("status %d", a.status)
				}
			})
		}
	}
}

// The budget of a silent watch: its wait, what an answer may be late by and the spread of
// the calls anew leave an eighth of the time for the answer.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	if left := policy.NotificationDeadline - watchWait - watchSlack - time.Second*3/4; left < policy.NotificationDeadline/8 {
		t.Errorf("%v are left for the call anew", left)
	}
	// For a call that may wait, 2 s behind its wait count too, if that is later.
	if watchWait+2*time.Second > policy.NotificationDeadline {
		t.Errorf("a wait of %v moves the time", watchWait)
	}
}

// Where lists are pushed, the news count as told the moment discovery is back: the calls
// come at least twice in what a drain allows.
func TestPushedCallsKeepPaceWithADrain(t *testing.T) {
	for ms, want := range map[int]time.Duration{
		300: 150 * time.Millisecond, 1000: 500 * time.Millisecond, 9000: time.Second, 0: backoffFirst,
	} {
		cfg := testConfig(t, newRegistry(t), func(file map[string]any) {
			file["settings"] = jsonText(strings.Replace(settingsText, `"Limits"`, fmt.Sprintf(`"Contract": {"DrainGraceMs": %d}, "Limits"`, ms), 1))
		})
		l, err := newLoop(t.Context(), cfg, nil)
		if err != nil {
			t.Fatal(err)
		}
		if d := newDiscovery(cfg, l, nil); d.backoff != want {
			t.Errorf("a grace of %d ms: %v between calls, want %v", ms, d.backoff, want)
		}
	}
}

// Discovery moves while a call is out, at any point of it: the old call ends, whatever it
// still brings, and the new place is asked for all.
func TestDiscoveryMovesUnderACall(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, newRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["settings"] = jsonText(strings.Replace(settingsText, "pushed", mode, 1))
			}))
			first := wait(t, calls, "the first call")
			next, nextCalls, nextAnswers := scripted(t)
			n.node.MoveDiscovery(next) // before anything is known
			if q := wait(t, nextCalls, "a call to the new place").URL.RawQuery; q != "" {
				t.Errorf("the new place is asked for %q", q)
			}
			wait(t, first.Context().Done(), "the end of the old call")
			nextAnswers <- `{"generation":9,"reset":true,"instances":[]}`
			n.waitReady(http.StatusOK)
			watch := wait(t, nextCalls, "the watch")
			n.node.MoveDiscovery(addr) // and back, under the watch
			wait(t, watch.Context().Done(), "the end of the watch")
			if q := wait(t, calls, "a call to the old place").URL.RawQuery; q != "" {
				t.Errorf("the old place is asked for %q", q)
			}
			answers <- `{"generation":2,"reset":true,"instances":[]}`
			if q := wait(t, calls, "its watch").URL.RawQuery; !strings.HasPrefix(q, "after=2&") {
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
			n := start(t, testConfig(t, newRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["known"] = registry{Instances: []instance{{InstanceID: "s", HostPort: "127.0.0.1:1", Lifecycle: "Gone"}}}
				text := strings.Replace(settingsText, "pushed", mode, 1)
				file["settings"] = jsonText(strings.Replace(text, `"Limits"`, `"Balancers": 300, "Contract": {"MustAskInMs": 600000}, "Limits"`, 1))
			}))
			next, nextCalls, nextAnswers := scripted(t)
			n.waitReady(http.StatusOK)
			began := time.Now()
			n.node.MoveDiscovery(next)
			for range 3 {
				wait(t, nextCalls, "a call to the new place")
				nextAnswers <- "reset"
			}
			wait(t, nextCalls, "a call after the failed ones")
			if took := time.Since(began); took >= movedTold {
				t.Errorf("asked again after %v", took)
			}
			nextAnswers <- `{"generation":1,"reset":true,"instances":[]}`
			wait(t, nextCalls, "the watch")
			_, _ = calls, answers
		})
	}
}

// A watch is wished for while one is under way, which then fails: the module says anew when
// to ask, and the old wish does not make all nodes ask at once.
func TestStaleWishForAWatch(t *testing.T) {
	addr, calls, answers := scripted(t)
	cfg := testConfig(t, newRegistry(t), func(file map[string]any) {
		file["discovery"] = addr
		text := strings.Replace(settingsText, "pushed", "on_request", 1)
		file["settings"] = jsonText(strings.Replace(text, `"Limits"`, `"Balancers": 300, "Contract": {"MustAskInMs": 600000000}, "Limits"`, 1))
	})
	l, err := newLoop(t.Context(), cfg, newUpstreams(cfg, 20))
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	d := newDiscovery(cfg, l, nil)
	d.listed = true
	failed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { defer close(failed); d.follow(ctx, true, func() {}) }()
	wait(t, calls, "the watch")
	l.watch()
	answers <- "reset"
	for end := time.Now().Add(patience); len(d.wanted) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the wish stays")
		}
	}
	l.then(t, func() {}) // the module has the failure, and its timer is 0.4 s away at least
	if len(calls) > 0 {
		t.Error("asked again at once")
	}
	cancel()
	wait(t, failed, "the end")
}

// Discovery goes down, which ends the watch, and comes back with a change: the node asks
// again by itself, from where it was, and follows.
func TestWatchEndsAndDiscoveryReturns(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a, b := newBackend(t, ok), newBackend(t, ok)
			addr, calls, answers := scripted(t)
			n := start(t, testConfig(t, newRegistry(t), func(file map[string]any) {
				file["discovery"] = addr
				file["settings"] = jsonText(strings.Replace(settingsText, "pushed", mode, 1))
			}))
			list := func(generation uint64, in ...instance) {
				text, err := json.Marshal(registry{Generation: generation, Instances: in})
				if err != nil {
					t.Error(err)
				}
				answers <- string(text)
			}
			wait(t, calls, "the first call")
			list(5, a.instance("s-0"))
			wait(t, calls, "the watch")
			answers <- "down"
			wait(t, calls, "a call while it is down")
			answers <- "down"
			again := wait(t, calls, "a call as it is back")
			if q := again.URL.RawQuery; !strings.HasPrefix(q, "after=5&") {
				t.Errorf("asks for %q", q)
			}
			drains := a.instance("s-0")
			drains.Lifecycle = "Terminating"
			list(6, drains, b.instance("s-1"))
			if q := wait(t, calls, "the next watch").URL.RawQuery; !strings.HasPrefix(q, "after=6&") {
				t.Errorf("then for %q", q)
			}
			if x := n.do(n.request("read")); x.status != http.StatusOK || len(a.got) > 0 {
				t.Errorf("status %d, %d sends to the server that drains", x.status, len(a.got))
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
			n := start(t, testConfig(t, newRegistry(t), largeFleet(addr)))
			wait(t, calls, "the first call")
			answers <- known
			wait(t, calls, "the watch")
			for range 2 {
				began := time.Now()
				fail(n, answers)
				wait(t, calls, "a call after a failed one")
				if took := time.Since(began); took >= policy.NotificationDeadline {
					t.Errorf("called again after %v", took)
				}
			}
		})
	}
	t.Run("refused", func(t *testing.T) {
		t.Parallel()
		addr := freeAddr(t)
		cfg := testConfig(t, newRegistry(t), largeFleet(addr))
		l, err := newLoop(t.Context(), cfg, newUpstreams(cfg, 20))
		if err != nil {
			t.Fatal(err)
		}
		d := newDiscovery(cfg, l, nil)
		go d.run(t.Context(), registry{}, func() {})
		for range 5 { // no list, a refused call, a timer, the same again
			wait(t, l.events, "an event")(l.clock())
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

// largeFleet is the configuration of a node among many before a discovery that is asked seldom.
func largeFleet(discovery string) func(file map[string]any) {
	return func(file map[string]any) {
		file["discovery"] = discovery
		text := strings.Replace(settingsText, "pushed", "on_request", 1)
		file["settings"] = jsonText(strings.Replace(text, `"Limits"`,
			`"Balancers": 650, "Me": 649, "Contract": {"MustAskInMs": 30000}, "Limits"`, 1))
	}
}
