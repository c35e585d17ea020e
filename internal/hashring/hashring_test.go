package hashring

import "testing"

// The members of a group are adjacent because their positions have the same upper half, which no other group has.
func TestMembersOfAGroupAreAdjacent(t *testing.T) {
	groupOf := map[uint64]uint64{}
	for group := range uint64(100) {
		for member := range uint64(10) {
			groupHash := Position(group, 10*group+member) >> 32
			if other, used := groupOf[groupHash]; used && other != group {
				t.Fatalf("groups %d and %d have the same upper half, want different halves", other, group)
			}
			groupOf[groupHash] = group
		}
	}
	if len(groupOf) != 100 {
		t.Errorf("distinct upper halves of 100 groups: got %d, want 100", len(groupOf))
	}
}

func TestMembersOfAGroupHaveDistinctPositions(t *testing.T) {
	seen := map[uint64]bool{}
	for member := range uint64(1000) {
		seen[Position(7, member)] = true
	}
	if len(seen) != 1000 {
		t.Errorf("distinct positions of 1000 members: got %d, want 1000", len(seen))
	}
}

func TestGroupsAreSpreadOverTheRing(t *testing.T) {
	quarters := [4]int{}
	for group := range uint64(1000) {
		quarters[Position(group, 0)>>62]++
	}
	for i, n := range quarters {
		if n < 200 || n > 300 {
			t.Errorf("groups in quarter %d of the ring: got %d of 1000, want 200 to 300", i, n)
		}
	}
}

// Nodes of different versions must order the members alike, so the values must never change.
func TestPositionIsStable(t *testing.T) {
	for _, tc := range []struct{ group, member, want uint64 }{{0, 1, 0xe220a8395692161d}, {3, 42, 0x1d0b14e4a759ea27}} {
		if got := Position(tc.group, tc.member); got != tc.want {
			t.Errorf("Position(%d, %d) = %#x, want %#x", tc.group, tc.member, got, tc.want)
		}
	}
}
