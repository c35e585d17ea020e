package balancertest

import (
	"os"
	"path/filepath"
	"testing"
)

// ConfigFile is the configuration file of a process.
type ConfigFile struct{ Path string }

// NewConfigFile writes a configuration file.
func NewConfigFile(tb testing.TB, text []byte) ConfigFile {
	tb.Helper()
	return ConfigFile{writeFile(tb, filepath.Join(tb.TempDir(), "config.json"), text)}
}

// Replace swaps the file in one step, as an operator's tool would.
func (f ConfigFile) Replace(tb testing.TB, text []byte) {
	tb.Helper()
	replaceFile(tb, f.Path, text)
}

// Environment returns the variable that names the file to a process.
func (f ConfigFile) Environment() string { return "BALANCER_CONFIG=" + f.Path }

// replaceFile replaces a file in one step.
func replaceFile(tb testing.TB, path string, text []byte) {
	tb.Helper()
	if err := os.Rename(writeFile(tb, path+".new", text), path); err != nil {
		tb.Fatal(err)
	}
}

// writeFile writes a file and returns its path.
func writeFile(tb testing.TB, path string, text []byte) string {
	tb.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}
