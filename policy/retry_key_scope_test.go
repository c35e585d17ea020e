package policy

import (
	"fmt"
	"testing"
)

// Guards against executing a request with an idempotency key twice. If it may have been executed, a retry may go only
// to the servers that recognize the key, which are those in its scope.
func TestRetryStaysWithinTheKeyScope(t *testing.T) {
	first := Endpoint{Server: 1, State: EndpointReady, Zone: 0, Cell: 1, Weight: 1}
	sameCell := Endpoint{Server: 2, State: EndpointReady, Zone: 1, Cell: 1, Weight: 1}
	sameZone := Endpoint{Server: 2, State: EndpointReady, Zone: 0, Cell: 2, Weight: 1}
	elsewhere := Endpoint{Server: 2, State: EndpointReady, Zone: 1, Cell: 2, Weight: 1}
	for _, tc := range []struct {
		scope       KeyScope
		other       Endpoint
		wantRetried bool
	}{
		{KeyScopeAll, elsewhere, true},
		{KeyScopeZone, sameZone, true},
		{KeyScopeZone, sameCell, false},
		{KeyScopeZone, elsewhere, false},
		{KeyScopeCell, sameCell, true},
		{KeyScopeCell, sameZone, false},
		{KeyScopeCell, elsewhere, false},
	} {
		name := fmt.Sprintf("key scope %v, other server in zone %d and cell %d", tc.scope, tc.other.Zone, tc.other.Cell)
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[1].KeyScope = tc.scope
			h := newHarness(t, settings, 1)
			h.updateEndpoints(UpdateSnapshot, first)
			id := h.request(1)
			draining := first
			draining.State = EndpointDraining
			h.updateEndpoints(UpdateSnapshot, draining, tc.other)
			h.endAttempt(id, StatusServerError, 10*ms)
			h.advance(settings.Classes[1].Objective / 2)
			if retried := len(h.attemptedServers(id)) > 1; retried != tc.wantRetried {
				t.Errorf("request sent to servers %v: got retried %v, want %v",
					h.attemptedServers(id), retried, tc.wantRetried)
			}
		})
	}
}
