package balancer

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// Auditors read the files that the deploy file lists under policy. Every file that makes decisions must be listed
// there, lines must fit on a screen, and the first file must refer to the interface.
func TestPolicyNamesEveryDecisionFile(t *testing.T) {
	const root = "../../"
	deploy, err := os.ReadFile(root + "deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("the deploy file has no policy list")
	}
	top, n := "", 0
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(policy[1], -1) {
		text, err := os.ReadFile(root + string(name[1]))
		if err != nil {
			t.Fatal(err)
		}
		if top == "" {
			top = strings.Join(strings.SplitN(string(text), "\n", 6)[:5], "\n")
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				n++
			}
			if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > 110 {
				t.Errorf("%s:%d is %d characters wide", name[1], i+1, w)
			}
		}
	}
	// All files make decisions except the interface, the validation of settings, the export and import of learned
	// state, logging and statistics.
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains([]string{"api.go", "config.go", "learnedstate.go", "logging.go", "stats.go"}, name) &&
			!strings.Contains(string(policy[1]), `"internal/balancer/`+name+`"`) {
			t.Errorf("%s makes decisions and is not listed under policy", name)
		}
	}
	if !strings.Contains(top, "api.go") {
		t.Error("the head of the first policy file does not refer to api.go")
	}
	if n == 0 {
		t.Error("the files listed under policy are empty")
	}
}

// Guards against decisions that differ between processors: the results of math.Exp and math.Exp2 do in the last bit.
func TestDecisionsUsePortableExponentials(t *testing.T) {
	unportable := regexp.MustCompile(`\bmath\.Exp2?\(`)
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if unportable.Match(text) {
			t.Errorf("%s uses an exponential function of the standard library", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
