package main

import (
	"fmt"
	"strings"
)

const pageHead = `# Errors, and what to do

Generated from the error types in the code (` + "`go run ./internal/actionable/errorspage > docs/ERRORS.md`" + `); a test fails where it is not
up to date. The programs print the advice after the error; in the log it is the field ` + "`do`" + `.

`

// errorsPage returns the text of the page for all packages under a folder. A type without a doc comment or advice is an
// error.
func errorsPage(root string) (string, error) {
	all, err := errorTypes(root)
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString(pageHead)
	currentPackage := ""
	for _, t := range all {
		if t.doc == "" {
			return "", fmt.Errorf("%s.%s has no doc comment", t.packagePath, t.name)
		}
		if t.advice == "" {
			return "", fmt.Errorf("%s.%s: Advice returns no text", t.packagePath, t.name)
		}
		if t.packagePath != currentPackage {
			fmt.Fprintf(&page, "## %s\n\n", t.packagePath)
			currentPackage = t.packagePath
		}
		fmt.Fprintf(&page, "**%s**: %s\n%s\n\n", t.name, t.doc, t.advice)
	}
	return strings.TrimRight(page.String(), "\n") + "\n", nil
}
