package config

import (
	"net"
	"strconv"
)

// addressFormat describes the allowed addresses.
const addressFormat = "an address of the form host:port"

// validateAddress checks the form of an address found under a key.
func validateAddress(key, address string) error {
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return &Error{Key: key, Value: address, Allowed: addressFormat, Err: err}
	}
	return nil
}
