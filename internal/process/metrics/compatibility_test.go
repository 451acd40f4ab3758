package metrics

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/dataplane/engine"
)

// The lines of /control/counters, in their order: names, kinds and how a class's name stands in them.
func TestCompatibilityCounters(t *testing.T) {
	c := New(func() uint64 { return 7 }, []balancer.Class{{Name: "bid"}, {Name: "lot-list"}, {Name: "odd name:1|c"}})
	for _, v := range []engine.Verdict{engine.Served, engine.Served, engine.Served, engine.Rejected, engine.Overloaded, engine.Failed, engine.TimedOut, engine.Stopped} {
		answered(c, 0, v)
	}
	answered(c, 1, engine.Served)
	c.OnCallAccepted(0, &engine.Call{})
	c.SetGauges(12, 3, retrystorm.Rising)
	c.RecordSettings(true)
	c.RecordSettings(false)
	c.RecordSettings(false)
	compareRecorded(t, "counters.txt", c.Append(nil))
}

// The files under testdata/compatibility hold what the tree at commit 6fb9894 wrote. They stay as they are: a
// difference is a change of a form that others read, not a reason to write them anew. The variable below wrote
// them; it only makes files that are not there.
const writeCompatibility = "MARLREEL_WRITE_COMPATIBILITY"

// compareRecorded compares bytes with a recorded file.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(writeCompatibility) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got %s\nwant %s", name, got, want)
	}
}
