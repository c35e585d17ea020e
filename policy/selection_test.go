package policy

import (
	"math/rand/v2"
	"testing"
)

func TestBetterServerPrefersFewerInFlightThenSameZone(t *testing.T) {
	sameZone, otherZone := &server{sameZone: true}, &server{}
	if betterServer(otherZone, sameZone) != sameZone || betterServer(sameZone, otherZone) != sameZone {
		t.Fatal("betterServer did not return the server in the node's zone, with all else equal")
	}
	sameZone.inFlight = append(sameZone.inFlight, &attempt{})
	if betterServer(sameZone, otherZone) != otherZone {
		t.Fatal("betterServer did not return the server with fewer attempts in flight, which is in another zone")
	}
}

func TestBetterOfTwoRandomNeverSelectsTheWorst(t *testing.T) {
	scored := func(value float64) *server { return &server{score: serverScore{value: value}} }
	worst, middle, best := scored(0.1), scored(0.5), scored(0.9)
	set := candidates{closed: []*server{worst, middle, best}}
	random := rand.New(rand.NewPCG(1, 0))
	selected := map[*server]int{}
	for range 300 {
		selected[set.betterOfTwoRandom(random)]++
	}
	if selected[worst] > 0 || selected[middle] == 0 || selected[best] <= selected[middle] {
		t.Errorf("selections: got worst server %d, middle %d, best %d; want 0, at least 1, more than the middle",
			selected[worst], selected[middle], selected[best])
	}
	if set.best() != best {
		t.Errorf("score of best() = %v, want the highest score, %v", set.best().score.value, best.score.value)
	}
}

func TestBetterOfTwoRandomUsesNoRandomnessForTwoServers(t *testing.T) {
	set := candidates{closed: []*server{{score: serverScore{value: 0.1}}, {score: serverScore{value: 0.9}}}}
	if set.betterOfTwoRandom(nil) != set.closed[1] {
		t.Error("betterOfTwoRandom did not return the better of the only two servers")
	}
}
