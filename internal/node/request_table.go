package node

import (
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// requestTable holds the requests that are not released yet, by ID. Only the loop's goroutine uses it.
type requestTable struct {
	byID   map[policy.RequestID]*request
	lastID policy.RequestID
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[policy.RequestID]*request{}}
}

// newID returns an ID that no request in the table has. It skips IDs in use, since IDs wrap around after 2^32
// requests.
func (t *requestTable) newID() policy.RequestID {
	t.lastID++
	for t.byID[t.lastID] != nil {
		t.lastID++
	}
	return t.lastID
}

// add adds a request whose ID is from newID.
func (t *requestTable) add(req *request) { t.byID[req.id] = req }

// get returns the request with the given ID, or nil if the table has none.
func (t *requestTable) get(id policy.RequestID) *request { return t.byID[id] }

// remove removes a request from the table.
func (t *requestTable) remove(req *request) { delete(t.byID, req.id) }

// attemptRef identifies an attempt.
type attemptRef struct {
	request *request
	index   int // index in request.attempts
}

// revokeAttemptsTo revokes the attempts to the given servers that still wait for a connection, and returns them.
// Otherwise such an attempt could be sent after the grace period of a draining server, or reach another process at
// the same address.
func (t *requestTable) revokeAttemptsTo(servers upstream.RevokedServers) []attemptRef {
	var revoked []attemptRef
	for _, req := range t.byID {
		for index, a := range req.attempts {
			if a.state == attemptInFlight && servers.Contains(a.server) && a.revoke() {
				revoked = append(revoked, attemptRef{req, index})
			}
		}
	}
	return revoked
}
