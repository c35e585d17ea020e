package policy

import "time"

// Defaults returns default settings: no retries, hedged requests or cancellations, and conservative rules
// for polling and slow start. They have no classes, so Validate rejects them until the caller adds a class.
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
