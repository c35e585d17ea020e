package config

import (
	"testing"
	"time"

	"calicohinge/policy"
)

const exampleConfig = "../../deploy/example/config.json"

// loadExample loads the example configuration with the given environment variables.
func loadExample(t *testing.T, overrides map[string]string) *Config {
	t.Helper()
	loaded, err := Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return exampleConfig
		}
		return overrides[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// New operators start from the example, so it must be valid for Load and for policy.New.
func TestExampleConfigurationIsValid(t *testing.T) {
	loaded := loadExample(t, nil)
	if loaded.Name != "node-0" || loaded.Listen != "127.0.0.1:8000" || loaded.Discovery != "127.0.0.1:8500" {
		t.Errorf("example: got name %q, listen %q, discovery %q; want node-0, 127.0.0.1:8000, 127.0.0.1:8500",
			loaded.Name, loaded.Listen, loaded.Discovery)
	}
	if len(loaded.CachedList.Endpoints) != 2 {
		t.Errorf("cached endpoints of the example: got %d, want 2", len(loaded.CachedList.Endpoints))
	}
	for _, server := range loaded.CachedList.Endpoints {
		if _, knownZone := loaded.Zones[server.Zone]; !knownZone || server.State != policy.EndpointReady {
			t.Errorf("cached endpoint %x: got zone %q, state %v; want a configured zone and a ready server",
				server.ID, server.Zone, server.State)
		}
	}
	if loaded.ConnectTimeout != 150*time.Millisecond || loaded.DrainGrace != time.Second {
		t.Errorf("example: got connect timeout %v, drain grace %v; want 150ms, 1s",
			loaded.ConnectTimeout, loaded.DrainGrace)
	}
	if _, err := policy.New(loaded.Policy, loaded.Seed, nil); err != nil {
		t.Errorf("policy.New with the settings of the example: got error %v, want none", err)
	}
}

func TestExampleConfigurationHasEachKindOfIdempotency(t *testing.T) {
	loaded := loadExample(t, nil)
	want := map[string]policy.Idempotency{
		"read": policy.Idempotent, "order": policy.IdempotentWithKey, "notify": policy.NotIdempotent,
	}
	for name, idempotency := range want {
		index, listed := loaded.Classes[name]
		if !listed || loaded.Policy.Classes[index].Idempotency != idempotency {
			t.Errorf("class %s: got listed %v, want it listed with idempotency %v", name, listed, idempotency)
		}
	}
	if len(loaded.Classes) != len(want) {
		t.Errorf("classes of the example: got %v, want %d classes", loaded.Classes, len(want))
	}
}

func TestEnvironmentOverridesTheExampleConfiguration(t *testing.T) {
	loaded := loadExample(t, map[string]string{
		"BALANCER_NAME": "node-7", "BALANCER_LISTEN": "127.0.0.1:8007", "BALANCER_DISCOVERY": "127.0.0.1:8507",
	})
	if loaded.Name != "node-7" || loaded.Listen != "127.0.0.1:8007" || loaded.Discovery != "127.0.0.1:8507" {
		t.Errorf("got name %q, listen %q, discovery %q; want the values of the environment",
			loaded.Name, loaded.Listen, loaded.Discovery)
	}
}
