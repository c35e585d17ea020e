package config

import (
	"fmt"
	"time"

	"calicohinge/policy"
)

// settingsKey is the key of the settings within the configuration file.
const settingsKey = "settings"

// settingsFile holds the settings that package policy needs, under the operators' keys. A
// pointer is nil where the key is absent and the default applies. Times are in milliseconds.
type settingsFile struct {
	Accounts       []struct{ QuotaPerS float64 }
	Balancers      *int
	Classes        []classSettings
	Contract       contractSettings
	CountedBy      string
	Limits         limitSettings
	Locality       int
	Me             int
	OverShareWorth *float64
	RegistryMode   string
	TickMs         *float64
}

type classSettings struct {
	DeadlineMs, PromiseMs *float64
	AimStretch, LateWorth float64
	Importance            *float64
	Effect, DedupScope    string
	KeyTTLMs              *float64 `json:"KeyTtlMs"`
	Streaming             bool
}

type contractSettings struct {
	ColdFrom, FallMultiple                       *float64
	ColdMs, FallMs, GraceToAnswerMs, MustAskInMs *float64
}

type limitSettings struct {
	Cancel, RetryAfter, SecondCopies bool
	MaxAttempts                      *int
	MaxRetryAfterMs                  *float64
}

// ParseSettings reads the settings of one instance and validates them. Unknown keys are
// ignored and absent ones keep the values of policy.Defaults; a class without an effect is
// not idempotent. An error is an *Error.
func ParseSettings(text []byte) (policy.Settings, error) {
	var file settingsFile
	if err := decodeJSON(text, settingsKey, &file); err != nil {
		return policy.Settings{}, err
	}
	var t translator
	settings := t.settings(&file)
	if t.err != nil {
		return policy.Settings{}, t.err
	}
	if err := settings.Validate(); err != nil {
		return policy.Settings{}, translateSettingError(err)
	}
	return settings, nil
}

// settings translates all settings. Absent ones keep the values of policy.Defaults.
func (t *translator) settings(file *settingsFile) policy.Settings {
	settings := policy.Defaults()
	setIfGiven(&settings.Nodes, file.Balancers)
	setIfGiven(&settings.OverQuotaFraction, file.OverShareWorth)
	settings.Node = file.Me
	settings.Zone = file.Locality
	settings.WeightByWork = file.CountedBy == "work"
	settings.PollEndpoints = t.pollEndpoints(file.RegistryMode)
	t.duration(&settings.Tick, "TickMs", file.TickMs)
	t.limits(&settings.Limits, &file.Limits)
	t.rules(&settings.Rules, &file.Contract)
	for i := range file.Classes {
		settings.Classes = append(settings.Classes, t.class(fmt.Sprintf("Classes[%d].", i), &file.Classes[i]))
	}
	for _, account := range file.Accounts {
		settings.Tenants = append(settings.Tenants, policy.Tenant{QuotaPerS: account.QuotaPerS})
	}
	return settings
}

// limits translates what clients and servers permit.
func (t *translator) limits(limits *policy.Limits, file *limitSettings) {
	setIfGiven(&limits.MaxAttempts, file.MaxAttempts)
	limits.Cancel = file.Cancel
	limits.Hedging = file.SecondCopies
	var maxRetryAfter time.Duration
	t.duration(&maxRetryAfter, "Limits.MaxRetryAfterMs", file.MaxRetryAfterMs)
	if file.RetryAfter {
		limits.MaxRetryAfter = maxRetryAfter
	}
}

// rules translates the operators' rules for polling, slow start and responses.
func (t *translator) rules(rules *policy.Rules, file *contractSettings) {
	setIfGiven(&rules.SlowStartShare, file.ColdFrom)
	setIfGiven(&rules.OverloadMultiple, file.FallMultiple)
	t.duration(&rules.SlowStartDuration, "Contract.ColdMs", file.ColdMs)
	t.duration(&rules.OverloadWindow, "Contract.FallMs", file.FallMs)
	t.duration(&rules.ResponseGrace, "Contract.GraceToAnswerMs", file.GraceToAnswerMs)
	t.duration(&rules.MaxPollInterval, "Contract.MustAskInMs", file.MustAskInMs)
}

// class translates the class whose keys start with path.
func (t *translator) class(path string, file *classSettings) policy.Class {
	class := policy.Class{
		ObjectivePerWork: file.AimStretch,
		LateFraction:     file.LateWorth,
		PriorityWeight:   1,
		Idempotency:      t.idempotency(path+"Effect", file.Effect),
		KeyScope:         t.keyScope(path+"DedupScope", file.DedupScope),
		Streaming:        file.Streaming,
	}
	setIfGiven(&class.PriorityWeight, file.Importance)
	t.duration(&class.Deadline, path+"DeadlineMs", file.DeadlineMs)
	class.Objective = class.Deadline
	t.duration(&class.Objective, path+"PromiseMs", file.PromiseMs)
	t.duration(&class.KeyRetention, path+"KeyTtlMs", file.KeyTTLMs)
	return class
}

// setIfGiven replaces a default by the value given, if there is one.
func setIfGiven[T any](field, given *T) {
	if given != nil {
		*field = *given
	}
}
