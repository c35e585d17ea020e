// Command optionsstar: a bad client asks for classes that do not exist, with everything else that a request needs.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"calicohinge/review/standin2/lab"
)

const (
	timeout  = 500 * time.Millisecond
	patience = 4 * time.Second
)

func main() { lab.Run(play) }

// target is what a request asks for.
type target struct{ method, path string }

func play(c *lab.Case) int {
	var mu sync.Mutex
	ran := map[string]bool{}
	listener := lab.Listen()
	go c.Serve(listener, func(r *http.Request, _ []byte, _ time.Time) []byte {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get("X-Request-ID")] = true
		return lab.Answer("answer to " + r.Header.Get("X-Request-ID"))
	})
	discovery := c.NewDiscovery(lab.Endpoints(lab.Addresses([]net.Listener{listener})))
	node := c.StartNode("n0", lab.Config(discovery, 192, 1024))
	targets := []target{{http.MethodGet, "/repayment"}, {http.MethodPost, "/save-scenario"}}
	if c.Trouble {
		// No class of the settings is called "*" or "health", and the page has no OPTIONS and no POST for these paths.
		targets = []target{{http.MethodOptions, "*"}, {http.MethodPost, "/health/ready"}, {http.MethodPost, "/nonsense"}}
	}
	wrong := 0
	for i, asked := range targets {
		id := fmt.Sprintf("c-%d", i)
		reply := ask(c, node.Addr, id, asked)
		mu.Lock()
		if reply.Status == http.StatusOK && !ran[id] {
			wrong++
			c.Log("%s %s: served with %q, and no server has run it", asked.method, asked.path, reply.Body)
		}
		mu.Unlock()
	}
	return c.Verdict(wrong > 0, "%d of %d requests were served although no server has run them", wrong, len(targets))
}

// ask sends a request on a new connection.
func ask(c *lab.Case, addr, id string, asked target) lab.Reply {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		lab.Fail("connect: %v", err)
	}
	defer conn.Close()
	return c.Exchange(conn, bufio.NewReader(conn), id, lab.Request(asked.method, asked.path, id, timeout, ""), patience)
}
