package config

import (
	"strings"
	"time"

	"calicohinge/internal/milliseconds"
)

// kind is the form of a setting's value. The zero kind is a value that has the same form in package policy.
type kind int

const (
	// kindMilliseconds is a floating-point number of milliseconds, which becomes a time.Duration.
	kindMilliseconds kind = iota + 1
	// kindEnum is one of a few words, which becomes a value of an enumeration or a bool.
	kindEnum
	// kindList is a list; its elements have settings of their own.
	kindList
)

// setting is one of the operators' settings.
type setting struct {
	key   string // path within the settings; "[]" stands for the index of an element
	field string // path within policy.Settings; empty where that has no field of its own for the setting
	kind  kind
}

// settingsTable maps the operators' keys to the fields of package policy. translateSettingError uses it. Tests
// check against it the structs that the settings are decoded into, the keys in errors of this package, and
// docs/CONFIGURATION.md.
func settingsTable() []setting {
	return []setting{
		{key: "Balancers", field: "Nodes"},
		{key: "Me", field: "Node"},
		{key: "Zones"},
		{key: "Locality", field: "Zone"},
		{key: "RegistryMode", field: "PollEndpoints", kind: kindEnum},
		{key: "TickMs", field: "Tick", kind: kindMilliseconds},
		{key: "CountedBy", field: "WeightByWork"}, // every word but "work" counts as "request"
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
		{key: "Limits.RetryAfter"}, // if false, MaxRetryAfter is 0
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

// settingForField returns the setting of a field, which is given as policy.SettingError gives it, such as
// "Classes[2].Deadline", with the index in its key. It returns false for a field that the table does not have.
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

// splitIndex cuts the index of an element out of a path: from "Classes[2].Deadline", it makes
// "Classes[].Deadline" and "2". The index of a path without one is empty.
func splitIndex(path string) (string, string) {
	list, rest, found := strings.Cut(path, "[")
	if !found {
		return path, ""
	}
	index, rest, _ := strings.Cut(rest, "]")
	return list + "[]" + rest, index
}

// valueInSettingUnit returns the value of a field in the operators' unit.
func (s setting) valueInSettingUnit(value any) any {
	if duration, ok := value.(time.Duration); ok && s.kind == kindMilliseconds {
		return milliseconds.FromDuration(duration)
	}
	return value
}
