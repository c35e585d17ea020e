package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestInvalidSettingIsReportedWithItsField(t *testing.T) {
	nan, infinite := math.NaN(), math.Inf(1)
	for _, tc := range []struct {
		field  string
		change func(*Settings)
	}{
		{"Nodes", func(s *Settings) { s.Nodes = 0 }},
		{"Node", func(s *Settings) { s.Node = -1 }},
		{"Zone", func(s *Settings) { s.Zone = -1 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[1].Deadline", func(s *Settings) { s.Classes[1].Deadline = 0 }},
		{"Classes[0].Objective", func(s *Settings) { s.Classes[0].Objective = -1 }},
		{"Classes[0].ObjectivePerWork", func(s *Settings) { s.Classes[0].ObjectivePerWork = nan }},
		{"Classes[0].LateFraction", func(s *Settings) { s.Classes[0].LateFraction = 1.5 }},
		{"Classes[0].PriorityWeight", func(s *Settings) { s.Classes[0].PriorityWeight = nan }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Classes[0].KeyScope", func(s *Settings) { s.Classes[0].KeyScope = 9 }},
		{"Classes[0].KeyRetention", func(s *Settings) { s.Classes[0].KeyRetention = -1 }},
		{"Tick", func(s *Settings) { s.Tick = -1 }},
		{"Rules.ResponseGrace", func(s *Settings) { s.Rules.ResponseGrace = -1 }},
		{"Classes[2].PriorityWeight", func(s *Settings) { s.Classes[2].PriorityWeight = infinite }},
		{"Tenants[0].QuotaPerS", func(s *Settings) { s.Tenants = []Tenant{{QuotaPerS: -1}} }},
		{"OverQuotaFraction", func(s *Settings) { s.OverQuotaFraction = nan }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Limits.MaxRetryAfter", func(s *Settings) { s.Limits.MaxRetryAfter = -1 }},
		{"Rules.SlowStartShare", func(s *Settings) { s.Rules.SlowStartShare = 2 }},
		{"Rules.SlowStartDuration", func(s *Settings) { s.Rules.SlowStartDuration = -1 }},
		{"Rules.OverloadMultiple", func(s *Settings) { s.Rules.OverloadMultiple = nan }},
		{"Rules.OverloadWindow", func(s *Settings) { s.Rules.OverloadWindow = -1 }},
		{"Rules.MaxPollInterval", func(s *Settings) { s.Rules.MaxPollInterval = -1 }},
	} {
		settings := testSettings()
		tc.change(&settings)
		_, err := New(settings, 1, newFakeHost())
		var invalid *SettingError
		if !errors.As(err, &invalid) || invalid.Field != tc.field || invalid.Allowed == "" ||
			!strings.Contains(err.Error(), "setting "+tc.field+" ") {
			t.Errorf("New with an invalid %s: got error %v, want a *SettingError that names this field", tc.field, err)
		}
	}
}

func TestDefaultsNeedOnlyAClass(t *testing.T) {
	settings := Defaults()
	settings.Classes = []Class{{Deadline: 1}}
	if err := settings.Validate(); err != nil {
		t.Errorf("Validate of the defaults with one class = %v, want nil", err)
	}
}

func TestFirstInvalidSettingIsReported(t *testing.T) {
	settings := testSettings()
	settings.Classes[2].Deadline, settings.Classes[1].LateFraction = 0, 2
	var invalid *SettingError
	if err := settings.Validate(); !errors.As(err, &invalid) || invalid.Field != "Classes[1].LateFraction" ||
		invalid.Value != 2.0 || invalid.Allowed != "between 0 and 1" {
		t.Errorf("Validate = %v, want a *SettingError for the first invalid field, Classes[1].LateFraction", err)
	}
}
