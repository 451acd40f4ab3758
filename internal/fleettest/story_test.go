//go:build linux

package fleettest

import (
	"path/filepath"
	"strings"
	"testing"
)

// Runs each story of testdata/fleet with the built program. The first lines of a file say what it tests.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("../../testdata/fleet/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatal(len(files), err)
	}
	room := make(chan struct{}, 4)
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			v, notes, err := PlayStory(program, path, t.TempDir())
			if err != nil {
				t.Fatalf("%v\n%s", err, notes)
			}
			for _, b := range v.Breaks {
				t.Error(b)
			}
			if t.Failed() {
				t.Log(notes)
			}
			t.Logf("%d attempts, %d without a lease, %d after a run, %d of %d served; contradictory settings for at most %.2f s (%d attempts), draining nodes got requests for %.2f s, %d versions in use",
				v.Acts, v.Strict, v.Again, v.Served, v.Answered, v.Longest.Seconds(), v.Contradict, v.Drain.Seconds(), v.InUse)
			if v.Acts == 0 {
				t.Error("no attempt reached a node, so the story tested nothing")
			}
		})
	}
}
