package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Arm identifies the proxy that an arm runs.
type Arm struct {
	Name     string `json:"name"`
	Marlreel string `json:"marlreel,omitempty"`
	Baseline string `json:"baseline,omitempty"`
}

// Day is everything that determines a run, except for its seed.
type Day struct {
	Arm    Arm            `json:"arm"`
	Set    map[string]any `json:"set"`    // scenario settings, by path
	Daemon map[string]any `json:"daemon"` // daemon settings, by path
}

// Run is one run of a plan.
type Run struct {
	Arm   int    `json:"arm"`
	Level int    `json:"level"` // index of the combination of the factors' levels
	Seed  uint64 `json:"seed"`
}

// Player plays days. An error from Play ends the experiment. A day whose measurements can't be used gives a void
// result, and a day whose daemon does not start gives a failed one; neither is an error.
type Player interface {
	// Check validates a day. It returns how long a run takes, the scenario's text and the build of the daemon; if the
	// text or the build changes, it is another experiment.
	Check(day Day) (Checked, error)
	Play(ctx context.Context, day Day, seed uint64) (Result, error)
}

// Checked is the result of Player.Check.
type Checked struct {
	Length   time.Duration
	Scenario string // full text, with the day's settings applied
	Build    string // digest of the daemon's binary
}

// Result is the outcome of one run.
type Result struct {
	Figures  map[string]float64 `json:"figures"`
	Seconds  []Second           `json:"seconds,omitempty"`  // by planned arrival time
	Void     string             `json:"void,omitempty"`     // why the measurements can't be used
	Failed   string             `json:"failed,omitempty"`   // why the run failed; it then has no measurements
	Broken   int                `json:"broken,omitempty"`   // number of broken rules
	Crashes  int                `json:"crashes,omitempty"`  // number of proxy crashes
	Schedule string             `json:"schedule,omitempty"` // digest of the planned requests
	LateMs   float64            `json:"late_ms,omitempty"`  // 99th percentile of the load generator's own send delay
	KitCPU   float64            `json:"kit_cpu_s,omitempty"`
	TookS    float64            `json:"took_s,omitempty"`
}

// Second is the value of the requests of one second: asked for and served.
type Second struct {
	Asked  float64 `json:"a"`
	Served float64 `json:"s"`
}

// Plan holds all runs of an experiment, in order.
type Plan struct {
	File     *File
	Seeds    []uint64
	Levels   []Level
	Runs     []Run
	Days     [][]Day // indexed by arm and level
	Checked  [][]Checked
	Scenario string // the scenario's name
}

// Level is a combination of the factors' levels.
type Level []Setting

// Setting is the value of one key.
type Setting struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	Also  bool   `json:"also,omitempty"` // changes along with the factor before it
}

// String names the level in tables, without the settings that change along with a factor.
func (l Level) String() string {
	var parts []string
	for _, s := range l {
		if !s.Also {
			parts = append(parts, fmt.Sprintf("%s = %v", s.Key, s.Value))
		}
	}
	return strings.Join(parts, ", ")
}

// Make plans an experiment. It has the player check every day before the first one is played.
func Make(f *File, player Player) (*Plan, error) {
	p := &Plan{File: f, Scenario: f.Scenario, Levels: []Level{nil}}
	for _, x := range f.Factors {
		var next []Level
		for _, l := range p.Levels {
			for i, v := range x.Levels {
				with := append(slices.Clone(l), Setting{Key: x.Key, Value: v})
				for _, also := range x.Also {
					with = append(with, Setting{also.Key, also.Levels[i], true})
				}
				next = append(next, with)
			}
		}
		p.Levels = next
	}
	r := rand.New(rand.NewPCG(f.Seed, 0x6578706572696d65))
	for len(p.Seeds) < f.Replicates {
		// Seeds are small enough to type, and to be exact as JSON numbers.
		if s := 1 + r.Uint64N(1<<40); !slices.Contains(p.Seeds, s) {
			p.Seeds = append(p.Seeds, s)
		}
	}
	for _, a := range f.Arms {
		var days []Day
		var checked []Checked
		for i, l := range p.Levels {
			d := f.day(a, l)
			c, err := player.Check(d)
			if err != nil {
				return nil, f.locateError(a, p.Levels[i], err)
			}
			days, checked = append(days, d), append(checked, c)
		}
		p.Days, p.Checked = append(p.Days, days), append(p.Checked, checked)
	}
	// Replicates run one after the other, so that most are complete when the budget runs out. The arms of a pair run
	// back to back in alternating order, so that a machine that slows down favours none.
	for n, seed := range p.Seeds {
		for l := range p.Levels {
			for k := range f.Arms {
				arm := k
				if (n+l)%2 == 1 {
					arm = len(f.Arms) - 1 - k
				}
				p.Runs = append(p.Runs, Run{Arm: arm, Level: l, Seed: seed})
			}
		}
	}
	return p, nil
}

// day merges the settings of the file, the arm and the level, in this order.
func (f *File) day(a ArmSpec, l Level) Day {
	d := Day{Arm: Arm{a.Name, a.Marlreel, a.Baseline}, Set: map[string]any{}, Daemon: map[string]any{}}
	maps.Copy(d.Set, f.Set)
	maps.Copy(d.Daemon, f.Daemon)
	maps.Copy(d.Set, a.Set)
	maps.Copy(d.Daemon, a.Daemon)
	for _, s := range l {
		if own, is := strings.CutPrefix(s.Key, "daemon."); is {
			d.Daemon[own] = s.Value
		} else {
			d.Set[s.Key] = s.Value
		}
	}
	if f.Question == Tipping {
		f.Tipping.addTo(d.Set)
	}
	return d
}

