package policy

import (
	"fmt"
	"math"
)

// check returns an error that names the first impossible field.
func (s *Settings) check() error {
	bad := func(field string, v any) error {
		return fmt.Errorf("policy: setting %s is impossible: %v", field, v)
	}
	number := func(v, least float64) bool { return v >= least && !math.IsInf(v, 1) } // NaN fails too
	switch {
	case s.Nodes < 1:
		return bad("Nodes", s.Nodes)
	case s.Node < 0:
		return bad("Node", s.Node)
	case s.Zone < 0:
		return bad("Zone", s.Zone)
	case len(s.Classes) == 0:
		return bad("Classes", "none given")
	case !number(s.OverQuotaFraction, 0):
		return bad("OverQuotaValue", s.OverQuotaFraction)
	case s.Limits.MaxAttempts < 1:
		return bad("Limits.MaxAttempts", s.Limits.MaxAttempts)
	case s.Limits.MaxRetryAfter < 0:
		return bad("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	case !number(s.Rules.SlowStartShare, 0) || s.Rules.SlowStartShare > 1:
		return bad("Rules.ColdFrom", s.Rules.SlowStartShare)
	case s.Rules.SlowStartDuration < 0:
		return bad("Rules.ColdFor", s.Rules.SlowStartDuration)
	case !number(s.Rules.OverloadMultiple, 0):
		return bad("Rules.FallMultiple", s.Rules.OverloadMultiple)
	case s.Rules.OverloadWindow < 0:
		return bad("Rules.FallFor", s.Rules.OverloadWindow)
	case s.Tick < 0:
		return bad("Tick", s.Tick)
	case s.Rules.AnswerGrace < 0:
		return bad("Rules.AnswerGrace", s.Rules.AnswerGrace)
	case s.Rules.MaxPollInterval < 0:
		return bad("Rules.MustAsk", s.Rules.MaxPollInterval)
	}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.Deadline <= 0:
			return bad(field("Deadline"), c.Deadline)
		case c.Objective < 0:
			return bad(field("Objective"), c.Objective)
		case !number(c.ObjectivePerWork, 0):
			return bad(field("ObjectiveStretch"), c.ObjectivePerWork)
		case !number(c.LateFraction, 0) || c.LateFraction > 1:
			return bad(field("LateValue"), c.LateFraction)
		case !number(c.PriorityWeight, 0):
			return bad(field("Value"), c.PriorityWeight)
		case c.Idempotency > NotIdempotent:
			return bad(field("Effect"), c.Idempotency)
		case c.KeyScope > KeyScopeCell:
			return bad(field("Scope"), c.KeyScope)
		case c.KeyRetention < 0:
			return bad(field("Window"), c.KeyRetention)
		}
	}
	for i, t := range s.Tenants {
		if !number(t.QuotaPerS, 0) {
			return bad(fmt.Sprintf("Tenants[%d].QuotaPerS", i), t.QuotaPerS)
		}
	}
	return nil
}
