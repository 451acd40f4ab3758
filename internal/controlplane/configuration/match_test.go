package configuration

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatchPrefersTheLongestPrefixOfTheHost(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(baseDocument))
	is.True(err == nil)
	for path, name := range map[string]string{"/a/x": "a", "/a/b/x": "b", "/a/bx": "a", "/a/": "a"} {
		is.Equal(d.Match("h.example", path).Name, name)
	}
	is.Equal(d.Match("H.example:80", "/a/x").Name, "a")
	is.True(d.Match("h.example", "/b/") == nil)
	is.True(d.Match("h.example", "/a") == nil) // the prefix ends with a slash
	is.True(d.Match("other.example", "/a/") == nil)
}

func TestChooseServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(baseDocument))
	is.True(err == nil)
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[d.Match("h.example", "/a/b/").ChooseService(float64(i)/draws)]++
	}
	is.Equal(counts["s"], 750)
	is.Equal(counts["t"], 250)
	route := Route{Split: []WeightedService{{Service: "x", Weight: 0}, {Service: "y", Weight: 1}}}
	for i := range draws {
		is.Equal(route.ChooseService(float64(i)/draws), "y") // a weight of 0 is never chosen
	}
}
