package main

import (
	"fmt"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/soak"
)

// The flags that choose the seeds of TestSoak.
const (
	soakRunsFlag = "soak-runs"
	soakSeedFlag = "soak-seed"
)

// Every rule of the soak must hold for real processes under the faults that a seed determines:
//   - Wall clocks are wrong or stepped.
//   - Discovery is unresponsive, failing or slow, or its address changes.
//   - Servers drain, are removed, restart or become unresponsive.
//   - Nodes are paused or restarted while clients keep sending on open connections.
//
// To run a failed seed again, use -soak-seed with -soak-runs=1.
func TestSoak(t *testing.T) {
	program := balancertest.BuildInstrumented(t)
	first := flagValue[int](soakSeedFlag)
	for seed := first; seed < first+flagValue[int](soakRunsFlag); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soak.Run(t, program, uint64(seed))
		})
	}
}
