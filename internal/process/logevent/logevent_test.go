package logevent

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// constants returns the values of this package's constants. Those whose names begin with Key are keys, the others
// messages.
func constants(t *testing.T) (messages, keys []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "logevent.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, is := node.(*ast.ValueSpec)
		if !is {
			return true
		}
		literal, is := spec.Values[0].(*ast.BasicLit)
		if !is {
			t.Fatalf("%s is not a literal", spec.Names[0])
		}
		value, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(spec.Names[0].Name, "Key") {
			keys = append(keys, value)
		} else {
			messages = append(messages, value)
		}
		return true
	})
	slices.Sort(messages)
	slices.Sort(keys)
	return messages, keys
}

// rows returns the first cells of the table in a section of docs/EVENTS.md.
func rows(t *testing.T, section string) []string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, found := strings.Cut(string(page), "\n## "+section+"\n")
	if !found {
		t.Fatalf("docs/EVENTS.md has no section %s", section)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	var cells []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(text, -1) {
		cells = append(cells, match[1])
	}
	slices.Sort(cells)
	return cells
}

// docs/EVENTS.md lists exactly the events and keys in the code.
func TestPageListsAllEvents(t *testing.T) {
	messages, keys := constants(t)
	if len(messages) == 0 || len(keys) == 0 {
		t.Fatal("no constants were found")
	}
	if listed := rows(t, "Events"); !slices.Equal(listed, messages) {
		t.Errorf("events in the page %q\nin the code %q", listed, messages)
	}
	if listed := rows(t, "Keys"); !slices.Equal(listed, keys) {
		t.Errorf("keys in the page %q\nin the code %q", listed, keys)
	}
}

// No two messages and no two keys are the same.
func TestConstantsAreUnique(t *testing.T) {
	messages, keys := constants(t)
	for _, values := range [][]string{messages, keys} {
		if unique := slices.Compact(slices.Clone(values)); len(unique) != len(values) {
			t.Errorf("duplicate value in %q", values)
		}
	}
}
