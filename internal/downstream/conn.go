package downstream

import (
	"container/list"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/httphead"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/throttle"
)

// Conn is a client connection that belongs to a Conns. It implements net.Conn.
type Conn struct {
	net.Conn
	raw       syscall.RawConn // gives access to the descriptor of the embedded connection
	conns     *Conns
	overLimit bool // result of OverLimit; set on admission

	// The fields below are guarded by conns.mu.
	state             connState
	graceStart        time.Time     // start of the grace period: when the connection was added to its queue
	queueElement      *list.Element // position in the queue for the state; nil if the state has no queue
	readAhead         []byte        // bytes received while a request was active and not yet returned by Read
	readAheadBuffer   []byte        // the array that contains readAhead, from its start
	readAheadReserved int           // bytes of Config.ReceiveMemory reserved for readAhead
	head              httphead.Scanner
	headReserved      int           // bytes of Config.ReceiveMemory reserved for the head of the current request
	readErr           error         // read error; nothing is read from the socket after it
	queueTime         time.Duration // result of QueueTime
	respondedAt       time.Time     // when the previous response was complete; zero if there was none
	readBlocked       bool          // whether Read has returned all received bytes of a request and waits for more
	responding        bool          // whether the final response to the current request has been begun
	forwarded         bool          // whether a server may have received the current request
	keepsPlace        bool          // whether KeepPlace was called
	local             connLocalResponses
	writeDeadline     time.Time // zero if writes have no deadline

	turn throttle.Turn // turn for local responses; guarded by conns.throttle
}

// newConn returns a connection that is not admitted yet. Its error is a *connError.
func newConn(netConn net.Conn, conns *Conns) (*Conn, error) {
	raw, err := rawConn(netConn)
	if err != nil {
		return nil, &connError{conn: netConn, err: err}
	}
	return &Conn{Conn: netConn, raw: raw, conns: conns}, nil
}

// MarkRequestRead records that the last byte of a request has been read. The request is active from
// then on until Conns.HandleConnState is called with http.StateIdle.
func (c *Conn) MarkRequestRead() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.markRequestRead(c)
}

// BeginMemoryWait records that the rest of the request stays unread until memory for it is free. The connection is
// neither evicted nor shut down before EndMemoryWait is called.
func (c *Conn) BeginMemoryWait() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.beginMemoryWait(c)
}

// EndMemoryWait records that the rest of the request is read now, or that the request is rejected.
func (c *Conn) EndMemoryWait() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.endMemoryWait(c)
}

// OverLimit reports whether the connection was accepted from the reserve, see Config.ReservedConns. Its
// request must be rejected.
func (c *Conn) OverLimit() bool { return c.overLimit }

// QueueTime returns the longest time that the current request may have waited for its connection to
// be accepted and admitted. It is 0 unless the request is the first one on the connection.
func (c *Conn) QueueTime() time.Duration {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.queueTime
}

// RequestAge returns the time since the last bytes of the client's current request arrived, whether or not they have been
// read. A request that the client has sent ahead counts from the end of the previous response. RequestAge reports false if
// the system does not tell; QueueTime is an upper bound of a part of that time then.
func (c *Conn) RequestAge() (time.Duration, bool) {
	age, known := sockstate.SinceLastData(c.Conn)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.respondedAt.IsZero() {
		age = min(age, time.Since(c.respondedAt))
	}
	return age, known
}

// setQueueTime sets the QueueTime of the first request.
func (c *Conn) setQueueTime(d time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.queueTime = d
}

// Closed reports whether this node has closed the connection.
func (c *Conn) Closed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state == stateClosed
}

// Lingering reports whether LingeringClose was called and the connection is not closed yet.
func (c *Conn) Lingering() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state == stateLingering
}

// hasUnreadBytes reports whether the socket's receive buffer contains bytes.
func (c *Conn) hasUnreadBytes() bool { return sockstate.Peek(c.Conn) == sockstate.Readable }
