package scenario

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// Class contains the settings of a class of requests.
type Class struct {
	Name         string
	Effect       Effect
	Deadline     time.Duration
	KeyRetention time.Duration // how long servers remember idempotency keys; 0 if requests of the class have no key
}

// Effect is the kind of effect that executing a request has. Its values are those of the configuration file.
type Effect string

// The effects of a class.
const (
	EffectPure       Effect = "pure"        // idempotent
	EffectToken      Effect = "token"       // idempotent with an idempotency key
	EffectSideEffect Effect = "side_effect" // not idempotent
)

// ModePushed is the value of Settings.Mode with which discovery pushes the endpoint list.
const ModePushed = "pushed"

// Settings contains the settings of the nodes that vary between runs or that the checks of the soak need.
type Settings struct {
	Mode    string // discovery mode: "pushed" or "on_request"
	Classes []Class

	// DrainGrace is how long a node may send attempts to a draining or removed server after it was notified of the
	// state of the server.
	DrainGrace time.Duration

	SlowStartShare float64       // fraction of its full capacity that a server has when it starts
	SlowStart      time.Duration // time from the start of a server until the server is warm

	// OverloadMultiple is the multiple of its current capacity that a server tolerates while it is warming up.
	OverloadMultiple float64

	OverloadWindow time.Duration // time over which the requests to a server that is warming up are counted
	Hedging        bool          // whether nodes may send hedged requests
}

// generateSettings returns the random settings of a run.
func generateSettings(random *rand.Rand) Settings {
	deadline := func() time.Duration { return time.Duration(200+random.IntN(600)) * time.Millisecond }
	return Settings{
		Mode: []string{ModePushed, "on_request"}[random.IntN(2)],
		Classes: []Class{
			{Name: "read", Effect: EffectPure, Deadline: deadline()},
			{Name: "push", Effect: EffectToken, Deadline: deadline(), KeyRetention: 400 * time.Millisecond},
			{Name: "pay", Effect: EffectSideEffect, Deadline: deadline()},
		},
		DrainGrace:       []time.Duration{300 * time.Millisecond, time.Second}[random.IntN(2)],
		SlowStartShare:   0.05 + 0.1*random.Float64(),
		SlowStart:        time.Duration(5+random.IntN(5)) * time.Second,
		OverloadMultiple: 1.5 + random.Float64(),
		OverloadWindow:   time.Second,
		Hedging:          random.IntN(2) == 0,
	}
}

// JSON returns the settings of one node in the format of the configuration file. The parameters are the index of the
// node and the number of all nodes.
func (s *Settings) JSON(node, nodes int) (json.RawMessage, error) {
	classes := make([]map[string]any, 0, len(s.Classes))
	for _, class := range s.Classes {
		classes = append(classes, class.settings())
	}
	return json.Marshal(map[string]any{
		"Classes": classes, "Zones": []string{"a"}, "RegistryMode": s.Mode, "Balancers": nodes, "Me": node,
		"Contract": map[string]any{
			"DrainGraceMs": s.DrainGrace.Milliseconds(), "ColdFrom": s.SlowStartShare, "ColdMs": s.SlowStart.Milliseconds(),
			"FallMultiple": s.OverloadMultiple, "FallMs": s.OverloadWindow.Milliseconds(),
		},
		"Limits": map[string]any{
			"Cancel": true, "ConnIdleMs": 4000, "ConnectTimeoutMs": 150, "MaxAttempts": 4,
			"MaxRetryAfterMs": 500, "RetryAfter": true, "SecondCopies": s.Hedging,
		},
	})
}

// settings returns the settings of the class in the format of the configuration file.
func (c *Class) settings() map[string]any {
	settings := map[string]any{
		"Name": c.Name, "Effect": c.Effect, "DeadlineMs": c.Deadline.Milliseconds(),
		"PromiseMs": c.Deadline.Milliseconds() / 2, "Importance": 1, "DedupScope": "all",
	}
	if c.KeyRetention > 0 {
		settings["KeyTtlMs"] = c.KeyRetention.Milliseconds()
	}
	return settings
}

// KillDelay returns the shortest time between SIGTERM and SIGKILL that the operators' contract allows: LongestDeadline
// plus 700 ms.
func (s *Settings) KillDelay() time.Duration {
	const extra = 700 * time.Millisecond
	return s.LongestDeadline() + extra
}

// LongestDeadline returns the longest deadline of all classes, but at most 3 s: longer deadlines do not extend the
// time for which the operators' contract lets a node run after SIGTERM.
func (s *Settings) LongestDeadline() time.Duration {
	const limit = 3 * time.Second
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, limit)
}
