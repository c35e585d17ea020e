package config

import (
	"errors"
	"strings"
	"time"

	"calicohinge/internal/milliseconds"
	"calicohinge/policy"
)

// translateSettingError turns an error of policy.Settings.Validate into one that names the
// operators' key and gives the value in their unit.
func translateSettingError(err error) error {
	var settingError *policy.SettingError
	if !errors.As(err, &settingError) {
		return &Error{Key: settingsKey, Err: err}
	}
	key, ok := keyOfField(settingError.Field)
	if !ok {
		return &Error{Key: settingsKey, Err: err}
	}
	value := settingError.Value
	if duration, ok := value.(time.Duration); ok {
		value = milliseconds.FromDuration(duration)
	}
	return &Error{Key: joinKeys(settingsKey, key), Value: value, Allowed: settingError.Allowed, Err: err}
}

// keyOfField returns the operators' key of a field as policy.SettingError names it. It
// reports false for a field that it does not know.
func keyOfField(field string) (string, bool) {
	list, element, inList := strings.Cut(field, "[")
	if !inList {
		return keyOfScalarField(field)
	}
	index, name, _ := strings.Cut(element, "].")
	switch list {
	case "Classes":
		key, ok := keyOfClassField(name)
		return "Classes[" + index + "]." + key, ok
	case "Tenants":
		return "Accounts[" + index + "].QuotaPerS", name == "QuotaPerS"
	}
	return "", false
}

func keyOfClassField(name string) (string, bool) {
	for _, pair := range [...]struct{ field, key string }{
		{"Deadline", "DeadlineMs"},
		{"Objective", "PromiseMs"},
		{"ObjectivePerWork", "AimStretch"},
		{"LateFraction", "LateWorth"},
		{"PriorityWeight", "Importance"},
		{"Idempotency", "Effect"},
		{"KeyScope", "DedupScope"},
		{"KeyRetention", "KeyTtlMs"},
	} {
		if pair.field == name {
			return pair.key, true
		}
	}
	return "", false
}

func keyOfScalarField(name string) (string, bool) {
	for _, pair := range [...]struct{ field, key string }{
		{"Nodes", "Balancers"},
		{"Node", "Me"},
		{"Zone", "Locality"},
		{"Classes", "Classes"},
		{"OverQuotaFraction", "OverShareWorth"},
		{"Tick", "TickMs"},
		{"Limits.MaxAttempts", "Limits.MaxAttempts"},
		{"Limits.MaxRetryAfter", "Limits.MaxRetryAfterMs"},
		{"Rules.SlowStartShare", "Contract.ColdFrom"},
		{"Rules.SlowStartDuration", "Contract.ColdMs"},
		{"Rules.OverloadMultiple", "Contract.FallMultiple"},
		{"Rules.OverloadWindow", "Contract.FallMs"},
		{"Rules.ResponseGrace", "Contract.GraceToAnswerMs"},
		{"Rules.MaxPollInterval", "Contract.MustAskInMs"},
	} {
		if pair.field == name {
			return pair.key, true
		}
	}
	return "", false
}
