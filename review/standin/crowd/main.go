// Command crowd plays clients that come by hundreds, stop in the middle of a request and stay, so many that they fill the
// descriptors of a node, beside usual clients that send requests.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/lab"
)

var (
	root    = flag.String("root", ".", "root of the repository")
	out     = flag.String("record", "record.txt", "file to write the record to")
	trouble = flag.Bool("trouble", true, "whether there are bad clients")
	seconds = flag.Int("seconds", 10, "length of the run")
	sockets = flag.Int("sockets", 256, "descriptors of the node")
	bad     = flag.Int("bad", 900, "bad clients that come at once")
	every   = flag.Duration("every", 3*time.Second, "time between two crowds")
	usual   = flag.Int("usual", 8, "usual clients")
)

// Times of a usual request: how long its client waits, and how much later an answer is not lost yet.
const (
	patience = 400 * time.Millisecond
	slack    = 500 * time.Millisecond
)

func main() {
	flag.Parse()
	status, err := run()
	if err != nil {
		fmt.Println("not run:", err)
	}
	os.Exit(status)
}

func startServer(record *lab.Record, name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			record.Linef("server %s runs %s", name, id)
			time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
			_, _ = io.WriteString(w, "answer to "+id)
		}))
	}()
	return listener.Addr().String(), nil
}

func run() (int, error) {
	dir, err := lab.TempDir(100 * time.Second)
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := lab.NewRecord(*out)
	if err != nil {
		return 2, err
	}
	defer record.Close()
	var instances []lab.Instance
	for i := range 4 {
		name := fmt.Sprint("s-", i)
		addr, err := startServer(record, name)
		if err != nil {
			return 2, err
		}
		instances = append(instances, lab.Instance{
			InstanceID: name, HostPort: addr, Zone: "east", Lifecycle: "Ready", Weight: 1,
		})
	}
	discovery, err := lab.NewDiscovery(instances)
	if err != nil {
		return 2, err
	}
	listen, err := lab.FreeAddr()
	if err != nil {
		return 2, err
	}
	config, err := lab.Config(*root, listen, discovery.Addr, discovery.Current())
	if err != nil {
		return 2, err
	}
	config["limits"].(map[string]any)["sockets"] = *sockets
	node, err := lab.StartNode(*root, dir, "node-0", config)
	if err != nil {
		return 2, err
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	var running sync.WaitGroup
	var badConns atomic.Int64
	if *trouble {
		running.Go(func() {
			for time.Sleep(time.Second); time.Until(end) > *every/2; time.Sleep(*every) {
				record.Linef("%d bad clients come", *bad)
				for range *bad {
					running.Go(func() { stopInTheMiddle(node.Addr, &badConns) })
				}
			}
		})
	}
	counts := &tally{record: record, results: map[string]int{}}
	for c := range *usual {
		running.Go(func() {
			client := &client{name: fmt.Sprint("c", c), addr: node.Addr, tally: counts}
			for i := 0; time.Now().Before(end); i++ {
				client.send(fmt.Sprintf("%s-%d", client.name, i))
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	node.Stop()
	for _, line := range strings.Split(strings.TrimSpace(node.Log()), "\n") {
		record.Linef("node's log: %s", line)
	}
	summary := fmt.Sprintf("usual requests %v; connections of bad clients %d", counts.results, badConns.Load())
	record.Linef("%s", summary)
	fmt.Println(summary)
	switch {
	case counts.results[lost] > 0:
		return 1, nil
	case !*trouble && counts.results[served] == 0:
		return 2, errors.New("no request was served")
	}
	return 0, nil
}

// stopInTheMiddle sends half a request and stays until the node shuts the connection.
func stopInTheMiddle(addr string, conns *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	conns.Add(1)
	_, _ = io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: service.internal\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

// Results of a usual request.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
	unread  = "connection refused or reset (shut unread)"
	late    = "no answer in time, connection open"
	lost    = "LOST: read, then closed with no answer"
)

type tally struct {
	record  *lab.Record
	mu      sync.Mutex
	results map[string]int
}

func (t *tally) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results[result]++
}

// client is a usual client. It keeps its connection.
type client struct {
	name, addr string
	tally      *tally
	conn       net.Conn
	reader     *bufio.Reader
}

// send sends a request. If a kept connection turns out to be closed, it sends the request once more on a new one.
func (c *client) send(id string) {
	if c.conn != nil {
		if result := c.exchange(id, "kept"); result != unread && result != lost {
			c.tally.add(result)
			return
		}
		c.close()
	}
	conn, err := net.DialTimeout("tcp", c.addr, patience)
	if err != nil {
		c.tally.record.Linef("client %s: %s: %v", c.name, id, err)
		c.tally.add(unread)
		return
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.tally.add(c.exchange(id, "new"))
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request on the open connection and returns the result. A reset means that the node closed over
// unread bytes; an end of the stream with no answer means that it had read them.
func (c *client) exchange(id, kind string) string {
	sentAt := time.Now()
	request := fmt.Sprintf("GET /read/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\n"+
		"X-Tenant-Id: acme\r\nX-Timeout-Ms: %d\r\n\r\n", id, id, patience.Milliseconds())
	_, err := io.WriteString(c.conn, request)
	result, detail := unread, fmt.Sprint(err)
	if err == nil {
		_ = c.conn.SetReadDeadline(sentAt.Add(patience + slack))
		result, detail = c.receive(id)
	}
	c.tally.record.Linef("client %s sent %s on a %s connection; after %.1f ms: %s (%s)", c.name, id, kind,
		float64(time.Since(sentAt).Microseconds())/1000, result, detail)
	if result != served {
		c.close()
	}
	return result
}

func (c *client) receive(id string) (string, string) {
	_, err := c.reader.Peek(1)
	switch {
	case errors.Is(err, io.EOF):
		return lost, "end of stream"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return late, err.Error()
	case errors.Is(err, syscall.ECONNRESET), err != nil:
		return unread, err.Error()
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return failed, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return failed, err.Error()
	case response.StatusCode == http.StatusOK && string(body) == "answer to "+id:
		return served, response.Status
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		return refused, response.Status
	}
	return failed, response.Status
}
