// Package endpointjson defines the JSON form of the endpoint list and translates it into package endpoint. The
// discovery service publishes the list in this form, and a node's configuration holds it. The names of the wire
// appear nowhere else. It keeps no state. Packages config and discovery use it.
package endpointjson

import (
	"math"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// List is an endpoint list in its JSON form.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete
	Endpoints  []Endpoint `json:"instances"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	InstanceID       string  `json:"instanceId"`
	Address          string  `json:"hostPort"`
	Zone             string  `json:"zone"`
	Cell             int     `json:"cell"`
	Lifecycle        string  `json:"lifecycle"`
	Weight           float64 `json:"weight"`
	StartedUnixMilli float64 `json:"startedAtMs"` // milliseconds since the Unix epoch; 0 and less: long ago
}

// The values of Endpoint.Lifecycle that have a meaning of their own.
const (
	lifecycleReady = "Ready"
	lifecycleGone  = "Gone"
)

// Translate returns the list that the JSON form stands for.
func (l *List) Translate() endpoint.List {
	return endpoint.List{Generation: l.Generation, Complete: l.Reset, Endpoints: TranslateAll(l.Endpoints)}
}

// TranslateAll translates the endpoints of a list.
func TranslateAll(endpoints []Endpoint) []endpoint.Endpoint {
	translated := make([]endpoint.Endpoint, len(endpoints))
	for i := range endpoints {
		translated[i] = endpoints[i].Translate()
	}
	return translated
}

// Translate returns the endpoint that the JSON form stands for.
func (e *Endpoint) Translate() endpoint.Endpoint {
	return endpoint.Endpoint{
		ID:        endpoint.IDOf(e.InstanceID),
		Address:   e.Address,
		Zone:      e.Zone,
		Cell:      e.Cell,
		State:     stateOf(e.Lifecycle),
		Weight:    e.Weight,
		StartedAt: startTime(e.StartedUnixMilli),
	}
}

// stateOf translates a lifecycle. An unknown value counts as draining, so that the server gets no new
// requests.
func stateOf(lifecycle string) policy.EndpointState {
	switch lifecycle {
	case lifecycleReady:
		return policy.Ready
	case lifecycleGone:
		return policy.Removed
	}
	return policy.Draining
}

// startTime converts a Unix time in milliseconds, rounded to the nanosecond. It returns the zero time for 0 and
// less, and the time of math.MaxInt64 milliseconds for larger values.
func startTime(unixMilli float64) time.Time {
	if unixMilli <= 0 {
		return time.Time{}
	}
	if unixMilli >= math.MaxInt64 {
		return time.UnixMilli(math.MaxInt64)
	}
	whole, fraction := math.Modf(unixMilli)
	return time.UnixMilli(int64(whole)).Add(time.Duration(math.Round(fraction * float64(time.Millisecond))))
}
