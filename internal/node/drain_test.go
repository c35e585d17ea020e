package node

import (
	"net/http"
	"testing"
	"time"

	"calicohinge/policy"
)

// A drain, a loss or a restart is told while a connection to the server is being opened,
// which then comes up: nothing goes out on it, and the request goes elsewhere.
func TestServerDrainsWhileAConnectionIsOpened(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(list []instance) []instance{
		"drains":   func(list []instance) []instance { list[0].Lifecycle = "Terminating"; return list },
		"gone":     func(list []instance) []instance { return list[1:] },
		"restarts": func(list []instance) []instance { list[0].StartedAtMs = float64(time.Now().UnixMilli()); return list },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far := newStuck(t)
			l := loopOf(t, far.instance("s-0"))
			d := &discovery{loop: l}
			answered := make(chan answer, 1)
			go func() { a, _ := l.do(t.Context(), l.ofClass(2, present)); answered <- a }()
			l.open(t, 1, 1)
			b := newBackend(t, ok)
			list := change([]instance{far.instance("s-0"), b.instance("s-1")})
			d.notify(policy.UpdateSnapshot, list)
			l.then(t, func() {
				for _, r := range l.requests {
					if a := r.attempts[0]; !a.told || a.call.gate.Load() != revoked {
						t.Error("the attempt may still be sent")
					}
				}
			})
			said := far.letIn()
			if a := wait(t, answered, "an answer"); a.status != http.StatusOK && name != "restarts" {
				t.Errorf("status %d", a.status)
			}
			if name != "restarts" && len(said) > 0 { // a restarted one may be picked anew
				t.Errorf("%q was sent", <-said)
			}
		})
	}
}

// A drain is told while a request waits for its next attempt: that goes elsewhere.
func TestServerDrainsBeforeARetry(t *testing.T) {
	a, b, c := newBackend(t, serverError), newBackend(t, ok), newBackend(t, ok)
	l := loopOf(t, a.instance("s-0"))
	d := &discovery{loop: l}
	answered := make(chan answer, 1)
	go func() { x, _ := l.do(t.Context(), l.ofClass(0, present)); answered <- x }()
	wait(t, a.got, "the first attempt")
	l.open(t, 1, 0)
	drains := b.instance("s-1")
	d.notify(policy.UpdateDelta, []instance{drains})
	drains.Lifecycle = "Terminating"
	d.notify(policy.UpdateDelta, []instance{drains, c.instance("s-2")})
	if x := wait(t, answered, "an answer"); x.status != http.StatusOK || len(b.got) > 0 {
		t.Errorf("status %d, %d sends to the server that drains", x.status, len(b.got))
	}
}
