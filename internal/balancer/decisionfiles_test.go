package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// An auditor of the decisions reads the files that the deploy file names under policy: each file that decides is
// named there, lines fit on a screen, and the first file leads to the interface.
func TestPolicyNamesEveryDecisionFile(t *testing.T) {
	const root = "../../"
	deploy, err := os.ReadFile(root + "deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("the deploy file names no policy")
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
	// What is neither the interface, nor the settings' check, nor plain arithmetic, log lines
	// and figures, nor the translation of what was learned for another process, decides.
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains([]string{"api.go", "config.go", "learnedstate.go", "logging.go", "stats.go"}, name) &&
			!strings.Contains(string(policy[1]), `"internal/balancer/`+name+`"`) {
			t.Errorf("%s decides and is not named under policy", name)
		}
	}
	if !strings.Contains(top, "api.go") {
		t.Error("the top does not name api.go")
	}
	if n == 0 {
		t.Error("the files named under policy are empty")
	}
}
