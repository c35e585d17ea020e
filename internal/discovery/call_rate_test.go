package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// refusedFor returns a script: calls that start within the given time after began are refused, and later ones return a
// list.
func refusedFor(began time.Time, outage time.Duration) callScript {
	const serviceTime = 3 * time.Millisecond
	return func(_ int, at time.Time) callResponse {
		return callResponse{after: serviceTime, refused: at.Sub(began) < outage}
	}
}

// Guards against a deadline that makes the nodes of a fleet retry more often than their calls may follow each other: one
// call of the fleet every 60 ms in polling mode, and one call of each node every quarter of a second in push mode, which is
// half of the longest delay there, after the first seconds.
func TestRefusedNodesKeepThePaceOfTheFleet(t *testing.T) {
	const (
		nodes       = 40
		outage      = 10 * time.Second
		firstCalls  = 3 * time.Second // the first calls have shorter delays
		pollSpacing = 60 * time.Millisecond
		pushSpacing = time.Second / 4 / nodes
	)
	for name, spacing := range map[string]time.Duration{"polling": pollSpacing, "push": pushSpacing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var fleet []*hollowNode
				for number := range nodes {
					n := newHollowNode(t, name == "polling", number, nodes, refusedFor(began, outage))
					fleet = append(fleet, n)
					n.run(t)
				}
				time.Sleep(outage - time.Millisecond)
				calls := countCalls(fleet, began.Add(firstCalls))
				if most := int((outage - firstCalls) / spacing); calls > most {
					t.Errorf("calls of %d nodes from %v to %v of an outage: got %d, want %d at most",
						nodes, firstCalls, outage, calls, most)
				}
			})
		})
	}
}

// countCalls returns the number of calls that the nodes have started after a time.
func countCalls(fleet []*hollowNode, after time.Time) int {
	count := 0
	for _, n := range fleet {
		n.discovery.mu.Lock()
		for _, at := range n.discovery.starts {
			if at.After(after) {
				count++
			}
		}
		n.discovery.mu.Unlock()
	}
	return count
}
