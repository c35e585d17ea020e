// Command memory plays clients that send hundreds of requests at once, beside usual clients, and a platform that kills
// the node when it holds more memory than its configuration states.
package main

import (
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
	limit   = flag.Int("memory", 64, "memory of the node in MB")
	sockets = flag.Int("sockets", 1024, "descriptors of the node")
	bad     = flag.Int("bad", 330, "bad clients; a third of the descriptors at most")
	usual   = flag.Int("usual", 6, "usual clients")
)

const (
	bodyBytes   = 64 << 10   // the largest body that the pages allow
	serverCount = 10         // servers
	workTime    = 100e6      // nanoseconds that a server takes for a request
	notifyWait  = 2500       // milliseconds that a bad client waits
	readWait    = 600        // milliseconds that a usual client waits
	sampleEvery = 20_000_000 // nanoseconds between two looks at the node's memory
)

func main() {
	flag.Parse()
	status, err := run()
	if err != nil {
		fmt.Println("not run:", err)
	}
	os.Exit(status)
}

func startServer() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(workTime)
			_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Request-Id"))
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
	for i := range serverCount {
		addr, err := startServer()
		if err != nil {
			return 2, err
		}
		instances = append(instances, lab.Instance{
			InstanceID: fmt.Sprint("s-", i), HostPort: addr, Zone: "east", Lifecycle: "Ready", Weight: 1,
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
	limits := config["limits"].(map[string]any)
	limits["sockets"], limits["memory_mb"] = *sockets, *limit
	node, err := lab.StartNode(*root, dir, "node-0", config)
	if err != nil {
		return 2, err
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	var running sync.WaitGroup
	var floods, served, refused, failed atomic.Int64
	if *trouble {
		for b := range *bad {
			running.Go(func() { flood(node, b, end, &floods) })
		}
	}
	for c := range *usual {
		running.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			for i := 0; time.Now().Before(end) && !node.Exited(); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				result := request(client, node.Addr, id)
				record.Linef("usual client %d sent %s: %s", c, id, result)
				switch {
				case strings.HasPrefix(result, "200"):
					served.Add(1)
				case strings.HasPrefix(result, "503"):
					refused.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	peak, killed := watch(node, end, record)
	running.Wait()
	crashed := killed || node.Exited()
	node.Stop()
	for _, line := range strings.Split(strings.TrimSpace(node.Log()), "\n") {
		record.Linef("node's log: %s", line)
	}
	summary := fmt.Sprintf("peak of anonymous memory %.1f MB of %d MB, killed %v; connections of bad clients %d; "+
		"usual requests served %d, refused %d, failed %d",
		float64(peak)/1024, *limit, killed, floods.Load(), served.Load(), refused.Load(), failed.Load())
	record.Linef("%s", summary)
	fmt.Println(summary)
	switch {
	case crashed:
		return 1, nil
	case served.Load() == 0 && !*trouble:
		return 2, errors.New("no request was served")
	}
	return 0, nil
}

// watch is the platform. It kills the node when its anonymous memory, which is less than all of its memory, is over the
// limit. It returns the peak in kB, and whether it has killed the node.
func watch(node *lab.Node, end time.Time, record *lab.Record) (int, bool) {
	peak := 0
	for time.Now().Before(end) && !node.Exited() {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.Command.Process.Pid))
		for line := range strings.SplitSeq(string(status), "\n") {
			var kB int
			if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil && kB > peak {
				peak = kB
				record.Linef("platform: the node has %d kB of anonymous memory", kB)
			}
		}
		if peak > *limit*1024 {
			record.Linef("BROKEN: over the limit of %d kB; the platform kills the node", *limit*1024)
			node.Signal(syscall.SIGKILL)
			return peak, true
		}
		time.Sleep(sampleEvery)
	}
	return peak, false
}

// flood sends two requests at once on a connection, each valid and with an ID of its own, and reads all that it is
// sent. When the node closes the connection, or after the time of the requests, it does so again.
func flood(node *lab.Node, number int, end time.Time, conns *atomic.Int64) {
	body := strings.Repeat("x", bodyBytes)
	for i := 0; time.Now().Before(end) && !node.Exited(); i++ {
		var message strings.Builder
		for k := range 2 {
			_, _ = fmt.Fprintf(&message, "POST /notify/x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: b%d-%d-%d\r\n"+
				"X-Tenant-Id: acme\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", number, i, k, notifyWait, len(body), body)
		}
		conn, err := net.DialTimeout("tcp", node.Addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conns.Add(1)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.WriteString(conn, message.String()); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}

// request sends a usual request and returns its result.
func request(client *http.Client, addr, id string) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/"+id, nil)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "acme")
	r.Header.Set("X-Timeout-Ms", fmt.Sprint(readWait))
	response, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return response.Status
}
