package testkit

import (
	"io"
	"net/http"
	"testing"
)

// Values of ScriptedDiscovery.Responses that are not the body of a response.
const (
	ResponseClose       = "close" // the connection is closed without a response
	ResponseUnavailable = "down"  // the response has status 503
)

// ScriptedDiscovery is a discovery service to which the test sends each response.
type ScriptedDiscovery struct {
	Address   string
	Calls     chan *http.Request // the received calls, in order of arrival
	Responses chan string        // one response per call: the body, ResponseClose or ResponseUnavailable
}

// NewScriptedDiscovery starts a discovery service. A call blocks until the test sends its response or the client
// disconnects. The service stops at the end of the test.
func NewScriptedDiscovery(t *testing.T) *ScriptedDiscovery {
	t.Helper()
	scripted := &ScriptedDiscovery{Calls: make(chan *http.Request, 100), Responses: make(chan string)}
	server := NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
		scripted.Calls <- r
		select {
		case text := <-scripted.Responses:
			writeScriptedResponse(w, r, text)
		case <-r.Context().Done():
		}
	})
	scripted.Address = server.Address()
	return scripted
}

// writeScriptedResponse responds to a call with a value of ScriptedDiscovery.Responses.
func writeScriptedResponse(w http.ResponseWriter, r *http.Request, text string) {
	switch text {
	case ResponseClose:
		CloseWithoutResponse(w, r)
	case ResponseUnavailable:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, text) // the client may have disconnected
	}
}
