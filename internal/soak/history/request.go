package history

import (
	"time"

	"calicohinge/internal/soak/scenario"
)

// Request is a request that a client sent, with the attempts that arrived at servers.
type Request struct {
	ID          string
	Incarnation *Incarnation // the incarnation of the node that received the request
	Class       scenario.Class
	Timeout     time.Duration // the timeout that the client sent

	SentAt         time.Time // set by RecordRequest
	DisconnectedAt time.Time // set by RecordDisconnect; zero if the client did not disconnect early
	Attempts       []Attempt // added by RecordAttempt, in order of arrival
}

// Attempt is an attempt that arrived at a server.
type Attempt struct {
	Server      *Server
	At          time.Time     // time of arrival
	Timeout     time.Duration // the timeout that the node sent to the server
	NotExecuted bool          // whether the response of the server guarantees that the request was not executed
}
