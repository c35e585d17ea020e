// Command restartlist: a node is restarted where lists are pushed, a server begins to drain while the node is down, and
// discovery takes 2 s to answer the calls of the new process.
package main

import (
	"bufio"
	"fmt"
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
	servers = 4
	clients = 8

	timeout = 1500 * time.Millisecond // what a client waits for an answer
	pause   = 30 * time.Millisecond   // between two requests of a client
	calm    = 2 * time.Second         // with the first process
	down    = 2 * time.Second         // between the end of a process and the start of the next
	watched = 4 * time.Second         // with the second process

	// slow is how long discovery takes for a call of the second process. A call fails after 3 s at the site.
	slow  = 2 * time.Second
	grace = lab.PushedDrainGraceMs * time.Millisecond
	slack = 50 * time.Millisecond
)

func main() { lab.Run(play) }

// restart is the state of the run.
type restart struct {
	c         *lab.Case
	discovery *lab.Discovery
	isSlow    atomic.Bool

	mu      sync.Mutex
	readyAt time.Time // when the second process was ready; zero before
	allowed int       // requests of the second process to the draining server within the grace
	late    int       // and after it
	last    time.Duration
}

func play(c *lab.Case) int {
	r := &restart{c: c}
	var listeners []net.Listener
	for i := range servers {
		listeners = append(listeners, lab.Listen())
		go c.Serve(listeners[i], func(request *http.Request, _ []byte, firstByte time.Time) []byte {
			if i == 0 {
				r.count(request.Header.Get("X-Request-ID"), firstByte)
			}
			time.Sleep(10 * time.Millisecond)
			return lab.Answer("answer to " + request.Header.Get("X-Request-ID"))
		})
	}
	r.discovery = c.NewDiscovery(lab.Endpoints(lab.Addresses(listeners)))
	r.discovery.OnCall = r.onCall
	config := lab.Config(r.discovery, 192, 1024) // "known" stays the list of this moment, which the first process holds to its end
	config["settings"] = lab.Pushed()
	first := c.StartNode("n0", config)
	r.load("a", first.Addr, calm)
	r.end(first)
	time.Sleep(down / 2)
	r.discovery.Publish("s-0", "Terminating")
	time.Sleep(down / 2)
	r.isSlow.Store(c.Trouble)
	second := c.StartNode("n0", config)
	r.mu.Lock()
	r.readyAt = time.Now()
	r.mu.Unlock()
	r.load("b", second.Addr, watched)
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.Verdict(r.late > 0, "the draining server got %d requests up to %v after the new process was ready, and %d later ones, the last %v after it",
		r.allowed, grace+slack, r.late, r.last)
}

// onCall makes discovery slow for the second process.
func (r *restart) onCall(bool) lab.Fate {
	if r.isSlow.Load() {
		return lab.Fate{Delay: slow}
	}
	return lab.Fate{}
}

// end tells a node to end and waits until it has.
func (r *restart) end(node *lab.Node) {
	node.Signal(syscall.SIGTERM)
	for until := time.Now().Add(5 * time.Second); !node.Exited(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			lab.Fail("the node has not ended")
		}
	}
}

// count counts a request to the server that drains.
func (r *restart) count(id string, firstByte time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readyAt.IsZero() {
		return
	}
	r.last = firstByte.Sub(r.readyAt)
	if r.last <= grace+slack {
		r.allowed++
		return
	}
	r.late++
	r.c.Log("server s-0: the first byte of %s came %v after the new process was ready", id, r.last)
}

// load lets clients send requests to a process for some time.
func (r *restart) load(process, addr string, duration time.Duration) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { r.client(fmt.Sprintf("%s%d", process, i), addr, stop) })
	}
	time.Sleep(duration)
	close(stop)
	running.Wait()
}

func (r *restart) client(name, addr string, stop chan struct{}) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		r.c.Log("client %s: %v", name, err)
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
		id := fmt.Sprintf("%s-%d", name, n)
		text := lab.Request(http.MethodGet, "/statement", id, timeout, "")
		text = strings.Replace(text, "X-Tenant-Id: coral-coast", "X-Tenant-Id: retail-desk", 1)
		reply := r.c.Exchange(conn, reader, id, text, 2*timeout)
		if reply.Err != nil {
			r.c.Log("client: %s: %v", id, reply.Err)
			return
		}
	}
}