// locateError adds to an error of Player.Check the position in the file of the setting that it mentions, if any.
func (f *File) locateError(a ArmSpec, l Level, err error) error {
	for i, s := range l {
		if strings.Contains(err.Error(), lastPart(s.Key)) {
			return fmt.Errorf("%s: %s = %v: %w", f.position("key", i), s.Key, s.Value, err)
		}
	}
	keys := slices.Collect(maps.Keys(a.Set))
	keys = slices.AppendSeq(keys, maps.Keys(f.Set))
	keys = slices.AppendSeq(keys, maps.Keys(a.Daemon))
	keys = slices.AppendSeq(keys, maps.Keys(f.Daemon))
	slices.Sort(keys)
	for _, k := range keys {
		if strings.Contains(err.Error(), lastPart(k)) {
			return fmt.Errorf("%s: arm %s: %w", f.position(k, 0), a.Name, err)
		}
	}
	return fmt.Errorf("%s: arm %s: %w", f.path, a.Name, err)
}

func lastPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// Length is how long all runs take, not counting repeats of void runs.
func (p *Plan) Length() time.Duration {
	sum := time.Duration(0)
	for _, r := range p.Runs {
		sum += p.Checked[r.Arm][r.Level].Length
	}
	return sum
}

// Identity is everything that determines an experiment's results. Results are only valid for the identity under which
// they were produced.
type Identity struct {
	Question   string      `json:"question"`
	Scenario   string      `json:"scenario"`
	Seeds      []uint64    `json:"seeds"`
	Figures    []string    `json:"figures"`
	Staircase  *Staircase  `json:"staircase,omitempty"`
	Arms       []Arm       `json:"arms"`
	Levels     []Level     `json:"levels"`
	Days       [][]Day     `json:"days"`
	Scenarios  [][]string  `json:"scenarios"` // full texts, by arm and level
	Builds     []string    `json:"builds"`    // by arm
	Replicates int         `json:"replicates"`
	About      string      `json:"about,omitempty"`
	Runs       []Run       `json:"runs"`
	Machine    string      `json:"machine,omitempty"`
	Lengths    [][]float64 `json:"lengths_s"`
}

// Identity returns the identity of the planned experiment.
func (p *Plan) Identity() Identity {
	id := Identity{
		Question: p.File.Question, Scenario: p.Scenario, Seeds: p.Seeds, Figures: p.File.Figures, Levels: p.Levels, Days: p.Days,
		Replicates: p.File.Replicates, About: p.File.About, Runs: p.Runs,
	}
	if p.File.Question == Tipping {
		id.Staircase = &p.File.Tipping
	}
	for k, a := range p.File.Arms {
		id.Arms = append(id.Arms, Arm{a.Name, a.Marlreel, a.Baseline})
		id.Builds = append(id.Builds, p.Checked[k][0].Build)
		var texts []string
		var lengths []float64
		for _, c := range p.Checked[k] {
			texts, lengths = append(texts, c.Scenario), append(lengths, c.Length.Seconds())
		}
		id.Scenarios, id.Lengths = append(id.Scenarios, texts), append(id.Lengths, lengths)
	}
	return id
}

// Key is the key of a run in the store: a digest of its day, scenario, build, staircase and seed.
func (id *Identity) Key(r Run) string {
	h := sha256.New()
	// The JSON encoder sorts map keys, so the digest is deterministic.
	if err := json.NewEncoder(h).Encode([]any{id.Days[r.Arm][r.Level], id.Scenarios[r.Arm][r.Level], id.Builds[r.Arm], id.Staircase, r.Seed}); err != nil {
		panic(fmt.Sprintf("can't encode a day as JSON: %v", err)) // all values came from TOML
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Differs describes the first difference from the experiment that was begun under the same name, or returns "" if there
// is none. A different number of replicates is no difference, as the seeds that both have are the same.
func (id *Identity) Differs(begun *Identity) string {
	same := func(a, b any) bool {
		x, _ := json.Marshal(a)
		y, _ := json.Marshal(b)
		return string(x) == string(y)
	}
	switch shared := min(len(id.Seeds), len(begun.Seeds)); {
	case id.Question != begun.Question:
		return fmt.Sprintf("the question was %s and is now %s", begun.Question, id.Question)
	case !slices.Equal(id.Seeds[:shared], begun.Seeds[:shared]):
		return "the seeds differ"
	case !same(id.Staircase, begun.Staircase):
		return "the load steps differ"
	case !same(id.Arms, begun.Arms):
		return "the arms differ"
	case !same(id.Levels, begun.Levels):
		return "the factors differ"
	}
	for k := range id.Arms {
		if id.Builds[k] != begun.Builds[k] {
			return fmt.Sprintf("arm %s has another build of the daemon (%.12s; it was %.12s)", id.Arms[k].Name, id.Builds[k], begun.Builds[k])
		}
		for l := range id.Levels {
			if !same(id.Days[k][l], begun.Days[k][l]) {
				return fmt.Sprintf("the settings of arm %s differ", id.Arms[k].Name)
			}
			if a, b := begun.Scenarios[k][l], id.Scenarios[k][l]; a != b {
				return "the scenario was edited: " + firstDifference(a, b)
			}
		}
	}
	return ""
}

// firstDifference describes the first line in which two texts differ.
func firstDifference(was, is string) string {
	a, b := strings.Split(was, "\n"), strings.Split(is, "\n")
	for i := range max(len(a), len(b)) {
		line := func(s []string) string {
			if i < len(s) {
				return strings.TrimSpace(s[i])
			}
			return "nothing"
		}
		if line(a) != line(b) {
			return fmt.Sprintf("it said %q and now says %q", line(a), line(b))
		}
	}
	return "only line endings differ"
}
