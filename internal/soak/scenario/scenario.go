// Package scenario generates the scenario of a soak run from a seed: the settings of the nodes and a schedule of
// faults. It has no side effects, and the same seed always yields the same scenario. Package soak runs the
// scenario.
package scenario

import (
	"encoding/binary"
	"math/rand/v2"
	"time"
)

const (
	// Duration is the minimum time for which the schedule runs. Afterwards all nodes are shut down.
	Duration = 16 * time.Second
	// Servers is the number of servers that are listed from the start of the run.
	Servers = 6
)

// Scenario is the part of a soak run that its seed determines.
type Scenario struct {
	Seed            uint64
	HighConcurrency bool // whether many clients send rarely, instead of a few clients that send often
	Nodes           int  // number of nodes
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

// NewRandom returns a random number generator. Each pair of a seed and a sequence number yields a different sequence
// of random numbers. Generate uses sequence number 0.
func NewRandom(seed, sequence uint64) *rand.Rand {
	var bytes [32]byte
	binary.LittleEndian.PutUint64(bytes[:], seed)
	binary.LittleEndian.PutUint64(bytes[8:], sequence)
	return rand.New(rand.NewChaCha8(bytes))
}

// randomDuration returns a random duration in the range [from, to).
func randomDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Float64()*float64(to-from))
}
