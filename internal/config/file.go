package config

import (
	"encoding/json"
	"os"
	"strconv"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/syserror"
)

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name       string            `json:"name"`
	Listen     string            `json:"listen"`
	Discovery  string            `json:"discovery"`
	Seed       string            `json:"seed"`
	Limits     Limits            `json:"limits"`
	CachedList endpointjson.List `json:"known"`
	Settings   json.RawMessage   `json:"settings"`
}

// readConfig reads the configuration file without applying the environment overrides. It also
// returns the path of the file.
func readConfig(getenv func(string) string) (*Config, string, error) {
	path := getenv(envFile)
	if path == "" {
		return nil, "", &Error{Key: envFile, Allowed: "the path of the configuration file"}
	}
	text, err := readFile(path)
	if err != nil {
		return nil, "", &Error{File: path, Err: err}
	}
	config, err := parseConfig(text)
	if err != nil {
		return nil, "", withFile(err, path)
	}
	return config, path, nil
}

// readFile reads a file and retries after transient system errors.
func readFile(path string) ([]byte, error) {
	var text []byte
	err := syserror.Retry(func() error {
		read, err := os.ReadFile(path)
		text = read
		return err
	})
	return text, err
}

// parseConfig parses and validates the text of a configuration file. The addresses are not
// validated, since the environment may override them.
func parseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := decodeJSON(text, "", &file); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, &Error{Key: settingsKey, Allowed: "an object"}
	}
	config := &Config{
		Name:       file.Name,
		Listen:     file.Listen,
		Discovery:  file.Discovery,
		Limits:     file.Limits,
		CachedList: file.CachedList.Translate(),
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

// parseSeed parses a hexadecimal seed of up to 64 bits. An absent seed is 0.
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
