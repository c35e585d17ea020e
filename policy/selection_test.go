package policy

import "testing"

func TestEqualServersGoByZone(t *testing.T) {
	sameZone, otherZone := &server{sameZone: true}, &server{}
	if betterServer(otherZone, sameZone) != sameZone || betterServer(sameZone, otherZone) != sameZone {
		t.Fatal("among equals the server in the same zone must win")
	}
	sameZone.inFlight = append(sameZone.inFlight, &attempt{})
	if betterServer(sameZone, otherZone) != otherZone {
		t.Fatal("fewer in flight must win over the zone")
	}
}
