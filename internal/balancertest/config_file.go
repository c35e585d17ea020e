package balancertest

import (
	"os"
	"path/filepath"
	"testing"
)

// ConfigFile is the configuration file of a balancer process. It is removed at the end of the test.
type ConfigFile struct{ Path string }

// NewConfigFile writes a configuration file with the given text to a temporary directory.
func NewConfigFile(tb testing.TB, text []byte) ConfigFile {
	tb.Helper()
	return ConfigFile{writeFile(tb, filepath.Join(tb.TempDir(), "config.json"), text)}
}

// Replace replaces the file atomically by a rename, as deployment tools do.
func (f ConfigFile) Replace(tb testing.TB, text []byte) {
	tb.Helper()
	replaceFile(tb, f.Path, text)
}

// Env returns the environment variable that tells a process the path of the file, as "name=value".
func (f ConfigFile) Env() string { return "BALANCER_CONFIG=" + f.Path }

// replaceFile replaces a file atomically: it writes a new file in the same directory and renames the new file to path.
func replaceFile(tb testing.TB, path string, text []byte) {
	tb.Helper()
	if err := os.Rename(writeFile(tb, path+".new", text), path); err != nil {
		tb.Fatalf("replace %s: %v", path, err)
	}
}

// writeFile writes a file and returns its path.
func writeFile(tb testing.TB, path string, text []byte) string {
	tb.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tb.Fatalf("write %s: %v", path, err)
	}
	return path
}
