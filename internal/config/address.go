package config

import (
	"net"
	"strconv"
)

// addressFormat describes a valid address in error messages.
const addressFormat = "an address of the form host:port"

// validateAddress checks that the address configured under key has the form host:port.
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
