package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const validSettings = `{"Classes": [{"Name": "read", "Effect": "pure", "DeadlineMs": 1400}]}`

// writeConfigFile writes a configuration file and returns its path.
func writeConfigFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// fakeGetenv returns a substitute for os.Getenv. BALANCER_CONFIG has the given path, and overrides holds the other
// variables.
func fakeGetenv(path string, overrides map[string]string) func(string) string {
	return func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return overrides[name]
	}
}

// validFileWith inserts additional JSON members, which may be invalid, into a valid configuration file.
func validFileWith(additional string) string {
	return `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", ` + additional + `"settings": ` + validSettings + `}`
}

func TestLoadReadsConfigFile(t *testing.T) {
	path := writeConfigFile(t, `{"name": "n3", "listen": "10.0.0.4:8000", "discovery": "10.2.0.1:8500", "unknown": [1],
		"seed": "8c1f30d27a5be964", "limits": {"cores": 1.5, "memory_mb": 192, "sockets": 128},
		"known": {"generation": 7, "instances": [{"instanceId": "s-1", "zone": "b"}]},
		"settings": {"Balancers": 3, "Accounts": [{"Name": "one"}, {"Name": "two"}], "Zones": ["a", "b"],
			"Classes": [{"Name": "read", "DeadlineMs": 100}, {"Name": "pay", "DeadlineMs": 200}],
			"Limits": {"ConnIdleMs": 9000, "ConnectTimeoutMs": 150}, "Contract": {"DrainGraceMs": 1000}}}`)
	config, err := Load(fakeGetenv(path, nil))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name: "n3", Listen: "10.0.0.4:8000", Discovery: "10.2.0.1:8500", Seed: 0x8c1f30d27a5be964,
		Limits: Limits{Cores: 1.5, MemoryMB: 192, Sockets: 128},
		CachedList: endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{
			{ID: endpoint.ServerID("s-1"), Zone: "b", State: policy.EndpointDraining},
		}},
		Policy:         policy.Defaults(),
		Classes:        map[string]int{"read": 0, "pay": 1},
		Tenants:        map[string]int{"one": 0, "two": 1},
		Zones:          map[string]int{"a": 0, "b": 1},
		IdleTimeout:    9 * time.Second,
		ConnectTimeout: 150 * time.Millisecond,
		DrainGrace:     time.Second,
	}
	want.Policy.Nodes = 3
	want.Policy.Tenants = []policy.Tenant{{}, {}}
	for _, deadline := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		want.Policy.Classes = append(want.Policy.Classes, policy.Class{
			Deadline: deadline, Objective: deadline, PriorityWeight: 1,
			Idempotency: policy.NotIdempotent, KeyScope: policy.KeyScopeCell,
		})
	}
	if !reflect.DeepEqual(config, want) {
		t.Errorf("Load() =\n%+v, want\n%+v", config, want)
	}
}

func TestLoadUsesDefaultsForAbsentAndNullKeys(t *testing.T) {
	for name, additional := range map[string]string{"absent": "", "null": `"limits": null, "seed": null, `} {
		config, err := Load(fakeGetenv(writeConfigFile(t, validFileWith(additional)), nil))
		if err != nil {
			t.Fatal(err)
		}
		if config.Seed != 0 || config.IdleTimeout != 15*time.Second ||
			config.ConnectTimeout != 250*time.Millisecond || config.DrainGrace != 0 ||
			config.Limits.Cores != 0 || config.Limits.MemoryMB != 0 || config.Limits.Sockets > 1024 {
			t.Errorf("Load() with %s keys = %+v, want the defaults", name, config)
		}
	}
}

func TestLoadTreatsNonPositiveTimeoutsAsAbsent(t *testing.T) {
	config, err := Load(fakeGetenv(writeConfigFile(t, `{"listen": ":0", "discovery": ":1", "settings": {
		"Classes": [{"Name": "read", "DeadlineMs": 100}],
		"Limits": {"ConnIdleMs": 0, "ConnectTimeoutMs": -3}, "Contract": {"DrainGraceMs": -1}}}`), nil))
	if err != nil {
		t.Fatal(err)
	}
	if config.IdleTimeout != 15*time.Second || config.ConnectTimeout != 250*time.Millisecond || config.DrainGrace != 0 {
		t.Errorf("Load(): got idle timeout %v, connect timeout %v, drain grace %v; want 15s, 250ms, 0s",
			config.IdleTimeout, config.ConnectTimeout, config.DrainGrace)
	}
}

