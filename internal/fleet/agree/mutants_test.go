package agree

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutantsAreCaught removes one safety check at a time and expects a test to fail without it. The changed file
// replaces the original one by the -overlay flag of go test.
func TestMutantsAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("-short: each mutant is built and tested")
	}
	for name, m := range map[string]struct{ file, old, new, run string }{
		"no lease check after resuming":                 {"member.go", "m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born && now < m.until", "m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born", "TestBound"},
		"a version is opened at once":                   {"leader.go", "k.openProposed != v.Number && k.olderStatesUnused() &&", "k.openProposed != v.Number &&", "TestBound"},
		"a lease without a majority's confirmation":     {"leader.go", "k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.lastRead))", "k.confirmed(raft.ReadState{Index: k.applied, RequestCtx: binary.BigEndian.AppendUint64(nil, k.lastRead)})", "TestPartitionedLeaderGrantsNothing"},
		"a lease counted from the answer":               {"member.go", "m.lease(asked)", "m.lease(max(asked, now))", "TestBound"},
		"the next version before all have the last one": {"leader.go", "r.Refused == \"\" && !r.Same && !k.olderStatesUnused()", "r.Refused == \"\" && !r.Same && false", "TestAtMostTwoVersionsInUse"},
		"an outdated disk is trusted":                   {"keeper.go", "case h.Life <= seen.Life:", "case true:\n\t\treturn \"\"\n\tcase h.Life <= seen.Life:", "TestDiskSetBack"},
		"no sync before the acknowledgement":            {"keeper.go", "			k.emit(s)\n		}\n		for _, m := range rd.Messages {", "			defer k.emit(s)\n		}\n		for _, m := range rd.Messages {", "TestDiskThatFails"},
		"a majority of one":                             {"keeper.go", "func (k *Keeper) commit(e *pb.Entry) {", "func (k *Keeper) eager() {\n\tlo := k.applied + 1\n\tes, err := k.store.Entries(lo, k.last()+1, 1<<20)\n\tif err == nil && k.leads {\n\t\tfor _, e := range es {\n\t\t\tk.commit(e)\n\t\t}\n\t}\n}\n\nfunc (k *Keeper) commit(e *pb.Entry) {\n\tif e.GetIndex() <= k.applied {\n\t\treturn\n\t}", "TestBound"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			here, err := filepath.Abs(m.file)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(m.file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), m.old) != 1 {
				t.Fatalf("%s has %d of %q, want 1: update the mutant to the code", m.file, strings.Count(string(text), m.old), m.old)
			}
			changed := strings.Replace(string(text), m.old, m.new, 1)
			if name == "a majority of one" {
				changed = strings.Replace(changed, "		k.node.Advance(rd)\n", "		k.node.Advance(rd)\n		k.eager()\n", 1)
			}
			dir := t.TempDir()
			mutant := filepath.Join(dir, m.file)
			overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{here: mutant}})
			if err != nil {
				t.Fatal(err)
			}
			for path, data := range map[string][]byte{mutant: []byte(changed), filepath.Join(dir, "overlay.json"): overlay} {
				if err := os.WriteFile(path, data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("go", "test", "-count=1", "-overlay", filepath.Join(dir, "overlay.json"), "-run", "^"+m.run+"$", ".", "-rapid.nofailfile", "-rapid.shrinktime=1s")
			cmd.Env = append(os.Environ(), "MARLREEL_HISTORIES=400")
			out, err := cmd.CombinedOutput()
			if strings.Contains(string(out), "build failed") {
				t.Fatalf("the mutant does not build:\n%s", out)
			}
			if err == nil {
				t.Errorf("the mutant passes the test:\n%s", out)
			}
		})
	}
}
