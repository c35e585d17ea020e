package main

// Real processes: the program is built as it is and started many times over.

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

var processes = flag.Int("processes", 10, "how many processes TestRestartedProcessesAreReady starts at once")

// build makes the program.
func build(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "balancer")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// launch starts a program with a configuration and gives the address that it serves at, once it
// does. It is killed at the end of the test.
func launch(t *testing.T, config map[string]any, command ...string) (pid int, addr <-chan string) {
	t.Helper()
	config["listen"] = "127.0.0.1:0"
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), command[0], command[1:]...)
	cmd.Env = []string{"BALANCER_CONFIG=" + path}
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	serving, over := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(over)
		defer close(serving)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if _, at, ok := strings.Cut(lines.Text(), " addr="); ok {
				select {
				case serving <- at:
				default: // discovery moves are logged like that too
				}
			}
		}
	}()
	t.Cleanup(func() { <-over; cmd.Wait() })
	return cmd.Process.Pid, serving
}

// bound gives an address that refuses connections until it is told to listen.
func bound(t *testing.T) (addr string, listen func() (net.Listener, error)) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	t.Cleanup(func() { file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port), func() (net.Listener, error) {
		if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
			return nil, err
		}
		return net.FileListener(file)
	}
}

// stubDiscovery serves a list once it is back; until then it refuses connections, or calls with
// 503. It takes calls for the whole list in turn, each for so long, those given up included.
func stubDiscovery(t *testing.T, list any, back <-chan struct{}, refused bool, perCall time.Duration) (addr string) {
	t.Helper()
	turns := make(chan chan struct{}, 1<<16)
	go func() {
		for {
			select {
			case done := <-turns:
				time.Sleep(perCall) // what is under test
				close(done)
			case <-t.Context().Done():
				return
			}
		}
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-back:
		default:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("after") == "2" { // nothing new
			wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
			io.WriteString(w, `{"generation": 2, "instances": []}`)
			return
		}
		done := make(chan struct{})
		turns <- done
		select {
		case <-done:
			json.NewEncoder(w).Encode(list)
		case <-t.Context().Done():
		}
	})}
	t.Cleanup(func() { server.Close() })
	addr, listen := bound(t)
	serve := func() {
		if l, err := listen(); err != nil {
			t.Error(err)
		} else {
			go server.Serve(l)
		}
	}
	if !refused {
		serve()
		return addr
	}
	go func() {
		select {
		case <-back:
			serve()
		case <-t.Context().Done():
		}
	}()
	return addr
}

// listOf makes a list of servers as discovery gives it.
func listOf(generation int, addrs ...string) map[string]any {
	var servers []any
	for i, addr := range addrs {
		servers = append(servers, map[string]any{
			"instanceId": fmt.Sprintf("s-%d-%d", generation, i), "hostPort": addr, "lifecycle": "Ready", "zone": "a", "weight": 1,
		})
	}
	return map[string]any{"generation": generation, "reset": true, "instances": servers}
}

// The operators' term: nine in ten restarted processes are ready within 10 s.
func TestRestartedProcessesAreReady(t *testing.T) {
	const term, most = 10 * time.Second, 14 * time.Second
	program := build(t)
	list := listOf(2, slices.Repeat([]string{"127.0.0.1:1"}, 200)...)
	overbooked := 4 * time.Second / time.Duration(*processes) // all whole lists take 4 s
	for _, c := range []struct {
		name    string
		known   bool
		down    time.Duration
		refused bool
		perCall time.Duration
	}{
		{"known list", true, 0, false, 0},
		{"known list, discovery down", true, time.Hour, true, 0},
		{"empty list", false, 0, false, 0},
		{"empty list, discovery refuses for 3 s", false, 3 * time.Second, true, 0},
		{"empty list, discovery answers 503 for 3 s", false, 3 * time.Second, false, 0},
		{"empty list, discovery answers 503 for 5 s", false, 5 * time.Second, false, 0},
		{"empty list, discovery overbooked", false, 0, false, overbooked},
		{"empty list, discovery overbooked after 3 s", false, 3 * time.Second, false, overbooked},
	} {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(mode+", "+c.name, func(t *testing.T) {
				t.Parallel()
				back := make(chan struct{})
				discovery := stubDiscovery(t, list, back, c.refused, c.perCall)
				defer time.AfterFunc(c.down, func() { close(back) }).Stop()
				took := make(chan time.Duration, *processes)
				for i := range *processes {
					config := map[string]any{
						"discovery": discovery, "seed": fmt.Sprintf("%016x", i+1),
						"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
						"settings": json.RawMessage(fmt.Sprintf(`{"Balancers": 300, "Me": %d, "RegistryMode": %q, "Contract": {"DrainGraceMs": 1000}, %s`, i, mode, settings[1:])),
					}
					if c.known {
						config["known"] = list
					}
					began := time.Now()
					_, serving := launch(t, config, program)
					go func() { took <- readyIn(<-serving, began, most) }()
				}
				var all []time.Duration
				for range *processes {
					all = append(all, <-took)
				}
				slices.Sort(all)
				nine := all[(9*len(all)+9)/10-1]
				t.Logf("%d processes: median %v, nine in ten %v, worst %v (%v is never)", len(all), all[len(all)/2].Round(time.Millisecond),
					nine.Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond), most)
				if nine > term {
					t.Errorf("nine in ten are ready after %v, want %v", nine, term)
				}
			})
		}
	}
}

