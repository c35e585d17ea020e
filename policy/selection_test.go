package policy

import (
	"math/rand/v2"
	"testing"
)

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

func TestDrawTwoTakesTheBetterOfTwoRandomServers(t *testing.T) {
	scored := func(value float64) *server { return &server{score: serverScore{value: value}} }
	worst, middle, best := scored(0.1), scored(0.5), scored(0.9)
	set := candidates{closed: []*server{worst, middle, best}}
	random := rand.New(rand.NewPCG(1, 0))
	selected := map[*server]int{}
	for range 300 {
		selected[set.betterOfTwoRandom(random)]++
	}
	if selected[worst] > 0 || selected[middle] == 0 || selected[best] <= selected[middle] {
		t.Errorf("drawn %d, %d and %d times from the worst to the best, want none, some and most",
			selected[worst], selected[middle], selected[best])
	}
	if set.best() != best {
		t.Error("the best of all must have the highest score")
	}
}

func TestDrawTwoOfTwoNeedsNoDraw(t *testing.T) {
	set := candidates{closed: []*server{{score: serverScore{value: 0.1}}, {score: serverScore{value: 0.9}}}}
	if set.betterOfTwoRandom(nil) != set.closed[1] {
		t.Error("the better of two servers lost")
	}
}
