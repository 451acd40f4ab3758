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

// File is the content of an experiment file.
type File struct {
	Name       string              `toml:"name"`
	About      string              `toml:"about"`
	Scenario   string              `toml:"scenario"`   // name of a shipped scenario, or a path relative to the file's folder
	Question   string              `toml:"question"`   // compare, sweep, tipping or recovery
	Seed       uint64              `toml:"seed"`       // the runs' seeds are derived from it
	Replicates int                 `toml:"replicates"` // number of seeds
	Budget     stricttoml.Duration `toml:"budget"`     // no run starts that would end later; 0: unlimited
	Figures    []string            `toml:"figures"`    // to report; the first is the one that the question is about
	Set        map[string]any      `toml:"set"`        // scenario settings of every run, by path such as "traffic.rate"
	Daemon     map[string]any      `toml:"daemon"`     // daemon settings of every run, by path
	Arms       []ArmSpec           `toml:"arms"`
	Factors    []Factor            `toml:"factors"`
	Tipping    Staircase           `toml:"tipping"`

	path string
	text []byte
}

// ArmSpec is one of the variants that an experiment compares.
type ArmSpec struct {
	Name     string         `toml:"name"`
	Marlreel string         `toml:"marlreel"` // path of the daemon; "" is the one in this program's folder
	Baseline string         `toml:"baseline"` // instead of a daemon: "random", the kit's plain proxy
	Set      map[string]any `toml:"set"`
	Daemon   map[string]any `toml:"daemon"`
}

// Factor is a setting that varies between runs.
type Factor struct {
	Key    string `toml:"key"`    // a scenario key, or "daemon." and a daemon key
	Levels []any  `toml:"levels"` // or a range, by From, To and Steps
	From   any    `toml:"from"`
	To     any    `toml:"to"`
	Steps  int    `toml:"steps"`
	// Also lists further settings that change along with the levels, with one value for each level.
	Also []Also `toml:"also"`
}

// Also is a setting that changes along with a factor.
type Also struct {
	Key    string `toml:"key"`
	Levels []any  `toml:"levels"`
}

// Staircase is a load that rises and falls in steps within one run.
type Staircase struct {
	From  float64             `toml:"from"` // multiple of the scenario's rate
	To    float64             `toml:"to"`
	Steps int                 `toml:"steps"` // number of steps up, and the same number down
	Each  stricttoml.Duration `toml:"each"`
	Below float64             `toml:"below"` // service under which the system counts as tipped over
}

// The kinds of questions.
const (
	Compare  = "compare"
	Sweep    = "sweep"
	Tipping  = "tipping"
	Recovery = "recovery"
)

// Limits on an experiment file.
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

// Load reads an experiment file. Each error is one line that names the file, the position and what is allowed there.
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

// Parse parses the text of an experiment file. path appears in errors and is the base of relative paths.
func Parse(path string, text []byte) (*File, error) {
	f := &File{
		Question: Compare, Seed: 1, path: path, text: text,
		Tipping: Staircase{From: 0.5, To: 2, Steps: 6, Each: stricttoml.Duration(6 * time.Second), Below: 0.9},
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: file has %d bytes; at most %d are allowed", path, len(text), maxFileBytes)
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

// Rename changes the experiment's name.
func (f *File) Rename(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q must consist of small letters, digits and dashes, 64 at most", name)
	}
	f.Name = name
	return nil
}

// SetArm replaces the daemon of an arm.
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

// Beside resolves a path in the file relative to the file's folder.
func (f *File) Beside(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.path), path)
}

