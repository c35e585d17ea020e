package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// settings has one class; a test adds keys ahead of it with moreSettings.
const settings = `{"Classes": [{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 8000}], "Zones": ["a"]}`

func moreSettings(keys string) json.RawMessage {
	return json.RawMessage("{" + keys + ", " + strings.TrimPrefix(settings, "{"))
}

// processesFlag names the flag that says how many processes are started at once.
const processesFlag = "processes"

func TestMain(m *testing.M) {
	flag.Int(processesFlag, 10, "how many processes TestRestartedProcessesAreReadyInTime starts at once")
	flag.Int(soakRunsFlag, 4, "how many seeds TestSoak plays")
	flag.Int(soakSeedFlag, 1, "the first seed that TestSoak plays")
	flag.String(baselineFlag, "", "another version's binary, which the benchmarks measure as well")
	flag.Parse()
	os.Exit(m.Run())
}

// flagValue returns the value of a flag of this package's tests.
func flagValue[T any](name string) T {
	return flag.Lookup(name).Value.(flag.Getter).Get().(T)
}

// writeConfig writes a configuration file and returns its path.
func writeConfig(tb testing.TB, text []byte) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// writeConfigFor writes the configuration of a node that listens at an address and knows a
// server, without a discovery service, and returns its path.
func writeConfigFor(tb testing.TB, listen, server string) string {
	tb.Helper()
	text, err := json.Marshal(map[string]any{
		"listen": listen, "discovery": "127.0.0.1:1", "settings": json.RawMessage(settings),
		"known": listOf(1, server),
	})
	if err != nil {
		tb.Fatal(err)
	}
	return writeConfig(tb, text)
}

// buildProgram builds the program as deploy/balancer.toml does, with further flags, and returns its path.
func buildProgram(tb testing.TB, flags ...string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "balancer")
	arguments := append([]string{"build", "-ldflags=-linkmode=external", "-o", path}, flags...)
	build := exec.CommandContext(tb.Context(), "go", append(arguments, ".")...)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("%v\n%s", err, out)
	}
	return path
}

// process is a node that was started as a process of its own.
type process struct {
	pid   int
	addr  <-chan string // where it serves, once it does; closed without a value if it ends before
	ended <-chan error  // gets how it ended

	configPath string
}

// processOptions are what a process may be started with beside its configuration.
type processOptions struct {
	environment []string
	logged      func(line string) // called for each line that it logs
}

// startProcess starts a program with a configuration. It is killed at the end of the test.
func startProcess(tb testing.TB, config map[string]any, command ...string) process {
	tb.Helper()
	return startProcessWith(tb, processOptions{}, config, command...)
}

// startProcessWith is startProcess with options. It listens at a free port unless the configuration says
// where.
func startProcessWith(tb testing.TB, options processOptions, config map[string]any, command ...string) process {
	tb.Helper()
	if config["listen"] == nil {
		config["listen"] = "127.0.0.1:0"
	}
	text, err := json.Marshal(config)
	if err != nil {
		tb.Fatal(err)
	}
	cmd := exec.CommandContext(tb.Context(), command[0], command[1:]...)
	configPath := writeConfig(tb, text)
	cmd.Env = append([]string{"BALANCER_CONFIG=" + configPath}, options.environment...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	addr, ended, waited := make(chan string, 1), make(chan error, 1), make(chan struct{})
	go func() {
		defer close(waited)
		defer close(addr)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if options.logged != nil {
				options.logged(lines.Text())
			}
			if at, ok := servingAddr(lines.Text()); ok {
				addr <- at
			}
		}
		ended <- cmd.Wait()
	}()
	tb.Cleanup(func() { <-waited }) // it was killed
	return process{pid: cmd.Process.Pid, addr: addr, ended: ended, configPath: configPath}
}

// servingAddr finds where a node serves in the line that it logs once it does.
func servingAddr(line string) (addr string, ok bool) {
	if !strings.Contains(line, " serving ") {
		return "", false
	}
	_, addr, ok = strings.Cut(line, " addr=")
	return addr, ok
}

// timeToReady returns how long after began a node answered that it is ready, at most limit.
func timeToReady(addr string, began time.Time, limit time.Duration) time.Duration {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // the status is all that counts
		if response.StatusCode == http.StatusOK {
			return time.Since(began)
		}
	}
	return limit
}

// newServer starts a server and returns its address.
func newServer(tb testing.TB, handle http.HandlerFunc) string {
	tb.Helper()
	return testkit.NewServer(tb, handle).Listener.Addr().String()
}

// listOf makes a complete list of ready servers.
func listOf(generation uint64, addresses ...string) endpointjson.List {
	list := endpointjson.List{Generation: generation, Reset: true}
	for i, address := range addresses {
		list.Endpoints = append(list.Endpoints, endpointjson.Endpoint{
			InstanceID: fmt.Sprintf("s-%d-%d", generation, i), Address: address,
			Lifecycle: "Ready", Zone: "a", Weight: 1,
		})
	}
	return list
}

// waitEnd waits for the program's end, which has to be in order.
func waitEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	if err := testkit.Wait(t, ended, "the program's end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}
