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
			t.Errorf("Error() = %q, want %q", c.err.Error(), c.text)
		}
		if wraps := errors.Is(c.err, cause); wraps != (c.err.Status == 0) {
			t.Errorf("errors.Is(%v, cause) = %v, want %v", c.err, wraps, !wraps)
		}
	}
}

func TestErrorKindNamesAreUnique(t *testing.T) {
	seen := map[string]ErrorKind{}
	for kind := Unknown; kind <= Malformed; kind++ {
		name := kind.String()
		if other, found := seen[name]; found || strings.HasPrefix(name, "kind ") {
			t.Errorf("ErrorKind(%d).String() = %q, want a name that differs from the fallback and from that of kind %d",
				int(kind), name, int(other))
		}
		seen[name] = kind
	}
}
