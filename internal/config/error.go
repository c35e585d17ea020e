package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// Error reports a configuration that cannot be used. Its text is one line and names the
// key as the operators write it.
type Error struct {
	File    string // path of the configuration file; empty where the text came from elsewhere
	Key     string // such as "limits.sockets", "settings.Classes[2].DeadlineMs" or "BALANCER_CONFIG"
	Value   any    // the value found, nil where there is none
	Allowed string // the allowed values in words, such as "at least 64"; empty where Err says what is wrong
	Err     error  // the cause; may be nil
}

// Error says where the fault is and, if Allowed is set, what is expected, otherwise the cause.
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

// withFile adds the path of the file to an error of this package.
func withFile(err error, path string) error {
	if configError, ok := errors.AsType[*Error](err); ok {
		configError.File = path
	}
	return err
}

// jsonType is the Value of an error about a value of a wrong type. encoding/json does not give that value but
// its type, such as "string" or "number 1.5".
type jsonType string

func (t jsonType) String() string { return "a JSON " + string(t) }

// decodeJSON decodes the text found under key; the empty key stands for the whole file.
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

// joinKeys joins two paths of keys, each of which may be empty.
func joinKeys(outer, inner string) string {
	if outer == "" || inner == "" {
		return outer + inner
	}
	return outer + "." + inner
}

// allowedJSONType describes the JSON values that a Go type holds.
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
