package policy

import (
	"testing"
	"time"
)

func TestDeadlinesDependOnClassClientTimeoutAndTick(t *testing.T) {
	class := &requestClass{Class: Class{Deadline: 2 * time.Second, Objective: 800 * ms, ObjectivePerWork: 2}}
	type deadlines struct{ deadline, objective, queueing time.Duration }
	for _, tc := range []struct {
		name     string
		arrival  Request
		settings Settings
		want     deadlines
	}{
		{"class deadline", Request{Timeout: time.Minute}, Settings{}, deadlines{2 * time.Second, 800 * ms, 990 * ms}},
		{"client timeout", Request{Timeout: 600 * ms}, Settings{}, deadlines{600 * ms, 600 * ms, 290 * ms}},
		{"objective extended by work", Request{Timeout: time.Minute, CostHint: 100 * ms}, Settings{},
			deadlines{2 * time.Second, time.Second, 990 * ms}},
		{"tick longer than the grace", Request{Timeout: 600 * ms},
			Settings{Tick: 50 * ms, Rules: Rules{ResponseGrace: 10 * ms}}, deadlines{560 * ms, 560 * ms, 270 * ms}},
		{"zero timeout", Request{Timeout: 0}, Settings{}, deadlines{0, 0, -checkInterval}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := request{Request: tc.arrival, class: class}

			r.setDeadlines(time.Hour, &tc.settings)

			got := deadlines{r.deadline - time.Hour, r.objectiveDeadline - time.Hour, r.queueingDeadline - time.Hour}
			if got != tc.want {
				t.Errorf("setDeadlines for %+v: got %+v after the arrival, want %+v", tc.arrival, got, tc.want)
			}
		})
	}
}

func TestSafeToRejectDependsOnIdempotencyKeyScopeAndStatus(t *testing.T) {
	idempotent := Class{Idempotency: Idempotent}
	keyForAll := Class{Idempotency: IdempotentWithKey, KeyScope: KeyScopeAll}
	keyForCell := Class{Idempotency: IdempotentWithKey, KeyScope: KeyScopeCell}
	notIdempotent := Class{Idempotency: NotIdempotent}
	for _, tc := range []struct {
		class    Class
		status   Status
		wantSafe bool
	}{
		{idempotent, StatusTimeout, true},
		{keyForAll, StatusTimeout, true},
		{keyForCell, StatusTimeout, false},
		{keyForCell, StatusRejected, true},
		{notIdempotent, StatusServerError, false},
		{notIdempotent, StatusConnectFailed, true},
		{notIdempotent, StatusNotSent, true},
	} {
		r := request{class: &requestClass{Class: tc.class}}
		r.endAttempt(r.startAttempt(0, newServer(0)), tc.status)
		if got := r.safeToReject(); got != tc.wantSafe {
			t.Errorf("class that is %v, key scope %v, attempt ended with %v: safeToReject() = %v, want %v",
				tc.class.Idempotency, tc.class.KeyScope, tc.status, got, tc.wantSafe)
		}
	}
}
