package lab

import (
	"encoding/json"
	"time"
)

// settings are those of brisbane-calc, with two nodes, as the wire page prints them.
const settings = `{
"Accounts": [{"Name": "coral-coast", "QuotaPerS": 49.0, "Share": 0.4}, {"Name": "sunstate-home", "QuotaPerS": 28.0, "Share": 0.23},
 {"Name": "moreton-calc", "QuotaPerS": 23.0, "Share": 0.19}, {"Name": "darling-downs", "QuotaPerS": 22.0, "Share": 0.18}],
"Balancers": 2,
"Classes": [
 {"DeadlineMs": 600.0, "DedupScope": "all", "Effect": "pure", "Importance": 1.0, "KeyTtlMs": 5000.0, "LateWorth": 0.25, "Name": "repayment", "PromiseMs": 300.0, "Streaming": false},
 {"DeadlineMs": 1500.0, "DedupScope": "all", "Effect": "pure", "Importance": 1.0, "KeyTtlMs": 5000.0, "LateWorth": 0.25, "Name": "rate-table", "PromiseMs": 500.0, "Streaming": false},
 {"DeadlineMs": 1000.0, "DedupScope": "all", "Effect": "side_effect", "Importance": 10.0, "KeyTtlMs": 5000.0, "LateWorth": 0.5, "Name": "save-scenario", "PromiseMs": 300.0, "Streaming": false}],
"Clients": {"MarksRetry": false},
"Contract": {"ColdFrom": 0.31, "ColdMs": 8800.0, "DrainGraceMs": 1000.0, "FallMs": 1000.0, "FallMultiple": 4.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0},
"CountedBy": "request",
"Kinds": ["fast", "standard", "old"],
"Limits": {"Cancel": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 150.0, "MaxAttempts": 5, "MaxOpen": 20000, "MaxRetryAfterMs": 750.0, "PeerMessages": false, "Probes": true, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1},
"Locality": 0, "Me": 0, "OverShareWorth": 0.2, "RegistryMode": "on_request", "TickMs": 5.0, "Tier": 0, "Weights": "rough",
"Zones": ["fortitude-valley", "eagle-farm"]}`

// DrainGraceMs is a figure of the settings.
const DrainGraceMs = 1000

// Config returns the configuration of a node.
func Config(d *Discovery, memoryMB, sockets int) map[string]any {
	return map[string]any{
		"discovery": d.Addr, "seed": "8c1f30d27a5be964", "known": d.Known(), "settings": json.RawMessage(settings),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
	}
}

// WithEffect returns the settings with another effect of a class and another window for repeats, as the short days may
// have them.
func WithEffect(name, effect string, window time.Duration) any {
	var all map[string]any
	if err := json.Unmarshal([]byte(settings), &all); err != nil {
		Fail("settings: %v", err)
	}
	classes, _ := all["Classes"].([]any)
	for _, class := range classes {
		if fields, ok := class.(map[string]any); ok && fields["Name"] == name {
			fields["Effect"], fields["KeyTtlMs"] = effect, window.Milliseconds()
		}
	}
	return all
}

// pushedSettings are those of hobart-ledger, where lists are pushed, with two nodes.
const pushedSettings = `{
"Accounts": [{"Name": "retail-desk", "QuotaPerS": 60.0, "Share": 0.7}, {"Name": "trust-office", "QuotaPerS": 26.0, "Share": 0.3}],
"Balancers": 2,
"Classes": [
 {"DeadlineMs": 9000.0, "DedupScope": "all", "Effect": "pure", "Importance": 2.0, "KeyTtlMs": 6000.0, "LateWorth": 0.5, "Name": "statement", "PromiseMs": 2500.0, "Streaming": false},
 {"DeadlineMs": 5000.0, "DedupScope": "all", "Effect": "side_effect", "Importance": 8.0, "KeyTtlMs": 6000.0, "LateWorth": 0.3, "Name": "posting", "PromiseMs": 1500.0, "Streaming": false},
 {"DeadlineMs": 2000.0, "DedupScope": "all", "Effect": "token", "Importance": 1.0, "KeyTtlMs": 6000.0, "LateWorth": 0.0, "Name": "lookup", "PromiseMs": 600.0, "Streaming": false}],
"Clients": {"MarksRetry": false},
"Contract": {"ColdFrom": 0.31, "ColdMs": 8800.0, "DrainGraceMs": 500.0, "FallMs": 1000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0},
"CountedBy": "request",
"Kinds": ["m-large", "m-medium", "m-small"],
"Limits": {"Cancel": true, "ConnIdleMs": 30000.0, "ConnectTimeoutMs": 900.0, "MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfterMs": 3000.0, "PeerMessages": false, "Probes": false, "RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 1},
"Locality": 0, "Me": 0, "OverShareWorth": 0.2, "RegistryMode": "pushed", "TickMs": 5.0, "Tier": 0, "Weights": "nominal",
"Zones": ["sandy-bay", "glenorchy", "kingston"]}`

// PushedDrainGraceMs is a figure of the settings of the site whose lists are pushed.
const PushedDrainGraceMs = 500

// Pushed returns the settings of the site whose lists are pushed.
func Pushed() any { return json.RawMessage(pushedSettings) }
