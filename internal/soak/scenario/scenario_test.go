package scenario

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

func TestGenerateIsDeterministic(t *testing.T) {
	for seed := range uint64(100) {
		if first, second := Generate(seed), Generate(seed); !reflect.DeepEqual(first, second) {
			t.Errorf("Generate(%d) returned %+v, then %+v, want the same scenario twice", seed, first, second)
		}
	}
}

func TestScenariosDifferBetweenSeeds(t *testing.T) {
	first, second := Generate(1), Generate(2)
	second.Seed = first.Seed
	if reflect.DeepEqual(first, second) {
		t.Errorf("Generate(1) and Generate(2) both returned %+v, want different scenarios", first)
	}
}

// A seed in a report must still reproduce its scenario in later versions.
func TestScenarioOfSeedIsStableAcrossVersions(t *testing.T) {
	want, err := os.ReadFile("testdata/seed-1.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := describe(Generate(1)); got != string(want) {
		t.Errorf("Generate(1) returned\n%s\nwant\n%s", got, want)
	}
}

// describe returns a text that contains every part of a scenario.
func describe(s Scenario) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "seed %d, high concurrency %v, %d nodes\n%+v\nclocks ahead by %v, final signals %v\n",
		s.Seed, s.HighConcurrency, s.Nodes, s.Settings, s.Schedule.InitialClockOffsets, s.Schedule.FinalSignals)
	for i, events := range s.Schedule.Concurrent {
		_, _ = fmt.Fprintf(&text, "schedule %d\n", i)
		for _, event := range events {
			_, _ = fmt.Fprintf(&text, "%v %v\n", event.At, event.Action)
		}
	}
	return text.String()
}
