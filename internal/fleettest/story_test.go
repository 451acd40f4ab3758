//go:build linux

package fleettest

import (
	"path/filepath"
	"strings"
	"testing"
)

// The stories of testdata/fleet, each with the built program. The first lines of a file say what it shows.
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
			t.Logf("%d acts, %d by no lease, %d again, %d of %d served; contradicted for %.2f s at most (%d acts), ended nodes got work for %.2f s, %d versions in use",
				v.Acts, v.Strict, v.Again, v.Served, v.Answered, v.Longest.Seconds(), v.Contradict, v.Drain.Seconds(), v.InUse)
			if v.Acts == 0 {
				t.Error("nothing was asked: nothing is shown")
			}
		})
	}
}
