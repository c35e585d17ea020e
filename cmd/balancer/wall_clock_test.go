package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// buildSteppableProgram builds the program with a wall clock that can be stepped without rights; the
// monotonic clock and the program's own sources stay as they are. Package time is replaced by a copy whose
// Now adds an offset, and a file is added that sets it.
func buildSteppableProgram(tb testing.TB) string {
	tb.Helper()
	root, err := exec.CommandContext(tb.Context(), "go", "env", "GOROOT").Output()
	if err != nil {
		tb.Fatal(err)
	}
	original := filepath.Join(strings.TrimSpace(string(root)), "src", "time", "time.go")
	text, err := os.ReadFile(original)
	if err != nil {
		tb.Fatal(err)
	}
	steppable := string(text)
	for _, change := range []struct{ from, to string }{
		{"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n", "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n\tsec += wallClockStep.Load()\n"},
		{"import (\n", "import (\n\t\"sync/atomic\"\n"},
	} {
		if strings.Count(steppable, change.from) != 1 {
			tb.Fatalf("%s: not one %q", original, change.from)
		}
		steppable = strings.Replace(steppable, change.from, change.to, 1)
	}
	steppable += "\nvar wallClockStep atomic.Int64\n\nfunc StepWallClock(seconds int64) { wallClockStep.Store(seconds) }\n"
	dir := tb.TempDir()
	replaced, added := filepath.Join(dir, "time.go"), absolutePath(tb, "testdata/wallclock/step.go")
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{
		original: replaced, absolutePath(tb, "wall_clock_step.go"): added,
	}})
	if err != nil {
		tb.Fatal(err)
	}
	overlayPath := filepath.Join(dir, "overlay.json")
	for path, content := range map[string][]byte{replaced: []byte(steppable), overlayPath: overlay} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			tb.Fatal(err)
		}
	}
	return buildProgram(tb, "-overlay="+overlayPath)
}

func absolutePath(tb testing.TB, path string) string {
	tb.Helper()
	absolute, err := filepath.Abs(path)
	if err != nil {
		tb.Fatal(err)
	}
	return absolute
}

// wallClock steps the wall clock of one process of a steppable program.
type wallClock struct{ path string }

func newWallClock(tb testing.TB, ahead time.Duration) wallClock {
	tb.Helper()
	clock := wallClock{filepath.Join(tb.TempDir(), "step")}
	clock.set(tb, ahead)
	return clock
}

func (c wallClock) environment() string { return "WALL_CLOCK_STEP_FILE=" + c.path }

// set sets by how much the clock is ahead, from the start of the process or the next call of step on.
func (c wallClock) set(tb testing.TB, ahead time.Duration) {
	tb.Helper()
	next := c.path + ".new"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(int64(ahead/time.Second), 10)), 0o600); err != nil {
		tb.Fatal(err)
	}
	if err := os.Rename(next, c.path); err != nil {
		tb.Fatal(err)
	}
}

// step steps the clock of a process that runs.
func (c wallClock) step(t *testing.T, pid int, ahead time.Duration) {
	t.Helper()
	c.set(t, ahead)
	signalProcess(t, pid, syscall.SIGUSR1)
}

// A process starts on a machine whose wall clock is wrong, and a server starts later: it gets what slow
// start allows, whatever that clock shows.
func TestNewServerWarmsUpWhateverTheWallClockShows(t *testing.T) {
	program := buildSteppableProgram(t)
	for _, ahead := range []time.Duration{0, 5 * time.Second, 30 * time.Second, time.Hour, -30 * time.Second, -time.Hour} {
		t.Run(fmt.Sprintf("ahead by %v", ahead), func(t *testing.T) {
			t.Parallel()
			testNewServerWarmsUp(t, program, ahead)
		})
	}
}

const (
	warmServers      = 7
	slowStartShare   = 0.1
	slowStartTime    = 9 * time.Second
	firstMoments     = 800 * time.Millisecond // of the new server
	warmUpClients    = 4
	warmUpClientTime = 500 * time.Millisecond // of sending before the new server starts
)

func testNewServerWarmsUp(t *testing.T, program string, ahead time.Duration) {
	t.Helper()
	counts := make([]atomic.Int64, warmServers+1)
	var endpoints []endpointjson.Endpoint
	for i := range counts {
		backend := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
			counts[i].Add(1)
			testkit.OK(w, r)
		})
		endpoints = append(endpoints, backend.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	list := newWatchedList(endpointjson.List{Generation: 1, Reset: true, Endpoints: endpoints[:warmServers]})
	machine := testkit.NewMachine(t, list.answer)
	started := startProcessWith(t, processOptions{environment: []string{newWallClock(t, ahead).environment()}}, map[string]any{
		"discovery": machine.Address,
		"settings": moreSettings(fmt.Sprintf(`"RegistryMode": "pushed", "Contract": {"ColdFrom": %v, "ColdMs": %d}`,
			slowStartShare, slowStartTime.Milliseconds())),
	}, program)
	addr := testkit.Wait(t, started.addr, "the process to serve")
	awaitReady(t, addr)
	var clients sync.WaitGroup
	var ended atomic.Bool
	for i := range warmUpClients {
		client := shutdownClient{addr: addr, name: fmt.Sprintf("c%d", i), keepAlive: true}
		clients.Go(func() { client.sendUntil(t, &ended) })
	}
	time.Sleep(warmUpClientTime)
	newServer := endpoints[warmServers]
	newServer.StartedUnixMilli = float64(time.Now().UnixMilli())
	before := total(counts)
	list.set(endpointjson.List{Generation: 2, Endpoints: []endpointjson.Endpoint{newServer}})
	time.Sleep(firstMoments)
	got, all := counts[warmServers].Load(), total(counts)-before
	ended.Store(true)
	clients.Wait()
	share := float64(got) / float64(all)
	capacityShare := slowStartShare + (1-slowStartShare)*firstMoments.Seconds()/slowStartTime.Seconds()
	most := capacityShare / (warmServers + 1)
	t.Logf("%d of %d requests, a share of %.4f, at most %.4f are allowed", got, all, share, most)
	if share > most {
		t.Errorf("the new server gets a share of %.4f in its first %v, want %.4f at most", share, firstMoments, most)
	}
}

func total(counts []atomic.Int64) (sum int64) {
	for i := range counts {
		sum += counts[i].Load()
	}
	return sum
}

// sendUntil sends requests one after another until ended is set.
func (c *shutdownClient) sendUntil(t *testing.T, ended *atomic.Bool) {
	t.Helper()
	for !ended.Load() {
		if _, err := c.connect(); err != nil {
			t.Error(err)
			return
		}
		c.sent++
		if _, err := c.roundTrip(); err != nil {
			t.Error(err)
		}
	}
}
