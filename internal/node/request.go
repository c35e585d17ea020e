package node

import (
	"time"

	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// clientConn is the connection of the client that waits for a request's response.
type clientConn interface {
	// ClientDisconnected reports whether the client has disconnected by now, however many
	// events still wait for the loop. Any goroutine may call it.
	ClientDisconnected() bool
}

// request is a client's request that has no final response yet, or an attempt in flight.
type request struct {
	upstream.Request
	class, tenant int           // indexes into policy.Settings
	costHint      time.Duration // 0: unknown
	deadline      time.Duration // on the node's clock: by when the response must be written
	client        clientConn
	completion    chan completion // buffered: the loop sends one completion and never blocks

	// Only the loop's goroutine uses the fields below.
	id            policy.RequestID
	state         requestState
	attempts      []*attempt
	inFlight      int // attempts in state attemptInFlight
	deadlineTimer *time.Timer
}

// completion is the result of a request for its client: the final response, or an error if there is none.
type completion struct {
	response response
	err      error
}

// attempt is one send of a request. Only the loop's goroutine uses it.
type attempt struct {
	call      *upstream.Call
	server    policy.ServerID
	startedAt time.Duration // on the node's clock
	state     attemptState
	timer     *time.Timer // ends the attempt before the request's deadline; may be nil
}
