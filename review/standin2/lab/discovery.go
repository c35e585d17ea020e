package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`

	generation uint64
}

// list is an answer of discovery.
type list struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Endpoint `json:"instances"`
}

// Discovery plays discovery: the whole list, and watches for changes.
type Discovery struct {
	Addr string
	c    *Case

	mu         sync.Mutex
	generation uint64
	endpoints  []Endpoint
	changed    chan struct{}
	OnCall     func(watch bool) Fate // if set, is asked when a call has arrived
}

// Fate is what becomes of a call. The zero value is an answer without delay.
type Fate struct {
	Delay   time.Duration // before the call is looked at
	Silent  bool          // the call is never answered
	Refused bool          // the call is answered with 503
}

// NewDiscovery starts discovery with a list.
func (c *Case) NewDiscovery(endpoints []Endpoint) *Discovery {
	listener := Listen()
	d := &Discovery{
		Addr: listener.Addr().String(), c: c, generation: 1, endpoints: endpoints, changed: make(chan struct{}),
	}
	for i := range d.endpoints {
		d.endpoints[i].generation = 1
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(listener) }()
	return d
}

// Known returns the list in the form of the configuration file.
func (d *Discovery) Known() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Generation: d.generation, Reset: true, Instances: append([]Endpoint{}, d.endpoints...)}
}

// Publish changes the state of a server.
func (d *Discovery) Publish(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for i := range d.endpoints {
		if d.endpoints[i].InstanceID == id {
			d.endpoints[i].Lifecycle, d.endpoints[i].generation = lifecycle, d.generation
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Log("discovery: %s is %s, generation %d", id, lifecycle, d.generation)
}

// since returns the changes after a generation, and a channel that is closed at the next change.
func (d *Discovery) since(after uint64, whole bool) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := list{Generation: d.generation, Reset: whole, Instances: []Endpoint{}}
	for _, e := range d.endpoints {
		if whole && e.Lifecycle != "Gone" || !whole && e.generation > after {
			answer.Instances = append(answer.Instances, e)
		}
	}
	return answer, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	watch := err == nil
	d.c.Log("discovery: call %s", r.URL.RequestURI())
	if d.OnCall != nil {
		fate := d.OnCall(watch)
		switch {
		case fate.Silent:
			d.c.Log("discovery: call %s gets no answer", r.URL.RequestURI())
			<-r.Context().Done()
			return
		case fate.Refused:
			d.c.Log("discovery: call %s is answered with 503", r.URL.RequestURI())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(fate.Delay)
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := time.After(max(0, time.Duration(wait)*time.Millisecond-time.Since(arrived)))
	answer, changed := d.since(after, !watch)
	for expired := false; watch && len(answer.Instances) == 0 && !expired; answer, changed = d.since(after, false) {
		select {
		case <-changed:
		case <-limit:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
	d.c.Log("discovery: answered %s after %d ms: generation %d, %d entries",
		r.URL.RequestURI(), time.Since(arrived).Milliseconds(), answer.Generation, len(answer.Instances))
}

// Endpoints returns ready entries for servers at the given addresses.
func Endpoints(addresses []string) []Endpoint {
	endpoints := make([]Endpoint, 0, len(addresses))
	for i, address := range addresses {
		endpoints = append(endpoints, Endpoint{
			InstanceID: fmt.Sprintf("s-%d", i), HostPort: address, Zone: "fortitude-valley", MachineType: "standard",
			Lifecycle: "Ready", Weight: 1,
		})
	}
	return endpoints
}

// Addresses returns the addresses of listeners.
func Addresses(listeners []net.Listener) []string {
	addresses := make([]string, 0, len(listeners))
	for _, l := range listeners {
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
