package config

import (
	"time"

	"calicohinge/internal/milliseconds"
	"calicohinge/policy"
)

// translator translates the values of settings. It keeps the first error, so that a caller can translate many
// values and check for an error once. Keys have the form used in settingsTable, but with the index of an element
// in place of "[]".
type translator struct {
	err error
}

// recordError records an error about the value of a key, unless an earlier error is already recorded.
func (t *translator) recordError(key string, value any, allowed string) {
	if t.err == nil {
		t.err = &Error{Key: joinKeys(settingsKey, key), Value: value, Allowed: allowed}
	}
}

// duration sets the field to the time that ms gives in milliseconds. If ms is nil, the field is unchanged.
func (t *translator) duration(field *time.Duration, key string, ms *float64) {
	if ms == nil {
		return
	}
	duration, ok := milliseconds.ToDuration(*ms)
	if !ok {
		t.recordError(key, *ms, "a time of less than 73 years, in milliseconds")
		return
	}
	*field = duration
}

// idempotency translates the effect of a class. An absent effect means not idempotent.
func (t *translator) idempotency(key, value string) policy.Idempotency {
	switch value {
	case "pure":
		return policy.Idempotent
	case "token":
		return policy.IdempotentWithKey
	case "side_effect", "":
	default:
		t.recordError(key, value, `"pure", "token" or "side_effect"`)
	}
	return policy.NotIdempotent
}

// keyScope translates the scope of a class's idempotency keys. An absent scope means the narrowest,
// "cell".
func (t *translator) keyScope(key, value string) policy.KeyScope {
	switch value {
	case "all":
		return policy.KeyScopeAll
	case "zone":
		return policy.KeyScopeZone
	case "cell", "":
	default:
		t.recordError(key, value, `"all", "zone" or "cell"`)
	}
	return policy.KeyScopeCell
}

// pollEndpoints reports whether the discovery mode requires polling. An absent mode means "pushed".
func (t *translator) pollEndpoints(value string) bool {
	switch value {
	case "on_request":
		return true
	case "pushed", "":
	default:
		t.recordError("RegistryMode", value, `"pushed" or "on_request"`)
	}
	return false
}
