package policy

// requestTable holds the active requests, and the completed ones while they have attempts in flight. It
// reuses their records.
type requestTable struct {
	byID        map[RequestID]*request
	active      []*request // in no order; each knows its index
	free        []*request // records for reuse
	maxAttempts int        // of a request, for which a record has room
}

func newRequestTable(maxAttempts int) requestTable {
	return requestTable{byID: map[RequestID]*request{}, maxAttempts: maxAttempts}
}

// add returns the record of an arrival, which is active from now on.
func (t *requestTable) add(arrival Request, class *requestClass) *request {
	var record *request
	if n := len(t.free); n > 0 {
		record = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		record = &request{attempts: make([]attempt, 0, t.maxAttempts)}
	}
	*record = request{
		Request:     arrival,
		class:       class,
		weight:      class.PriorityWeight,
		attempts:    record.attempts[:0],
		activeIndex: len(t.active),
	}
	t.byID[arrival.ID] = record
	t.active = append(t.active, record)
	return record
}

// findAttempt returns the attempt of an event, or nil if it is not in flight.
func (t *requestTable) findAttempt(id RequestID, index int) (*request, *attempt) {
	request := t.byID[id]
	if request == nil || index < 0 || index >= len(request.attempts) || !request.attempts[index].inFlight {
		return nil, nil
	}
	return request, &request.attempts[index]
}

// release marks a request as completed, and forgets it once no attempt is in flight. It is called when the
// request is completed and again at the end of each later attempt.
func (t *requestTable) release(request *request) {
	if !request.completed {
		request.completed = true
		last := t.active[len(t.active)-1]
		t.active[request.activeIndex] = last
		last.activeIndex = request.activeIndex
		t.active = t.active[:len(t.active)-1]
	}
	if request.inFlight == 0 && t.byID[request.ID] == request {
		delete(t.byID, request.ID)
		if !request.queued { // the queue still refers to it otherwise
			t.free = append(t.free, request)
		}
	}
}
