// Command halfrequests: usual clients ask while hundreds of bad clients send half a request each and stay. A bad client
// that is answered or closed comes again at once.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"calicohinge/review/standin2/lab"
)

const (
	memoryMB    = 32  // limits of the node: the smallest that the pages name
	descriptors = 256 //
	usual       = 20  // usual clients, each with one connection
	bad         = 900 // bad clients, each with one connection

	timeout  = 300 * time.Millisecond                 // what the usual clients wait: half of the deadline of their class
	limit    = timeout + 500*time.Millisecond + slack // a request without an answer by then is lost
	slack    = 50 * time.Millisecond                  // of each time limit on sockets
	patience = timeout + 4*time.Second                // for how long the stand-in looks for the answer
	calm     = 1500 * time.Millisecond                // before the bad clients come
	trouble  = 6 * time.Second                        // for which they come
	badLimit = 3 * time.Second                        // within which a bad client is owed an error or a close
	half     = "POST /save-scenario HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: bad-%d\r\n" +
		"X-Tenant-Id: coral-coast\r\nX-Timeout-Ms: 1000\r\nContent-Length: 65536\r\n\r\nabc"
)

func main() { lab.Run(play) }

// crowd is the state that the clients share.
type crowd struct {
	c    *lab.Case
	node *lab.Node
	stop chan struct{}
	wait sync.WaitGroup

	badRequests, badLate atomic.Int64

	mu               sync.Mutex
	requests, unread int
	late, lost       []time.Duration
}

func play(c *lab.Case) int {
	var listeners []net.Listener
	for range 4 {
		listeners = append(listeners, lab.Listen())
		go c.Serve(listeners[len(listeners)-1], func(r *http.Request, _ []byte, _ time.Time) []byte {
			time.Sleep(10 * time.Millisecond)
			return lab.Answer("answer to " + r.Header.Get("X-Request-ID"))
		})
	}
	discovery := c.NewDiscovery(lab.Endpoints(lab.Addresses(listeners)))
	cr := &crowd{c: c, stop: make(chan struct{})}
	cr.node = c.StartNode("n0", lab.Config(discovery, memoryMB, descriptors))
	for i := range usual {
		cr.wait.Go(func() { cr.usualClient(i) })
	}
	time.Sleep(calm)
	before := cr.node.CPUSeconds()
	if c.Trouble {
		c.Log("%d bad clients come", bad)
		for range bad {
			cr.wait.Go(cr.badClient)
		}
	}
	time.Sleep(trouble)
	cpu := cr.node.CPUSeconds() - before
	close(cr.stop)
	cr.wait.Wait()
	return cr.verdict(cpu)
}

func (cr *crowd) verdict(cpu float64) int {
	slowest := time.Duration(0)
	for _, took := range slices.Concat(cr.late, cr.lost) {
		slowest = max(slowest, took)
	}
	if cr.node.Exited() {
		return cr.c.Verdict(true, "the node has ended")
	}
	return cr.c.Verdict(len(cr.lost) > 0,
		"%d requests of usual clients: %d answered after their time, %d of them lost (no answer within %v), slowest answer %v; "+
			"%d closed unread on a new connection, not counted; %d half requests, %d of them without error or close for %v; "+
			"the node used %.1f s of processor time in %v",
		cr.requests, len(cr.late)+len(cr.lost), len(cr.lost), limit, slowest,
		cr.unread, cr.badRequests.Load(), cr.badLate.Load(), badLimit, cpu, trouble)
}

// usualClient sends a request every 100 ms or so, on one connection that it keeps.
func (cr *crowd) usualClient(number int) {
	client := &client{log: cr.c, addr: cr.node.Addr}
	defer client.close()
	for n := 0; ; n++ {
		select {
		case <-cr.stop:
			return
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
		id := fmt.Sprintf("u%d-%d", number, n)
		cr.count(id, client.ask(id))
	}
}

// count judges a request by its answer.
func (cr *crowd) count(id string, reply lab.Reply) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.requests++
	switch {
	case reply.Err != nil && !lab.IsTimeout(reply.Err):
		cr.unread++
		cr.c.Log("%s: connection closed with no answer, twice: %v", id, reply.Err)
	case reply.Took > limit:
		cr.lost = append(cr.lost, reply.Took)
		cr.c.Log("%s: LOST, status %d after %v, error %v", id, reply.Status, reply.Took, reply.Err)
	case reply.Took > timeout:
		cr.late = append(cr.late, reply.Took)
		cr.c.Log("%s: status %d after %v", id, reply.Status, reply.Took)
	}
}

// client is the connection of a usual client.
type client struct {
	log    *lab.Case
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// ask sends a request. If the node closes the kept connection instead of answering, the client sends the request once
// more on a new connection; its time then counts anew.
func (c *client) ask(id string) lab.Reply {
	kept := c.conn != nil
	reply := c.try(id)
	if kept && reply.Err != nil && !lab.IsTimeout(reply.Err) {
		reply = c.try(id)
	}
	return reply
}

func (c *client) try(id string) lab.Reply {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return lab.Reply{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reply := c.log.Exchange(c.conn, c.reader, id, lab.Request(http.MethodGet, "/repayment", id, timeout, ""), patience)
	if reply.Err != nil || reply.Close {
		c.close()
	}
	return reply
}

// badClient sends half a request, stays until it is answered or closed, and comes again.
func (cr *crowd) badClient() {
	for {
		select {
		case <-cr.stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", cr.node.Addr)
		if err != nil {
			return
		}
		connected := time.Now()
		_, _ = fmt.Fprintf(conn, half, cr.badRequests.Add(1))
		_ = conn.SetReadDeadline(connected.Add(2 * badLimit))
		_, _ = io.ReadAtLeast(conn, make([]byte, 1), 1)
		if time.Since(connected) > badLimit {
			cr.badLate.Add(1)
		}
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
}
