package soak

import (
	"fmt"
	"strings"
	"testing"

	"calicohinge/internal/soak/history"
)

const (
	violationsShown = 3  // maximum number of reported violations per rule
	logLinesShown   = 40 // maximum number of log lines per incarnation with a reported violation
)

// report fails the test if there are violations or if fewer than half of the requests got a response. It reports up
// to violationsShown violations of each rule and logs the last lines of each incarnation with a reported violation.
// If there are violations, it also logs the timeline of the run.
func (r *runner) report(t *testing.T) {
	t.Helper()
	summary := r.history.Summary()
	t.Logf("seed %d: %s; %d requests, %d responses, %d connections reset in the accept queue of a node that shut down, "+
		"%d violations",
		r.scenario.Seed, r.describe(), summary.Requests, summary.Responses, summary.Resets, len(summary.Violations))
	counts, incarnations := map[string]int{}, map[*history.Incarnation]bool{}
	for _, violation := range summary.Violations {
		counts[violation.Rule]++
		if counts[violation.Rule] > violationsShown {
			continue
		}
		name := "no specific node"
		if violation.Incarnation != nil {
			name = violation.Incarnation.Name
			incarnations[violation.Incarnation] = true
		}
		t.Errorf("violation of rule %q at %.3f s, %s: %s (scheduling lag %v)", violation.Rule,
			violation.At.Sub(r.history.StartTime()).Seconds(), name, violation.Text, r.history.Lag.MaxNear(violation.At))
	}
	for incarnation := range incarnations {
		t.Logf("log of %s, started at %.3f s:\n%s", incarnation.Name,
			incarnation.StartedAt.Sub(r.history.StartTime()).Seconds(), incarnation.LastLines(logLinesShown))
	}
	if len(summary.Violations) > 0 {
		t.Logf("number of violations of each rule: %v; timeline:\n%s", counts, strings.Join(r.history.Timeline(), "\n"))
	}
	if summary.Responses < summary.Requests/2 {
		t.Errorf("%d of %d requests got a response, want at least half", summary.Responses, summary.Requests)
	}
}

// describe summarizes the scenario in one line.
func (r *runner) describe() string {
	settings := &r.scenario.Settings
	return fmt.Sprintf("%d nodes, high concurrency: %v, discovery mode %s, longest deadline %v, drain grace %v",
		len(r.nodes), r.scenario.HighConcurrency, settings.Mode, settings.LongestDeadline(), settings.DrainGrace)
}
