package result

import (
	"fmt"
	"strings"
)

const pageHead = `# Result codes

Generated from the code (` + "`go run ./internal/controlplane/result/codespage > docs/CODES.md`" + `); a test fails if it is not
up to date. Every response of control that reports a failure has the code, its name, the cause and the advice as JSON:
` + "`code`, `result`, `error_cause`, `advice`" + `. Codes never change their meaning.

| code | HTTP | name | what to do |
| --- | --- | --- | --- |
`

// Page returns the text of docs/CODES.md.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, d := range definitions {
		fmt.Fprintf(&page, "| %d | %d | %s | %s |\n", d.code, d.status, d.name, d.remedy)
	}
	return page.String()
}