// readyIn tells how long a process took to answer that it is ready, at most so long.
func readyIn(addr string, began time.Time, most time.Duration) time.Duration {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; time.Since(began) < most; time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return time.Since(began)
		}
	}
	return most
}

// A process has as many descriptors as its configuration says, or fewer than that, and idle
// clients take what they can get while discovery is down: it stays within them, follows
// discovery once that is back, and serves who asks.
func TestIdleClientsAndDescriptors(t *testing.T) {
	program := build(t)
	for _, c := range []struct {
		name           string
		sockets, limit int
		refused        bool
	}{
		{"the smallest limits, 503", 64, 64, false},
		{"the smallest limits, refused", 64, 64, true},
		{"256, refused", 256, 256, true},
		{"fewer than told", 256, 64, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := func(name string) string {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) }))
				t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
				return s.Listener.Addr().String()
			}
			back := make(chan struct{})
			servers := slices.Repeat([]string{server("new")}, 40) // more than there are connections for
			pid, serving := launch(t, map[string]any{
				"discovery": stubDiscovery(t, listOf(2, servers...), back, c.refused, 0),
				"known":     listOf(1, slices.Repeat([]string{server("old")}, 40)...),
				"limits":    map[string]any{"sockets": c.sockets},
				"settings":  json.RawMessage(`{"Limits": {"MaxAttempts": 3}, ` + settings[1:]),
			}, "sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", c.limit, program))
			addr := <-serving
			if took := readyIn(addr, time.Now(), patience); took >= patience {
				t.Fatal("never ready")
			}
			peak := 0
			count := func() {
				open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
				if err != nil {
					t.Error(err)
				}
				peak = max(peak, len(slices.DeleteFunc(open, func(e os.DirEntry) bool {
					fd, err := strconv.Atoi(e.Name())
					return err != nil || fd >= c.limit // from whoever runs the tests
				})))
			}
			asked := 0
			ask := func(nc net.Conn) (string, error) {
				nc.SetDeadline(time.Now().Add(10 * time.Second)) // over the class's deadline
				asked++
				fmt.Fprintf(nc, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: a%d\r\nX-Timeout-Ms: 8000\r\nContent-Length: 0\r\n\r\n", asked)
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil {
					return "", err
				}
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			dial := func() net.Conn {
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				return nc
			}
			for i := range 2 * c.sockets {
				if nc := dial(); i%2 == 0 {
					ask(nc)
				}
				count()
			}
			usual := func() string {
				nc := dial()
				defer nc.Close()
				body, err := ask(nc)
				if count(); err != nil {
					return err.Error()
				}
				return body
			}
			close(back)
			returned := time.Now()
			for body := usual(); body != "new"; body = usual() {
				if time.Since(returned) > 6*time.Second { // then news count as told
					t.Fatalf("discovery is not followed: %q", body)
				}
			}
			for range 20 {
				if body := usual(); body != "new" {
					t.Fatalf("answered %q", body)
				}
			}
			t.Logf("%d descriptors at the peak", peak)
			if peak >= c.limit {
				t.Errorf("%d descriptors at the peak: none is left", peak)
			}
		})
	}
}
