package config

import (
	"strings"
	"time"

	"calicohinge/internal/milliseconds"
)

// kind says how the value of a setting is translated. The zero kind stands for a value that package policy uses
// unchanged.
type kind int

const (
	// kindMilliseconds is a floating-point number of milliseconds, translated to a time.Duration.
	kindMilliseconds kind = iota + 1
	// kindEnum is one of a fixed set of strings, translated to an enumerated value or a bool.
	kindEnum
	// kindList is a list whose elements have settings of their own.
	kindList
)

// setting maps a key of the settings to a field of policy.Settings.
type setting struct {
	key   string // path in the settings; "[]" stands for the index of an element
	field string // path in policy.Settings; empty if no field corresponds to the key
	kind  kind
}

// settingsTable returns all settings. translateSettingError uses it to find the key of an invalid field. Tests
// compare it with the structs that the settings are decoded into, the keys in errors of this package, the
// fields of policy.Settings, and docs/CONFIGURATION.md.
func settingsTable() []setting {
	return []setting{
		{key: "Balancers", field: "Nodes"},
		{key: "Me", field: "Node"},
		{key: "Zones"},
		{key: "Locality", field: "Zone"},
		{key: "RegistryMode", field: "PollEndpoints", kind: kindEnum},
		{key: "TickMs", field: "Tick", kind: kindMilliseconds},
		{key: "CountedBy", field: "WeightByWork"}, // any value other than "work" means "request"
		{key: "OverShareWorth", field: "OverQuotaFraction"},
		{key: "Accounts", field: "Tenants", kind: kindList},
		{key: "Accounts[].Name"},
		{key: "Accounts[].QuotaPerS", field: "Tenants[].QuotaPerS"},
		{key: "Classes", field: "Classes", kind: kindList},
		{key: "Classes[].Name"},
		{key: "Classes[].Effect", field: "Classes[].Idempotency", kind: kindEnum},
		{key: "Classes[].DedupScope", field: "Classes[].KeyScope", kind: kindEnum},
		{key: "Classes[].KeyTtlMs", field: "Classes[].KeyRetention", kind: kindMilliseconds},
		{key: "Classes[].DeadlineMs", field: "Classes[].Deadline", kind: kindMilliseconds},
		{key: "Classes[].PromiseMs", field: "Classes[].Objective", kind: kindMilliseconds},
		{key: "Classes[].AimStretch", field: "Classes[].ObjectivePerWork"},
		{key: "Classes[].LateWorth", field: "Classes[].LateFraction"},
		{key: "Classes[].Importance", field: "Classes[].PriorityWeight"},
		{key: "Classes[].Streaming", field: "Classes[].Streaming"},
		{key: "Limits.MaxAttempts", field: "Limits.MaxAttempts"},
		{key: "Limits.SecondCopies", field: "Limits.Hedging"},
		{key: "Limits.Cancel", field: "Limits.Cancel"},
		{key: "Limits.RetryAfter"}, // false sets Limits.MaxRetryAfter to 0
		{key: "Limits.MaxRetryAfterMs", field: "Limits.MaxRetryAfter", kind: kindMilliseconds},
		{key: "Limits.ConnIdleMs", kind: kindMilliseconds},
		{key: "Limits.ConnectTimeoutMs", kind: kindMilliseconds},
		{key: "Contract.GraceToAnswerMs", field: "Rules.ResponseGrace", kind: kindMilliseconds},
		{key: "Contract.DrainGraceMs", kind: kindMilliseconds},
		{key: "Contract.MustAskInMs", field: "Rules.MaxPollInterval", kind: kindMilliseconds},
		{key: "Contract.ColdFrom", field: "Rules.SlowStartShare"},
		{key: "Contract.ColdMs", field: "Rules.SlowStartDuration", kind: kindMilliseconds},
		{key: "Contract.FallMultiple", field: "Rules.OverloadMultiple"},
		{key: "Contract.FallMs", field: "Rules.OverloadWindow", kind: kindMilliseconds},
	}
}

// settingForField returns the setting for the path of a field, in the form of policy.SettingError.Field, such as
// "Classes[2].Deadline". The key of the result has the same index. It returns false if the table has no such
// field.
func settingForField(path string) (setting, bool) {
	field, index := splitIndex(path)
	for _, s := range settingsTable() {
		if s.field != "" && s.field == field {
			s.key = strings.Replace(s.key, "[]", "["+index+"]", 1)
			return s, true
		}
	}
	return setting{}, false
}

// splitIndex removes the index of an element from a path and returns both: "Classes[2].Deadline" gives
// "Classes[].Deadline" and "2". A path without an index gives an empty index.
func splitIndex(path string) (string, string) {
	list, rest, found := strings.Cut(path, "[")
	if !found {
		return path, ""
	}
	index, rest, _ := strings.Cut(rest, "]")
	return list + "[]" + rest, index
}

// valueInSettingUnit returns the value of a field in the unit of its setting: a duration becomes a number of
// milliseconds.
func (s setting) valueInSettingUnit(value any) any {
	if duration, ok := value.(time.Duration); ok && s.kind == kindMilliseconds {
		return milliseconds.FromDuration(duration)
	}
	return value
}
