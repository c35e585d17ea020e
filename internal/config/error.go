package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// Error reports an invalid configuration. Its text is a single line that names the key as it is
// written in the configuration.
type Error struct {
	File    string // path of the configuration file; empty if the value is not from a file
	Key     string // such as "limits.sockets", "settings.Classes[2].DeadlineMs" or "BALANCER_CONFIG"
	Value   any    // the invalid value; nil if it is missing
	Allowed string // description of the allowed values, such as "at least 64"; empty if Err describes the fault
	Err     error  // the cause; may be nil
}

// Error returns a line with the file, the key, the value and the allowed values. If Allowed is empty, the line has the
// cause in place of the value and the allowed values.
func (e *Error) Error() string {
	text := "configuration"
	if e.File != "" {
		text += " " + e.File
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	switch {
	case e.Allowed == "":
		return fmt.Sprintf("%s: %v", text, e.Err)
	case e.Value == nil:
		return fmt.Sprintf("%s is missing, must be %s", text, e.Allowed)
	}
	if value, ok := e.Value.(string); ok {
		return fmt.Sprintf("%s is %q, must be %s", text, value, e.Allowed)
	}
	return fmt.Sprintf("%s is %v, must be %s", text, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// withFile sets the path of the file in an *Error and returns it. Other errors are returned unchanged.
func withFile(err error, path string) error {
	if configError, ok := errors.AsType[*Error](err); ok {
		configError.File = path
	}
	return err
}

// jsonType is the Value of an error about a value of the wrong JSON type. encoding/json reports only the type of
// the value, such as "string" or "number 1.5".
type jsonType string

func (t jsonType) String() string { return "a JSON " + string(t) }

// decodeJSON decodes the JSON text of the value at a key. An empty key stands for the whole file.
func decodeJSON(text []byte, key string, target any) error {
	err := json.Unmarshal(text, target)
	if err == nil {
		return nil
	}
	typeError, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return &Error{Key: key, Err: err}
	}
	return &Error{
		Key: joinKeys(key, typeError.Field), Value: jsonType(typeError.Value),
		Allowed: allowedJSONType(typeError.Type), Err: err,
	}
}

// joinKeys joins two key paths with a dot. Either may be empty.
func joinKeys(outer, inner string) string {
	if outer == "" || inner == "" {
		return outer + inner
	}
	return outer + "." + inner
}

// allowedJSONType describes the JSON values that can be decoded into a Go type.
func allowedJSONType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}
