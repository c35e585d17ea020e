// Package config reads the operators' configuration: the configuration file of a node with its environment
// overrides, and the settings, which the simulator adapter gets without a file. It owns the operators' keys and
// words, which appear in no other package, and translates them into the types of package policy and the fields
// of Config.
//
// cmd/balancer and cmd/simadapter call it. It keeps no state and logs nothing. Each of its errors is an *Error
// that names the key: at the start the program exits with it, at SIGHUP it logs the error and keeps the old
// address.
package config

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// The environment variables.
const (
	envFile      = "BALANCER_CONFIG"
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// Config is the configuration of a node. Only Discovery can change while the node runs; see
// ReloadDiscovery.
type Config struct {
	Name           string // the node's name, used in logs only
	Listen         string // address on which clients connect
	Discovery      string // address of the discovery service
	Seed           uint64
	Limits         Limits
	CachedList     endpoint.List // the endpoint list that the node starts with
	Policy         policy.Settings
	Classes        map[string]int // name to index in Policy.Classes
	Tenants        map[string]int // name to index in Policy.Tenants
	Zones          map[string]int // name to the number that package policy uses
	IdleTimeout    time.Duration  // servers close a connection after this idle time
	ConnectTimeout time.Duration  // of a connection to a server
	DrainGrace     time.Duration  // time after a drain notification in which an attempt may still be sent
}

// Load reads the file named by BALANCER_CONFIG. The other BALANCER variables override the
// file where they are set. An error is an *Error.
func Load(getenv func(string) string) (*Config, error) {
	config, path, err := readConfig(getenv)
	if err != nil {
		return nil, err
	}
	override(&config.Name, getenv(envName))
	override(&config.Listen, getenv(envListen))
	override(&config.Discovery, getenv(envDiscovery))
	if config.Listen == "" {
		return nil, &Error{File: path, Key: "listen", Allowed: addressFormat}
	}
	if config.Discovery == "" {
		return nil, &Error{File: path, Key: "discovery", Allowed: addressFormat}
	}
	if getenv(envDiscovery) != "" {
		err = validateAddress(envDiscovery, config.Discovery)
	} else {
		err = withFile(validateAddress("discovery", config.Discovery), path)
	}
	if err != nil {
		return nil, err
	}
	return config, nil
}

// ReloadDiscovery reads the address of the discovery service again from the file named by
// BALANCER_CONFIG. Here the file has precedence over BALANCER_DISCOVERY: it may have been
// replaced since the start, whereas the environment cannot have changed.
func ReloadDiscovery(getenv func(string) string) (string, error) {
	config, path, err := readConfig(getenv)
	if err != nil {
		return "", err
	}
	if err := validateAddress("discovery", config.Discovery); err != nil {
		return "", withFile(err, path)
	}
	return config.Discovery, nil
}

// override replaces a value of the file by one of the environment, if there is one.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}
