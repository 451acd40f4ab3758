package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/stricttoml"
)

// File is a question as its file asks it.
type File struct {
	Name       string              `toml:"name"`
	About      string              `toml:"about"`
	Scenario   string              `toml:"scenario"`   // a shipped one's name, or a path from the file's folder
	Question   string              `toml:"question"`   // compare, sweep, tipping, recovery
	Seed       uint64              `toml:"seed"`       // from which the runs' seeds are drawn
	Replicates int                 `toml:"replicates"` // seeds
	Budget     stricttoml.Duration `toml:"budget"`     // no run begins that would end later; 0: none
	Figures    []string            `toml:"figures"`    // to report on; the first is the one asked about
	Set        map[string]any      `toml:"set"`        // in the scenario of every run, by path: "traffic.rate"
	Daemon     map[string]any      `toml:"daemon"`     // and in the daemon's own settings
	Arms       []ArmSpec           `toml:"arms"`
	Factors    []Factor            `toml:"factors"`
	Tipping    Staircase           `toml:"tipping"`

	path string
	text []byte
}

// ArmSpec is one of what is held against one another.
type ArmSpec struct {
	Name     string         `toml:"name"`
	Marlreel string         `toml:"marlreel"` // the daemon's path; "" is the one beside this program
	Baseline string         `toml:"baseline"` // or "random", the kit's plain proxy
	Set      map[string]any `toml:"set"`
	Daemon   map[string]any `toml:"daemon"`
}

// Factor is a value that runs differ in.
type Factor struct {
	Key    string `toml:"key"`    // of the scenario, or "daemon." and a key of the daemon's own
	Levels []any  `toml:"levels"` // or a range:
	From   any    `toml:"from"`
	To     any    `toml:"to"`
	Steps  int    `toml:"steps"`
	// Also are other values that go with each level: as many.
	Also []Also `toml:"also"`
}

// Also is a value that changes with a factor.
type Also struct {
	Key    string `toml:"key"`
	Levels []any  `toml:"levels"`
}

// Staircase is a load that rises in steps and falls again, within one run.
type Staircase struct {
	From  float64             `toml:"from"` // of the scenario's rate
	To    float64             `toml:"to"`
	Steps int                 `toml:"steps"` // up, and as many down
	Each  stricttoml.Duration `toml:"each"`
	Below float64             `toml:"below"` // service under which it has tipped over
}

// The questions.
const (
	Compare  = "compare"
	Sweep    = "sweep"
	Tipping  = "tipping"
	Recovery = "recovery"
)

// Bounds of what one experiment may hold.
const (
	maxRuns       = 10_000
	maxArms       = 8
	maxReplicates = 1000
	maxLevels     = 100
	maxFactors    = 4
	maxFileBytes  = 1 << 20
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	questions   = []string{Compare, Sweep, Tipping, Recovery}
)

// Load reads a question's file. Each error is one line that names the file, the place in it and what
// would be right.
func Load(path string) (*File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer f.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(f); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, b.Bytes())
}

// Parse reads a question's text; path is for its errors, and for what it names beside it.
func Parse(path string, text []byte) (*File, error) {
	f := &File{
		Question: Compare, Seed: 1, path: path, text: text,
		Tipping: Staircase{From: 0.5, To: 2, Steps: 6, Each: stricttoml.Duration(6 * time.Second), Below: 0.9},
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, and %d are the most", path, len(text), maxFileBytes)
	}
	if err := stricttoml.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Name == "" {
		f.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	if len(f.Figures) == 0 {
		f.Figures = map[string][]string{
			Compare: {"service", "worst-10s", "worst-class", "worst-house"},
			Sweep:   {"service", "worst-class"}, Tipping: {"tips-at", "back-at", "hysteresis"}, Recovery: {"recovery-s", "service"},
		}[f.Question]
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

// Rename gives the experiment another name.
func (f *File) Rename(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q: small letters, digits and dashes are needed, 64 at most", name)
	}
	f.Name = name
	return nil
}

// SetArm gives an arm another daemon.
func (f *File) SetArm(name, marlreel string) error {
	var all []string
	for i := range f.Arms {
		if f.Arms[i].Name == name {
			f.Arms[i].Marlreel, f.Arms[i].Baseline = marlreel, ""
			return nil
		}
		all = append(all, f.Arms[i].Name)
	}
	return fmt.Errorf("%s: no arm %q%s; there are %s", f.path, name, stricttoml.SuggestClosest(name, all), strings.Join(all, ", "))
}

// Beside is a path that the file names, from its own folder on.
func (f *File) Beside(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.path), path)
}

