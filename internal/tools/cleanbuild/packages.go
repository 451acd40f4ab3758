package main

import (
	"bytes"
	"context"
	"os/exec"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// installed describes the packages that are installed on this machine.
type installed struct {
	depends  map[string][][]string // by package: groups of alternatives, of which one each is needed
	provides map[string][]string   // by virtual package: the packages that provide it
}

// packageFormat prints one package per line: status, name, dependencies and the virtual packages it provides.
const packageFormat = "${db:Status-Status}\t${Package}\t${Pre-Depends}, ${Depends}\t${Provides}\n"

func readInstalled(ctx context.Context) (installed, error) {
	text, err := exec.CommandContext(ctx, "dpkg-query", "--show", "--showformat="+packageFormat).Output()
	if err != nil {
		return installed{}, eris.Wrap(err, "listing the installed packages")
	}
	return parseInstalled(string(text)), nil
}

func parseInstalled(text string) installed {
	all := installed{depends: map[string][][]string{}, provides: map[string][]string{}}
	for line := range strings.Lines(text) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(fields) != 4 || fields[0] != "installed" {
			continue
		}
		name := fields[1]
		all.depends[name] = append(all.depends[name], parseRelations(fields[2])...)
		for _, group := range parseRelations(fields[3]) {
			all.provides[group[0]] = append(all.provides[group[0]], name)
		}
	}
	return all
}

// parseRelations parses "a (>= 1), b:any | c" into groups of alternatives, dropping versions and architectures.
func parseRelations(text string) [][]string {
	var groups [][]string
	for group := range strings.SplitSeq(text, ",") {
		var names []string
		for alternative := range strings.SplitSeq(group, "|") {
			name, _, _ := strings.Cut(strings.TrimSpace(alternative), " ")
			name, _, _ = strings.Cut(name, ":")
			if name != "" {
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			groups = append(groups, names)
		}
	}
	return groups
}

// closure returns the listed packages and their transitive dependencies, sorted. A listed package that isn't installed
// is an error, as its files and dependencies are unknown.
func (all installed) closure(listed []string) ([]string, error) {
	needed := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		if _, is := all.depends[name]; !is || needed[name] {
			return
		}
		needed[name] = true
		for _, group := range all.depends[name] {
			for _, alternative := range group {
				add(alternative)
				for _, provider := range all.provides[alternative] {
					add(provider)
				}
			}
		}
	}
	for _, name := range listed {
		if _, is := all.depends[name]; !is {
			return nil, eris.Errorf("the listed package %s is not installed: install it, or remove it from the list", name)
		}
		add(name)
	}
	names := make([]string, 0, len(needed))
	for name := range needed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// filesOf returns the paths that the packages have installed, including folders.
func filesOf(ctx context.Context, packages []string) ([]string, error) {
	if len(packages) == 0 {
		return nil, nil
	}
	text, err := exec.CommandContext(ctx, "dpkg-query", append([]string{"--listfiles"}, packages...)...).Output()
	if err != nil {
		return nil, eris.Wrap(err, "listing the files of the packages")
	}
	var paths []string
	for line := range bytes.Lines(text) {
		if path := strings.TrimSpace(string(line)); strings.HasPrefix(path, "/") {
			paths = append(paths, path)
		}
	}
	return paths, nil
}