func TestLoadPrefersEnvironmentToFile(t *testing.T) {
	config, err := Load(fakeGetenv(writeConfigFile(t, validFileWith(`"name": "n1", `)), map[string]string{
		"BALANCER_NAME": "n2", "BALANCER_LISTEN": "127.0.0.1:7", "BALANCER_DISCOVERY": "127.0.0.1:8"}))
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n2" || config.Listen != "127.0.0.1:7" || config.Discovery != "127.0.0.1:8" {
		t.Errorf("Load(): got name %q, listen %q, discovery %q; want the values of the environment",
			config.Name, config.Listen, config.Discovery)
	}
}

func TestEnvironmentSuppliesAddressesMissingInFile(t *testing.T) {
	path := writeConfigFile(t, `{"settings": `+validSettings+`}`)
	for missing, overrides := range map[string]map[string]string{
		"":          {"BALANCER_LISTEN": "127.0.0.1:7", "BALANCER_DISCOVERY": "127.0.0.1:8"},
		"listen":    {"BALANCER_DISCOVERY": "127.0.0.1:8"},
		"discovery": {"BALANCER_LISTEN": "127.0.0.1:7"},
	} {
		_, err := Load(fakeGetenv(path, overrides))
		if missing == "" {
			if err != nil {
				t.Errorf("Load() with both addresses in the environment: got error %v, want none", err)
			}
			continue
		}
		configError, ok := errors.AsType[*Error](err)
		if !ok || configError.Key != missing || configError.Value != nil {
			t.Errorf("Load(): got error %v, want one that reports %s as missing", err, missing)
		}
	}
}

func TestInvalidAddressFromEnvironmentNamesVariable(t *testing.T) {
	_, err := Load(fakeGetenv(writeConfigFile(t, validFileWith("")), map[string]string{"BALANCER_DISCOVERY": "nowhere"}))
	configError, ok := errors.AsType[*Error](err)
	if !ok || configError.Key != "BALANCER_DISCOVERY" || configError.File != "" ||
		configError.Value != "nowhere" {
		t.Errorf("Load(): got error %+v, want one that names BALANCER_DISCOVERY but no file", err)
	}
}

func TestReloadDiscoveryPrefersFileToEnvironment(t *testing.T) {
	path := writeConfigFile(t, validFileWith(""))
	overrides := map[string]string{"BALANCER_DISCOVERY": "127.0.0.1:8"}
	if address, err := ReloadDiscovery(fakeGetenv(path, overrides)); err != nil || address != "127.0.0.1:1" {
		t.Errorf("ReloadDiscovery() = %q, %v; want the address in the file, no error", address, err)
	}
}

