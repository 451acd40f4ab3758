package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/controlplane/result"
)

const base = `{"config_version":3,"route_list":[
 {"name":"a","host":"h.example","path_prefix":"/a/","route_class":"safe","timeout_ms":1000,"service":"s","max_attempts":2},
 {"name":"b","host":"h.example","path_prefix":"/a/b/","route_class":"unsafe","timeout_ms":1000,
  "weighted_split":[{"service":"s","weight":3},{"service":"t","weight":1}]}],
 "service_list":[{"name":"s","health_path":"/health","unknown":[1,2]},{"name":"t","health_path":"/health"}],"limits":{}}`

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(base))
	is.True(err == nil)
	for path, name := range map[string]string{"/a/x": "a", "/a/b/x": "b", "/a/bx": "a", "/a/": "a"} {
		is.Equal(d.Match("h.example", path).Name, name)
	}
	is.Equal(d.Match("H.example:80", "/a/x").Name, "a")
	is.True(d.Match("h.example", "/b/") == nil)
	is.True(d.Match("h.example", "/a") == nil) // the prefix has a slash at its end
	is.True(d.Match("other.example", "/a/") == nil)
}

func TestSplitFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(base))
	is.True(err == nil)
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[d.Match("h.example", "/a/b/").ChooseService(float64(i)/draws)]++
	}
	is.Equal(counts["s"], 750)
	is.Equal(counts["t"], 250)
	only := Route{Split: []WeightedService{{"x", 0}, {"y", 1}}}
	for i := range draws {
		is.Equal(only.ChooseService(float64(i)/draws), "y") // a weight of 0 is never chosen
	}
}

func TestInvalidConfigurationsNameWhatIsWrong(t *testing.T) {
	cases := []struct {
		from, to string
		code     result.Code
	}{
		{`"limits":{}}`, `"limits":{}`, result.Malformed},
		{`"limits":{}}`, `"limits":{}}x`, result.Malformed},
		{`"timeout_ms":1000,"service":"s"`, `"timeout_ms":0,"service":"s"`, result.MissingTimeout},
		{`"service":"s","max`, `"service":"nobody","max`, result.UnknownService},
		{`"service":"s","max`, `"max`, result.UnknownService},
		{`"path_prefix":"/a/b/"`, `"path_prefix":"/a/"`, result.DuplicateMatch},
		{`"weight":3},{"service":"t","weight":1}`, `"weight":0},{"service":"t","weight":0}`, result.ZeroWeight},
		{`"weight":3}`, `"weight":-3}`, result.InvalidField},
		{`"name":"b"`, `"name":"a"`, result.DuplicateName},
		{`"name":"t"`, `"name":"s"`, result.DuplicateName},
		{`"path_prefix":"/a/b/"`, `"path_prefix":"/a/b"`, result.InvalidField},
		{`"config_version":3`, `"config_version":0`, result.InvalidField},
		{`"config_version":3`, `"config_version":"3"`, result.Malformed},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s to %s", c.from, c.to), func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(base, c.from))
			_, err := Parse([]byte(strings.Replace(base, c.from, c.to, 1)))
			is.True(err != nil)
			is.Equal(err.Code, c.code)
		})
	}
}

func TestAllFaultsAreNamedAtOnce(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer(`"timeout_ms":1000`, `"timeout_ms":0`, `"/a/b/"`, `"x"`).Replace(base)
	_, faults := Validate([]byte(broken))
	is.Equal(len(faults), 2) // a fault a route
	_, err := Parse([]byte(broken))
	is.True(strings.Contains(err.Detail, "route a") && strings.Contains(err.Detail, "route b"))
}

func TestModifyKeepsWhatItDoesNotName(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(base))
	is.True(err == nil)
	next, err := d.Modify([]byte(`{"config_version":8,"upsert":{"route_list":[
 {"name":"b","host":"h.example","path_prefix":"/z/","route_class":"safe","timeout_ms":5,"service":"t"},
 {"name":"c","host":"h.example","path_prefix":"/c/","route_class":"safe","timeout_ms":5,"service":"t"}]},"remove":{"route_list":["a","none"]}}`))
	is.True(err == nil)
	is.Equal(next.Version, uint64(8))
	is.Equal(len(next.Routes), 2)
	is.Equal(next.Match("h.example", "/z/1").Name, "b")
	is.True(strings.Contains(string(next.Raw()), `"unknown":[1,2]`))
	is.Equal(d.Version, uint64(3)) // the one before is as it was
	_, err = d.Modify([]byte(`{"config_version":8,"remove":{"service_list":["t"]}}`))
	is.True(err != nil && err.Code == result.UnknownService) // a route would lose its service
	_, err = d.Modify([]byte(`{"config_version":8,"upsert":{"others":[{"name":"x"}]}}`))
	is.True(err != nil && err.Code == result.InvalidField)
}
