package history

import (
	"time"

	"calicohinge/internal/soak/scenario"
)

// Request is a request as its client saw it, with the attempts that arrived at servers.
type Request struct {
	ID          string
	Incarnation *Incarnation // of the node that it was sent to
	Class       scenario.Class
	Timeout     time.Duration

	SentAt         time.Time // set by RequestSent
	DisconnectedAt time.Time // set by ClientDisconnects; zero: the client waited
	Attempts       []Attempt // set by AttemptArrived, in order of arrival
}

// Attempt is one arrival of a request at a server.
type Attempt struct {
	Server      *Server
	At          time.Time
	Timeout     time.Duration // in the request that the server received
	NotExecuted bool          // the server guarantees that it did not execute the request
}
