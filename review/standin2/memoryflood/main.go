// Command memoryflood: hundreds of bad clients send two long requests at once, again and again, beside usual clients, to a
// node before 200 servers. A platform kills the node when it holds more memory than its configuration states.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"calicohinge/review/standin2/lab"
)

const (
	memoryMB    = 32
	descriptors = 1024
	servers     = 200
	usual       = 20  // usual clients, each with one connection
	bad         = 330 // bad clients, each with one connection: less than a third of the descriptors

	work     = 40 * time.Millisecond // of a server for a request
	timeout  = 600 * time.Millisecond
	badStay  = 3 * time.Second  // for which a bad client stays, if it does not get its two answers before
	bodySize = 64 << 10         // of a bad client's request, the largest that the protocol allows
	calm     = 2 * time.Second  // before the bad clients come
	trouble  = 25 * time.Second // for which they come
	sample   = 10 * time.Millisecond
)

func main() { lab.Run(play) }

// flood is the state of the run.
type flood struct {
	c    *lab.Case
	node *lab.Node
	stop chan struct{}

	peakKB                          atomic.Int64
	killed                          atomic.Bool
	badRequests                     atomic.Int64
	asked, served, refused, noReply atomic.Int64
}

func play(c *lab.Case) int {
	var listeners []net.Listener
	for range servers {
		listener := lab.Listen()
		listeners = append(listeners, listener)
		go c.Serve(listener, func(r *http.Request, _ []byte, _ time.Time) []byte {
			time.Sleep(work)
			return lab.Answer("answer to " + r.Header.Get("X-Request-ID"))
		})
	}
	discovery := c.NewDiscovery(lab.Endpoints(lab.Addresses(listeners)))
	f := &flood{c: c, stop: make(chan struct{})}
	f.node = c.StartNode("n0", lab.Config(discovery, memoryMB, descriptors))
	var running sync.WaitGroup
	running.Go(f.platform)
	for i := range usual {
		running.Go(func() { f.usualClient(i) })
	}
	time.Sleep(calm)
	c.Log("peak before the bad clients: %.1f MB", float64(f.peakKB.Load())/1024)
	if c.Trouble {
		c.Log("%d bad clients come", bad)
		for i := range bad {
			running.Go(func() { f.badClient(i) })
		}
	}
	for until := time.Now().Add(trouble); time.Now().Before(until) && !f.node.Exited(); {
		time.Sleep(sample)
	}
	died := f.node.Exited()
	close(f.stop)
	running.Wait()
	return c.Verdict(died,
		"anonymous memory of the node at most %.1f MB of %d MB, killed for it: %v, ended: %v; %d long requests of bad clients; "+
			"usual requests: %d, of them served %d, refused %d, with no answer %d",
		float64(f.peakKB.Load())/1024, memoryMB, f.killed.Load(), died, f.badRequests.Load(),
		f.asked.Load(), f.served.Load(), f.refused.Load(), f.noReply.Load())
}

// stopped reports whether the run is over.
func (f *flood) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return f.node.Exited()
	}
}

// platform kills the node when it holds more than its memory.
func (f *flood) platform() {
	for ; !f.stopped(); time.Sleep(sample) {
		kB := int64(f.node.AnonymousKB())
		if kB > f.peakKB.Load() {
			f.peakKB.Store(kB)
		}
		if kB > memoryMB<<10 {
			f.c.Log("platform: kills the node, which holds %.1f MB", float64(kB)/1024)
			f.killed.Store(true)
			f.node.Signal(syscall.SIGKILL)
			return
		}
	}
}

// usualClient sends a short request every 150 ms or so, on one connection that it keeps.
func (f *flood) usualClient(number int) {
	client := &client{f: f}
	defer client.close()
	for n := 0; !f.stopped(); n++ {
		time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
		kept := client.conn != nil
		reply := client.try(fmt.Sprintf("u%d-%d", number, n))
		if kept && reply.Err != nil && !lab.IsTimeout(reply.Err) { // closed between two requests: once more
			reply = client.try(fmt.Sprintf("u%d-%d", number, n))
		}
		f.asked.Add(1)
		switch {
		case reply.Err != nil:
			f.noReply.Add(1)
		case reply.Status == http.StatusOK:
			f.served.Add(1)
		default:
			f.refused.Add(1)
		}
	}
}

// client is the connection of a usual client.
type client struct {
	f      *flood
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

func (c *client) try(id string) lab.Reply {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.f.node.Addr)
		if err != nil {
			return lab.Reply{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reply := c.f.c.Exchange(c.conn, c.reader, id, lab.Request(http.MethodGet, "/repayment", id, timeout, ""), 2*timeout)
	if reply.Err != nil || reply.Close {
		c.close()
	}
	return reply
}

// badClient sends two long requests at once, reads their answers, and comes again on a new connection.
func (f *flood) badClient(number int) {
	body := strings.Repeat("b", bodySize)
	for n := 0; !f.stopped(); n++ {
		conn, err := net.DialTimeout("tcp", f.node.Addr, badStay)
		if err != nil {
			time.Sleep(sample)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(badStay))
		first, second := fmt.Sprintf("b%d-%d-1", number, n), fmt.Sprintf("b%d-%d-2", number, n)
		text := lab.Request(http.MethodPost, "/save-scenario", first, time.Second, body) +
			lab.Request(http.MethodPost, "/save-scenario", second, time.Second, body)
		if _, err := io.WriteString(conn, text); err == nil {
			f.badRequests.Add(2)
			readAnswers(conn)
		}
		conn.Close()
	}
}

// readAnswers reads two answers, or what comes of them until the connection ends.
func readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return
		}
	}
}
