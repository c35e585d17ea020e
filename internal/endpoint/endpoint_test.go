package endpoint

import (
	"testing"

	"calicohinge/policy"
)

// Nodes of different versions have to agree: the values are those of 64-bit FNV-1a.
func TestServerIDIsAStableHashOfTheInstanceID(t *testing.T) {
	for id, want := range map[string]policy.ServerID{
		"":       0, // no instance
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
	} {
		if got := IDOf(id); got != want {
			t.Errorf("instance %q has ID %x, want %x", id, got, want)
		}
	}
}
