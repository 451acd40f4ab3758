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

// The keys of experiment files match the recorded ones.
func TestCompatibilityExperimentKeys(t *testing.T) {
	keys := settingsKeys(reflect.TypeFor[File](), "")
	slices.Sort(keys)
	compareRecorded(t, "experiment-keys.txt", []byte(strings.Join(keys, "\n")+"\n"))
}

// The names of figures and questions match the recorded ones.
func TestCompatibilityFigures(t *testing.T) {
	compareRecorded(t, "figures.txt", []byte(strings.Join(append(slices.Clone(figures), questions...), "\n")+"\n"))
}

// Recorded experiment files can be parsed, and encode to the same keys and values.
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

// The keys of 'rehearse experiment --json' and 'rehearse results export --json' match the recorded ones.
func TestCompatibilityResultKeys(t *testing.T) {
	for name, typ := range map[string]reflect.Type{"analysis-keys.txt": reflect.TypeFor[Analysis](), "export-keys.txt": reflect.TypeFor[Exported]()} {
		keys := reportKeys(typ, "")
		slices.Sort(keys)
		compareRecorded(t, name, []byte(strings.Join(keys, "\n")+"\n"))
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

// The files under testdata/compatibility were written by the code of commit 6fb9894. Do not regenerate them: a difference
// means that a format which others read has changed. If this environment variable is set, missing files are written;
// existing ones are never overwritten.
const writeCompatibility = "MARLREEL_WRITE_COMPATIBILITY"

// compareRecorded checks that got equals a recorded file.
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
