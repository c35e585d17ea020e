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

// hangupInterval separates the SIGHUPs of a series.
const hangupInterval = 300 * time.Millisecond

// A node gets a new address of the discovery service, or several in a row. The service takes long for each
// call, even for an abandoned one. The node has the list within the address change deadline.
func TestNewDiscoveryAddressIsFollowedInTimeDespiteSlowCalls(t *testing.T) {
	program := balancertest.Build(t)
	for _, mode := range discoveryModes() {
		for _, c := range []addressChangeCase{
			{program, mode, 1, 2500 * time.Millisecond},
			{program, mode, 4, 800 * time.Millisecond},
		} {
			name := fmt.Sprintf("%s, %d SIGHUP, %v for a call", mode, c.hangups, c.timePerCall)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c.run(t)
			})
		}
	}
}

// addressChangeCase is a series of changes of the discovery service's address.
type addressChangeCase struct {
	program     string
	mode        string
	hangups     int
	timePerCall time.Duration // at the new addresses
}

// run changes the address and measures how soon the node has the list from the last one.
func (c addressChangeCase) run(t *testing.T) {
	t.Helper()
	service := newDiscoveryStub(t, snapshotOf(2, refusingAddr), noOutage(), c.timePerCall)
	config := map[string]any{
		"discovery": startDiscoveryStub(t, snapshotOf(1, refusingAddr), noOutage(), 0),
		"known":     snapshotOf(1, refusingAddr),
		"settings":  settingsWith(fmt.Sprintf(`"RegistryMode": %q, "Contract": {"DrainGraceMs": 300}`, c.mode)),
	}
	process := balancertest.Start(t, config, c.program)
	balancertest.AwaitReady(t, testkit.Wait(t, process.Addr, "the process to serve"))

	firstHangup := time.Now()
	var address string
	for hangup := range time.Duration(c.hangups) {
		time.Sleep(time.Until(firstHangup.Add(hangup * hangupInterval))) // what is under test
		address = service.addAddress()
		config["discovery"] = address
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		process.ConfigFile.Replace(t, text)
		balancertest.Signal(t, process.PID, syscall.SIGHUP)
	}

	testkit.Until(t, "a watch at the last address", func() bool {
		return testkit.Wait(t, service.watches, "a watch") == address
	})
	took := time.Since(firstHangup)
	t.Logf("the list came %v after the first SIGHUP", took.Round(time.Millisecond))
	if took > testkit.AddressChangeDeadline {
		t.Errorf("the list came %v after the first SIGHUP, want %v at most", took, testkit.AddressChangeDeadline)
	}
}
