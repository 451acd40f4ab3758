package experiment

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"marlreel/internal/stricttoml"
)

// The file testdata/compatibility/experiments.db was written by the code of commit 6fb9894. It represents the results that
// users have collected. Do not regenerate it to make a test pass: a failure means that the code can no longer read stored
// results, or repeats runs that were already played.
//
// If the file is missing, this command writes it:
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/experiment
//
// A file that exists is never overwritten.
const (
	compatibilityFile = "testdata/compatibility/experiments.db"
	writeVariable     = "WRITE_COMPATIBILITY_FILES"
)

// storedFactors is the stored experiment that compares two arms at two levels.
func storedFactors() *Identity {
	day := func(name, marlreel, baseline string, rate float64) Day {
		return Day{
			Arm: Arm{Name: name, Marlreel: marlreel, Baseline: baseline}, Set: map[string]any{"rate": rate, "zones": []any{"a", "b"}},
			Daemon: map[string]any{"retries.max": 2.0},
		}
	}
	return &Identity{
		Question:  "sweep",
		Scenario:  "storm",
		Seeds:     []uint64{7, 1 << 39},
		Figures:   []string{"service", "p99_ms"},
		Staircase: &Staircase{From: 0.5, To: 1.5, Steps: 4, Each: stricttoml.Duration(2500 * time.Millisecond), Below: 0.75},
		Arms:      []Arm{{Name: "new", Marlreel: "bin/marlreel"}, {Name: "plain", Baseline: "round-robin"}},
		Levels: []Level{
			{{Key: "rate", Value: 100.0}, {Key: "daemon.retries.max", Value: 2.0, Also: true}},
			{{Key: "rate", Value: 200.0}, {Key: "daemon.retries.max", Value: 2.0, Also: true}},
		},
		Days: [][]Day{
			{day("new", "bin/marlreel", "", 100), day("new", "bin/marlreel", "", 200)},
			{day("plain", "", "round-robin", 100), day("plain", "", "round-robin", 200)},
		},
		Scenarios:  [][]string{{"rate = 100\n", "rate = 200\n"}, {"rate = 100\n", "rate = 200\n"}},
		Builds:     []string{"0123456789abcdef", "fedcba9876543210"},
		Replicates: 2,
		About:      "does it bear a storm?",
		Runs:       []Run{{Arm: 0, Level: 0, Seed: 7}, {Arm: 1, Level: 0, Seed: 7}, {Arm: 1, Level: 1, Seed: 1 << 39}},
		Machine:    "8 cores",
		Lengths:    [][]float64{{40, 40.5}, {41, 41.5}},
	}
}

// storedSmall is the stored experiment without any optional field.
func storedSmall() *Identity {
	return &Identity{
		Question: "compare", Scenario: "calm", Seeds: []uint64{3}, Figures: []string{"service"}, Arms: []Arm{{Name: "only"}},
		Levels: []Level{nil}, Days: [][]Day{{{Arm: Arm{Name: "only"}, Set: map[string]any{}, Daemon: map[string]any{}}}},
		Scenarios: [][]string{{""}}, Builds: []string{"b"}, Replicates: 1, Runs: []Run{{Seed: 3}}, Lengths: [][]float64{{1}},
	}
}

// storedKeys are the keys of the runs in the store.
var storedKeys = []string{"9fd4dcc87f7b425c83cfcea172b9de83", "5aff47e5b3ff9ec3fc1690d520e7f7e1", "b205cdaee043c0c3212157f1785fd8fc"}

// storedTries are the tries of the first two runs, in order.
func storedTries() [][]*Result {
	return [][]*Result{
		{
			{Figures: map[string]float64{}, Void: "the generator was late", Schedule: "5c4e", LateMs: 12.5},
			{
				Figures: map[string]float64{"service": 0.9375, "p99_ms": 812.25}, Seconds: []Second{{Asked: 100.5, Served: 99.25}, {Asked: 101}},
				Broken: 2, Crashes: 1, Schedule: "5c4f", LateMs: 0.5, KitCPU: 3.25, TookS: 41.75,
			},
		},
		{
			{Figures: nil, Failed: "the daemon did not start"},
		},
	}
}

