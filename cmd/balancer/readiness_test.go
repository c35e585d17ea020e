package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
)

const (
	// readinessDeadline is the time within which, by the operators' contract, 90 % of restarted processes are ready.
	readinessDeadline = 10 * time.Second
	// readinessTimeout limits the wait for a process to be ready. It is also the time that is recorded for a process
	// that was not ready by then.
	readinessTimeout = 14 * time.Second
)

// restartCase describes the conditions under which processes are restarted at once.
type restartCase struct {
	name           string
	known          endpointjson.List // the cached endpoint list in the configuration; if empty, there is none
	outageDuration time.Duration     // how long discovery is unavailable, from the restart on
	outage         outageKind
	timePerCall    time.Duration // how long discovery takes for each call; it handles one call at a time
}

// If many processes are restarted at once while discovery is down or overloaded, 90 % of them must still be ready
// within readinessDeadline, with or without a cached endpoint list.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	program, processes := balancertest.Build(t), flagValue[int](processesFlag)
	list, empty := snapshotOf(2, slices.Repeat([]string{refusingAddr}, 200)...), endpointjson.List{}
	outdated := list
	outdated.Generation--
	overloaded := 4 * time.Second / time.Duration(processes) // the calls of all processes for a snapshot take 4 s
	for _, c := range []restartCase{
		{"cached list", list, 0, outageUnavailable, 0},
		{"cached list, discovery refuses throughout", list, time.Hour, outageRefused, 0},
		{"cached list, discovery unavailable throughout", list, time.Hour, outageUnavailable, 0},
		{"outdated cached list, discovery overloaded", outdated, 0, outageUnavailable, overloaded},
		{"no cached list", empty, 0, outageUnavailable, 0},
		{"no cached list, discovery refuses for 3 s", empty, 3 * time.Second, outageRefused, 0},
		{"no cached list, discovery unavailable for 3 s", empty, 3 * time.Second, outageUnavailable, 0},
		{"no cached list, discovery unavailable for 5 s", empty, 5 * time.Second, outageUnavailable, 0},
		{"no cached list, discovery overloaded", empty, 0, outageUnavailable, overloaded},
		{"no cached list, overloaded discovery unavailable for 3 s", empty, 3 * time.Second, outageUnavailable, overloaded},
	} {
		for _, mode := range discoveryModes() {
			t.Run(mode+", "+c.name, func(t *testing.T) {
				t.Parallel()
				times := measureRestarts(t, program, processes, mode, c)
				readyAfter := percentile90(times)
				t.Logf("time to readiness of %d processes: median %v, 90th percentile %v, maximum %v (%v: not ready)",
					len(times), times[len(times)/2].Round(time.Millisecond), readyAfter.Round(time.Millisecond),
					times[len(times)-1].Round(time.Millisecond), readinessTimeout)
				if readyAfter > readinessDeadline {
					t.Errorf("90th percentile of the time to readiness of %d processes: got %v, want %v at most",
						len(times), readyAfter, readinessDeadline)
				}
			})
		}
	}
}

// percentile90 returns the 90th percentile of sorted times: the smallest that at least 90 % of them do not exceed.
func percentile90(times []time.Duration) time.Duration {
	count := (9*len(times) + 9) / 10 // 90 % of the times, rounded up
	return times[count-1]
}

// measureRestarts starts processes at once and returns their times to readiness, sorted.
func measureRestarts(t *testing.T, program string, processes int, mode string, c restartCase) []time.Duration {
	t.Helper()
	list := snapshotOf(2, slices.Repeat([]string{refusingAddr}, 200)...)
	outage, endOutage := newOutage(c.outage)
	discovery := startDiscoveryStub(t, list, outage, c.timePerCall)
	defer time.AfterFunc(c.outageDuration, endOutage).Stop()
	took := make(chan time.Duration, processes)
	for i := range processes {
		config := map[string]any{
			"discovery": discovery, "seed": fmt.Sprintf("%016x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"settings": settingsWith(fmt.Sprintf(
				`"Balancers": 300, "Me": %d, "RegistryMode": %q, "Contract": {"DrainGraceMs": 1000}`, i, mode)),
		}
		if len(c.known.Endpoints) > 0 {
			config["known"] = c.known
		}
		began := time.Now()
		process := balancertest.Start(t, config, program)
		go func() { took <- balancertest.TimeToReady(<-process.Addr, began, readinessTimeout) }()
	}
	var times []time.Duration
	for range processes {
		times = append(times, <-took)
	}
	slices.Sort(times)
	return times
}
