package policy

import (
	"fmt"
	"testing"
)

func TestEnumValuesHaveNames(t *testing.T) {
	for _, tc := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Idempotent, "idempotent"}, {IdempotentWithKey, "idempotent with key"}, {NotIdempotent, "not idempotent"},
		{KeyScopeAll, "all"}, {KeyScopeZone, "zone"}, {KeyScopeCell, "cell"},
		{EndpointRemoved, "removed"}, {EndpointReady, "ready"}, {EndpointDraining, "draining"},
		{UpdateDelta, "delta"}, {UpdateSnapshot, "snapshot"}, {UpdateCached, "cached"},
		{StatusOK, "ok"}, {StatusServerError, "server error"}, {StatusRejected, "rejected"}, {StatusTimeout, "timeout"},
		{StatusConnectFailed, "connect failed"}, {StatusReset, "reset"}, {StatusCancelled, "cancelled"},
		{StatusNotSent, "not sent"},
		{breakerClosed, "closed"}, {breakerOpen, "open"}, {breakerHalfOpen, "half-open"},
		{Status(200), "200"}, // a value without a name
	} {
		if got := tc.value.String(); got != tc.want {
			t.Errorf("%T(%d).String() = %q, want %q", tc.value, tc.value, got, tc.want)
		}
	}
}
