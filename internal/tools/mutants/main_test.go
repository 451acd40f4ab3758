package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// The text that each listed mutant replaces must still occur exactly once in its file.
func TestListedMutantsFitTheCode(t *testing.T) {
	is := is.New(t)
	t.Chdir("../../..")
	var files []string
	for _, pattern := range []string{"internal/*/testdata/mutants.toml", "internal/*/*/testdata/mutants.toml"} {
		found, err := filepath.Glob(pattern)
		is.NoErr(err)
		files = append(files, found...)
	}
	is.Equal(len(files), 5) // control plane, chain, gateway, httpproxy, quotaclient
	for _, path := range files {
		data, err := os.ReadFile(path)
		is.NoErr(err)
		var mutants mutantFile
		is.NoErr(toml.Unmarshal(data, &mutants))
		for _, m := range mutants.Mutants {
			if _, err := writeOverlay(t.TempDir(), m); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
		}
	}
}

func TestOverlay(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	code := filepath.Join(folder, "code.go")
	is.NoErr(os.WriteFile(code, []byte("a guard stands here"), 0o600))
	path, err := writeOverlay(folder, mutant{File: code, Original: " guard", Replacement: ""})
	is.NoErr(err)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	var overlay struct{ Replace map[string]string }
	is.NoErr(json.Unmarshal(data, &overlay))
	changed, err := os.ReadFile(overlay.Replace[code])
	is.NoErr(err)
	is.Equal(string(changed), "a stands here")
	_, err = writeOverlay(folder, mutant{File: code, Original: "e"})
	is.True(err != nil && strings.Contains(err.Error(), "contains the text to replace 2 times"))
}

func TestFailures(t *testing.T) {
	is := is.New(t)
	got, err := failures("--- FAIL: TestA (0.1s)\n    --- FAIL: TestA/b (0.1s)\nFAIL\n")
	is.NoErr(err)
	is.Equal(got, "TestA/b (2 failed)")
	got, err = failures("panic: nil map\n")
	is.NoErr(err)
	is.Equal(got, "a panic")
	_, err = failures("undefined: x\n")
	var notRun *NotRunError
	is.True(errors.As(err, &notRun))
}
