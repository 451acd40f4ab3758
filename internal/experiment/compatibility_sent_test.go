package experiment

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/experiments"
)

// The keys of experiment files are the recorded ones.
func TestCompatibilityExperimentKeys(t *testing.T) {
	keys := settingsKeys(reflect.TypeFor[File](), "")
	slices.Sort(keys)
	compareRecorded(t, "experiment-keys.txt", []byte(strings.Join(keys, "\n")+"\n"))
}

// The names of figures, and of questions.
func TestCompatibilityFigures(t *testing.T) {
	compareRecorded(t, "figures.txt", []byte(strings.Join(append(slices.Clone(figures), questions...), "\n")+"\n"))
}

// Experiments that the recorded tree wrote out in full are read, and come back with the same keys and values.
func TestCompatibilityExperiments(t *testing.T) {
	for _, name := range []string{"amnesia", "compare", "fleet", "recovery", "tipping"} {
		t.Run(name, func(t *testing.T) {
			if os.Getenv(writeCompatibility) != "" {
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
				compareRecorded(t, name+".toml", text)
			}
			recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			f, err := Parse(name+".toml", recorded)
			if err != nil {
				t.Fatal(err)
			}
			got, err := toml.Marshal(f)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, name+".toml", got)
		})
	}
}

// The keys of 'rehearse experiment --json', and of 'rehearse results export --json'.
func TestCompatibilityResultKeys(t *testing.T) {
	for name, typ := range map[string]reflect.Type{"analysis-keys.txt": reflect.TypeFor[Analysis](), "export-keys.txt": reflect.TypeFor[Exported]()} {
		keys := reportKeys(typ, "")
		slices.Sort(keys)
		compareRecorded(t, name, []byte(strings.Join(keys, "\n")+"\n"))
	}
}

// reportKeys lists the keys that a struct has in JSON, with what may be left out.
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

// settingsKeys lists the keys that a settings struct has in its file.
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
