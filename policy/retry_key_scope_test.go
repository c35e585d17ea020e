package policy

import (
	"fmt"
	"testing"
)

// A request with an idempotency key that may have been executed is sent again only to
// servers that recognize the key: those of its scope. With any other server it would be
// executed twice.
func TestRetryStaysWithinTheKeyScope(t *testing.T) {
	first := Endpoint{Server: 1, State: Ready, Zone: 0, Cell: 1, Weight: 1}
	sameCell := Endpoint{Server: 2, State: Ready, Zone: 1, Cell: 1, Weight: 1}
	sameZone := Endpoint{Server: 2, State: Ready, Zone: 0, Cell: 2, Weight: 1}
	elsewhere := Endpoint{Server: 2, State: Ready, Zone: 1, Cell: 2, Weight: 1}
	for _, c := range []struct {
		scope   KeyScope
		other   Endpoint
		retried bool
	}{
		{KeyScopeAll, elsewhere, true},
		{KeyScopeZone, sameZone, true},
		{KeyScopeZone, sameCell, false},
		{KeyScopeZone, elsewhere, false},
		{KeyScopeCell, sameCell, true},
		{KeyScopeCell, sameZone, false},
		{KeyScopeCell, elsewhere, false},
	} {
		t.Run(fmt.Sprintf("%v, other server in zone %d and cell %d", c.scope, c.other.Zone, c.other.Cell), func(t *testing.T) {
			settings := testSettings()
			settings.Classes[1].KeyScope = c.scope
			h := newHarness(t, settings, 1)
			h.updateEndpoints(UpdateSnapshot, first)
			id := h.request(1)
			draining := first
			draining.State = Draining
			h.updateEndpoints(UpdateSnapshot, draining, c.other)
			h.endAttempt(id, ServerError, 10*ms)
			h.advance(settings.Classes[1].Objective / 2)
			if retried := len(h.attemptedServers(id)) > 1; retried != c.retried {
				t.Errorf("sent to %v, retried %v, want %v", h.attemptedServers(id), retried, c.retried)
			}
		})
	}
}
