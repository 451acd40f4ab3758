package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const completeBlock = `# a comment
test: internal/a.TestOne
command: go test -run 'TestOne$' ./internal/a
seed: 4711
seen: two holders of one lease
issue: #72

test: TestTwo | command: go test ./internal/b | seed: none | seen: a lost answer: twice | issue: 73
command: fleetbench play site
seed: 12
seen: a day with ONE broken
issue: issue #74
`

func TestEntriesAreReadFromBlocksAndLines(t *testing.T) {
	is := is.New(t)
	entries, err := parseEntries(completeBlock)
	is.NoErr(err)
	is.Equal(len(entries), 3)
	is.Equal(entries[0], entry{
		Line: 2, Package: "internal/a", Test: "TestOne", Command: "go test -run 'TestOne$' ./internal/a",
		Seed: "4711", Seen: "two holders of one lease", Issue: "#72",
	})
	is.Equal(entries[1].Test, "TestTwo")
	is.Equal(entries[1].Package, "")
	is.Equal(entries[1].Seen, "a lost answer: twice")
	is.Equal(entries[2].Test, "") // no Go test reproduces it
	is.Equal(entries[2].Line, 9)
}

func TestMalformedEntryIsRejected(t *testing.T) {
	line := "test: TestTwo | command: go test ./b | seed: none | seen: a lost answer | issue: 73"
	for name, change := range map[string][2]string{
		"no command":           {"command: go test ./b | ", ""},
		"an empty command":     {"command: go test ./b", "command: "},
		"no seed":              {"seed: none | ", ""},
		"a seed of words":      {"seed: none", "seed: any"},
		"nothing seen":         {"seen: a lost answer | ", ""},
		"no issue":             {" | issue: 73", ""},
		"an issue of words":    {"issue: 73", "issue: soon"},
		"a pattern as name":    {"TestTwo", "Test.*"},
		"a subtest":            {"TestTwo", "TestTwo/part"},
		"an unknown field":     {"seen:", "looked:"},
		"a field twice":        {"seed: none", "seed: none | seed: 5"},
		"words without a name": {"seed: none", "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseEntries(line)
			is.NoErr(err)
			_, err = parseEntries(strings.Replace(line, change[0], change[1], 1))
			is.True(err != nil)
		})
	}
}

func TestFileWithoutEntries(t *testing.T) {
	is := is.New(t)
	entries, err := parseEntries("# nothing is red\n\n")
	is.NoErr(err)
	is.Equal(len(entries), 0)
}

func TestOnlyListedTestsAreSkipped(t *testing.T) {
	is := is.New(t)
	tests := suite{
		"m/a": {"TestOne", "TestOneMore", "TestTwo"}, "m/b": {"TestOne", "TestTwo"}, "m/c": {"TestThree"}, "m/d": nil,
	}
	runs, err := plan("m", tests, []entry{{Package: "a", Test: "TestOne"}, {Test: "TestTwo"}, {Command: "hunt"}})
	is.NoErr(err)
	is.Equal(len(runs), 3)
	is.Equal(runs[0], run{Packages: []string{"m/c", "m/d"}})
	is.Equal(runs[1], run{Packages: []string{"m/a"}, Skipped: []string{"TestOne", "TestTwo"}})
	is.Equal(runs[2], run{Packages: []string{"m/b"}, Skipped: []string{"TestTwo"}}) // TestOne of this package runs
	is.Equal(runs[1].arguments([]string{"-count=1"}), []string{"test", "-count=1", "-skip", "^(TestOne|TestTwo)$", "m/a"})
	is.Equal(runs[0].arguments(nil), []string{"test", "m/c", "m/d"})
}

func TestUnknownTestIsRejected(t *testing.T) {
	tests := suite{"m/a": {"TestOne"}, "m/b": {"TestTwo"}}
	for _, e := range []entry{{Test: "TestThree"}, {Test: "TestOn"}, {Package: "b", Test: "TestOne"}, {Package: "x", Test: "TestOne"}} {
		is := is.New(t)
		_, err := plan("m", tests, []entry{e})
		is.True(err != nil)
	}
}

func TestParseListing(t *testing.T) {
	is := is.New(t)
	tests, err := parseListing([]byte(`{"Action":"start","Package":"m/a"}
{"Action":"output","Package":"m/a","Output":"TestOne\n"}
{"Action":"output","Package":"m/a","Output":"BenchmarkOne\n"}
{"Action":"output","Package":"m/a","Output":"ok  \tm/a\t0.004s\n"}
{"Action":"skip","Package":"m/b"}
`))
	is.NoErr(err)
	is.Equal(tests, suite{"m/a": {"TestOne"}, "m/b": nil})
}

// Guards against a build whose output is a long line: CI ended there, before any test.
func TestParseListingWithLongBuildOutput(t *testing.T) {
	is := is.New(t)
	const length = 1 << 17
	tests, err := parseListing([]byte(`{"ImportPath":"m/a","Action":"build-output","Output":"` + strings.Repeat("x", length) + `"}
{"Action":"output","Package":"m/a","Output":"TestOne\n"}
`))
	is.NoErr(err)
	is.Equal(tests, suite{"m/a": {"TestOne"}})
	_, err = parseListing([]byte(`{"Action":`))
	is.True(err != nil) // the output is incomplete
}
