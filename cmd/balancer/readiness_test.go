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
	// readinessDeadline is the operators' term: nine in ten restarted processes are ready by then.
	readinessDeadline = 10 * time.Second
	// readinessTimeout ends the wait for a process. It is logged as the time of one that was not ready by then.
	readinessTimeout = 14 * time.Second
)

// restartCase is the state in which processes are restarted together.
type restartCase struct {
	name           string
	known          endpointjson.List // in their configuration, if it has endpoints
	outageDuration time.Duration     // of discovery, from the start
	outage         outageKind
	timePerCall    time.Duration
}

func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	program, processes := balancertest.Build(t), flagValue[int](processesFlag)
	list, empty := snapshotOf(2, slices.Repeat([]string{refusingAddr}, 200)...), endpointjson.List{}
	overloaded := 4 * time.Second / time.Duration(processes) // all complete lists take 4 s
	for _, c := range []restartCase{
		{"known list", list, 0, outageUnavailable, 0},
		{"known list, discovery down", list, time.Hour, outageRefused, 0},
		{"empty list", empty, 0, outageUnavailable, 0},
		{"empty list, discovery refuses for 3 s", empty, 3 * time.Second, outageRefused, 0},
		{"empty list, discovery unavailable for 3 s", empty, 3 * time.Second, outageUnavailable, 0},
		{"empty list, discovery unavailable for 5 s", empty, 5 * time.Second, outageUnavailable, 0},
		{"empty list, discovery overloaded", empty, 0, outageUnavailable, overloaded},
		{"empty list, discovery overloaded after 3 s", empty, 3 * time.Second, outageUnavailable, overloaded},
	} {
		for _, mode := range discoveryModes() {
			t.Run(mode+", "+c.name, func(t *testing.T) {
				t.Parallel()
				times := measureRestarts(t, program, processes, mode, c)
				readyAfter := percentile90(times)
				t.Logf("%d processes: median %v, nine in ten %v, worst %v (%v is never)", len(times),
					times[len(times)/2].Round(time.Millisecond), readyAfter.Round(time.Millisecond),
					times[len(times)-1].Round(time.Millisecond), readinessTimeout)
				if readyAfter > readinessDeadline {
					t.Errorf("nine in ten are ready after %v, want %v", readyAfter, readinessDeadline)
				}
			})
		}
	}
}

// percentile90 returns the least of sorted times that nine in ten of them do not exceed.
func percentile90(times []time.Duration) time.Duration {
	count := (9*len(times) + 9) / 10 // nine tenths, rounded up
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
