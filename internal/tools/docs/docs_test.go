// Package docs checks the developers' pages against the tree.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// A path in backquotes that begins with a folder of the tree.
var pathPattern = regexp.MustCompile("`((?:internal|cmd|docs|deploy|scenarios|experiments|tools)/[A-Za-z0-9_./-]+)`")

// The pages by which a newcomer finds the code name files and folders that are there.
func TestPathsInPagesExist(t *testing.T) {
	const root = "../../.."
	for _, page := range []string{"docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/EVENTS.md", "README.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range pathPattern.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
				t.Errorf("%s names %s, which is not there", page, match[1])
			}
		}
	}
}
