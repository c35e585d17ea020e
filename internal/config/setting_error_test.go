package config

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"calicohinge/policy"
)

// invalidateNumbers sets every number in value, at any depth, to an invalid number.
func invalidateNumbers(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for _, field := range value.Fields() {
			invalidateNumbers(field)
		}
	case reflect.Slice:
		for i := range value.Len() {
			invalidateNumbers(value.Index(i))
		}
	case reflect.Uint8:
		value.SetUint(255)
	case reflect.Int, reflect.Int64:
		value.SetInt(-1)
	case reflect.Float64:
		value.SetFloat(-1)
	default: // every bool is valid
	}
}

// setValidNumber sets the field at a path such as "Classes[0].Deadline" to a valid number.
func setValidNumber(t *testing.T, settings *policy.Settings, path string) {
	t.Helper()
	value := reflect.ValueOf(settings).Elem()
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		if index, err := strconv.Atoi(part); err == nil {
			value = value.Index(index)
		} else {
			value = value.FieldByName(part)
		}
	}
	switch value.Kind() {
	case reflect.Uint8:
		value.SetUint(0)
	case reflect.Int, reflect.Int64:
		value.SetInt(1)
	case reflect.Float64:
		value.SetFloat(1)
	default:
		t.Fatalf("field %s has the kind %v, want a number", path, value.Kind())
	}
}

// rejectedFields returns every field that an error of Validate can name. It starts from settings in
// which all numbers are invalid, and corrects each field that Validate reports until the settings are valid.
func rejectedFields(t *testing.T) []string {
	t.Helper()
	settings := policy.Settings{Classes: make([]policy.Class, 3), Tenants: make([]policy.Tenant, 2)}
	invalidateNumbers(reflect.ValueOf(&settings).Elem())
	fields := []string{"Classes"} // Validate reports Classes only if the list is empty
	for {
		err := settings.Validate()
		if err == nil {
			return fields
		}
		settingError, ok := errors.AsType[*policy.SettingError](err)
		if !ok {
			t.Fatalf("Validate() = %v, want a *policy.SettingError", err)
		}
		fields = append(fields, settingError.Field)
		setValidNumber(t, &settings, settingError.Field)
	}
}

func TestEachFieldRejectedByValidateHasKey(t *testing.T) {
	want := map[string]string{
		"Nodes": "Balancers", "Node": "Me", "Zone": "Locality", "Classes": "Classes",
		"OverQuotaFraction": "OverShareWorth", "Tick": "TickMs",
		"Limits.MaxAttempts": "Limits.MaxAttempts", "Limits.MaxRetryAfter": "Limits.MaxRetryAfterMs",
		"Rules.SlowStartShare": "Contract.ColdFrom", "Rules.SlowStartDuration": "Contract.ColdMs",
		"Rules.OverloadMultiple": "Contract.FallMultiple", "Rules.OverloadWindow": "Contract.FallMs",
		"Rules.ResponseGrace": "Contract.GraceToAnswerMs", "Rules.MaxPollInterval": "Contract.MustAskInMs",
		"Tenants[0].QuotaPerS": "Accounts[0].QuotaPerS", "Tenants[1].QuotaPerS": "Accounts[1].QuotaPerS",
	}
	for _, index := range []string{"0", "1", "2"} {
		path := "Classes[" + index + "]."
		for field, key := range map[string]string{
			"Deadline": "DeadlineMs", "Objective": "PromiseMs", "ObjectivePerWork": "AimStretch",
			"LateFraction": "LateWorth", "PriorityWeight": "Importance", "Idempotency": "Effect",
			"KeyScope": "DedupScope", "KeyRetention": "KeyTtlMs",
		} {
			want[path+field] = path + key
		}
	}
	for _, field := range rejectedFields(t) {
		got, ok := settingForField(field)
		if !ok || got.key != want[field] {
			t.Errorf("settingForField(%q) = key %q, %v; want key %q, true", field, got.key, ok, want[field])
		}
		delete(want, field)
	}
	for field := range want {
		t.Errorf("Validate accepted an invalid %s, want an error", field)
	}
}