// invalidFiles returns files that both Load and ReloadDiscovery reject, each with the key of the error and a part of
// its text.
func invalidFiles() map[string]struct{ text, key, part string } {
	withSettings := func(settings string) string {
		return `{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": ` + settings + `}`
	}
	return map[string]struct{ text, key, part string }{
		"empty":               {``, "", "unexpected end of JSON input"},
		"not an object":       {`[1]`, "", "a JSON array, must be an object"},
		"truncated":           {`{"listen": "127.0.0.1:0"`, "", "unexpected end of JSON input"},
		"line break":          {"{\"name\": \"a\nb\"}", "", `invalid character '\n'`},
		"name not a string":   {validFileWith(`"name": 3, `), "name", "a JSON number, must be a string"},
		"sockets not numeric": {validFileWith(`"limits": {"sockets": "all"}, `), "limits.sockets", "must be a whole number"},
		"fractional sockets":  {validFileWith(`"limits": {"sockets": 99.5}, `), "limits.sockets", "a JSON number 99.5"},
		"negative cores":      {validFileWith(`"limits": {"cores": -1}, `), "limits.cores", "is -1, must be at least 0"},
		"negative memory":     {validFileWith(`"limits": {"memory_mb": -2}, `), "limits.memory_mb", "is -2, must be"},
		"negative sockets":    {validFileWith(`"limits": {"sockets": -3}, `), "limits.sockets", "is -3, must be"},
		"too few sockets":     {validFileWith(`"limits": {"sockets": 63}, `), "limits.sockets", "is 63, must be at least 64"},
		"negative generation": {validFileWith(`"known": {"generation": -1}, `), "known.generation", "of at least 0"},
		"malformed seed":      {validFileWith(`"seed": "x", `), "seed", `is "x", must be a hexadecimal number`},
		"seed too long":       {validFileWith(`"seed": "10000000000000000", `), "seed", "must be a hexadecimal number"},
		"settings missing":    {`{"listen": ":0", "discovery": ":1"}`, "settings", "missing, must be an object"},
		"settings array":      {withSettings(`[]`), "settings", "is a JSON array, must be an object"},
		"no classes":          {withSettings(`{}`), "settings.Classes", "is 0, must be at least 1"},
		"unnamed class":       {withSettings(`{"Classes": [{"DeadlineMs": 8}]}`), "settings.Classes[0].Name", `is "", must`},
		"class name with slash": {
			withSettings(`{"Classes": [{"Name": "a/b", "DeadlineMs": 8}]}`),
			"settings.Classes[0].Name", `"a/b"`,
		},
		"duplicate class name": {
			withSettings(`{"Classes": [{"Name": "a", "DeadlineMs": 8}, {"Name": "a", "DeadlineMs": 8}]}`),
			"settings.Classes[1].Name", `is "a", must be a name that no other`,
		},
		"unknown effect": {
			withSettings(`{"Classes": [{"Name": "a", "Effect": "unknown"}]}`),
			"settings.Classes[0].Effect", `is "unknown", must be "pure", "token" or`,
		},
		"deadline not a number": {
			withSettings(`{"Classes": [{"DeadlineMs": "x"}]}`),
			"settings.Classes.DeadlineMs", "must be a number",
		},
		"deadline out of range": {
			withSettings(`{"Classes": [{"DeadlineMs": 1e300}]}`),
			"settings.Classes[0].DeadlineMs", "is 1e+300, must be",
		},
		"share out of range": {
			withSettings(`{"Classes": [{"DeadlineMs": 8}], "Contract": {"ColdFrom": 2}}`),
			"settings.Contract.ColdFrom", "between 0 and 1",
		},
		"idle timeout out of range": {
			withSettings(`{"Classes": [{"Name": "a", "DeadlineMs": 8}], "Limits": {"ConnIdleMs": 1e300}}`),
			"settings.Limits.ConnIdleMs", "is 1e+300, must be",
		},
		"connect timeout out of range": {
			withSettings(`{"Classes": [{"Name": "a", "DeadlineMs": 8}], "Limits": {"ConnectTimeoutMs": 1e13}}`),
			"settings.Limits.ConnectTimeoutMs", "is 1e+13, must be",
		},
		"drain grace out of range": {
			withSettings(`{"Classes": [{"Name": "a", "DeadlineMs": 8}], "Contract": {"DrainGraceMs": -1e300}}`),
			"settings.Contract.DrainGraceMs", "is -1e+300, must be",
		},
		"zone not a string": {
			withSettings(`{"Classes": [{"Name": "a", "DeadlineMs": 8}], "Zones": [1]}`),
			"settings.Zones", "must be a string",
		},
		"malformed discovery address": {
			strings.Replace(validFileWith(""), "127.0.0.1:1", "nowhere", 1),
			"discovery", `is "nowhere", must be an address`,
		},
		"port out of range": {
			strings.Replace(validFileWith(""), "127.0.0.1:1", "127.0.0.1:700000", 1),
			"discovery", "must be an address",
		},
	}
}

func TestErrorsOfInvalidFilesNameFileKeyAndValue(t *testing.T) {
	for name, invalid := range invalidFiles() {
		t.Run(name, func(t *testing.T) {
			path := writeConfigFile(t, invalid.text)
			getenv := fakeGetenv(path, nil)
			_, loadErr := Load(getenv)
			_, reloadErr := ReloadDiscovery(getenv)
			for _, err := range []error{loadErr, reloadErr} {
				configError, ok := errors.AsType[*Error](err)
				if !ok || configError.File != path || configError.Key != invalid.key {
					t.Fatalf("got error %v, want one with the file %s and the key %q", err, path, invalid.key)
				}
				if !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), invalid.key) ||
					!strings.Contains(err.Error(), invalid.part) || strings.Contains(err.Error(), "\n") {
					t.Errorf("got error %q, want one line with the file, the key and %q", err, invalid.part)
				}
			}
		})
	}
}

func TestMissingFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.json")
	for name, getenv := range map[string]func(string) string{
		path:              fakeGetenv(path, nil),
		"BALANCER_CONFIG": fakeGetenv("", nil),
	} {
		_, loadErr := Load(getenv)
		_, reloadErr := ReloadDiscovery(getenv)
		for _, err := range []error{loadErr, reloadErr} {
			_, ok := errors.AsType[*Error](err)
			if !ok || !strings.Contains(err.Error(), name) {
				t.Errorf("got error %v, want an *Error that names %s", err, name)
			}
			if name == path && !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("got error %v, want one that wraps fs.ErrNotExist", err)
			}
		}
	}
}

func TestLoadedSettingsAreAcceptedByPolicyNew(t *testing.T) {
	config, err := Load(fakeGetenv(writeConfigFile(t, validFileWith("")), nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := policy.New(config.Policy, config.Seed, nil); err != nil {
		t.Errorf("policy.New with the loaded settings: got error %v, want none", err)
	}
}
