package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
)

const (
	// readinessTerm is the operators' term: nine in ten restarted processes are ready by then.
	readinessTerm = 10 * time.Second
	// readinessLimit ends the wait for a process; it is logged as the time of one that never was.
	readinessLimit = 14 * time.Second
)

// restartCase is the state in which processes are restarted together.
type restartCase struct {
	name        string
	known       bool // their configuration holds a list
	down        time.Duration
	refuses     bool
	timePerCall time.Duration
}

func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	program, processes := balancertest.Build(t), flagValue[int](processesFlag)
	overbooked := 4 * time.Second / time.Duration(processes) // all complete lists take 4 s
	for _, c := range []restartCase{
		{"known list", true, 0, false, 0},
		{"known list, discovery down", true, time.Hour, true, 0},
		{"empty list", false, 0, false, 0},
		{"empty list, discovery refuses for 3 s", false, 3 * time.Second, true, 0},
		{"empty list, discovery answers 503 for 3 s", false, 3 * time.Second, false, 0},
		{"empty list, discovery answers 503 for 5 s", false, 5 * time.Second, false, 0},
		{"empty list, discovery overbooked", false, 0, false, overbooked},
		{"empty list, discovery overbooked after 3 s", false, 3 * time.Second, false, overbooked},
	} {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(mode+", "+c.name, func(t *testing.T) {
				t.Parallel()
				times := restartTogether(t, program, processes, mode, c)
				ninety := times[(9*len(times)+9)/10-1]
				t.Logf("%d processes: median %v, nine in ten %v, worst %v (%v is never)", len(times),
					times[len(times)/2].Round(time.Millisecond), ninety.Round(time.Millisecond),
					times[len(times)-1].Round(time.Millisecond), readinessLimit)
				if ninety > readinessTerm {
					t.Errorf("nine in ten are ready after %v, want %v", ninety, readinessTerm)
				}
			})
		}
	}
}

// restartTogether starts processes at once and returns their times to readiness, sorted.
func restartTogether(t *testing.T, program string, processes int, mode string, c restartCase) []time.Duration {
	t.Helper()
	list := listOf(2, slices.Repeat([]string{"127.0.0.1:1"}, 200)...)
	back := make(chan struct{})
	discovery := startDiscovery(t, list, outage{back, c.refuses}, c.timePerCall)
	defer time.AfterFunc(c.down, func() { close(back) }).Stop()
	took := make(chan time.Duration, processes)
	for i := range processes {
		config := map[string]any{
			"discovery": discovery, "seed": fmt.Sprintf("%016x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"settings": moreSettings(fmt.Sprintf(
				`"Balancers": 300, "Me": %d, "RegistryMode": %q, "Contract": {"DrainGraceMs": 1000}`, i, mode)),
		}
		if c.known {
			config["known"] = list
		}
		began := time.Now()
		started := balancertest.Start(t, config, program)
		go func() { took <- balancertest.TimeToReady(<-started.Addr, began, readinessLimit) }()
	}
	var times []time.Duration
	for range processes {
		times = append(times, <-took)
	}
	slices.Sort(times)
	return times
}
