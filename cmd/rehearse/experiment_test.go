package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marlreel/experiments"
	"marlreel/internal/experiment"
)

// writePlainExperiment writes an experiment that compares the plain proxy with itself, and its scenario, to a temporary folder.
func writePlainExperiment(t *testing.T, more string) (file, store string) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"day.toml": tinyScenario, "pair.toml": `scenario = "./day.toml"
replicates = 2
figures = ["service", "class.lot-list.p99-ms"]
` + more + `
[[arms]]
name = "one"
baseline = "random"
[[arms]]
name = "other"
baseline = "random"
`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "pair.toml"), filepath.Join(dir, "r.db")
}

// playUntilComplete plays an experiment of four runs until none is missing. Each round ends when the budget is spent.
func playUntilComplete(t *testing.T, file, store, folder string) {
	t.Helper()
	missing := 4
	for round := 0; missing > 0; round++ {
		code, out, errs := runCommand(t, "experiment", file, "--store", store, "--out", folder, "--json")
		var a experiment.Analysis
		if err := json.Unmarshal([]byte(out), &a); code != 0 && code != exitBroken || err != nil {
			t.Fatalf("round %d: %d, %v\n%s%s", round, code, err, out, errs)
		}
		if a.Missing >= missing || round > 8 { // a void run may leave as many missing once
			t.Fatalf("round %d: %d runs missing, %d before\n%s", round, a.Missing, missing, errs)
		}
		if missing = a.Missing; missing > 0 && !strings.Contains(errs, "the budget of 6s is spent") {
			t.Errorf("%s", errs)
		}
	}
}

// An experiment is planned, played until its budget is spent, resumed, shown, exported and forgotten.
func TestExperiment(t *testing.T) {
	file, store := writePlainExperiment(t, `budget = "6s"`)
	code, out, errs := runCommand(t, "experiment", file, "--dry-run")
	if code != 0 || strings.Count(out, "seed ") != 4 || !strings.Contains(out, "about 16s, and the budget is 6s") {
		t.Fatalf("%d\n%s%s", code, out, errs)
	}
	folder := filepath.Join(t.TempDir(), "page")
	playUntilComplete(t, file, store, folder)
	for _, name := range []string{"pair.md", "pair.csv", "pair-service.svg"} {
		if i, err := os.Stat(filepath.Join(folder, name)); err != nil || i.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	checkResults(t, store)
	// After an edit of the scenario the stored results belong to another experiment.
	day := filepath.Join(filepath.Dir(file), "day.toml")
	if err := os.WriteFile(day, []byte(strings.Replace(tinyScenario, "rate = 30", "rate = 31", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs = runCommand(t, "experiment", file, "--store", store); code != exitUsage || !strings.Contains(errs, `the scenario was edited: it said "rate = 30`) {
		t.Errorf("edited: %d, %s", code, errs)
	}
	if code, _, errs = runCommand(t, "results", "forget", "pair", "--store", store); code != 0 {
		t.Errorf("forget: %d, %s", code, errs)
	}
	if code, out, _ = runCommand(t, "results", "list", "--store", store); code != 0 || out != "" {
		t.Errorf("after it: %d, %s", code, out)
	}
}

// checkResults lists, shows and exports the results of a complete experiment.
func checkResults(t *testing.T, store string) {
	t.Helper()
	if code, out, errs := runCommand(t, "results", "list", "--store", store); code != 0 || !strings.Contains(out, "pair") || !strings.Contains(out, " of 4 runs count, 0 to be played") {
		t.Errorf("list: %d\n%s%s", code, out, errs)
	}
	if code, out, _ := runCommand(t, "results", "show", "pair", "--store", store); code != 0 || !strings.Contains(out, "too few pairs") {
		t.Errorf("show: %d\n%s", code, out)
	}
	if code, out, _ := runCommand(t, "results", "export", "pair", "--store", store); code != 0 || !strings.HasPrefix(out, "experiment,arm,level,seed,figure,value\n") {
		t.Errorf("csv: %d\n%s", code, out)
	}
	var e experiment.Exported
	if code, out, _ := runCommand(t, "results", "export", "pair", "--json", "--store", store); code != 0 || json.Unmarshal([]byte(out), &e) != nil || len(e.Runs) != 4 || len(e.Runs[0].Tries) == 0 {
		t.Errorf("json: %d\n%s", code, out)
	}
	if code, _, errs := runCommand(t, "results", "show", "pear", "--store", store); code != exitUsage || !strings.Contains(errs, `no experiment "pear"; there are [pair]`) {
		t.Errorf("another: %d, %s", code, errs)
	}
}

func TestExperimentWrongUse(t *testing.T) {
	t.Parallel()
	file, store := writePlainExperiment(t, "")
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"no such question": {[]string{"experiment", "tiping"}, `no experiment "tiping" is shipped`},
		"no such file":     {[]string{"experiment", "./none.toml"}, "no such file"},
		"no such arm":      {[]string{"experiment", file, "--arm", "othre=/bin/true"}, `no arm "othre" (did you mean other?)`},
		"a bad name":       {[]string{"experiment", file, "--name", "A B"}, "small letters, digits and dashes"},
		"no daemon":        {[]string{"experiment", file, "--arm", "other=/nowhere/marlreel", "--store", store}, "/nowhere/marlreel"},
		"a store's folder": {[]string{"results", "list", "--store", filepath.Dir(store)}, "a file's path is needed"},
	} {
		code, _, errs := runCommand(t, c.args...)
		if code != exitUsage || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: %d, %s", name, code, errs)
		}
	}
	if code, out, errs := runCommand(t, "experiment"); code != 0 || strings.Count(out, "\n") < 4 {
		t.Errorf("the list: %d, %s%s", code, out, errs)
	}
}

// Every shipped experiment is valid, whichever daemon it tests.
func TestShippedExperiments(t *testing.T) {
	t.Parallel()
	entries, err := experiments.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		name := strings.TrimSuffix(e.Name(), ".toml")
		code, out, errs := runCommand(t, "experiment", name, "--dry-run", "--marlreel", self)
		if code != 0 || !strings.Contains(out, name+" (") {
			t.Errorf("%s: %d\n%s%s", name, code, out, errs)
		}
	}
}
