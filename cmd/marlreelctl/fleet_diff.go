package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet"
	"marlreel/internal/fleet/transition"
	"marlreel/internal/simwire"
)

type diffCmd struct {
	A string `arg:"" help:"A version's number, or a file."`
	B string `arg:"" help:"The same."`
}

func (d diffCmd) Run(s *fleetSite) error {
	status, err := s.status()
	if err != nil {
		return err
	}
	a, err := readSettings(status, d.A)
	if err != nil {
		return err
	}
	b, err := readSettings(status, d.B)
	if err != nil {
		return err
	}
	printDifferences(s.out, a.values, b.values)
	if a.parsed != nil && b.parsed != nil {
		if conflict := transition.Conflict(*a.parsed, *b.parsed); conflict != "" {
			fmt.Fprintf(s.out, "they contradict each other (%s): while one takes the other's place, only what both allow is done\n", conflict)
		}
	}
	return nil
}

// comparedSettings are one side of a comparison.
type comparedSettings struct {
	values map[string]string // by path
	parsed *balancer.Config  // nil if they are not valid settings of the balancer
}

// readSettings reads a version if it is given a number, and a file otherwise.
func readSettings(status *fleet.Status, versionOrPath string) (*comparedSettings, error) {
	text, err := settingsText(status, versionOrPath)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		return nil, err
	}
	side := &comparedSettings{values: map[string]string{}}
	flatten("", tree, side.values)
	if parsed, err := simwire.ParseSettings([]byte(text)); err == nil {
		side.parsed = &parsed
	}
	return side, nil
}

func settingsText(status *fleet.Status, versionOrPath string) (string, error) {
	number, err := strconv.ParseUint(versionOrPath, 10, 64)
	if err != nil {
		return sharedText(versionOrPath)
	}
	version, exists := status.State.Get(number)
	if !exists || version.Text == "" {
		return "", &fleet.NoVersionError{Version: number}
	}
	return version.Text, nil
}

func printDifferences(out io.Writer, a, b map[string]string) {
	paths := maps.Clone(a)
	maps.Copy(paths, b)
	isSame := true
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		valueA, inA := a[path]
		valueB, inB := b[path]
		switch {
		case valueA == valueB && inA == inB:
			continue
		case !inA:
			fmt.Fprintf(out, "+ %s = %s\n", path, valueB)
		case !inB:
			fmt.Fprintf(out, "- %s = %s\n", path, valueA)
		default:
			fmt.Fprintf(out, "  %s: %s, then %s\n", path, valueA, valueB)
		}
		isSame = false
	}
	if isSame {
		fmt.Fprintln(out, "they say the same")
	}
}

// flatten collects the values by path. Objects in lists have their Name in the path, or else their index.
func flatten(path string, v any, into map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(strings.TrimPrefix(path+"."+k, "."), x, into)
		}
	case []any:
		for i, x := range v {
			name := strconv.Itoa(i)
			if o, is := x.(map[string]any); is {
				if n, is := o["Name"].(string); is {
					name = n
				}
			}
			flatten(path+"["+name+"]", x, into)
		}
	default:
		into[path] = fmt.Sprint(v)
	}
}
