// Package balancertest builds the program of the load balancer's node and runs it as processes. It writes
// their configuration, signals them, and steps the wall clock that they see. Whatever it starts ends with the
// test that it was given. The tests of cmd/balancer and the soak use it; no program imports it.
package balancertest

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	_ "embed" // of the sources that are added to the program
)

// programPackage is the package of the program under test.
const programPackage = "calicohinge/cmd/balancer"

// Build builds the program as deploy/balancer.toml does, with further flags, and returns its path.
func Build(tb testing.TB, flags ...string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "balancer")
	arguments := append([]string{"build", "-ldflags=-linkmode=external", "-o", path}, flags...)
	build := exec.CommandContext(tb.Context(), "go", append(arguments, programPackage)...)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("%v\n%s", err, out)
	}
	return path
}

// wallClockSource is a source file that makes the program step its wall clock as a WallClock says.
//
//go:embed testdata/wallclock/step.go
var wallClockSource []byte

// pauseReportSource is a source file that makes the program report how long the system has paused it.
//
//go:embed testdata/pauses/report.go
var pauseReportSource []byte

// BuildInstrumented builds the program with a wall clock that a WallClock steps without privileges, and with
// a report of each long pause of the process. The monotonic clock and the program's own sources stay as they
// are: package time is replaced by a copy whose Now adds an offset, and stepSource and pauseSource are added.
func BuildInstrumented(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir()
	originalTime := filepath.Join(runGo(tb, "env", "GOROOT"), "src", "time", "time.go")
	steppableTime := writeFile(tb, filepath.Join(dir, "time.go"), steppableTimeSource(tb, originalTime))
	step := writeFile(tb, filepath.Join(dir, "step.go"), wallClockSource)
	pauses := writeFile(tb, filepath.Join(dir, "pauses.go"), pauseReportSource)
	program := runGo(tb, "list", "-f", "{{.Dir}}", programPackage)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{
		originalTime: steppableTime,
		filepath.Join(program, "wall_clock_step.go"): step,
		filepath.Join(program, "pauses.go"):          pauses,
	}})
	if err != nil {
		tb.Fatal(err)
	}
	return Build(tb, "-overlay="+writeFile(tb, filepath.Join(dir, "overlay.json"), overlay))
}

// steppableTimeSource returns the source of a file of package time with an offset of the wall clock.
func steppableTimeSource(tb testing.TB, path string) []byte {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	source := string(text)
	const nowStart = "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n"
	for _, change := range []struct{ from, to string }{
		{nowStart, nowStart + "\tsec += wallClockOffset.Load()\n"},
		{"import (\n", "import (\n\t\"sync/atomic\"\n"},
	} {
		if strings.Count(source, change.from) != 1 {
			tb.Fatalf("%s: not one %q", path, change.from)
		}
		source = strings.Replace(source, change.from, change.to, 1)
	}
	source += "\nvar wallClockOffset atomic.Int64\n" +
		"\nfunc SetWallClockOffset(seconds int64) { wallClockOffset.Store(seconds) }\n"
	return []byte(source)
}

// runGo returns what a go command prints.
func runGo(tb testing.TB, arguments ...string) string {
	tb.Helper()
	out, err := exec.CommandContext(tb.Context(), "go", arguments...).Output()
	if err != nil {
		tb.Fatalf("go %v: %v", arguments, err)
	}
	return strings.TrimSpace(string(out))
}
