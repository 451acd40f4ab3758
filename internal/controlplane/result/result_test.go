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

func TestCodesAreDistinctAndComplete(t *testing.T) {
	is := is.New(t)
	codes, names := map[Code]bool{}, map[string]bool{}
	for _, m := range Meanings {
		is.True(!codes[m.Code] && !names[m.Name])
		codes[m.Code], names[m.Name] = true, true
		is.True(m.Advice != "" && m.Status >= 200)
		is.Equal(m.Code.Succeeded(), m.Status == 200)
	}
}
