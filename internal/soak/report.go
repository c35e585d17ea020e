package soak

import (
	"fmt"
	"strings"
	"testing"

	"calicohinge/internal/soak/history"
)

const (
	violationsShown = 3  // of each rule
	logLinesShown   = 40 // of each process with a violation
)

// report fails the test for each violation, up to violationsShown of each rule. It logs the timeline of the run
// and the logs of the processes that broke a rule.
func (r *runner) report(t *testing.T) {
	t.Helper()
	summary := r.history.Summary()
	t.Logf("seed %d: %s; %d requests, %d with a response, %d reset in the accept queue of a node that shut down, %d violations",
		r.scenario.Seed, r.describe(), summary.Requests, summary.Responses, summary.Resets, len(summary.Violations))
	counts, incarnations := map[string]int{}, map[*history.Incarnation]bool{}
	for _, violation := range summary.Violations {
		counts[violation.Rule]++
		if counts[violation.Rule] > violationsShown {
			continue
		}
		name := ""
		if violation.Incarnation != nil {
			name = violation.Incarnation.Name
			incarnations[violation.Incarnation] = true
		}
		t.Errorf("rule %s at %.3f, %s: %s (lag %v)", violation.Rule, violation.At.Sub(r.history.StartTime()).Seconds(), name,
			violation.Text, r.history.Lag.MaxNear(violation.At))
	}
	for incarnation := range incarnations {
		t.Logf("log of %s, started at %.3f:\n%s", incarnation.Name,
			incarnation.StartedAt.Sub(r.history.StartTime()).Seconds(), incarnation.LastLines(logLinesShown))
	}
	if len(summary.Violations) > 0 {
		t.Logf("violations by rule: %v; timeline:\n%s", counts, strings.Join(r.history.Timeline(), "\n"))
	}
	if summary.Responses < summary.Requests/2 {
		t.Errorf("%d of %d requests have a response", summary.Responses, summary.Requests)
	}
}

// describe describes the scenario in a line.
func (r *runner) describe() string {
	settings := &r.scenario.Settings
	return fmt.Sprintf("%d nodes, high concurrency %v, lists %s, deadline %v, drain grace %v", len(r.nodes),
		r.scenario.HighConcurrency, settings.Mode, settings.LongestDeadline(), settings.DrainGrace)
}