// storedIdentityText is the stored form of the first experiment.
const storedIdentityText = `{"question":"sweep","scenario":"storm",` +
	`"seeds":[7,549755813888],"figures":["service","p99_ms"],"staircase":{"From":0.5,"To":1.5,"Steps":4,"Each":"2.5s","Below":0.75},` +
	`"arms":[{"name":"new","marlreel":"bin/marlreel"},{"name":"plain","baseline":"round-robin"}],` +
	`"levels":[[{"key":"rate","value":100},{"key":"daemon.retries.max","value":2,"also":true}],[{"key":"rate","value":200},{"key":"daemon.retries.max","value":2,"also":true}]],` +
	`"days":[[{"arm":{"name":"new","marlreel":"bin/marlreel"},"set":{"rate":100,"zones":["a","b"]},"daemon":{"retries.max":2}},{"arm":{"name":"new","marlreel":"bin/marlreel"},"set":{"rate":200,"zones":["a","b"]},"daemon":{"retries.max":2}}],[{"arm":{"name":"plain","baseline":"round-robin"},"set":{"rate":100,"zones":["a","b"]},"daemon":{"retries.max":2}},{"arm":{"name":"plain","baseline":"round-robin"},"set":{"rate":200,"zones":["a","b"]},"daemon":{"retries.max":2}}]],` +
	`"scenarios":[["rate = 100\n","rate = 200\n"],["rate = 100\n","rate = 200\n"]],` +
	`"builds":["0123456789abcdef","fedcba9876543210"],"replicates":2,"about":"does it bear a storm?","runs":[{"arm":0,"level":0,"seed":7},{"arm":1,"level":0,"seed":7},{"arm":1,"level":1,"seed":549755813888}],"machine":"8 cores","lengths_s":[[40,40.5],[41,41.5]]}`

// storedTryTexts are the stored forms of the tries.
var storedTryTexts = []string{
	`{"figures":{},"void":"the generator was late","schedule":"5c4e","late_ms":12.5}`,
	`{"figures":{"p99_ms":812.25,"service":0.9375},"seconds":[{"a":100.5,"s":99.25},{"a":101,"s":0}],"broken":2,"crashes":1,` +
		`"schedule":"5c4f","late_ms":0.5,"kit_cpu_s":3.25,"took_s":41.75}`,
	`{"figures":null,"failed":"the daemon did not start"}`,
}

// TestCompatibilityOfStoredExperiments reads the identities of stored experiments, and continues the experiments.
func TestCompatibilityOfStoredExperiments(t *testing.T) {
	s := openCopy(t)
	names, err := s.Names()
	if err != nil || !slices.Equal(names, []string{"factors", "small"}) {
		t.Errorf("the experiments are %q: %v", names, err)
	}
	for name, want := range map[string]*Identity{"factors": storedFactors(), "small": storedSmall()} {
		t.Run(name, func(t *testing.T) {
			got, err := s.Identity(name)
			if err != nil {
				t.Fatal(err)
			}
			gotFields, wantFields := reflect.ValueOf(*got), reflect.ValueOf(*want)
			for i := range wantFields.NumField() {
				if !reflect.DeepEqual(gotFields.Field(i).Interface(), wantFields.Field(i).Interface()) {
					t.Errorf("%s is\n%+v\nwant\n%+v", wantFields.Type().Field(i).Name, gotFields.Field(i), wantFields.Field(i))
				}
			}
			if d := want.Differs(got); d != "" {
				t.Errorf("the stored experiment differs: %s", d)
			}
			if err := s.Begin(name, want); err != nil {
				t.Errorf("the stored experiment can't be continued: %v", err)
			}
		})
	}
}

// TestCompatibilityOfStoredResults reads the results of runs by their keys, which no version may change.
func TestCompatibilityOfStoredResults(t *testing.T) {
	s := openCopy(t)
	id := storedFactors()
	for i, want := range storedKeys {
		if got := id.Key(id.Runs[i]); got != want {
			t.Errorf("the key of run %d is %s, want %s", i, got, want)
		}
	}
	got, err := s.Results("factors")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]*Result{storedKeys[0]: storedTries()[0], storedKeys[1]: storedTries()[1]}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the results are\n%s\nwant\n%s", encode(t, got), encode(t, want))
	}
	if got, err := s.Results("small"); err != nil || len(got) != 0 {
		t.Errorf("the small experiment has results %v: %v", got, err)
	}
}

