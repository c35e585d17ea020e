package policy

import "testing"

func TestCompletedRequestIsKeptUntilItsAttemptsEnd(t *testing.T) {
	table := newRequestTable(2)
	request := table.add(Request{ID: 1}, &requestClass{})
	attempt := request.startAttempt(0, newServer(0))

	table.release(request)

	if found, _ := table.findAttempt(1, 0); found != request || len(table.active) != 0 {
		t.Fatal("a completed request with an attempt in flight must be known and not active")
	}
	request.endAttempt(attempt, OK)
	table.release(request)
	if len(table.byID) != 0 {
		t.Error("the request is still known after its last attempt")
	}
}

func TestRecordIsReusedOnlyOutsideTheQueue(t *testing.T) {
	for _, queued := range []bool{false, true} {
		table := newRequestTable(1)
		request := table.add(Request{ID: 1}, &requestClass{})
		request.queued = queued

		table.release(request)

		if reused := table.add(Request{ID: 2}, &requestClass{}) == request; reused == queued {
			t.Errorf("queued %v: the record is reused: %v", queued, reused)
		}
	}
}

func TestActiveRequestsKeepTheirIndexes(t *testing.T) {
	table := newRequestTable(1)
	for id := range RequestID(4) {
		table.add(Request{ID: id}, &requestClass{})
	}

	table.release(table.byID[1])

	if len(table.active) != 3 {
		t.Fatalf("%d active requests, want 3", len(table.active))
	}
	for i, request := range table.active {
		if request.activeIndex != i {
			t.Errorf("request %d has index %d, want %d", request.ID, request.activeIndex, i)
		}
	}
}

func TestOnlyAttemptsInFlightAreFound(t *testing.T) {
	table := newRequestTable(2)
	request := table.add(Request{ID: 1}, &requestClass{})
	ended := request.startAttempt(0, newServer(0))
	request.endAttempt(ended, ServerError)
	request.startAttempt(0, newServer(0))
	for _, tc := range []struct {
		id        RequestID
		index     int
		wantFound bool
	}{{1, 0, false}, {1, 1, true}, {1, 2, false}, {1, -1, false}, {2, 0, false}} {
		if _, attempt := table.findAttempt(tc.id, tc.index); (attempt != nil) != tc.wantFound {
			t.Errorf("attempt %d of request %d is found: %v, want %v", tc.index, tc.id, !tc.wantFound, tc.wantFound)
		}
	}
}
