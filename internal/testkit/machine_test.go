package testkit

import (
	"io"
	"net"
	"net/http"
	"testing"
)

func TestMachineIsSilentWhileAway(t *testing.T) {
	machine := NewMachine(t, func(*http.Request) Response { return Response{Status: http.StatusOK, Body: "here"} })
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	get := func() string {
		response, err := client.Get("http://" + machine.Address)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }() // it has been read
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err.Error()
		}
		return string(body)
	}
	if got := get(); got != "here" {
		t.Fatalf("answered %q", got)
	}
	machine.Partition(t)
	if _, err := net.DialTimeout("tcp", machine.Address, connectTimeout); !IsTimeout(err) {
		t.Errorf("dial while it is away: %v, want a timeout", err)
	}
	answers := make(chan string, 1)
	go func() { answers <- get() }() // on the connection from before
	machine.Heal(t)
	Wait(t, answers, "the end of the call while it was away")
	if got := get(); got != "here" {
		t.Errorf("answered %q after its return", got)
	}
}
