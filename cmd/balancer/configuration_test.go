package main

import (
	"path/filepath"
	"strings"
	"testing"

	"calicohinge/internal/balancertest"
)

func TestBadConfigurationIsReportedInOneLine(t *testing.T) {
	for name, text := range map[string]string{
		"empty file":               ``,
		"not an object":            `[1]`,
		"truncated file":           `{"listen": "127.0.0.1:0"`,
		"no settings":              `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}`,
		"no class":                 `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {}}`,
		"no addresses":             `{"settings": ` + baseSettings + `}`,
		"malformed listen address": `{"listen": "nowhere", "discovery": "127.0.0.1:1", "settings": ` + baseSettings + `}`,
		"malformed discovery":      `{"listen": "127.0.0.1:0", "discovery": "nowhere", "settings": ` + baseSettings + `}`,
		"port out of range": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:700000", ` +
			`"settings": ` + baseSettings + `}`,
		"class without a name": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", ` +
			`"settings": {"Classes": [{"DeadlineMs": 8000}]}}`,
		"duplicate class name": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", ` +
			`"settings": {"Classes": [{"Name": "a", "DeadlineMs": 8000}, {"Name": "a", "DeadlineMs": 8000}]}}`,
		"deadline out of range": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", ` +
			`"settings": {"Classes": [{"Name": "a", "DeadlineMs": 1e300}]}}`,
		"malformed seed": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "x", ` +
			`"settings": ` + baseSettings + `}`,
		"negative core limit": `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"cores": -1}, ` +
			`"settings": ` + baseSettings + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("BALANCER_CONFIG", balancertest.NewConfigFile(t, []byte(text)).Path)
			err := run()
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("run() with configuration %q = %v, want an error of one line", text, err)
			}
		})
	}
	t.Setenv("BALANCER_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := run(); err == nil {
		t.Error("run() without a configuration file = nil, want an error")
	}
}
