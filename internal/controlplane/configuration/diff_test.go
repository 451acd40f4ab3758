package configuration

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/controlplane/result"
)

func TestDiff(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		want     []string
	}{
		"none":            {`{"config_version":1,"limits":{"a":5}}`, `{"limits":{"a":5.0},"config_version":1}`, nil},
		"large versions":  {`{"config_version":9007199254740993}`, `{"config_version":9007199254740993}`, nil},
		"version changed": {`{"config_version":1}`, `{"config_version":2}`, []string{"changed config_version 1 2"}},
		"field added":     {`{"a":{}}`, `{"a":{"b":null}}`, []string{"added a.b  null"}},
		"field removed":   {`{"a":{"b":[1]}}`, `{"a":{}}`, []string{"removed a.b [1] "}},
		"items by name":   {`{"l":[{"name":"x","t":1},{"name":"y"}]}`, `{"l":[{"name":"y"},{"name":"x","t":2}]}`, []string{"changed l[x].t 1 2"}},
		"item added":      {`{"l":[{"name":"x"}]}`, `{"l":[{"name":"x"},{"name":"z"}]}`, []string{`added l[z]  {"name":"z"}`}},
		"duplicate name":  {`{"l":[{"name":"x"},{"name":"x"}]}`, `{"l":[{"name":"x"}]}`, []string{`changed l [{"name":"x"},{"name":"x"}] [{"name":"x"}]`}},
		"list of values":  {`{"l":[1,2]}`, `{"l":[2,1]}`, []string{"changed l [1,2] [2,1]"}},
		"equal numbers":   {`{"l":[1,{"a":2}]}`, `{"l":[1.0,{"a":2e0}]}`, nil},
		"different types": {`{"l":"1"}`, `{"l":1}`, []string{`changed l "1" 1`}},
		"list emptied":    {`{"l":[{"name":"a"}]}`, `{"l":[]}`, []string{`changed l [{"name":"a"}] []`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found, err := Diff([]byte(c.old), []byte(c.new))
			is.True(err == nil)
			var got []string
			for _, d := range found {
				got = append(got, fmt.Sprintf("%s %s %s %s", d.Kind, d.Path, d.Old, d.New))
			}
			is.Equal(got, c.want)
		})
	}
}

func TestDiffOfMalformedJSON(t *testing.T) {
	is := is.New(t)
	_, err := Diff([]byte(`{}`), []byte(`{`))
	is.True(err != nil)
	is.Equal(err.Code, result.Malformed)
}
