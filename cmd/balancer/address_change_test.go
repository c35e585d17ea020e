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

// A slow discovery service handles one call at a time, including the calls that a node has abandoned, so that each
// abandoned call delays the next call. Even if several SIGHUPs in a row change the discovery address, the node must
// have the list from the last address within testkit.AddressChangeDeadline of the first SIGHUP.
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
	timePerCall time.Duration // how long the discovery service at the new addresses takes for each call
}

// run sends the SIGHUPs and measures the time until the node watches the list at the last address, which shows that the
// node has this list.
func (c addressChangeCase) run(t *testing.T) {
	t.Helper()
	service := newDiscoveryStub(t, snapshotOf(2, refusingAddr), noOutage(), c.timePerCall)
	config := map[string]any{
		"discovery": startDiscoveryStub(t, snapshotOf(1, refusingAddr), noOutage(), 0),
		"known":     snapshotOf(1, refusingAddr),
		"settings":  settingsWith(fmt.Sprintf(`"RegistryMode": %q, "Contract": {"DrainGraceMs": 300}`, c.mode)),
	}
	process := balancertest.Start(t, config, c.program)
	balancertest.AwaitReady(t, testkit.Receive(t, process.Addr, "the process to serve"))

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

	testkit.WaitUntil(t, "a watch at the last discovery address", func() bool {
		return testkit.Receive(t, service.watches, "a watch at a new discovery address") == address
	})
	took := time.Since(firstHangup)
	t.Logf("the node had the list %v after the first SIGHUP", took.Round(time.Millisecond))
	if took > testkit.AddressChangeDeadline {
		t.Errorf("time from the first SIGHUP until the node had the list from the last of %d new discovery addresses: "+
			"got %v, want %v at most", c.hangups, took, testkit.AddressChangeDeadline)
	}
}
