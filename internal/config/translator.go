package config

import (
	"time"

	"calicohinge/internal/milliseconds"
	"calicohinge/policy"
)

// translator translates the operators' values. It keeps its first error, so that a caller can translate many
// values and check once. Its keys are those of settingsTable, with indexes.
type translator struct {
	err error
}

// fail records an error, unless there is one already.
func (t *translator) fail(key string, value any, allowed string) {
	if t.err == nil {
		t.err = &Error{Key: joinKeys(settingsKey, key), Value: value, Allowed: allowed}
	}
}

// duration sets the field to a time given in milliseconds; nil leaves it as it is.
func (t *translator) duration(field *time.Duration, key string, ms *float64) {
	if ms == nil {
		return
	}
	duration, ok := milliseconds.ToDuration(*ms)
	if !ok {
		t.fail(key, *ms, "a time of less than 73 years, in milliseconds")
		return
	}
	*field = duration
}

// idempotency translates the effect of a class. An absent one counts as not idempotent.
func (t *translator) idempotency(key, value string) policy.Idempotency {
	switch value {
	case "pure":
		return policy.Idempotent
	case "token":
		return policy.IdempotentWithKey
	case "side_effect", "":
	default:
		t.fail(key, value, `"pure", "token" or "side_effect"`)
	}
	return policy.NotIdempotent
}

// keyScope translates the scope of a class's idempotency keys. An absent one counts as the
// narrowest.
func (t *translator) keyScope(key, value string) policy.KeyScope {
	switch value {
	case "all":
		return policy.KeyScopeAll
	case "zone":
		return policy.KeyScopeZone
	case "cell", "":
	default:
		t.fail(key, value, `"all", "zone" or "cell"`)
	}
	return policy.KeyScopeCell
}

// pollEndpoints translates the mode of discovery. An absent one counts as pushed.
func (t *translator) pollEndpoints(value string) bool {
	switch value {
	case "on_request":
		return true
	case "pushed", "":
	default:
		t.fail("RegistryMode", value, `"pushed" or "on_request"`)
	}
	return false
}
