package configuration

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/controlplane/result"
)

// baseDocument has one route with a single service and one with a weighted split.
const baseDocument = `{"config_version":3,"route_list":[
 {"name":"a","host":"h.example","path_prefix":"/a/","route_class":"safe","timeout_ms":1000,"service":"s","max_attempts":2},
 {"name":"b","host":"h.example","path_prefix":"/a/b/","route_class":"unsafe","timeout_ms":1000,
  "weighted_split":[{"service":"s","weight":3},{"service":"t","weight":1}]}],
 "service_list":[{"name":"s","health_path":"/health","unknown":[1,2]},{"name":"t","health_path":"/health"}],"limits":{}}`

func TestParseReportsTheCodeOfTheViolation(t *testing.T) {
	cases := []struct {
		name, old, new string
		code           result.Code
	}{
		{"truncated JSON", `"limits":{}}`, `"limits":{}`, result.Malformed},
		{"data after the document", `"limits":{}}`, `"limits":{}}x`, result.Malformed},
		{"no timeout", `"timeout_ms":1000,"service":"s"`, `"timeout_ms":0,"service":"s"`, result.MissingTimeout},
		{"unknown service", `"service":"s","max`, `"service":"nobody","max`, result.UnknownService},
		{"no service", `"service":"s","max`, `"max`, result.UnknownService},
		{"same host and prefix", `"path_prefix":"/a/b/"`, `"path_prefix":"/a/"`, result.DuplicateMatch},
		{"weights sum to 0", `"weight":3},{"service":"t","weight":1}`, `"weight":0},{"service":"t","weight":0}`, result.ZeroWeight},
		{"negative weight", `"weight":3}`, `"weight":-3}`, result.InvalidField},
		{"two routes with the same name", `"name":"b"`, `"name":"a"`, result.DuplicateName},
		{"two services with the same name", `"name":"t"`, `"name":"s"`, result.DuplicateName},
		{"prefix without a trailing slash", `"path_prefix":"/a/b/"`, `"path_prefix":"/a/b"`, result.InvalidField},
		{"version 0", `"config_version":3`, `"config_version":0`, result.InvalidField},
		{"version of another type", `"config_version":3`, `"config_version":"3"`, result.Malformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(baseDocument, c.old))
			_, err := Parse([]byte(strings.Replace(baseDocument, c.old, c.new, 1)))
			is.True(err != nil)
			is.Equal(err.Code, c.code)
		})
	}
}

func TestValidateReportsAllViolations(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer(`"timeout_ms":1000`, `"timeout_ms":0`, `"/a/b/"`, `"x"`).Replace(baseDocument)
	_, violations := Validate([]byte(broken))
	is.Equal(len(violations), 2) // one for each route
	_, err := Parse([]byte(broken))
	is.True(strings.Contains(err.Detail, "route a") && strings.Contains(err.Detail, "route b"))
}
