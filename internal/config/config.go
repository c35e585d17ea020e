// Package config reads the operators' configuration: the configuration file of a node with
// its environment overrides, and the settings, which the simulator adapter gets by itself. It
// translates the operators' keys and words, which appear in no other package, into the types
// of package policy and the fields of Config. Every error of this package is an *Error.
//
// It is called by cmd/balancer and cmd/simadapter, keeps no state and logs nothing.
package config

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/syserror"
	"calicohinge/policy"
)

// The environment variables.
const (
	envFile      = "BALANCER_CONFIG"
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// addressInWords describes the allowed addresses.
const addressInWords = "an address of the form host:port"

// Config is the configuration of a node. Only Discovery can change while the node runs; see
// ReloadDiscovery.
type Config struct {
	Name           string // the node's name, used in logs only
	Listen         string // address on which clients connect
	Discovery      string // address of the discovery service
	Seed           uint64
	Limits         Limits
	CachedList     endpoint.List // the endpoint list as this node last had it
	Policy         policy.Settings
	Classes        map[string]int // name to index in Policy.Classes
	Tenants        map[string]int // name to index in Policy.Tenants
	Zones          map[string]int // name to the number that package policy uses
	IdleTimeout    time.Duration  // servers close a connection that has been idle for so long
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // longest time between the notice that a server drains and the last send to it
}

// configFile is the configuration file.
type configFile struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    Limits            `json:"limits"`
	Known     endpointjson.List `json:"known"`
	Settings  json.RawMessage   `json:"settings"`
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
		return nil, &Error{File: path, Key: "listen", Allowed: addressInWords}
	}
	if config.Discovery == "" {
		return nil, &Error{File: path, Key: "discovery", Allowed: addressInWords}
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

func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// validateAddress checks the form of an address found under a key.
func validateAddress(key, address string) error {
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return &Error{Key: key, Value: address, Allowed: addressInWords, Err: err}
	}
	return nil
}

// readConfig reads the file without the overrides. It returns the file's path, too.
func readConfig(getenv func(string) string) (*Config, string, error) {
	path := getenv(envFile)
	if path == "" {
		return nil, "", &Error{Key: envFile, Allowed: "the path of the configuration file"}
	}
	var text []byte
	err := syserror.Retry(func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, "", &Error{File: path, Err: err}
	}
	config, err := parseConfig(text)
	if err != nil {
		return nil, "", withFile(err, path)
	}
	return config, path, nil
}

func parseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := decodeJSON(text, "", &file); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, &Error{Key: "settings", Allowed: "an object"}
	}
	config := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits, CachedList: file.Known.Translate(),
	}
	var err error
	if config.Seed, err = parseSeed(file.Seed); err != nil {
		return nil, err
	}
	if err := file.Limits.validate(); err != nil {
		return nil, err
	}
	if config.Limits.Sockets, err = effectiveSockets(file.Limits.Sockets); err != nil {
		return nil, err
	}
	if config.Policy, err = ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	if err := config.applyNodeSettings(file.Settings); err != nil {
		return nil, err
	}
	return config, nil
}

// parseSeed reads a seed of up to 16 hexadecimal digits; an absent one is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &Error{Key: "seed", Value: text, Allowed: "a hexadecimal number of up to 64 bits", Err: err}
	}
	return seed, nil
}
