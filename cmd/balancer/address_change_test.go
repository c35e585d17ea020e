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

// hangupInterval is the time between two SIGHUPs.
const hangupInterval = 300 * time.Millisecond

// SIGHUP gives a node a new address of the discovery service, once or several times in a row. The service handles one
// call at a time and takes a long time for each, so that a call which the node abandons delays the next one. The node
// must still have the list from the last address within testkit.AddressChangeDeadline of the first SIGHUP.
func TestNewDiscoveryAddressIsFollowedInTimeDespiteSlowCalls(t *testing.T) {
	program := balancertest.Build(t)
	for _, mode := range discoveryModes() {
		for _, c := range []addressChangeCase{
			{program, mode, 1, 2500 * time.Millisecond},
			{program, mode, 4, 800 * time.Millisecond},
		} {
			name := fmt.Sprintf("%s, %d SIGHUP, %v per call", mode, c.hangups, c.timePerCall)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c.run(t)
			})
		}
	}
}

// addressChangeCase is a series of SIGHUPs, each of which gives a node a new address of its discovery service.
type addressChangeCase struct {
	program     string
	mode        string
	hangups     int
	timePerCall time.Duration // of the discovery service at the new addresses
}

// run sends the SIGHUPs and measures the time until the node watches for changes at the last address, which shows that
// it has the list.
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
		time.Sleep(time.Until(firstHangup.Add(hangup * hangupInterval))) // part of the scenario under test
		address = service.addAddress()
		config["discovery"] = address
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		process.ConfigFile.Replace(t, text)
		balancertest.Signal(t, process.PID, syscall.SIGHUP)
	}

	testkit.Until(t, "a watch at the last discovery address", func() bool {
		return testkit.Wait(t, service.watches, "a watch at a new discovery address") == address
	})
	took := time.Since(firstHangup)
	t.Logf("the node had the list %v after the first SIGHUP", took.Round(time.Millisecond))
	if took > testkit.AddressChangeDeadline {
		t.Errorf("the node had the list from the last of %d new discovery addresses %v after the first SIGHUP, "+
			"want %v at most", c.hangups, took, testkit.AddressChangeDeadline)
	}
}
