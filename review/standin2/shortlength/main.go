// Command shortlength: some answers of servers come spoilt, with a length that does not fit: it is too small.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"calicohinge/review/standin2/lab"
)

const (
	requests    = 200
	spoiltEvery = 10 // one answer in this many is spoilt
	timeout     = 600 * time.Millisecond
)

func main() { lab.Run(play) }

// answerFor returns the body that a server makes for a request.
func answerFor(id string) string {
	return fmt.Sprintf(`{"request":%q,"loan":480000,"repayment":2911.34,"period":"month","currency":"AUD"}`, id)
}

// server plays the servers, which share the count of their answers.
type server struct {
	c       *lab.Case
	answers atomic.Int64
}

func (s *server) answer(r *http.Request, _ []byte, _ time.Time) []byte {
	id := r.Header.Get("X-Request-ID")
	body := answerFor(id)
	if !s.c.Trouble || s.answers.Add(1)%spoiltEvery != 0 {
		return lab.Answer(body)
	}
	length := strings.Index(body, `,"period"`)
	s.c.Log("server: ran %s, answer of %d bytes is spoilt: its length says %d", id, len(body), length)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func play(c *lab.Case) int {
	servers := &server{c: c}
	var listeners []net.Listener
	for range 3 {
		listeners = append(listeners, lab.Listen())
		go c.Serve(listeners[len(listeners)-1], servers.answer)
	}
	discovery := c.NewDiscovery(lab.Endpoints(lab.Addresses(listeners)))
	node := c.StartNode("n0", lab.Config(discovery, 192, 1024))
	conn, err := net.Dial("tcp", node.Addr)
	if err != nil {
		lab.Fail("connect: %v", err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	served, failed, wrong := 0, 0, 0
	for i := range requests {
		id := fmt.Sprintf("c-%d", i)
		method, path := http.MethodGet, "/repayment/quote"
		if i%2 == 1 {
			method, path = http.MethodPost, "/save-scenario/new"
		}
		reply := c.Exchange(conn, reader, id, lab.Request(method, path, id, timeout, ""), 2*time.Second)
		if reply.Err != nil {
			lab.Fail("%s got no answer: %v", id, reply.Err)
		}
		switch {
		case reply.Status != http.StatusOK:
			failed++
			c.Log("client: %s: status %d", id, reply.Status)
		case reply.Body != answerFor(id):
			wrong++
			c.Log("client: %s: served with %q, its server made %q", id, reply.Body, answerFor(id))
		default:
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return c.Verdict(wrong > 0, "%d requests: %d served, %d failed, %d served with what no server made for them",
		requests, served, failed, wrong)
}
