package result

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CODES.md")
	is.NoErr(err)
	is.Equal(string(page), Page()) // go run ./internal/controlplane/result/codespage > docs/CODES.md
}

func TestDefinitionsAreDistinctAndComplete(t *testing.T) {
	is := is.New(t)
	codes, names := map[Code]bool{}, map[string]bool{}
	for _, d := range definitions {
		is.True(!codes[d.code] && !names[d.name])
		codes[d.code], names[d.name] = true, true
		is.True(d.remedy != "" && d.status >= 200)
		is.Equal(d.code.Succeeded(), d.status == 200)
	}
}
