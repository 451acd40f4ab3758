// Package docs checks that the developer documentation matches the source tree.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// pathPattern matches a path in backquotes that begins with a top-level folder of the repository.
var pathPattern = regexp.MustCompile("`((?:internal|cmd|docs|deploy|scenarios|experiments|tools)/[A-Za-z0-9_./-]+)`")

// Every path that the main documentation pages mention must exist.
func TestPathsInPagesExist(t *testing.T) {
	const root = "../../.."
	for _, page := range []string{"docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/EVENTS.md", "README.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range pathPattern.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
				t.Errorf("%s mentions %s, which does not exist", page, match[1])
			}
		}
	}
}
