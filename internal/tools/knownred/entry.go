package main

import (
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// The fields of an entry. All but fieldTest are required.
const (
	fieldTest    = "test"
	fieldCommand = "command"
	fieldSeed    = "seed"
	fieldSeen    = "seen"
	fieldIssue   = "issue"
)

const fieldSeparator = " | " // between the fields of an entry on one line

var (
	requiredFields = []string{fieldCommand, fieldSeed, fieldSeen, fieldIssue}
	issueNumber    = regexp.MustCompile(`^(issue )?#?[0-9]+$`)
	seedValue      = regexp.MustCompile(`^(none|.*[0-9].*)$`)
	testName       = regexp.MustCompile(`^(Test|Fuzz|Example)[A-Za-z0-9_]*$`)
)

// entry is one known fault. Test and Package are empty for a fault that no Go test reproduces.
type entry struct {
	Line                       int // its first line in the file
	Package, Test              string
	Command, Seed, Seen, Issue string
}

// parseEntries parses the text of a file. It returns an error for the first incomplete or malformed entry.
func parseEntries(text string) ([]entry, error) {
	var (
		entries []entry
		block   []string
		begin   int
	)
	finish := func() error {
		if len(block) == 0 {
			return nil
		}
		parsed, err := parseEntry(block)
		if err != nil {
			return eris.Wrapf(err, "entry at line %d", begin)
		}
		parsed.Line = begin
		entries, block = append(entries, parsed), nil
		return nil
	}
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") {
			continue
		}
		alone := strings.Contains(line, fieldSeparator)
		if line == "" || alone {
			if err := finish(); err != nil {
				return nil, err
			}
		}
		if line == "" {
			continue
		}
		if len(block) == 0 {
			begin = number + 1
		}
		if !alone {
			block = append(block, line)
			continue
		}
		block = strings.Split(line, fieldSeparator)
		if err := finish(); err != nil {
			return nil, err
		}
	}
	return entries, finish()
}

// parseEntry parses the fields of one entry, each in the form "name: value".
func parseEntry(fields []string) (entry, error) {
	values := make(map[string]string)
	for _, field := range fields {
		name, value, ok := strings.Cut(field, ":")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		switch {
		case !ok || name != fieldTest && !slices.Contains(requiredFields, name):
			return entry{}, eris.Errorf("%q is not a field: want test, command, seed, seen or issue, a colon and a value", field)
		case value == "":
			return entry{}, eris.Errorf("the field %s is empty", name)
		case values[name] != "":
			return entry{}, eris.Errorf("the field %s is given twice", name)
		}
		values[name] = value
	}
	for _, name := range requiredFields {
		if values[name] == "" {
			return entry{}, eris.Errorf("the field %s is missing", name)
		}
	}
	if !issueNumber.MatchString(values[fieldIssue]) {
		return entry{}, eris.Errorf("%q is not an issue number", values[fieldIssue])
	}
	if !seedValue.MatchString(values[fieldSeed]) {
		return entry{}, eris.Errorf("%q is neither a seed nor \"none\"", values[fieldSeed])
	}
	parsed := entry{Command: values[fieldCommand], Seed: values[fieldSeed], Seen: values[fieldSeen], Issue: values[fieldIssue]}
	if test := values[fieldTest]; test != "" {
		folder, name := splitTest(test)
		if !testName.MatchString(name) {
			return entry{}, eris.Errorf("%q is not the name of a test function", test)
		}
		parsed.Package, parsed.Test = folder, name
	}
	return parsed, nil
}

// splitTest splits a test's name into its package folder, relative to the module root, and the name of the function.
func splitTest(test string) (folder, name string) {
	dot := strings.LastIndex(test, ".")
	if dot < 0 {
		return "", test
	}
	return strings.Trim(strings.TrimPrefix(test[:dot], "./"), "/"), test[dot+1:]
}

// String formats the entry on one line.
func (e entry) String() string {
	name := "no Go test"
	if e.Test != "" {
		name = e.Test
	}
	if e.Package != "" {
		name = e.Package + "." + name
	}
	return name + fieldSeparator + e.Command + fieldSeparator + "seed " + e.Seed + fieldSeparator + e.Seen + fieldSeparator + "issue " + e.Issue
}
