package main

import (
	"bytes"
	"context"
	"os/exec"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// installed is what the package manager knows of the machine's packages.
type installed struct {
	depends  map[string][][]string // by package: of each group one is needed
	provides map[string][]string   // by a name that is no package: the packages that stand for it
}

// packageFormat has a package a line: name, what it needs before and when it runs, what else it stands for.
const packageFormat = "${db:Status-Status}\t${Package}\t${Pre-Depends}, ${Depends}\t${Provides}\n"

func readInstalled(ctx context.Context) (installed, error) {
	text, err := exec.CommandContext(ctx, "dpkg-query", "--show", "--showformat="+packageFormat).Output()
	if err != nil {
		return installed{}, eris.Wrap(err, "asking for the installed packages")
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

// parseRelations reads "a (>= 1), b:any | c" as groups of alternatives, without versions and architectures.
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

// closure is the listed packages and all that they depend on, sorted. A listed package that isn't installed is an error:
// nothing can be said of it here.
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
			return nil, eris.Errorf("the package %s is listed and not installed: install it, or take it out", name)
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

// filesOf are the paths that the packages have installed, folders among them.
func filesOf(ctx context.Context, packages []string) ([]string, error) {
	if len(packages) == 0 {
		return nil, nil
	}
	text, err := exec.CommandContext(ctx, "dpkg-query", append([]string{"--listfiles"}, packages...)...).Output()
	if err != nil {
		return nil, eris.Wrap(err, "asking for the packages' files")
	}
	var paths []string
	for line := range bytes.Lines(text) {
		if path := strings.TrimSpace(string(line)); strings.HasPrefix(path, "/") {
			paths = append(paths, path)
		}
	}
	return paths, nil
}
