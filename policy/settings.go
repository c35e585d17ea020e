package policy

import (
	"time"
)

// Defaults gives the settings that hold where a site says nothing: no repeats
// beyond the first attempt, no hedging, no cancels, and the strictest known
// figures for drains and cold servers.
func Defaults() Settings {
	return Settings{
		Nodes:             1,
		OverQuotaFraction: 1,
		Tick:              10 * time.Millisecond,
		Limits:            Limits{MaxAttempts: 1},
		Rules: Rules{
			SlowStartShare: 0.1, SlowStartDuration: 30 * time.Second,
			OverloadMultiple: 2, OverloadWindow: time.Second,
			MaxPollInterval: 10 * time.Second,
		},
	}
}
