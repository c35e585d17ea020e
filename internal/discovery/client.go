// Package discovery follows the endpoint list over HTTP: it watches or polls,
// backs off after failures and moves to another address when told. It tells a
// Handler what it learns and decides nothing about servers.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// What a watch misses counts as told policy.ToldIn after it fell silent, which may be as
	// it begins. By then the silence has to be noticed and another call answered: half goes to
	// the watch itself, a quarter to what an answer may be late by, and a quarter is left for
	// that call.
	watchWait  = policy.NotificationDeadline / 2 // what a watch asks discovery to wait
	watchSlack = policy.NotificationDeadline / 4 // and how much longer the answer may take
	// movedTold is when all that the new discovery has counts as told, from SIGHUP.
	movedTold  = 4 * time.Second
	watchPause = 20 * time.Millisecond // a watch answered sooner is followed by such a pause
	// Calls where lists are pushed, after a failed one: what discovery has counts as told
	// the moment it is back, so the longest wait is half of what a drain allows.
	backoffFirst = 100 * time.Millisecond
	backoffMost  = time.Second
	maxList      = 8 << 20 // bytes of a list
)

// errSilent is a watch that got no answer though its wait is over.
var errSilent = errors.New("the watch fell silent")

// Handler is told what a Client learns. Its methods are called from the goroutine
// of Client.Run, one at a time.
type Handler interface {
	// UpdateEndpoints takes a list or a change to one.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []endpoint.Endpoint)
	// EndpointsKnown is called once a list is at hand.
	EndpointsKnown()
	// WatchFailed is called, where the list is polled, when a call failed. What that missed
	// counts as notified at the given time, and RequestWatch has to come before it.
	WatchFailed(notifiedAt time.Time)
}

// Config is what a Client is told at its creation.
type Config struct {
	Address    string
	Known      endpoint.List // as last held, possibly empty
	Poll       bool          // watches load discovery: RequestWatch says when to start one
	DrainGrace time.Duration // from when a drain is notified to the last request
}

// Client follows the endpoint list.
type Client struct {
	url        string
	known      endpoint.List
	handler    Handler
	backoff    time.Duration // the longest wait between calls where lists are pushed
	asked      bool
	wanted     chan struct{}
	moved      chan string // the latest address to follow the list at
	listed     bool        // a list is at hand; its generation may well be 0
	generation uint64
	due        time.Time // discovery moved: by then its list has to be here
	client     *http.Client
}

// New makes a client. It does nothing before Run.
func New(config Config) *Client {
	return &Client{
		url: listURL(config.Address), known: config.Known,
		backoff: min(backoffMost, max(backoffFirst, config.DrainGrace/2)),
		asked:   config.Poll, wanted: make(chan struct{}, 1), moved: make(chan string, 1),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2}},
	}
}

// RequestWatch starts a watch where the list is polled, unless one is under way. It never blocks.
func (d *Client) RequestWatch() {
	select {
	case d.wanted <- struct{}{}:
	default: // one is wanted already
	}
}

// Move has the list followed at another address. One caller at a time.
func (d *Client) Move(addr string) {
	select {
	case <-d.moved: // only the latest matters
	default:
	}
	d.moved <- addr
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Run starts from the list as it was known and follows it until the context
// ends. When discovery moves, the watch at the old address ends and the new one
// is asked for the whole list; the node serves by the old list meanwhile.
func (d *Client) Run(ctx context.Context, handler Handler) {
	d.handler = handler
	d.generation = d.known.Generation
	d.listed = len(d.known.Endpoints) > 0
	if d.listed {
		handler.UpdateEndpoints(policy.UpdateCached, d.known.Endpoints)
		handler.EndpointsKnown()
	} else if d.asked {
		handler.UpdateEndpoints(policy.UpdateCached, nil) // has the module ask for the list
	}
	watching := !d.asked
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.follow(here, watching)
		}()
		select {
		case addr := <-d.moved:
			leave()
			<-left
			slog.Info("discovery moves", "addr", addr)
			d.client.CloseIdleConnections()
			d.url, d.listed, watching = listURL(addr), false, true
			d.due = time.Now().Add(movedTold)
		case <-ctx.Done():
			leave()
			<-left
		}
	}
}

// follow watches the list at one address until the context ends.
func (d *Client) follow(ctx context.Context, watching bool) {
	delay := backoffFirst
	for ctx.Err() == nil {
		if !watching {
			select {
			case <-d.wanted:
			case <-ctx.Done():
				return
			}
		}
		began := time.Now()
		list, err := d.get(ctx)
		if err == nil {
			delay, watching = backoffFirst, true
			d.listed, d.generation = true, list.Generation
			switch {
			case list.Reset:
				d.handler.UpdateEndpoints(policy.UpdateSnapshot, list.Endpoints)
			case len(list.Endpoints) > 0:
				d.handler.UpdateEndpoints(policy.UpdateDelta, list.Endpoints)
			}
			d.handler.EndpointsKnown()
			if time.Since(began) < watchPause {
				// A discovery that doesn't wait must not be asked in a loop without a breath.
				pause(ctx, watchPause)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		slog.Warn("discovery failed", "err", err)
		if d.asked {
			watching = false
			due := began.Add(policy.NotificationDeadline)
			if d.moving() && d.due.Before(due) {
				due = d.due
			}
			d.forgetWanted()
			d.handler.WatchFailed(due)
			continue
		}
		// There is no time to back off in after a silent watch, nor before the first list
		// of a discovery that moved.
		if d.moving() || errors.Is(err, errSilent) {
			pause(ctx, rand.N(backoffFirst))
			continue
		}
		// Nodes that lost discovery together must not come back in step.
		pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, d.backoff)
	}
}

// moving tells whether discovery moved a short while ago and has not yet given its list.
func (d *Client) moving() bool { return !d.listed && time.Now().Before(d.due) }

// forgetWanted drops a wish for a watch from before the present one failed: it would be
// followed by another at once, at all nodes together.
func (d *Client) forgetWanted() {
	select {
	case <-d.wanted:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// get asks for what is newer than the list at hand, and waits for it. With no list at hand it
// asks for all, and waits as long: discovery works off the calls that were given up as well, so
// that a fleet which starts anew and calls again too soon would come to no end.
func (d *Client) get(ctx context.Context) (list endpoint.List, err error) {
	url, wait := d.url, watchWait+watchSlack
	if d.moving() {
		wait = movedTold / 2 // for another one
	}
	if d.listed {
		url += "?after=" + strconv.FormatUint(d.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	}
	here, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(here, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	defer func() {
		if err != nil && d.listed && ctx.Err() == nil && here.Err() != nil {
			err = fmt.Errorf("%w: %w", errSilent, err)
		}
	}()
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return list, err
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return list, fmt.Errorf("list: %w", err)
	}
	if !d.listed {
		list.Reset = true // it was asked for all
	}
	return list, nil
}