func TestUnknownFieldsHaveNoKey(t *testing.T) {
	for _, field := range []string{"", "Unknown", "Classes[0].Unknown", "Tenants[0].Unknown", "Unknown[0].Deadline"} {
		if found, ok := settingForField(field); ok {
			t.Errorf("settingForField(%q) = key %q, want none", field, found.key)
		}
	}
}

func TestErrorsOfInvalidSettingsNameKeyAndConfiguredValue(t *testing.T) {
	for text, want := range map[string]Error{
		`{}`:                 {Key: "settings.Classes", Value: 0, Allowed: "at least 1"},
		`{"Balancers": 0}`:   {Key: "settings.Balancers", Value: 0, Allowed: "at least 1"},
		`{"Me": -1}`:         {Key: "settings.Me", Value: -1, Allowed: "at least 0"},
		`{"Locality": -2}`:   {Key: "settings.Locality", Value: -2, Allowed: "at least 0"},
		`{"Classes": [{}]}`:  {Key: "settings.Classes[0].DeadlineMs", Value: 0.0, Allowed: "more than 0"},
		`{"Classes": null}`:  {Key: "settings.Classes", Value: 0, Allowed: "at least 1"},
		`{"Balancers": 1e2}`: {Key: "settings.Balancers", Value: jsonType("number 1e2"), Allowed: "a whole number"},
		`{"Classes": [{"DeadlineMs": 9}, {"DeadlineMs": -5.5}]}`: {
			Key: "settings.Classes[1].DeadlineMs", Value: -5.5, Allowed: "more than 0"},
		`{"Classes": [{"DeadlineMs": 9, "KeyTtlMs": -1}]}`: {
			Key: "settings.Classes[0].KeyTtlMs", Value: -1.0, Allowed: "at least 0"},
		`{"Classes": [{"DeadlineMs": 9, "LateWorth": 1.5}]}`: {
			Key: "settings.Classes[0].LateWorth", Value: 1.5, Allowed: "between 0 and 1"},
		`{"Classes": [{"DeadlineMs": 9}], "Accounts": [{"QuotaPerS": 1}, {"QuotaPerS": -3}]}`: {
			Key: "settings.Accounts[1].QuotaPerS", Value: -3.0, Allowed: "a finite number of at least 0"},
		`{"Classes": [{"DeadlineMs": 9}], "Limits": {"RetryAfter": true, "MaxRetryAfterMs": -600}}`: {
			Key: "settings.Limits.MaxRetryAfterMs", Value: -600.0, Allowed: "at least 0"},
		`{"Classes": [{"DeadlineMs": 9}], "Contract": {"MustAskInMs": -10}}`: {
			Key: "settings.Contract.MustAskInMs", Value: -10.0, Allowed: "at least 0"},
	} {
		_, err := ParseSettings([]byte(text))
		got, ok := errors.AsType[*Error](err)
		if !ok {
			t.Errorf("ParseSettings(%s): got error %v, want an *Error", text, err)
			continue
		}
		if got.Key != want.Key || got.Value != want.Value || got.Allowed != want.Allowed || got.File != "" {
			t.Errorf("ParseSettings(%s): got error %+v, want %+v", text, got, want)
		}
	}
}

func TestErrorOfInvalidSettingWrapsPolicyError(t *testing.T) {
	_, err := ParseSettings([]byte(`{"Classes": [{"DeadlineMs": -5}]}`))
	settingError, ok := errors.AsType[*policy.SettingError](err)
	if !ok || settingError.Field != "Classes[0].Deadline" {
		t.Errorf("error %v: got wrapped error %+v, want a *policy.SettingError of the field Classes[0].Deadline",
			err, settingError)
	}
	const want = "configuration: settings.Classes[0].DeadlineMs is -5, must be more than 0"
	if err.Error() != want {
		t.Errorf("Error() = %q, want %q", err, want)
	}
}
