package testkit

import (
	"io"
	"net/http"
	"testing"
)

// The answers of a ScriptedDiscovery other than a body.
const (
	AnswerReset = "reset" // the connection is reset
	AnswerDown  = "down"  // status 503
)

// ScriptedDiscovery is a discovery service whose calls the test answers one by one.
type ScriptedDiscovery struct {
	Address string
	Calls   chan *http.Request // in order of arrival
	Answers chan string        // one for each call: a body, or one of the constants above
}

// NewScriptedDiscovery starts a discovery service. It stops at the end of the test.
func NewScriptedDiscovery(t *testing.T) *ScriptedDiscovery {
	t.Helper()
	scripted := &ScriptedDiscovery{Calls: make(chan *http.Request, 100), Answers: make(chan string)}
	backend := NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		scripted.Calls <- r
		select {
		case text := <-scripted.Answers:
			answerScripted(w, r, text)
		case <-r.Context().Done():
		}
	})
	scripted.Address = backend.Address()
	return scripted
}

func answerScripted(w http.ResponseWriter, r *http.Request, text string) {
	switch text {
	case AnswerReset:
		Reset(w, r)
	case AnswerDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, text) // the client may have disconnected
	}
}
