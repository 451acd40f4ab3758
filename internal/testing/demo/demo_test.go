package demo

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// With the real roles on real sockets, a model that no backend has loaded is loaded and its stream is served.
func TestOnceServesAStream(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	command := NewCommand("marlreeldemo", io.Discard)
	command.SetOut(&out)
	command.SetArgs([]string{"--once"})
	is.NoErr(command.Execute())
	is.True(strings.Contains(out.String(), "status 200"))
	is.True(strings.Contains(out.String(), "id: 4"))
}
