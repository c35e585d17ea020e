package policy

// Validation of the settings.

import (
	"fmt"
	"math"
	"time"
)

// SettingError reports a setting whose value is invalid.
type SettingError struct {
	Field   string // path within Settings, such as "Limits.MaxAttempts" or "Classes[2].Deadline"
	Value   any    // the invalid value; for Classes, the number of classes
	Allowed string // the allowed values in words, such as "at least 1"
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("policy: setting %s is %v, must be %s", e.Field, e.Value, e.Allowed)
}

// Validate returns a *SettingError for the first invalid field, or nil.
func (s *Settings) Validate() error {
	checks := s.checks()
	for i := range s.Classes {
		checks = append(checks, s.Classes[i].checks(fmt.Sprintf("Classes[%d].", i))...)
	}
	for _, c := range checks {
		if !c.valid {
			return &SettingError{Field: c.field, Value: c.value, Allowed: c.allowed}
		}
	}
	// There may be tens of thousands of tenants, so the validation of a valid tenant allocates nothing.
	for i, t := range s.Tenants {
		if !isFiniteNonNegative(t.QuotaPerS) {
			return &SettingError{fmt.Sprintf("Tenants[%d].QuotaPerS", i), t.QuotaPerS, allowedNumber}
		}
	}
	return nil
}

// allowedNumber is the text of SettingError.Allowed for a value that isFiniteNonNegative checks.
const allowedNumber = "a finite number of at least 0"

// isFiniteNonNegative reports whether a number is finite and at least 0. It is false for NaN.
func isFiniteNonNegative(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// check is the result of validating one field.
type check struct {
	field   string
	value   any
	valid   bool
	allowed string
}

// checks validates all fields except those of the classes and tenants.
func (s *Settings) checks() []check {
	rules := &s.Rules
	return []check{
		checkCount("Nodes", s.Nodes, 1),
		checkCount("Node", s.Node, 0),
		checkCount("Zone", s.Zone, 0),
		checkCount("Classes", len(s.Classes), 1),
		checkNumber("OverQuotaFraction", s.OverQuotaFraction),
		checkCount("Limits.MaxAttempts", s.Limits.MaxAttempts, 1),
		checkDuration("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter),
		checkShare("Rules.SlowStartShare", rules.SlowStartShare),
		checkDuration("Rules.SlowStartDuration", rules.SlowStartDuration),
		checkNumber("Rules.OverloadMultiple", rules.OverloadMultiple),
		checkDuration("Rules.OverloadWindow", rules.OverloadWindow),
		checkDuration("Tick", s.Tick),
		checkDuration("Rules.ResponseGrace", rules.ResponseGrace),
		checkDuration("Rules.MaxPollInterval", rules.MaxPollInterval),
	}
}

// checks validates the fields of a class. The prefix is the path of the class, such as "Classes[2].".
func (c *Class) checks(prefix string) []check {
	return []check{
		{prefix + "Deadline", c.Deadline, c.Deadline > 0, "more than 0"},
		checkDuration(prefix+"Objective", c.Objective),
		checkNumber(prefix+"ObjectivePerWork", c.ObjectivePerWork),
		checkShare(prefix+"LateFraction", c.LateFraction),
		checkNumber(prefix+"PriorityWeight", c.PriorityWeight),
		{
			prefix + "Idempotency", c.Idempotency, c.Idempotency <= NotIdempotent,
			"idempotent, idempotent with key or not idempotent",
		},
		{prefix + "KeyScope", c.KeyScope, c.KeyScope <= KeyScopeCell, "all, zone or cell"},
		checkDuration(prefix+"KeyRetention", c.KeyRetention),
	}
}

func checkCount(field string, value, minimum int) check {
	return check{field, value, value >= minimum, fmt.Sprintf("at least %d", minimum)}
}

func checkDuration(field string, value time.Duration) check {
	return check{field, value, value >= 0, "at least 0"}
}

func checkNumber(field string, value float64) check {
	return check{field, value, isFiniteNonNegative(value), allowedNumber}
}

func checkShare(field string, value float64) check {
	return check{field, value, value >= 0 && value <= 1, "between 0 and 1"}
}
