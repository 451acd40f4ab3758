package agree

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Each guard is worth what breaks without it: the code with one taken out, and a history that catches it. The tests
// run on a copy of the file that the compiler is shown in the file's place.
func TestMutantsAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("-short: each mutant is built and played")
	}
	for name, m := range map[string]struct{ file, old, new, run string }{
		"the lease is not looked at after waking": {"member.go", "m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born && now < m.until", "m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born", "TestBound"},
		"loosening at once":                       {"leader.go", "k.opens != v.Number && k.known() &&", "k.opens != v.Number &&", "TestBound"},
		"a lease without a majority's word":       {"leader.go", "k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.lastRead))", "k.confirmed(raft.ReadState{Index: k.applied, RequestCtx: binary.BigEndian.AppendUint64(nil, k.lastRead)})", "TestWokenLeaderGrantsNothing"},
		"a lease from when the answer came":       {"member.go", "m.lease(asked)", "m.lease(max(asked, now))", "TestBound"},
		"the next version before all have this":   {"leader.go", "r.Refused == \"\" && !r.Same && !k.known()", "r.Refused == \"\" && !r.Same && false", "TestVersionsFollowOneAnother"},
		"an old disk is believed":                 {"keeper.go", "case h.Life <= seen.Life:", "case true:\n\t\treturn \"\"\n\tcase h.Life <= seen.Life:", "TestDiskSetBack"},
		"no sync before the acknowledgement":      {"keeper.go", "			k.do(s)\n		}\n		for _, m := range rd.Messages {", "			defer k.do(s)\n		}\n		for _, m := range rd.Messages {", "TestDiskThatFails"},
		"a majority of one":                       {"keeper.go", "func (k *Keeper) commit(e *pb.Entry) {", "func (k *Keeper) eager() {\n\tlo := k.applied + 1\n\tes, err := k.store.Entries(lo, k.last()+1, 1<<20)\n\tif err == nil && k.leads {\n\t\tfor _, e := range es {\n\t\t\tk.commit(e)\n\t\t}\n\t}\n}\n\nfunc (k *Keeper) commit(e *pb.Entry) {\n\tif e.GetIndex() <= k.applied {\n\t\treturn\n\t}", "TestBound"},
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
				t.Fatalf("%s has %d of %q: the mutant is of another code", m.file, strings.Count(string(text), m.old), m.old)
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
				t.Errorf("nothing caught it:\n%s", out)
			}
		})
	}
}
