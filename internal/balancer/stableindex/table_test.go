package stableindex

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func noneInUse(int) bool { return false }

func assign(t *testing.T, tab *Table, now time.Duration, names ...string) []int {
	t.Helper()
	indices, _, err := tab.Assign(now, names, noneInUse)
	if err != nil {
		t.Fatal(err)
	}
	return indices
}

func TestIndicesStay(t *testing.T) {
	t.Parallel()
	tab := New(4)
	if at := assign(t, tab, 0, "a", "b"); !slices.Equal(at, []int{0, 1}) {
		t.Fatal(at)
	}
	if at := assign(t, tab, 1, "c", "b"); !slices.Equal(at, []int{2, 1}) || !tab.Removed(0) {
		t.Fatal(at)
	}
	if at := assign(t, tab, 2, "b", "a"); !slices.Equal(at, []int{1, 0}) || !tab.Removed(2) {
		t.Fatal(at)
	}
}

// The index of a removed name is reused only if there is no room, MinReuseAge has passed, and nothing of the name is
// open.
func TestIndicesAreReusedLate(t *testing.T) {
	t.Parallel()
	tab := New(2)
	assign(t, tab, 0, "a", "b")
	assign(t, tab, time.Second, "b")
	if _, _, err := tab.Assign(2*time.Second, []string{"b", "c"}, noneInUse); err == nil {
		t.Error("index reused before MinReuseAge")
	}
	later := time.Second + MinReuseAge
	if _, _, err := tab.Assign(later, []string{"b", "c"}, func(i int) bool { return i == 0 }); err == nil {
		t.Error("index reused while something is open")
	}
	indices, reused, err := tab.Assign(later, []string{"b", "c"}, noneInUse)
	if err != nil || !slices.Equal(indices, []int{1, 0}) || !slices.Equal(reused, []int{0}) {
		t.Error(indices, reused, err)
	}
}

// For any lists, no two names share an index, a name that stays keeps its own, and a rejected list changes nothing.
func TestIndicesAreUnique(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tab, now := New(rapid.IntRange(1, 5).Draw(t, "maxLen")), time.Duration(0)
		previous := map[string]int{}
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Second
			names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6).Draw(t, "names")
			indexInUse := rapid.IntRange(-1, 4).Draw(t, "in use")
			before := fmt.Sprint(tab.slots)
			indices, reused, err := tab.Assign(now, names, func(i int) bool { return i == indexInUse })
			if err != nil {
				if fmt.Sprint(tab.slots) != before {
					t.Fatal("a rejected list changed something")
				}
				continue
			}
			if slices.Contains(reused, indexInUse) {
				t.Fatal("an index in use was reused")
			}
			assigned := map[string]int{}
			for k, name := range names {
				if i, was := previous[name]; was && i != indices[k] {
					t.Fatalf("the index of %s changed from %d to %d", name, i, indices[k])
				}
				for other, i := range assigned {
					if i == indices[k] {
						t.Fatalf("%s and %s share index %d", other, name, i)
					}
				}
				assigned[name] = indices[k]
			}
			previous = assigned
		}
	})
}
