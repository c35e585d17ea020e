// Package hashring assigns the members of a set positions on a ring of hash values, so that all nodes order the
// members alike without communication.
package hashring

// Constants of splitmix64.
const (
	goldenRatio      = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; without it, group 0 would hash to 0
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondMultiplier = 0x94d049bb133111eb
)

// Position returns a member's position on the ring. The members of a group are adjacent: the upper 32 bits are
// the hash of the group, the lower 32 bits that of the member.
func Position(group, member uint64) uint64 {
	const lowerHalf = 1<<32 - 1
	return mix(group+goldenRatio)&^lowerHalf | mix(member)>>32
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014). It is a bijection, and flipping one bit of
// the argument flips about half of the bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * firstMultiplier
	x = (x ^ x>>27) * secondMultiplier
	return x ^ x>>31
}
