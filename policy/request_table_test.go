package policy

import "testing"

func TestCompletedRequestIsKeptUntilItsAttemptsEnd(t *testing.T) {
	table := newRequestTable(2)
	request := table.add(Request{ID: 1}, &requestClass{})
	attempt := request.startAttempt(0, newServer(0))

	table.release(request)

	if found, _ := table.findAttempt(1, 0); found != request || len(table.active) != 0 {
		t.Fatalf("completed request with an attempt in flight: got found %v, %d active requests; want true, 0",
			found == request, len(table.active))
	}
	request.endAttempt(attempt, StatusOK)
	table.release(request)
	if len(table.byID) != 0 {
		t.Errorf("requests in the table after the last attempt ended: got %d, want 0", len(table.byID))
	}
}

func TestRecordIsNotReusedWhileQueued(t *testing.T) {
	for _, queued := range []bool{false, true} {
		table := newRequestTable(1)
		request := table.add(Request{ID: 1}, &requestClass{})
		request.queued = queued

		table.release(request)

		if reused := table.add(Request{ID: 2}, &requestClass{}) == request; reused == queued {
			t.Errorf("released request with queued %v: got record reused %v, want %v", queued, reused, !queued)
		}
	}
}

func TestReleaseKeepsIndexesOfActiveRequests(t *testing.T) {
	table := newRequestTable(1)
	for id := range RequestID(4) {
		table.add(Request{ID: id}, &requestClass{})
	}

	table.release(table.byID[1])

	if len(table.active) != 3 {
		t.Fatalf("active requests after one of 4 was released: got %d, want 3", len(table.active))
	}
	for i, request := range table.active {
		if request.activeIndex != i {
			t.Errorf("activeIndex of request %d: got %d, want %d", request.ID, request.activeIndex, i)
		}
	}
}

func TestFindAttemptReturnsOnlyAttemptsInFlight(t *testing.T) {
	table := newRequestTable(2)
	request := table.add(Request{ID: 1}, &requestClass{})
	ended := request.startAttempt(0, newServer(0))
	request.endAttempt(ended, StatusServerError)
	request.startAttempt(0, newServer(0))
	for _, tc := range []struct {
		id        RequestID
		index     int
		wantFound bool
	}{{1, 0, false}, {1, 1, true}, {1, 2, false}, {1, -1, false}, {2, 0, false}} {
		if _, attempt := table.findAttempt(tc.id, tc.index); (attempt != nil) != tc.wantFound {
			t.Errorf("findAttempt(%d, %d): found %v, want %v", tc.id, tc.index, attempt != nil, tc.wantFound)
		}
	}
}
