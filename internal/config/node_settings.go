package config

import (
	"fmt"
	"strings"
	"time"
)

// Defaults for absent timeouts.
const (
	defaultIdleTimeout    = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// nodeSettings is the JSON form of the settings that only a node uses: the timeouts for
// connections to servers, the grace period of draining servers, and the names of classes,
// tenants and zones, which package policy identifies by number.
type nodeSettings struct {
	Accounts, Classes []struct{ Name string }
	Zones             []string
	Limits            struct{ ConnIdleMs, ConnectTimeoutMs *float64 }
	Contract          struct{ DrainGraceMs *float64 }
}

// applyNodeSettings parses the names and timeouts in the settings and stores them in the configuration.
func (c *Config) applyNodeSettings(text []byte) error {
	var settings nodeSettings
	if err := decodeJSON(text, settingsKey, &settings); err != nil {
		return err
	}
	if err := c.indexNames(&settings); err != nil {
		return err
	}
	return c.applyTimeouts(&settings)
}

// indexNames builds the maps from the names of classes, tenants and zones to their indexes.
func (c *Config) indexNames(settings *nodeSettings) error {
	c.Classes, c.Tenants, c.Zones = map[string]int{}, map[string]int{}, map[string]int{}
	for i, class := range settings.Classes {
		// Clients give the class as one segment of the URL path.
		if _, duplicate := c.Classes[class.Name]; duplicate || class.Name == "" || strings.Contains(class.Name, "/") {
			return &Error{
				Key: fmt.Sprintf("settings.Classes[%d].Name", i), Value: class.Name,
				Allowed: "a name that no other class has, not empty and without /",
			}
		}
		c.Classes[class.Name] = i
	}
	for i, account := range settings.Accounts {
		c.Tenants[account.Name] = i
	}
	for i, zone := range settings.Zones {
		c.Zones[zone] = i
	}
	return nil
}

// applyTimeouts sets the timeouts. Values of 0 or less count as absent.
func (c *Config) applyTimeouts(settings *nodeSettings) error {
	var t translator
	var idle, connect, drain time.Duration
	t.duration(&idle, "Limits.ConnIdleMs", settings.Limits.ConnIdleMs)
	t.duration(&connect, "Limits.ConnectTimeoutMs", settings.Limits.ConnectTimeoutMs)
	t.duration(&drain, "Contract.DrainGraceMs", settings.Contract.DrainGraceMs)
	c.IdleTimeout = positiveOr(idle, defaultIdleTimeout)
	c.ConnectTimeout = positiveOr(connect, defaultConnectTimeout)
	c.DrainGrace = max(0, drain)
	return t.err
}

// positiveOr returns value if it is positive and defaultValue otherwise.
func positiveOr(value, defaultValue time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return defaultValue
}
