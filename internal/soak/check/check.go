// Package check contains the rules of the soak that need the whole history of a run: the rules on attempts and
// on slow start. It returns the violations of these rules. Violations that can be detected during the run, such as a
// lost request or a late shutdown, are recorded by package soak.
package check

import (
	"fmt"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

// Run is a completed run.
type Run struct {
	Settings *scenario.Settings
	History  *history.History
	EndedAt  time.Time
}

// All checks all rules and returns the violations.
func All(run Run) []history.Violation {
	checker := checker{Run: run}
	checker.checkAttempts()
	checker.checkSlowStart()
	return checker.violations
}

// checker checks a run and collects the violations.
type checker struct {
	Run
	violations []history.Violation
}

// addViolation adds a violation that concerns a request.
func (c *checker) addViolation(rule string, at time.Time, request *history.Request, format string, arguments ...any) {
	text := fmt.Sprintf("request %s of class %s: ", request.ID, request.Class.Name) + fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, history.Violation{
		Rule: rule, At: at, Incarnation: request.Incarnation, Text: text,
	})
}

// lag returns how late an event around a time may have been recorded: the longest scheduling lag around that time.
func (c *checker) lag(at time.Time) time.Duration { return c.History.Lag.MaxNear(at) }
