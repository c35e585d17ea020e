package testkit

import (
	"io"
	"net/http"
	"testing"
)

// The responses of a ScriptedDiscovery other than a body.
const (
	ResponseReset       = "reset" // the connection is reset
	ResponseUnavailable = "down"  // status 503
)

// ScriptedDiscovery is a discovery service whose responses the test sends one by one.
type ScriptedDiscovery struct {
	Address   string
	Calls     chan *http.Request // in order of arrival
	Responses chan string        // one for each call: a body, or one of the constants above
}

// NewScriptedDiscovery starts a discovery service. It stops at the end of the test.
func NewScriptedDiscovery(t *testing.T) *ScriptedDiscovery {
	t.Helper()
	scripted := &ScriptedDiscovery{Calls: make(chan *http.Request, 100), Responses: make(chan string)}
	backend := NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		scripted.Calls <- r
		select {
		case text := <-scripted.Responses:
			writeScriptedResponse(w, r, text)
		case <-r.Context().Done():
		}
	})
	scripted.Address = backend.Address()
	return scripted
}

// writeScriptedResponse writes one of the Responses of a ScriptedDiscovery.
func writeScriptedResponse(w http.ResponseWriter, r *http.Request, text string) {
	switch text {
	case ResponseReset:
		Reset(w, r)
	case ResponseUnavailable:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, text) // the client may have disconnected
	}
}
