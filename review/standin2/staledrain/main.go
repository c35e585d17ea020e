// Command staledrain: a watch of the list falls silent as a server begins to drain. Then discovery either answers slowly, or
// refuses two calls and answers all others at once, as DISCOVERY says: "slow" or "refuses".
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"calicohinge/review/standin2/lab"
)

const (
	servers = 4
	clients = 8

	timeout = 400 * time.Millisecond
	pause   = 30 * time.Millisecond // between two requests of a client
	calm    = 4 * time.Second

	// slow is how long discovery takes for a call after the silence began. A call fails after 3 s at the site.
	slow = 2800 * time.Millisecond
	// refused is how many calls discovery refuses after the silence began.
	refused = 2
	// told is the time from which the node counts as told of what a silent watch misses.
	told  = 6 * time.Second
	grace = lab.DrainGraceMs * time.Millisecond
	slack = 50 * time.Millisecond
)

func main() { lab.Run(play) }

// drain is the state of the run.
type drain struct {
	c         *lab.Case
	discovery *lab.Discovery
	refuses   bool        // discovery refuses calls instead of being slow
	armed     atomic.Bool // the next watch falls silent

	mu          sync.Mutex
	silentSince time.Time // zero before the disruption
	calls       int       // calls after it
	began       chan struct{}
	allowed     int // requests to the draining server within the grace
	late        int // and after it
	last        time.Duration
}

func play(c *lab.Case) int {
	d := &drain{c: c, refuses: os.Getenv("DISCOVERY") == "refuses", began: make(chan struct{})}
	var listeners []net.Listener
	for i := range servers {
		listeners = append(listeners, lab.Listen())
		go c.Serve(listeners[i], func(r *http.Request, _ []byte, firstByte time.Time) []byte {
			if i == 0 {
				d.count(r.Header.Get("X-Request-ID"), firstByte)
			}
			time.Sleep(10 * time.Millisecond)
			return lab.Answer("answer to " + r.Header.Get("X-Request-ID"))
		})
	}
	d.discovery = c.NewDiscovery(lab.Endpoints(lab.Addresses(listeners)))
	d.discovery.OnCall = d.onCall
	node := c.StartNode("n0", lab.Config(d.discovery, 192, 1024))
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { d.client(i, node.Addr, stop) })
	}
	time.Sleep(calm)
	d.armed.Store(true)
	<-d.began
	d.discovery.Publish("s-0", "Terminating")
	time.Sleep(told + grace + 3*time.Second)
	close(stop)
	running.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.Verdict(d.late > 0, "the draining server got %d requests up to %v after the change, and %d later ones, the last %v after it",
		d.allowed, told+grace+slack, d.late, d.last)
}

// onCall disrupts the first watch that arrives when armed, which the node has written a moment ago, and the calls after it.
func (d *drain) onCall(watch bool) lab.Fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.silentSince.IsZero():
		d.calls++
		return d.fateAfterSilence()
	case !watch || !d.armed.Load():
		return lab.Fate{}
	}
	d.silentSince = time.Now()
	close(d.began)
	return lab.Fate{Silent: d.c.Trouble}
}

func (d *drain) fateAfterSilence() lab.Fate {
	switch {
	case !d.c.Trouble:
		return lab.Fate{}
	case d.refuses:
		return lab.Fate{Refused: d.calls <= refused}
	}
	return lab.Fate{Delay: slow}
}

// count counts a request to the server that drains.
func (d *drain) count(id string, firstByte time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silentSince.IsZero() {
		return
	}
	d.last = firstByte.Sub(d.silentSince)
	if d.last <= told+grace+slack {
		d.allowed++
		return
	}
	d.late++
	d.c.Log("server s-0: the first byte of %s came %v after the change", id, d.last)
}

func (d *drain) client(number int, addr string, stop chan struct{}) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		d.c.Log("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		reply := d.c.Exchange(conn, reader, id, lab.Request(http.MethodGet, "/repayment", id, timeout, ""), 2*time.Second)
		if reply.Err != nil {
			d.c.Log("client: %s: %v", id, reply.Err)
			return
		}
	}
}
