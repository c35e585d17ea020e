package config

import (
	"fmt"
	"time"

	"calicohinge/policy"
)

// settingsKey is the key of the settings in the configuration file.
const settingsKey = "settings"

// settingsJSON is the JSON form of the settings that package policy uses. A pointer is nil if
// its key is absent, so that the default applies. Times are in milliseconds.
type settingsJSON struct {
	Accounts       []struct{ QuotaPerS float64 }
	Balancers      *int
	Classes        []classJSON
	Contract       contractJSON
	CountedBy      string
	Limits         limitsJSON
	Locality       int
	Me             int
	OverShareWorth *float64
	RegistryMode   string
	TickMs         *float64
}

type classJSON struct {
	DeadlineMs, PromiseMs *float64
	AimStretch, LateWorth float64
	Importance            *float64
	Effect, DedupScope    string
	KeyTTLMs              *float64 `json:"KeyTtlMs"`
	Streaming             bool
}

type contractJSON struct {
	ColdFrom, FallMultiple                       *float64
	ColdMs, FallMs, GraceToAnswerMs, MustAskInMs *float64
}

type limitsJSON struct {
	Cancel, RetryAfter, SecondCopies bool
	MaxAttempts                      *int
	MaxRetryAfterMs                  *float64
}

// ParseSettings parses and validates the JSON text of the settings. Unknown keys are ignored.
// Absent keys keep the values of policy.Defaults, and a class without an Effect counts as not
// idempotent. Errors are of type *Error.
func ParseSettings(text []byte) (policy.Settings, error) {
	var source settingsJSON
	if err := decodeJSON(text, settingsKey, &source); err != nil {
		return policy.Settings{}, err
	}
	var t translator
	settings := t.settings(&source)
	if t.err != nil {
		return policy.Settings{}, t.err
	}
	if err := settings.Validate(); err != nil {
		return policy.Settings{}, translateSettingError(err)
	}
	return settings, nil
}

// settings translates all settings. Absent keys keep the values of policy.Defaults.
func (t *translator) settings(source *settingsJSON) policy.Settings {
	settings := policy.Defaults()
	setIfPresent(&settings.Nodes, source.Balancers)
	setIfPresent(&settings.OverQuotaFraction, source.OverShareWorth)
	settings.Node = source.Me
	settings.Zone = source.Locality
	settings.WeightByWork = source.CountedBy == "work"
	settings.PollEndpoints = t.pollEndpoints(source.RegistryMode)
	t.duration(&settings.Tick, "TickMs", source.TickMs)
	t.limits(&settings.Limits, &source.Limits)
	t.rules(&settings.Rules, &source.Contract)
	for i := range source.Classes {
		settings.Classes = append(settings.Classes, t.class(fmt.Sprintf("Classes[%d].", i), &source.Classes[i]))
	}
	for _, account := range source.Accounts {
		settings.Tenants = append(settings.Tenants, policy.Tenant{QuotaPerS: account.QuotaPerS})
	}
	return settings
}

// limits translates the settings of what clients and servers permit: the maximum number of attempts,
// hedged requests, cancellation and Retry-After. MaxRetryAfter stays 0 unless Retry-After is permitted.
func (t *translator) limits(limits *policy.Limits, source *limitsJSON) {
	setIfPresent(&limits.MaxAttempts, source.MaxAttempts)
	limits.Cancel = source.Cancel
	limits.Hedging = source.SecondCopies
	var maxRetryAfter time.Duration
	t.duration(&maxRetryAfter, "Limits.MaxRetryAfterMs", source.MaxRetryAfterMs)
	if source.RetryAfter {
		limits.MaxRetryAfter = maxRetryAfter
	}
}

// rules translates the rules for polling, slow start, overload and the response grace.
func (t *translator) rules(rules *policy.Rules, source *contractJSON) {
	setIfPresent(&rules.SlowStartShare, source.ColdFrom)
	setIfPresent(&rules.OverloadMultiple, source.FallMultiple)
	t.duration(&rules.SlowStartDuration, "Contract.ColdMs", source.ColdMs)
	t.duration(&rules.OverloadWindow, "Contract.FallMs", source.FallMs)
	t.duration(&rules.ResponseGrace, "Contract.GraceToAnswerMs", source.GraceToAnswerMs)
	t.duration(&rules.MaxPollInterval, "Contract.MustAskInMs", source.MustAskInMs)
}

// class translates one class. path is the prefix of its keys in errors, such as "Classes[2].".
func (t *translator) class(path string, source *classJSON) policy.Class {
	class := policy.Class{
		ObjectivePerWork: source.AimStretch,
		LateFraction:     source.LateWorth,
		PriorityWeight:   1,
		Idempotency:      t.idempotency(path+"Effect", source.Effect),
		KeyScope:         t.keyScope(path+"DedupScope", source.DedupScope),
		Streaming:        source.Streaming,
	}
	setIfPresent(&class.PriorityWeight, source.Importance)
	t.duration(&class.Deadline, path+"DeadlineMs", source.DeadlineMs)
	class.Objective = class.Deadline
	t.duration(&class.Objective, path+"PromiseMs", source.PromiseMs)
	t.duration(&class.KeyRetention, path+"KeyTtlMs", source.KeyTTLMs)
	return class
}

// setIfPresent replaces a default with the configured value; nil keeps the default.
func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
