// Package scenario generates what happens in a run of the soak from a seed: the settings of the nodes and a
// schedule of faults. It has no side effects, and the same seed always gives the same scenario. Package soak
// runs it.
package scenario

import (
	"encoding/binary"
	"math/rand/v2"
	"time"
)

const (
	// Duration is how long the schedules last. Then all nodes are shut down.
	Duration = 16 * time.Second
	// Servers is how many servers are listed from the start.
	Servers = 6
)

// Scenario is a run of the soak as its seed determines it.
type Scenario struct {
	Seed            uint64
	HighConcurrency bool // many clients that send seldom, in place of few that send often
	Nodes           int
	Settings        Settings
	Schedule        Schedule
}

// Generate returns the scenario of a seed.
func Generate(seed uint64) Scenario {
	random := NewRandom(seed, 0)
	scenario := Scenario{Seed: seed, HighConcurrency: random.IntN(3) == 0}
	scenario.Settings = generateSettings(random)
	scenario.Nodes = 2 + random.IntN(2)
	scenario.Schedule = generateSchedule(random, scenario.Nodes)
	return scenario
}

// NewRandom returns one of the random sequences of a seed. Sequence 0 is that of Generate.
func NewRandom(seed, sequence uint64) *rand.Rand {
	var bytes [32]byte
	binary.LittleEndian.PutUint64(bytes[:], seed)
	binary.LittleEndian.PutUint64(bytes[8:], sequence)
	return rand.New(rand.NewChaCha8(bytes))
}

// randomDuration generates a duration in a range.
func randomDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Float64()*float64(to-from))
}