// position returns the file and line of the nth occurrence of a key, from 0, or only the file if there is none.
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
		return bad("name", "name = %q: must consist of small letters, digits and dashes, 64 at most", f.Name)
	case !slices.Contains(questions, f.Question):
		return bad("question", "question = %q: must be one of %s%s", f.Question, strings.Join(questions, ", "), stricttoml.SuggestClosest(f.Question, questions))
	case f.Scenario == "":
		return bad("scenario", "scenario is missing: give the name of a shipped scenario or the path of a file")
	case f.Replicates < 1 || f.Replicates > maxReplicates:
		return bad("replicates", "replicates = %d: must be 1 to %d; a difference can be told from chance with %d or more", f.Replicates, maxReplicates, minPairs)
	case f.Budget < 0:
		return bad("budget", "budget = %v: must be 0 (unlimited) or more", f.Budget.D())
	case len(f.Arms) < 1 || len(f.Arms) > maxArms:
		return bad("arms", "1 to %d [[arms]] are needed, found %d", maxArms, len(f.Arms))
	case f.Question == Compare && len(f.Arms) < 2:
		return bad("question", "question = %q: at least two [[arms]] are needed, found one", f.Question)
	case f.Question == Sweep && len(f.Factors) == 0:
		return bad("question", "question = %q: at least one [[factors]] with levels is needed", f.Question)
	case len(f.Factors) > maxFactors:
		return bad("factors", "%d [[factors]]: at most %d are allowed", len(f.Factors), maxFactors)
	case f.Question == Tipping && (!(s.From > 0) || !(s.To > s.From) || s.To > 100 || s.Steps < 2 || s.Steps > 50 || s.Each.D() < time.Second || !(s.Below > 0 && s.Below < 1)):
		return bad("from", "tipping: from must be above 0, to above from and at most 100, steps 2 to 50, each 1s or more, and below between 0 and 1")
	}
	if f.Question == Tipping {
		for _, key := range []string{"length", "traffic.jumps"} {
			if _, there := f.Set[key]; there {
				return bad(key, "%s: the question tipping sets this itself", key)
			}
		}
	}
	seen := map[string]bool{}
	for i, a := range f.Arms {
		switch {
		case !namePattern.MatchString(a.Name):
			return fmt.Errorf("%s: arm %d: name = %q: must consist of small letters, digits and dashes", f.position("name", i), i+1, a.Name)
		case seen[a.Name]:
			return fmt.Errorf("%s: two arms have the name %q", f.position("name", i), a.Name)
		case a.Baseline != "" && a.Baseline != "random":
			return fmt.Errorf("%s: arm %s: baseline = %q: only random is supported", f.position("baseline", 0), a.Name, a.Baseline)
		case a.Baseline != "" && a.Marlreel != "":
			return fmt.Errorf("%s: arm %s: baseline and marlreel can't both be set", f.position("baseline", 0), a.Name)
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
				return fmt.Errorf("%s: %s is a factor, but arm %s sets it too", f.position("key", i), x.Key, a.Name)
			}
		}
		runs *= len(x.Levels)
	}
	if runs > maxRuns {
		return fmt.Errorf("%s: %d runs; at most %d are allowed", f.path, runs, maxRuns)
	}
	for _, name := range f.Figures {
		if !KnownFigure(name) {
			return bad("figures", "figures: unknown figure %q%s; known are %s, and for each class class.NAME and class.NAME.p99-ms", name,
				stricttoml.SuggestClosest(name, figures), strings.Join(figures, ", "))
		}
	}
	return nil
}

// resolveLevels expands a range into levels and validates the levels.
func (x *Factor) resolveLevels() error {
	ranged := x.From != nil || x.To != nil || x.Steps != 0
	switch {
	case x.Key == "":
		return errors.New("key is missing")
	case len(x.Levels) > 0 && ranged:
		return errors.New("give either levels, or from, to and steps, not both")
	case len(x.Levels) == 0 && !ranged:
		return errors.New("levels are missing; give levels, or from, to and steps")
	}
	if ranged {
		if x.Steps < 2 || x.Steps > maxLevels {
			return fmt.Errorf("steps = %d: must be 2 to %d", x.Steps, maxLevels)
		}
		if err := x.expandRange(); err != nil {
			return err
		}
	}
	if len(x.Levels) > maxLevels {
		return fmt.Errorf("%d levels: at most %d are allowed", len(x.Levels), maxLevels)
	}
	for _, also := range x.Also {
		if also.Key == "" || len(also.Levels) != len(x.Levels) {
			return fmt.Errorf("also %q: a key and %d levels are needed, found %d levels", also.Key, len(x.Levels), len(also.Levels))
		}
	}
	for i, l := range x.Levels {
		switch l.(type) {
		case int64, float64, string, bool:
		default:
			return fmt.Errorf("level %d: must be a number, a string or a boolean", i+1)
		}
		if slices.Contains(x.Levels[:i], l) {
			return fmt.Errorf("level %v occurs twice", l)
		}
	}
	return nil
}

// expandRange sets the levels to equally spaced numbers or durations.
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
			return errors.New(`from and to: must be two numbers, or two durations such as "250ms"`)
		}
		for i := range x.Steps {
			x.Levels = append(x.Levels, time.Duration(step(i, float64(from), float64(to))).Round(time.Microsecond).String())
		}
		return nil
	}
	from, ok := number(x.From)
	to, ok2 := number(x.To)
	if !ok || !ok2 {
		return errors.New(`from and to: must be two numbers, or two durations such as "250ms"`)
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

// figures lists the measures of a run, apart from those of single classes.
var figures = []string{
	"service", "after-deductions", "whole", "worst-10s", "worst-class", "worst-house", "recovery-s", "area", "tips-at", "back-at",
	"hysteresis", "attempts", "tries", "handshakes", "cpu-s", "memory-mb", "rules-broken",
}

// KnownFigure reports whether an experiment file may ask for a figure of this name.
func KnownFigure(name string) bool {
	class, isClass := strings.CutPrefix(name, "class.")
	return slices.Contains(figures, name) || isClass && class != ""
}

// lowerIsWorse reports whether a lower value of the figure is worse.
func lowerIsWorse(name string) bool {
	switch name {
	case "recovery-s", "hysteresis", "attempts", "tries", "handshakes", "cpu-s", "memory-mb", "rules-broken":
		return false
	}
	return !strings.HasSuffix(name, "-ms")
}
