package main

import (
	"fmt"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/soak"
)

// The flags of the soak.
const (
	soakRunsFlag = "soak-runs"
	soakSeedFlag = "soak-seed"
)

// Every rule holds on real processes under the faults that a seed gives: wall clocks that are wrong and
// stepped, a discovery service that is unresponsive, failing or slow, SIGHUPs in series, servers that drain,
// are removed, come back and hang, nodes that are paused and restarted; clients send on open connections
// until the kill. A seed that fails is run again with -soak-seed.
func TestSoak(t *testing.T) {
	program := balancertest.BuildSteppable(t)
	first := flagValue[int](soakSeedFlag)
	for seed := first; seed < first+flagValue[int](soakRunsFlag); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soak.Run(t, program, uint64(seed))
		})
	}
}
