package rehearsal

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/standin"
	"marlreel/internal/testing/recorded"
)

// The keys of scenario files don't change.
func TestCompatibilityScenarioKeys(t *testing.T) {
	keys := settingsKeys(reflect.TypeFor[Scenario](), "")
	slices.Sort(keys)
	recorded.Check(t, "scenario-keys.txt", strings.Join(keys, "\n")+"\n")
}

// Scenarios that were recorded in full are read, and encoded again with the same keys and values.
func TestCompatibilityScenarios(t *testing.T) {
	for _, name := range []string{"morning", "upgrade", "retune", "split-rules", "scales", "registry-lost", "gray", "crowd", "bulk", "resets", "gray-listings", "amnesia"} {
		t.Run(name, func(t *testing.T) {
			if recorded.Writing() {
				text, err := toml.Marshal(loadShipped(t, name))
				if err != nil {
					t.Fatal(err)
				}
				recorded.Check(t, name+".toml", string(text))
			}
			stored, err := os.ReadFile(filepath.Join("testdata", "compatibility", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(name+".toml", stored)
			if err != nil {
				t.Fatal(err)
			}
			got, err := toml.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			recorded.Check(t, name+".toml", string(got))
			// A seed must give the same schedule in all versions.
			recorded.Check(t, name+"-schedule.txt", Draw(s, 7).Digest()+"\n")
		})
	}
}

// A schedule's digest covers the JSON of a plan, whose keys are the names of Go fields. The names must stay, or be kept
// as tags, as reports and experiments' results identify a schedule by its digest.
func TestCompatibilityPlan(t *testing.T) {
	p := &Plan{
		Scenario: "all", Seed: 7, Length: time.Second, Late: []time.Duration{3}, Seeds: []string{"8c1f"},
		Nodes: []PlannedNode{{ID: "s-1", Zone: "koper", Kind: "mid-2c", Cores: 2, Permille: 900, Slots: 4, Queue: 8, Replaces: -1}},
		Requests: []PlannedRequest{
			{At: 5, Class: 1, House: 2, Zone: 3, About: "lot-7", Key: "k", IDs: []string{"aa", "ab"}, Work: 6, Wait: 7, Over: true, User: 8, Think: 9},
			{At: 6},
		},
		Events: []Event{{
			At: 1, What: "slow", Fault: 2, Node: 3, Proxy: 4, Entry: "Ready", Until: 5, Amount: 6, How: "silent", Warm: true, Known: "last", By: 7, Class: "bid", Above: 8,
			Times: 9, Connections: 10, Attempts: 11, Proxies: []int{1, 2}, Idle: 12,
		}, {At: 2}},
	}
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "plan.json", string(append(text, '\n')))
	recorded.Check(t, "plan-digest.txt", p.Digest()+"\n")
}

// The names of the kinds of fault, and of the values of how, don't change.
func TestCompatibilityFaultWords(t *testing.T) {
	var words []string
	for line := range strings.Lines(FaultKinds()) {
		words = append(words, strings.Fields(line)[0])
	}
	words = append(append(append(words, "how:"), partialHows...), brokenHows...)
	recorded.Check(t, "fault-words.txt", strings.Join(words, "\n")+"\n")
}

// The configuration of a proxy under test doesn't change: the platform's JSON and the operator's file.
func TestCompatibilityProxyConfiguration(t *testing.T) {
	for _, name := range []string{"morning", "scales", "registry-lost"} {
		s := loadShipped(t, name)
		got, err := json.MarshalIndent(s.config(1, "127.0.0.1:7800", "127.0.0.1:7900", "8c1f", standin.List{}, 0, 4), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name+"-platform.json", string(append(got, '\n')))
	}
	registry := ""
	for _, name := range []string{"scales", "registry-lost"} {
		if name == "registry-lost" {
			registry = "http://127.0.0.1:2379"
		}
		recorded.Check(t, name+"-operator.toml", loadShipped(t, name).OwnFile(1, "127.0.0.1:7801", registry, "/run/day", nil))
	}
}

// The keys of report.json and of 'rehearse compare --json' don't change.
func TestCompatibilityReportKeys(t *testing.T) {
	for name, typ := range map[string]reflect.Type{"report-keys.txt": reflect.TypeFor[Report](), "comparison-keys.txt": reflect.TypeFor[Comparison]()} {
		keys := reportKeys(typ, "")
		slices.Sort(keys)
		recorded.Check(t, name, strings.Join(keys, "\n")+"\n")
	}
}

// reportKeys lists the JSON keys of a struct, with options such as omitempty.
func reportKeys(typ reflect.Type, path string) (keys []string) {
	for {
		switch typ.Kind() {
		case reflect.Pointer:
			typ = typ.Elem()
			continue
		case reflect.Slice, reflect.Array:
			typ, path = typ.Elem(), path+"[]"
			continue
		case reflect.Map:
			typ, path = typ.Elem(), path+".*"
			continue
		}
		break
	}
	if typ.Kind() != reflect.Struct || typ == reflect.TypeFor[time.Time]() {
		return []string{path}
	}
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, more, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-" || !f.IsExported():
			continue
		case name == "":
			name = f.Name
		}
		if more != "" {
			name += " (" + more + ")"
		}
		keys = append(keys, reportKeys(f.Type, path+"."+name)...)
	}
	return keys
}

// settingsKeys lists the TOML keys of a settings struct.
func settingsKeys(typ reflect.Type, path string) (keys []string) {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice || typ.Kind() == reflect.Array {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return []string{path}
	}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		if path != "" {
			name = path + "." + name
		}
		keys = append(keys, settingsKeys(typ.Field(i).Type, name)...)
	}
	return keys
}
