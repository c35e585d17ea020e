package policy

// requestTable holds the active requests, and completed requests until they are released. It reuses the
// records of released requests.
type requestTable struct {
	byID        map[RequestID]*request
	active      []*request // unordered; request.activeIndex is the index of a request
	free        []*request // records of released requests, for reuse
	maxAttempts int        // number of attempts that each record has space for
}

func newRequestTable(maxAttempts int) requestTable {
	return requestTable{byID: map[RequestID]*request{}, maxAttempts: maxAttempts}
}

// add returns a record for a new request, which is active from now on.
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

// findAttempt returns a request and its attempt with the given index. Both are nil if the attempt is not in
// flight.
func (t *requestTable) findAttempt(id RequestID, index int) (*request, *attempt) {
	request := t.byID[id]
	if request == nil || index < 0 || index >= len(request.attempts) || !request.attempts[index].inFlight {
		return nil, nil
	}
	return request, &request.attempts[index]
}

// release completes a request, and releases the request once no attempt is in flight. It is called when the
// request completes, and again after each attempt of the request that ends later.
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
		if !request.queued { // the queue still refers to the record of a queued request
			t.free = append(t.free, request)
		}
	}
}