// at is a place of the file: the line in which a key stands, the nth time.
func (f *File) position(key string, nth int) string {
	found := regexp.MustCompile(`(?m)^\s*"?`+regexp.QuoteMeta(key)+`"?\s*=`).FindAllIndex(f.text, -1)
	if nth >= len(found) {
		return f.path
	}
	where := found[nth][1]
	return f.path + ":" + strconv.Itoa(1+bytes.Count(f.text[:where], []byte("\n")))
}

func (f *File) validate() error {
	bad := func(key string, format string, v ...any) error {
		return fmt.Errorf("%s: %s", f.position(key, 0), fmt.Sprintf(format, v...))
	}
	switch s := f.Tipping; {
	case !namePattern.MatchString(f.Name):
		return bad("name", "name = %q: small letters, digits and dashes are needed, 64 at most", f.Name)
	case !slices.Contains(questions, f.Question):
		return bad("question", "question = %q: %s is needed%s", f.Question, strings.Join(questions, ", "), stricttoml.SuggestClosest(f.Question, questions))
	case f.Scenario == "":
		return bad("scenario", "scenario is missing: a shipped one's name, or a file's path")
	case f.Replicates < 1 || f.Replicates > maxReplicates:
		return bad("replicates", "replicates = %d: 1 to %d is needed; a difference can be told from chance from %d on", f.Replicates, maxReplicates, minPairs)
	case f.Budget < 0:
		return bad("budget", "budget = %v: 0 (none) or more is needed", f.Budget.D())
	case len(f.Arms) < 1 || len(f.Arms) > maxArms:
		return bad("arms", "1 to %d [[arms]] are needed, and there are %d", maxArms, len(f.Arms))
	case f.Question == Compare && len(f.Arms) < 2:
		return bad("question", "question = %q: two [[arms]] are needed, and there is one", f.Question)
	case f.Question == Sweep && len(f.Factors) == 0:
		return bad("question", "question = %q: a [[factors]] with its levels is needed", f.Question)
	case len(f.Factors) > maxFactors:
		return bad("factors", "%d [[factors]]: %d are the most", len(f.Factors), maxFactors)
	case f.Question == Tipping && (!(s.From > 0) || !(s.To > s.From) || s.To > 100 || s.Steps < 2 || s.Steps > 50 || s.Each.D() < time.Second || !(s.Below > 0 && s.Below < 1)):
		return bad("from", "tipping: from above 0, to above it and up to 100, steps from 2 to 50, each of 1s or more and below between 0 and 1 are needed")
	}
	if f.Question == Tipping {
		for _, key := range []string{"length", "traffic.jumps"} {
			if _, there := f.Set[key]; there {
				return bad(key, "%s: the question tipping sets it by itself", key)
			}
		}
	}
	seen := map[string]bool{}
	for i, a := range f.Arms {
		switch {
		case !namePattern.MatchString(a.Name):
			return fmt.Errorf("%s: arm %d: name = %q: small letters, digits and dashes are needed", f.position("name", i), i+1, a.Name)
		case seen[a.Name]:
			return fmt.Errorf("%s: two arms are called %q", f.position("name", i), a.Name)
		case a.Baseline != "" && a.Baseline != "random":
			return fmt.Errorf("%s: arm %s: baseline = %q: random is the only one", f.position("baseline", 0), a.Name, a.Baseline)
		case a.Baseline != "" && a.Marlreel != "":
			return fmt.Errorf("%s: arm %s: baseline and marlreel name two proxies: one is needed", f.position("baseline", 0), a.Name)
		case a.Baseline != "" && len(a.Daemon)+len(f.Daemon) > 0:
			return fmt.Errorf("%s: arm %s: the kit's plain proxy has no settings of its own", f.position("baseline", 0), a.Name)
		}
		seen[a.Name] = true
	}
	runs := f.Replicates * len(f.Arms)
	for i := range f.Factors {
		x := &f.Factors[i]
		if err := x.resolveLevels(); err != nil {
			return fmt.Errorf("%s: factor %d (%s): %w", f.position("key", i), i+1, x.Key, err)
		}
		for _, a := range f.Arms {
			if _, twice := a.Set[x.Key]; twice {
				return fmt.Errorf("%s: %s is a factor, and arm %s sets it too", f.position("key", i), x.Key, a.Name)
			}
		}
		runs *= len(x.Levels)
	}
	if runs > maxRuns {
		return fmt.Errorf("%s: %d runs, and %d are the most", f.path, runs, maxRuns)
	}
	for _, name := range f.Figures {
		if !KnownFigure(name) {
			return bad("figures", "figures: %q is none%s; they are %s, and for each class class.NAME and class.NAME.p99-ms", name,
				stricttoml.SuggestClosest(name, figures), strings.Join(figures, ", "))
		}
	}
	return nil
}

