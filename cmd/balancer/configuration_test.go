package main

import (
	"path/filepath"
	"strings"
	"testing"

	"calicohinge/internal/balancertest"
)

func TestBadConfigurationIsReportedInOneLine(t *testing.T) {
	for name, text := range map[string]string{
		"empty":               ``,
		"no object":           `[1]`,
		"cut off":             `{"listen": "127.0.0.1:0"`,
		"no settings":         `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}`,
		"no class":            `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {}}`,
		"no address":          `{"settings": ` + baseSettings + `}`,
		"malformed address":   `{"listen": "nowhere", "discovery": "127.0.0.1:1", "settings": ` + baseSettings + `}`,
		"malformed discovery": `{"listen": "127.0.0.1:0", "discovery": "nowhere", "settings": ` + baseSettings + `}`,
		"impossible port":     `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:700000", "settings": ` + baseSettings + `}`,
		"class with no name":  `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"Classes": [{"DeadlineMs": 8000}]}}`,
		"class named twice":   `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"Classes": [{"Name": "a", "DeadlineMs": 8000}, {"Name": "a", "DeadlineMs": 8000}]}}`,
		"time too long":       `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"Classes": [{"Name": "a", "DeadlineMs": 1e300}]}}`,
		"malformed seed":      `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "x", "settings": ` + baseSettings + `}`,
		"negative limit":      `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"cores": -1}, "settings": ` + baseSettings + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("BALANCER_CONFIG", balancertest.NewConfigFile(t, []byte(text)).Path)
			err := run()
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("ended with %v, want one plain line", err)
			}
		})
	}
	t.Setenv("BALANCER_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := run(); err == nil {
		t.Error("started with no file")
	}
}