// TestCompatibilityOfRecords compares all records of the store with literals and with those that this version writes.
func TestCompatibilityOfRecords(t *testing.T) {
	stored := records(t, copyOfFile(t))
	want := map[string]string{
		"meta/version":                           "\x00\x00\x00\x00\x00\x00\x00\x01",
		"experiments/factors":                    storedIdentityText,
		"experiments/small":                      string(encode(t, storedSmall())),
		"results/factors/" + storedKeys[0] + "0": storedTryTexts[0],
		"results/factors/" + storedKeys[0] + "1": storedTryTexts[1],
		"results/factors/" + storedKeys[1] + "0": storedTryTexts[2],
	}
	compareRecords(t, "stored", stored, want)

	path := filepath.Join(t.TempDir(), "experiments.db")
	writeStore(t, path)
	compareRecords(t, "written", records(t, path), stored)
}

// TestCompatibilityOfExports compares the export of a stored experiment, which users keep as files.
func TestCompatibilityOfExports(t *testing.T) {
	s := openCopy(t)
	results, err := s.Results("factors")
	if err != nil {
		t.Fatal(err)
	}
	id, err := s.Identity("factors")
	if err != nil {
		t.Fatal(err)
	}
	const level0, level1 = `[{"key":"rate","value":100},{"key":"daemon.retries.max","value":2,"also":true}]`,
		`[{"key":"rate","value":200},{"key":"daemon.retries.max","value":2,"also":true}]`
	want := `{"experiment":` + storedIdentityText + `,"runs":[` +
		`{"arm":"new","level":` + level0 + `,"seed":7,"tries":[` + storedTryTexts[0] + `,` + storedTryTexts[1] + `]},` +
		`{"arm":"plain","level":` + level0 + `,"seed":7,"tries":[` + storedTryTexts[2] + `]},` +
		`{"arm":"plain","level":` + level1 + `,"seed":549755813888,"tries":null}]}`
	if got := string(encode(t, Export(id, results))); got != want {
		t.Errorf("the export is\n%s\nwant\n%s", got, want)
	}
}

func compareRecords(t *testing.T, what string, got, want map[string]string) {
	t.Helper()
	if got, want := slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)); !slices.Equal(got, want) {
		t.Errorf("%s keys:\n%q\nwant\n%q", what, got, want)
	}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("%s value of %q:\n%q\nwant\n%q", what, key, got[key], value)
		}
	}
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// records reads all records of a store directly with bbolt, independently of this package.
func records(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := map[string]string{}
	var collect func(path string, b *bolt.Bucket) error
	collect = func(path string, b *bolt.Bucket) error {
		return b.ForEach(func(key, value []byte) error {
			if inner := b.Bucket(key); inner != nil {
				return collect(path+string(key)+"/", inner)
			}
			all[path+string(key)] = string(bytes.Clone(value))
			return nil
		})
	}
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error { return collect(string(name)+"/", b) })
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// copyOfFile copies the stored file, as opening it may change it. If the file is missing and writeVariable is set, it
// writes the file first.
func copyOfFile(t *testing.T) string {
	t.Helper()
	if _, err := os.Stat(compatibilityFile); err != nil && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(compatibilityFile), 0o755); err != nil {
			t.Fatal(err)
		}
		writeStore(t, compatibilityFile)
	}
	data, err := os.ReadFile(compatibilityFile)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "experiments.db")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func openCopy(t *testing.T) *Store {
	t.Helper()
	s, err := Open(copyOfFile(t), OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// writeStore writes the content of the stored file with this version's code.
func writeStore(t *testing.T, path string) {
	t.Helper()
	s, err := Open(path, OpenConfig{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Begin("factors", storedFactors()); err != nil {
		t.Fatal(err)
	}
	if err := s.Begin("small", storedSmall()); err != nil {
		t.Fatal(err)
	}
	id := storedFactors()
	for i, tries := range storedTries() {
		for _, result := range tries {
			if err := s.Put("factors", id.Key(id.Runs[i]), result); err != nil {
				t.Fatal(err)
			}
		}
	}
}
