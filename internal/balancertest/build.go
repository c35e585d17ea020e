// Package balancertest builds the balancer program and runs it as separate processes for tests. It writes the
// configuration file of each process, sends signals to the process, and can step the wall clock that the process
// sees. Each process is killed at the end of its test at the latest. Only the tests of cmd/balancer and package
// soak use this package.
package balancertest

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	_ "embed" // embeds the sources that are added to the instrumented program
)

// programPackage is the import path of the program under test.
const programPackage = "calicohinge/cmd/balancer"

// Build builds the program with the build settings of deploy/balancer.toml and the given additional flags. It
// returns the path of the executable.
func Build(tb testing.TB, flags ...string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "balancer")
	arguments := append([]string{"build", "-ldflags=-linkmode=external", "-o", path}, flags...)
	build := exec.CommandContext(tb.Context(), "go", append(arguments, programPackage)...)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		tb.Fatalf("run %v: %v\n%s", build, err, out)
	}
	return path
}

// wallClockSource is a source file that sets the offset of the program's wall clock from the file of a WallClock.
//
//go:embed testdata/wallclock/step.go
var wallClockSource []byte

// pauseReportSource is a source file that makes the program log each long pause of its process.
//
//go:embed testdata/pauses/report.go
var pauseReportSource []byte

// BuildInstrumented builds the program so that a WallClock can step its wall clock without privileges, and so that
// it logs each long pause of its process. The build overlay replaces the time.go of package time by a copy whose Now
// adds an offset to the wall clock, and adds wallClockSource and pauseReportSource to the program. The monotonic
// clock and the program's own sources are unchanged.
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
		tb.Fatalf("encode the build overlay: %v", err)
	}
	return Build(tb, "-overlay="+writeFile(tb, filepath.Join(dir, "overlay.json"), overlay))
}

// steppableTimeSource returns the source of package time's time.go, changed so that Now adds an offset to the wall
// clock and a new function SetWallClockOffset sets the offset.
func steppableTimeSource(tb testing.TB, path string) []byte {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatalf("read the source of package time: %v", err)
	}
	source := string(text)
	const nowStart = "func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n"
	for _, change := range []struct{ from, to string }{
		{nowStart, nowStart + "\tsec += wallClockOffset.Load()\n"},
		{"import (\n", "import (\n\t\"sync/atomic\"\n"},
	} {
		if n := strings.Count(source, change.from); n != 1 {
			tb.Fatalf("occurrences of %q in %s: got %d, want 1", change.from, path, n)
		}
		source = strings.Replace(source, change.from, change.to, 1)
	}
	source += "\nvar wallClockOffset atomic.Int64\n" +
		"\nfunc SetWallClockOffset(seconds int64) { wallClockOffset.Store(seconds) }\n"
	return []byte(source)
}

// runGo runs a go command and returns its standard output without surrounding white space.
func runGo(tb testing.TB, arguments ...string) string {
	tb.Helper()
	out, err := exec.CommandContext(tb.Context(), "go", arguments...).Output()
	if err != nil {
		tb.Fatalf("go %s: %v", strings.Join(arguments, " "), err)
	}
	return strings.TrimSpace(string(out))
}
