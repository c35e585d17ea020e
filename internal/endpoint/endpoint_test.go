package endpoint

import (
	"testing"

	"calicohinge/policy"
)

// Nodes of different versions must derive the same IDs. The expected values are 64-bit FNV-1a hashes.
func TestServerIDIsAStableHashOfTheInstanceID(t *testing.T) {
	for id, want := range map[string]policy.ServerID{
		"":       0, // no instance ID
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
	} {
		if got := ServerID(id); got != want {
			t.Errorf("ServerID(%q) = %x, want %x", id, got, want)
		}
	}
}
