// Command late plays servers that send a second copy of some answers a few milliseconds late, as long as nothing else
// waits on the connection. The network between the node and the servers takes the time of the way between two data
// centres. Each answer names its request, and the clients compare.
package main

import (
	"bufio"
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
	"time"

	"review/lab"
)

var (
	root    = flag.String("root", ".", "root of the repository")
	out     = flag.String("record", "record.txt", "file to write the record to")
	trouble = flag.Bool("trouble", true, "whether servers send second copies")
	seconds = flag.Int("seconds", 20, "length of the run")
	oneWay  = flag.Duration("oneway", 1200*time.Microsecond, "one way between the node and the servers")
	share   = flag.Float64("share", 0.05, "share of the answers that get a second copy")
	clients = flag.Int("clients", 8, "client connections")
	away    = flag.Float64("turnaway", 0, "share of the requests that servers turn away unseen, as with a full queue")
)

func main() {
	flag.Parse()
	status, err := run()
	if err != nil {
		fmt.Println("not run:", err)
	}
	os.Exit(status)
}

// server answers each request with its ID. After some answers it sends a second copy.
type server struct {
	record *lab.Record
	name   string
	copies atomic.Int64
}

func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var mu sync.Mutex // guards the order of what is written and began
	began := 0        // requests whose first byte has been read
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		mu.Lock()
		began++
		number := began
		mu.Unlock()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		answer := s.run(id, conn)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !*trouble || rand.Float64() >= *share {
			continue
		}
		late := time.Duration(2000+rand.IntN(4000)) * time.Microsecond
		time.AfterFunc(late, func() {
			mu.Lock()
			defer mu.Unlock()
			if began != number {
				return // another request waits on the connection
			}
			s.copies.Add(1)
			s.record.Linef("server %s sends a second copy of the answer to %s, %v late, on %s", s.name, id, late, conn.RemoteAddr())
			_, _ = io.WriteString(conn, answer)
		})
	}
}

// run runs a request, or turns it away, and returns the answer.
func (s *server) run(id string, conn net.Conn) string {
	if rand.Float64() < *away {
		s.record.Linef("server %s turns %s away on %s", s.name, id, conn.RemoteAddr())
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	s.record.Linef("server %s runs %s on %s", s.name, id, conn.RemoteAddr())
	if strings.HasSuffix(id, "-notify") {
		runsMu.Lock()
		if runs[id]++; runs[id] > 1 {
			s.record.Linef("BROKEN: %s runs %d times", id, runs[id])
		}
		runsMu.Unlock()
	}
	time.Sleep(time.Duration(2+rand.IntN(6)) * time.Millisecond)
	body := "answer to " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// runs counts how often each request of the side_effect class was run.
var (
	runsMu sync.Mutex
	runs   = map[string]int{}
)

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
	var servers []*server
	for i := range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 2, err
		}
		s := &server{record: record, name: fmt.Sprint("s-", i)}
		go s.serve(listener)
		addr, err := lab.DelayProxy(listener.Addr().String(), *oneWay)
		if err != nil {
			return 2, err
		}
		servers = append(servers, s)
		instances = append(instances, lab.Instance{
			InstanceID: s.name, HostPort: addr, Zone: "west", Lifecycle: "Ready", Weight: 1,
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
	node, err := lab.StartNode(*root, dir, "node-0", config)
	if err != nil {
		return 2, err
	}
	defer node.Stop()
	var sent, served, other, foreign atomic.Int64
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	var running sync.WaitGroup
	for c := range *clients {
		running.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				if i%8 == 0 {
					id += "-notify"
				}
				sent.Add(1)
				status, body := request(client, node.Addr, id, i%8 == 0)
				record.Linef("client %d sent %s, got %d %q", c, id, status, body)
				switch {
				case status != http.StatusOK:
					other.Add(1)
				case body == "answer to "+id:
					served.Add(1)
				default:
					foreign.Add(1)
					record.Linef("BROKEN: %s was served with %q", id, body)
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(15*time.Millisecond)))
			}
		})
	}
	running.Wait()
	copies := int64(0)
	for _, s := range servers {
		copies += s.copies.Load()
	}
	twice := 0
	runsMu.Lock()
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	runsMu.Unlock()
	summary := fmt.Sprintf("sent %d, served with the own answer %d, with a foreign answer %d, other answers %d; "+
		"second copies %d; requests of the side_effect class that ran twice %d",
		sent.Load(), served.Load(), foreign.Load(), other.Load(), copies, twice)
	record.Linef("%s", summary)
	fmt.Println(summary)
	switch {
	case foreign.Load() > 0 || twice > 0:
		return 1, nil
	case served.Load() < sent.Load()/2:
		return 2, fmt.Errorf("fewer than half of the requests were served")
	}
	return 0, nil
}

// request sends a read or a notify request and returns the status and the body without the line end. The status is 0
// if there is no whole answer.
func request(client *http.Client, addr, id string, notify bool) (int, string) {
	method, path, body := http.MethodGet, "/read/"+id, ""
	if notify {
		method, path, body = http.MethodPost, "/notify/"+id, "note "+id
	}
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "acme")
	r.Header.Set("X-Timeout-Ms", "500")
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSuffix(string(text), "\n")
}
