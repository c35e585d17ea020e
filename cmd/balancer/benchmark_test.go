package main

// The benchmarks measure a node that runs as a process: its processor time per request, and its memory with a large
// fleet of servers. With -baseline BINARY they alternate between this version and another version in the same run:
//
//	go test -run '^$' -bench . -benchtime 20000x ./cmd/balancer -baseline /path/to/balancer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

const (
	// baselineFlag is the flag with the path of the binary to compare with.
	baselineFlag = "baseline"
	rounds       = 5 // each version is measured once per round
	// clockTicksPerSecond converts the processor times in /proc, which are in clock ticks. It is the same on all
	// Linux machines.
	clockTicksPerSecond = 100
	benchClients        = 16
	largeFleet          = 7800 // number of servers
	smallFleet          = 10   // number of servers
	manyTenants         = 20000
	appliedSnapshots    = 4 // how many snapshots a node applies before its memory is read
)

// version is a binary to measure, with its name in the benchmark results.
type version struct{ name, path string }

// versions returns the binary of this source tree and the baseline, if one is given.
func versions(b *testing.B) []version {
	b.Helper()
	all := []version{{"this", balancertest.Build(b)}}
	if path := flagValue[string](baselineFlag); path != "" {
		all = append(all, version{baselineFlag, path})
	}
	return all
}

// measureInterleaved runs a benchmark once per round for every version. Thus a change in the machine's load affects all
// versions alike.
func measureInterleaved(b *testing.B, measure func(b *testing.B, path string)) {
	b.Helper()
	all := versions(b)
	for round := range rounds {
		for _, v := range all {
			b.Run(fmt.Sprintf("round=%d/%s", round, v.name), func(b *testing.B) { measure(b, v.path) })
		}
	}
}

// BenchmarkRequest sends requests over keep-alive connections. It reports the processor time that the node spends per
// request and the fraction of requests that are served.
func BenchmarkRequest(b *testing.B) {
	measureInterleaved(b, func(b *testing.B, path string) {
		b.Helper()
		server := startServer(b, testkit.OK)
		process := balancertest.Start(b, map[string]any{
			"discovery": refusingAddr, "known": snapshotOf(1, server, server, server, server),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"settings": settingsWith(`"Limits": {"MaxAttempts": 3}`),
		}, path)
		addr := testkit.Receive(b, process.Addr, "the process to serve")
		balancertest.AwaitReady(b, addr)
		before := cpuTime(b, process.PID)
		b.ResetTimer()
		served := makeRequests(b, addr)
		b.StopTimer()
		spent := cpuTime(b, process.PID) - before
		b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/op")
		b.ReportMetric(float64(served)/float64(b.N), "served/op")
	})
}

// makeRequests sends b.N requests from concurrent clients and returns how many were served.
func makeRequests(b *testing.B, addr string) int64 {
	b.Helper()
	var next, served atomic.Int64
	var clients sync.WaitGroup
	for range benchClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Errorf("connect to the node: %v", err)
				return
			}
			defer func() { _ = conn.Close() }() // all responses have been read
			reader := bufio.NewReader(conn)
			for id := next.Add(1); id <= int64(b.N); id = next.Add(1) {
				status, err := sendRequest(conn, reader, id)
				if err != nil {
					b.Errorf("request %d: error %v, want a response", id, err)
					return
				}
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return served.Load()
}

// sendRequest sends a request and reads the whole response. It returns the status.
func sendRequest(conn net.Conn, reader *bufio.Reader, id int64) (int, error) {
	if err := writeRequest(conn, fmt.Sprintf("a%d", id), classDeadline); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(tb testing.TB, pid int) time.Duration {
	tb.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	const userField, systemField = 11, 12 // indexes of utime and stime among the fields after the "(program name)"
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range []int{userField, systemField} {
		value, err := strconv.Atoi(fields[field])
		if err != nil {
			tb.Fatal(err)
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// BenchmarkPeakMemory reports the peak resident memory of a node with a small fleet of servers and with a large one,
// and the difference. The nodes have many tenants and have applied several snapshots.
func BenchmarkPeakMemory(b *testing.B) {
	measureInterleaved(b, func(b *testing.B, path string) {
		b.Helper()
		// The measurement runs once, whatever b.N is, since a peak is not averaged over iterations.
		small := peakMemory(b, path, smallFleet)
		large := peakMemory(b, path, largeFleet)
		b.ReportMetric(float64(small)/1024, "small-MB")
		b.ReportMetric(float64(large)/1024, "large-MB")
		b.ReportMetric(float64(large-small)/1024, "over-small-MB")
	})
}

// peakMemory starts a node with a number of servers and returns its peak resident memory in kB.
func peakMemory(b *testing.B, path string, servers int) int {
	b.Helper()
	applied := make(chan struct{}) // closed once the node has applied all snapshots
	process := balancertest.Start(b, map[string]any{
		"discovery": serveSnapshots(b, servers, applied),
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings":  settingsWith(`"Balancers": 650, "Accounts": ` + tenantSettings(manyTenants)),
	}, path)
	select {
	case <-applied:
	case <-time.After(testkit.WaitTimeout):
		b.Fatalf("the node has not applied %d snapshots of %d servers within %v",
			appliedSnapshots, servers, testkit.WaitTimeout)
	}
	return peakResidentMemory(b, process.PID)
}

// serveSnapshots starts a discovery service and returns its address. Each of the first calls gets a snapshot with a new
// generation. The next call shows that the node has applied them all: the service closes applied, and this and further
// calls get no response.
func serveSnapshots(b *testing.B, servers int, applied chan<- struct{}) string {
	b.Helper()
	addresses := make([]string, servers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.0.%d.%d:8000", 1+i/250, 1+i%250)
	}
	var calls atomic.Int64
	return startServer(b, func(w http.ResponseWriter, r *http.Request) {
		call := calls.Add(1)
		if call <= appliedSnapshots {
			list := snapshotOf(1, addresses...) // the same servers each time
			list.Generation = uint64(call)
			if err := json.NewEncoder(w).Encode(list); err != nil {
				b.Errorf("send snapshot %d: %v", call, err)
			}
			return
		}
		if call == appliedSnapshots+1 {
			close(applied)
		}
		<-r.Context().Done()
	})
}

// tenantSettings returns a value of the setting Accounts with the given number of tenants.
func tenantSettings(count int) string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf(`{"Name": "tenant-%d", "QuotaPerS": 10}`, i)
	}
	return "[" + strings.Join(names, ",") + "]"
}

// peakResidentMemory returns the peak resident memory of a process in kB, as the system reports it.
func peakResidentMemory(b *testing.B, pid int) int {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	peak, err := strconv.Atoi(value)
	if err != nil {
		b.Fatal(err)
	}
	return peak
}
