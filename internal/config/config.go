// Package config reads and validates the configuration. For a node, that is the configuration file together
// with the environment variables that override it. The simulator adapter has no file and passes the settings
// as JSON text. The package translates the settings into the types of package policy and the fields of Config, so
// that no other package of these programs depends on the keys and enumerated values of the settings.
//
// cmd/balancer and cmd/simadapter call the package, and package node uses Config. The package keeps no state and
// logs nothing. All its errors are of type *Error; an error about a value names its key. At startup, the balancer
// exits with the error; on SIGHUP, it logs the error and keeps the current discovery address. The simulator adapter
// reports the error to the simulator.
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

// Config is the configuration of a node. Only the discovery address can change while the node
// runs; see ReloadDiscovery.
type Config struct {
	Name           string // name of the node, used in logs only
	Listen         string // address at which the node accepts client connections
	Discovery      string // address of the discovery service
	Seed           uint64 // seed of the balancer's random choices
	Limits         Limits
	CachedList     endpoint.List // endpoint list with which the node starts
	Policy         policy.Settings
	Classes        map[string]int // class name to index in Policy.Classes
	Tenants        map[string]int // tenant name to index in Policy.Tenants
	Zones          map[string]int // zone name to zone number in package policy
	IdleTimeout    time.Duration  // idle time after which servers close a connection
	ConnectTimeout time.Duration  // maximum time for opening a connection to a server
	DrainGrace     time.Duration  // how long after being notified of a drain a node may send attempts to the server
}

// Load reads the configuration file named by BALANCER_CONFIG. BALANCER_NAME, BALANCER_LISTEN
// and BALANCER_DISCOVERY override the values in the file. Errors are of type *Error.
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

// ReloadDiscovery rereads the address of the discovery service from the file named by
// BALANCER_CONFIG. Here the file takes precedence over BALANCER_DISCOVERY, because the file may
// have been replaced since startup, whereas the environment cannot have changed. Errors are of
// type *Error.
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

// override replaces a value from the file with the value of an environment variable, if it is set.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}
