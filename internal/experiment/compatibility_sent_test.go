package experiment

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/experiments"
	"marlreel/internal/testing/recorded"
)

// The keys of experiment files match the recorded ones.
func TestCompatibilityExperimentKeys(t *testing.T) {
	keys := settingsKeys(reflect.TypeFor[File](), "")
	slices.Sort(keys)
	recorded.Check(t, "experiment-keys.txt", strings.Join(keys, "\n")+"\n")
}

// The names of figures and questions match the recorded ones.
func TestCompatibilityFigures(t *testing.T) {
	recorded.Check(t, "figures.txt", strings.Join(append(slices.Clone(figures), questions...), "\n")+"\n")
}

// Recorded experiment files can be parsed, and encode to the same keys and values.
func TestCompatibilityExperiments(t *testing.T) {
	for _, name := range []string{"amnesia", "compare", "fleet", "recovery", "tipping"} {
		t.Run(name, func(t *testing.T) {
			if recorded.Writing() {
				shipped, err := experiments.Files.ReadFile(name + ".toml")
				if err != nil {
					t.Fatal(err)
				}
				f, err := Parse(name+".toml", shipped)
				if err != nil {
					t.Fatal(err)
				}
				text, err := toml.Marshal(f)
				if err != nil {
					t.Fatal(err)
				}
				recorded.Check(t, name+".toml", string(text))
			}
			stored, err := os.ReadFile(filepath.Join("testdata", "compatibility", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			f, err := Parse(name+".toml", stored)
			if err != nil {
				t.Fatal(err)
			}
			got, err := toml.Marshal(f)
			if err != nil {
				t.Fatal(err)
			}
			recorded.Check(t, name+".toml", string(got))
		})
	}
}

// The keys of 'rehearse experiment --json' and 'rehearse results export --json' match the recorded ones.
func TestCompatibilityResultKeys(t *testing.T) {
	for name, typ := range map[string]reflect.Type{"analysis-keys.txt": reflect.TypeFor[Analysis](), "export-keys.txt": reflect.TypeFor[Exported]()} {
		keys := reportKeys(typ, "")
		slices.Sort(keys)
		recorded.Check(t, name, strings.Join(keys, "\n")+"\n")
	}
}

// reportKeys lists the JSON keys of a struct, with tag options such as omitempty.
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
