package stricttoml

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

type table struct {
	Interval Duration `toml:"interval"`
	Nested   []struct {
		Threshold float64 `toml:"threshold"`
	} `toml:"nested"`
}

func TestDecodeKeepsDefaultsOfAbsentKeys(t *testing.T) {
	is := is.New(t)
	got := table{Interval: Duration(5 * time.Second)}
	is.NoErr(Decode("a.toml", []byte("[[nested]]\nthreshold = 0.5\n"), &got))
	is.Equal(got.Interval.D(), 5*time.Second)
	is.Equal(got.Nested[0].Threshold, 0.5)
}

func TestDecodeErrorsSayWhereInOneLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key near a known one", "intervall = \"5s\"\n", "a.toml:1: unknown key intervall (did you mean interval?)"},
		{"unknown key of a nested table", "\n[[nested]]\ntreshold = 1\n", "a.toml:3: unknown key nested.treshold (did you mean threshold?)"},
		{"unknown key near nothing", "something-else = 1\n", "a.toml:1: unknown key something-else"},
		{"malformed duration", "interval = \"soon\"\n", `a.toml:1:12: "soon" is not a duration such as "250ms" or "8s"`},
		{"malformed file", "interval = \n", "a.toml:1:12: unexpected character U+000A at start of value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode("a.toml", []byte(c.text), &table{})
			var file *FileError
			is.True(errors.As(err, &file))
			is.Equal(err.Error(), c.want)
			is.True(file.Err != nil)
		})
	}
}

func TestDurationRoundTrip(t *testing.T) {
	is := is.New(t)
	text, err := Duration(90 * time.Second).MarshalText()
	is.NoErr(err)
	is.Equal(string(text), "1m30s")
	var got Duration
	is.NoErr(got.UnmarshalText(text))
	is.Equal(got.D(), 90*time.Second)
}

func TestEditDistance(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want int
	}{{"", "", 0}, {"a", "", 1}, {"", "abc", 3}, {"kitten", "sitting", 3}, {"zone", "zones", 1}, {"ab", "ba", 2}} {
		is.New(t).Equal(editDistance(c.a, c.b), c.want)
	}
}

func TestSuggestClosest(t *testing.T) {
	is := is.New(t)
	known := []string{"zone", "kind", "class"}
	is.Equal(SuggestClosest("zon", known), " (did you mean zone?)")
	is.Equal(SuggestClosest("klass", known), " (did you mean class?)")
	is.Equal(SuggestClosest("somewhere", known), "")
	is.Equal(SuggestClosest("x", nil), "")
}
