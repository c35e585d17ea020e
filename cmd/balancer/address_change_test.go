package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

const (
	// addressChangeDeadline is the operators' term: what discovery has to tell counts as notified so long
	// after SIGHUP.
	addressChangeDeadline = 4 * time.Second
	// hangupInterval separates the SIGHUPs of a series.
	hangupInterval = 300 * time.Millisecond
)

// A node is told of a new address of the discovery service, or of several in a row, while the service takes
// its time for each call, also for those that were given up: the node has the list in time.
func TestListOfASlowDiscoveryArrivesInTimeAfterSIGHUP(t *testing.T) {
	program := balancertest.Build(t)
	for _, mode := range []string{"pushed", "on_request"} {
		for _, c := range []struct {
			hangups     int
			timePerCall time.Duration
		}{{1, 2500 * time.Millisecond}, {4, 800 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%s, %d SIGHUP, %v for a call", mode, c.hangups, c.timePerCall), func(t *testing.T) {
				t.Parallel()
				testAddressChanges(t, program, mode, c.hangups, c.timePerCall)
			})
		}
	}
}

func testAddressChanges(t *testing.T, program, mode string, hangups int, timePerCall time.Duration) {
	t.Helper()
	back := make(chan struct{})
	close(back)
	service := newDiscovery(t, listOf(2, "127.0.0.1:1"), outage{back, false}, timePerCall)
	config := map[string]any{
		"discovery": startDiscovery(t, listOf(1, "127.0.0.1:1"), outage{back, false}, 0),
		"known":     listOf(1, "127.0.0.1:1"),
		"settings":  moreSettings(fmt.Sprintf(`"RegistryMode": %q, "Contract": {"DrainGraceMs": 300}`, mode)),
	}
	started := balancertest.Start(t, config, program)
	balancertest.AwaitReady(t, testkit.Wait(t, started.Addr, "the process to serve"))
	began := time.Now()
	var address string
	for range hangups {
		time.Sleep(time.Until(began)) // what is under test
		address = service.address()
		config["discovery"] = address
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		started.ConfigFile.Replace(t, text)
		balancertest.Signal(t, started.PID, syscall.SIGHUP)
		began = began.Add(hangupInterval)
	}
	first := began.Add(-time.Duration(hangups) * hangupInterval)
	testkit.Until(t, "a watch at the last address", func() bool {
		return testkit.Wait(t, service.watches, "a watch") == address
	})
	took := time.Since(first)
	t.Logf("the list came %v after the first SIGHUP", took.Round(time.Millisecond))
	if took > addressChangeDeadline {
		t.Errorf("the list came %v after the first SIGHUP, want %v at most", took, addressChangeDeadline)
	}
}
