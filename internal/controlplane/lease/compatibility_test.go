package lease

import (
	"testing"

	"marlreel/internal/api"
)

// Keys and holders of leases are stored in the chain's log and in its compacted state (see the recorded files of
// packages store and state). The expected values are those of commit 6fb9894, and must not be changed to make a test
// pass.

func TestCompatibilityOfPlacementKeys(t *testing.T) {
	for service, want := range map[string]string{
		"llm":       "placement/llm",
		"img/large": "placement/img/large",
	} {
		if got := PlacementKey(service); got != want {
			t.Errorf("the key of %s is %q, want %q", service, got, want)
		}
	}
}

func TestCompatibilityOfHolders(t *testing.T) {
	for _, c := range []struct {
		node        string
		incarnation uint64
		want        string
	}{
		{"node-1", 0xbeef, "node-1/0000beef"},
		{"node-2", 0x0123456789abcdef, "node-2/89abcdef"}, // the upper half is left out
	} {
		if got := HolderID(c.node, c.incarnation); got != c.want {
			t.Errorf("the holder is %q, want %q", got, c.want)
		}
	}
}

// TestCompatibilityOfChoice checks the selection of holders, on which control processes of different versions must
// agree.
func TestCompatibilityOfChoice(t *testing.T) {
	nodes := []*api.Node{{Name: "node-1"}, {Name: "node-2"}, {Name: "node-3"}, {Name: "node-4"}}
	for key, want := range map[string]string{
		"placement/llm":   "node-2",
		"placement/img":   "node-4",
		"placement/embed": "node-1",
		"placement/tts":   "node-4",
		"placement/a":     "node-4",
		"placement/b":     "node-2",
	} {
		if got := SelectNode(key, nodes).GetName(); got != want {
			t.Errorf("the holder of %s is %q, want %q", key, got, want)
		}
	}
}
