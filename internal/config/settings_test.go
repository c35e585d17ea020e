package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"calicohinge/policy"
)

func TestParseSettingsTranslatesKeysAndKeepsSafeDefaults(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"Balancers": 2, "Locality": 1, "CountedBy": "work",
		"RegistryMode": "on_request",
		"Accounts": [{"Name": "a", "QuotaPerS": 84.0}], "OverShareWorth": 0.05,
		"Unknown": {"x": []},
		"Classes": [{"DeadlineMs": 1400.0, "DedupScope": "zone", "Effect": "token", "Importance": 2,
			"KeyTtlMs": 5000,
			"LateWorth": 0.5, "PromiseMs": 580, "Streaming": true, "AimStretch": 4}, {"DeadlineMs": 100}],
		"Contract": {"ColdFrom": 0.32, "ColdMs": 8800, "FallMs": 1000,
			"FallMultiple": 3, "MustAskInMs": 9000},
		"Limits": {"Cancel": true, "MaxAttempts": 4, "MaxRetryAfterMs": 600,
			"RetryAfter": true, "SecondCopies": true}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Settings{
		Nodes: 2, Zone: 1,
		Classes: []policy.Class{
			{
				Deadline: 1400 * time.Millisecond, Objective: 580 * time.Millisecond, ObjectivePerWork: 4,
				LateFraction: 0.5, PriorityWeight: 2, Streaming: true,
				Idempotency: policy.IdempotentWithKey, KeyScope: policy.KeyScopeZone, KeyRetention: 5 * time.Second,
			},
			{
				Deadline: 100 * time.Millisecond, Objective: 100 * time.Millisecond, PriorityWeight: 1,
				Idempotency: policy.NotIdempotent, KeyScope: policy.KeyScopeCell,
			},
		},
		Tenants:           []policy.Tenant{{QuotaPerS: 84}},
		OverQuotaFraction: 0.05, WeightByWork: true, PollEndpoints: true,
		Tick: policy.Defaults().Tick,
		Limits: policy.Limits{
			MaxAttempts: 4, Hedging: true, Cancel: true, MaxRetryAfter: 600 * time.Millisecond,
		},
		Rules: policy.Rules{
			SlowStartShare: 0.32, SlowStartDuration: 8800 * time.Millisecond,
			OverloadMultiple: 3, OverloadWindow: time.Second, MaxPollInterval: 9 * time.Second,
		},
	}
	if !reflect.DeepEqual(settings, want) {
		t.Errorf("ParseSettings() =\n%+v, want\n%+v", settings, want)
	}
}

func TestEachEnumeratedValueIsTranslated(t *testing.T) {
	for word, want := range map[string]policy.Idempotency{
		"pure": policy.Idempotent, "token": policy.IdempotentWithKey, "side_effect": policy.NotIdempotent,
		"": policy.NotIdempotent,
	} {
		settings, err := ParseSettings([]byte(`{"Classes": [{"DeadlineMs": 1, "Effect": "` + word + `"}]}`))
		if err != nil || settings.Classes[0].Idempotency != want {
			t.Errorf("ParseSettings with Effect %q: got classes %+v, error %v; want idempotency %v",
				word, settings.Classes, err, want)
		}
	}
	for word, want := range map[string]policy.KeyScope{
		"all": policy.KeyScopeAll, "zone": policy.KeyScopeZone, "cell": policy.KeyScopeCell, "": policy.KeyScopeCell,
	} {
		settings, err := ParseSettings([]byte(`{"Classes": [{"DeadlineMs": 1, "DedupScope": "` + word + `"}]}`))
		if err != nil || settings.Classes[0].KeyScope != want {
			t.Errorf("ParseSettings with DedupScope %q: got classes %+v, error %v; want key scope %v",
				word, settings.Classes, err, want)
		}
	}
	for word, want := range map[string]bool{"": false, "pushed": false, "on_request": true} {
		settings, err := ParseSettings([]byte(`{"Classes": [{"DeadlineMs": 1}], "RegistryMode": "` + word + `"}`))
		if err != nil || settings.PollEndpoints != want {
			t.Errorf("ParseSettings with RegistryMode %q: got polling %v, error %v; want polling %v",
				word, settings.PollEndpoints, err, want)
		}
	}
}

func TestRetryAfterIsOffUnlessPermitted(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"Classes": [{"DeadlineMs": 1}], "Limits": {"MaxRetryAfterMs": 600}}`))
	if err != nil || settings.Limits.MaxRetryAfter != 0 {
		t.Errorf("ParseSettings(): got MaxRetryAfter %v, error %v; want 0s, no error", settings.Limits.MaxRetryAfter, err)
	}
}

func TestAbsentAndNullSettingsKeepTheDefaults(t *testing.T) {
	want := policy.Defaults()
	for _, text := range []string{
		`{"Classes": [{"DeadlineMs": 1}]}`,
		`{"Classes": [{"DeadlineMs": 1}], "Balancers": null, "TickMs": null, "OverShareWorth": null,
			"Contract": {"ColdFrom": null, "ColdMs": null, "FallMs": null, "FallMultiple": null,
				"GraceToAnswerMs": null, "MustAskInMs": null}, "Limits": {"MaxAttempts": null}}`,
	} {
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if settings.Nodes != want.Nodes || settings.Tick != want.Tick || settings.Limits != want.Limits ||
			settings.Rules != want.Rules || settings.OverQuotaFraction != want.OverQuotaFraction {
			t.Errorf("ParseSettings(%s) = %+v, want the defaults %+v", text, settings, want)
		}
	}
}

func TestErrorsOfInvalidValuesNameKey(t *testing.T) {
	for text, key := range map[string]string{
		`{`:                                    "settings",
		`{"Classes": [{"Effect": "unknown"}]}`: "Classes[0].Effect",
		`{"Classes": [{"DedupScope": "unknown"}]}`: "Classes[0].DedupScope",
		`{"RegistryMode": "unknown"}`:              "RegistryMode",
		`{"Limits": {"MaxAttempts": "many"}}`:      "MaxAttempts",
		`{"Contract": {"ColdMs": 1e300}}`:          "settings.Contract.ColdMs is 1e+300",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("ParseSettings(%s): got error %v, want one that names %s", text, err, key)
		}
	}
}

func TestErrorsOfInvalidTypesAndValuesNameKey(t *testing.T) {
	for key, text := range map[string]string{
		"Balancers":     `{"Balancers": "two"}`,
		"DeadlineMs":    `{"Classes": [{"DeadlineMs": "x"}]}`,
		"Effect":        `{"Classes": [{"Effect": "unknown"}]}`,
		"ColdMs":        `{"Contract": {"ColdMs": []}}`,
		"RegistryMode":  `{"RegistryMode": "unknown"}`,
		"QuotaPerS":     `{"Accounts": [{"QuotaPerS": "all"}]}`,
		"FallMultiple":  `{"Contract": {"FallMultiple": {}}}`,
		"SecondCopies":  `{"Limits": {"SecondCopies": 1}}`,
		"TickMs":        `{"TickMs": "x"}`,
		"GraceToAnswer": `{"Contract": {"GraceToAnswerMs": true}}`,
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("ParseSettings(%s): got error %v, want one that names the key %s", text, err, key)
		}
	}
}