// resolve gives a factor its levels, where it says them by their range.
func (x *Factor) resolveLevels() error {
	ranged := x.From != nil || x.To != nil || x.Steps != 0
	switch {
	case x.Key == "":
		return errors.New("key is missing")
	case len(x.Levels) > 0 && ranged:
		return errors.New("levels, or from, to and steps: not both")
	case len(x.Levels) == 0 && !ranged:
		return errors.New("levels are missing, or from, to and steps")
	}
	if ranged {
		if x.Steps < 2 || x.Steps > maxLevels {
			return fmt.Errorf("steps = %d: 2 to %d is needed", x.Steps, maxLevels)
		}
		if err := x.expandRange(); err != nil {
			return err
		}
	}
	if len(x.Levels) > maxLevels {
		return fmt.Errorf("%d levels: %d are the most", len(x.Levels), maxLevels)
	}
	for _, also := range x.Also {
		if also.Key == "" || len(also.Levels) != len(x.Levels) {
			return fmt.Errorf("also %q: a key and %d levels are needed, and there are %d", also.Key, len(x.Levels), len(also.Levels))
		}
	}
	for i, l := range x.Levels {
		switch l.(type) {
		case int64, float64, string, bool:
		default:
			return fmt.Errorf("level %d: a number, a text or true or false is needed", i+1)
		}
		if slices.Contains(x.Levels[:i], l) {
			return fmt.Errorf("level %v is there twice", l)
		}
	}
	return nil
}

// spread makes levels of a range of numbers, or of spans of time.
func (x *Factor) expandRange() error {
	number := func(v any) (float64, bool) {
		switch n := v.(type) {
		case int64:
			return float64(n), true
		case float64:
			return n, true
		}
		return 0, false
	}
	step := func(i int, from, to float64) float64 { return from + (to-from)*float64(i)/float64(x.Steps-1) }
	if a, ok := x.From.(string); ok {
		b, _ := x.To.(string)
		from, err := time.ParseDuration(a)
		to, err2 := time.ParseDuration(b)
		if err != nil || err2 != nil {
			return errors.New(`from and to: two numbers, or two spans of time like "250ms", are needed`)
		}
		for i := range x.Steps {
			x.Levels = append(x.Levels, time.Duration(step(i, float64(from), float64(to))).Round(time.Microsecond).String())
		}
		return nil
	}
	from, ok := number(x.From)
	to, ok2 := number(x.To)
	if !ok || !ok2 {
		return errors.New(`from and to: two numbers, or two spans of time like "250ms", are needed`)
	}
	_, whole := x.From.(int64)
	_, whole2 := x.To.(int64)
	for i := range x.Steps {
		v := step(i, from, to)
		if whole && whole2 {
			x.Levels = append(x.Levels, int64(v+0.5))
		} else {
			x.Levels = append(x.Levels, v)
		}
	}
	return nil
}

// figures are what runs are measured by, beside those of single classes.
var figures = []string{
	"service", "after-deductions", "whole", "worst-10s", "worst-class", "worst-house", "recovery-s", "area", "tips-at", "back-at",
	"hysteresis", "attempts", "tries", "handshakes", "cpu-s", "memory-mb", "rules-broken",
}

// KnownFigure tells whether a figure's name is one.
func KnownFigure(name string) bool {
	class, isClass := strings.CutPrefix(name, "class.")
	return slices.Contains(figures, name) || isClass && class != ""
}

// lowerIsWorse tells at which end a figure is worse.
func lowerIsWorse(name string) bool {
	switch name {
	case "recovery-s", "hysteresis", "attempts", "tries", "handshakes", "cpu-s", "memory-mb", "rules-broken":
		return false
	}
	return !strings.HasSuffix(name, "-ms")
}
