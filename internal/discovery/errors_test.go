package discovery

import (
	"errors"
	"strings"
	"testing"
)

func TestErrorTextAndCause(t *testing.T) {
	cause := errors.New("connection refused")
	for _, c := range []struct {
		err  *Error
		text string
	}{
		{&Error{Kind: Unreachable, Err: cause}, "unreachable: connection refused"},
		{
			&Error{Kind: Unresponsive, Err: &Error{Kind: Timeout, Err: cause}},
			"unresponsive: timeout: connection refused",
		},
		{&Error{Kind: BadStatus, Status: 503}, "status 503"},
	} {
		if c.err.Error() != c.text {
			t.Errorf("error text %q, want %q", c.err.Error(), c.text)
		}
		if wraps := errors.Is(c.err, cause); wraps != (c.err.Status == 0) {
			t.Errorf("error %v wraps the cause: %v, want the opposite", c.err, wraps)
		}
	}
}

func TestErrorKindNamesAreUnique(t *testing.T) {
	seen := map[string]ErrorKind{}
	for kind := Unknown; kind <= Malformed; kind++ {
		name := kind.String()
		if other, found := seen[name]; found || strings.HasPrefix(name, "kind ") {
			t.Errorf("kind %d has the name %q, want a name of its own (kind %d)", int(kind), name, int(other))
		}
		seen[name] = kind
	}
}
