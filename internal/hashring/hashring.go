// Package hashring places the members of a set on a ring of hash values, so that all nodes
// agree on one order of the members without communication.
package hashring

// The constants of splitmix64.
const (
	goldenRatio      = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio; keeps group 0 from position 0
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondMultiplier = 0x94d049bb133111eb
)

// Position returns a member's place on the ring. The members of a group are adjacent: the upper half
// of the position is the hash of the group, the lower half that of the member.
func Position(group, member uint64) uint64 {
	const lowerHalf = 1<<32 - 1
	return mix(group+goldenRatio)&^lowerHalf | mix(member)>>32
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014), a bijection in which each bit
// of the argument changes half of the result's.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * firstMultiplier
	x = (x ^ x>>27) * secondMultiplier
	return x ^ x>>31
}
