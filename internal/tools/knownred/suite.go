package main

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// suite maps the import path of each package, also of those without tests, to the names of its tests.
type suite map[string][]string

// run is one call of go test: some packages, and the names of the tests to skip in all of them.
type run struct {
	Packages []string
	Skipped  []string
}

// plan distributes the packages over calls of go test, so that a test is skipped only in the packages of its entries.
// The packages in which nothing is skipped share the first run.
func plan(module string, tests suite, entries []entry) ([]run, error) {
	skipped := make(map[string][]string)
	for _, e := range entries {
		if e.Test == "" {
			continue
		}
		found := false
		for path, names := range tests {
			if e.Package != "" && path != importPath(module, e.Package) || !slices.Contains(names, e.Test) {
				continue
			}
			found = true
			if !slices.Contains(skipped[path], e.Test) {
				skipped[path] = append(skipped[path], e.Test)
			}
		}
		if !found {
			return nil, eris.Errorf("entry at line %d: test not found: %s", e.Line, e)
		}
	}
	var whole run
	var partial []run
	for path := range tests {
		if names := skipped[path]; len(names) > 0 {
			slices.Sort(names)
			partial = append(partial, run{Packages: []string{path}, Skipped: names})
			continue
		}
		whole.Packages = append(whole.Packages, path)
	}
	slices.Sort(whole.Packages)
	slices.SortFunc(partial, func(a, b run) int { return strings.Compare(a.Packages[0], b.Packages[0]) })
	if len(whole.Packages) == 0 {
		return partial, nil
	}
	return append([]run{whole}, partial...), nil
}

// importPath returns the import path of a folder of the module; an import path is returned unchanged.
func importPath(module, folder string) string {
	if folder == module || strings.HasPrefix(folder, module+"/") {
		return folder
	}
	return module + "/" + folder
}

// arguments returns the command line of go for the run; own are further flags of go test.
func (r run) arguments(own []string) []string {
	arguments := append([]string{"test"}, own...)
	if len(r.Skipped) > 0 {
		arguments = append(arguments, "-skip", "^("+strings.Join(r.Skipped, "|")+")$")
	}
	return append(arguments, r.Packages...)
}
