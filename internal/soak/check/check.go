// Package check holds the rules of the soak: it reads the history of a run and returns each violation of a
// rule about attempts and about slow start. Package soak itself records the violations that a client, a
// server or a node notices at once, such as a lost request or a late shutdown.
package check

import (
	"fmt"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

// Run is a run that has ended.
type Run struct {
	Settings *scenario.Settings
	History  *history.History
	EndedAt  time.Time
}

// All checks every rule and returns the violations.
func All(run Run) []history.Violation {
	checker := checker{Run: run}
	checker.checkAttempts()
	checker.checkSlowStart()
	return checker.violations
}

// checker collects the violations of a run.
type checker struct {
	Run
	violations []history.Violation
}

// addViolation adds a violation at a request.
func (c *checker) addViolation(rule string, at time.Time, request *history.Request, format string, arguments ...any) {
	text := fmt.Sprintf("request %s, class %s: ", request.ID, request.Class.Name) + fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, history.Violation{
		Rule: rule, At: at, Incarnation: request.Incarnation, Text: text,
	})
}

// lag returns how late what was recorded around a time may be.
func (c *checker) lag(at time.Time) time.Duration { return c.History.Lag.MaxNear(at) }
