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

// Arm is what a player is told of an arm.
type Arm struct {
	Name     string `json:"name"`
	Marlreel string `json:"marlreel,omitempty"`
	Baseline string `json:"baseline,omitempty"`
}

// Day is what a run plays, but for its seed.
type Day struct {
	Arm    Arm            `json:"arm"`
	Set    map[string]any `json:"set"`    // in the scenario
	Daemon map[string]any `json:"daemon"` // in the daemon's own settings
}

// Run is one run of a plan.
type Run struct {
	Arm   int    `json:"arm"`
	Level int    `json:"level"` // which combination of the factors' levels
	Seed  uint64 `json:"seed"`
}

// Player plays days. What is Play's error is the experiment's end; a day that says nothing is a void
// result, and one whose daemon does not start is a failed one.
type Player interface {
	// Check prepares a day, and says how long a run takes, what its scenario is (a digest: another one is
	// another experiment) and which build of the daemon plays.
	Check(day Day) (Checked, error)
	Play(ctx context.Context, day Day, seed uint64) (Result, error)
}

// Checked is what Player.Check says.
type Checked struct {
	Length   time.Duration
	Scenario string // its whole text, as it is played
	Build    string // a digest of the daemon's binary
}

// Result is what one run gave.
type Result struct {
	Figures  map[string]float64 `json:"figures"`
	Seconds  []Second           `json:"seconds,omitempty"`  // by the second of the planned arrival
	Void     string             `json:"void,omitempty"`     // why it says nothing
	Failed   string             `json:"failed,omitempty"`   // why there is nothing but the failure
	Broken   int                `json:"broken,omitempty"`   // rules
	Crashes  int                `json:"crashes,omitempty"`  // of proxies
	Schedule string             `json:"schedule,omitempty"` // digest of what was planned
	LateMs   float64            `json:"late_ms,omitempty"`  // the generator's own lateness, at its 99th percentile
	KitCPU   float64            `json:"kit_cpu_s,omitempty"`
	TookS    float64            `json:"took_s,omitempty"`
}

// Second is the worth of one second.
type Second struct {
	Asked  float64 `json:"a"`
	Served float64 `json:"s"`
}

// Plan is all runs of an experiment, in their order.
type Plan struct {
	File     *File
	Seeds    []uint64
	Levels   []Level
	Runs     []Run
	Days     [][]Day // by arm and level
	Checked  [][]Checked
	Scenario string // the name of what is played
}

// Level is a combination of the factors' levels.
type Level []Setting

// Setting is one value.
type Setting struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	Also  bool   `json:"also,omitempty"` // it goes with the one before it
}

// String is the level as tables name it.
func (l Level) String() string {
	var parts []string
	for _, s := range l {
		if !s.Also {
			parts = append(parts, fmt.Sprintf("%s = %v", s.Key, s.Value))
		}
	}
	return strings.Join(parts, ", ")
}

// Make plans an experiment, and lets the player check every day of it before the first is played.
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
		// Small enough to be typed, and to be a number in JSON.
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
	// A replicate after the other, so that what a budget ends is whole; the arms of a pair next to one
	// another and turn about, so that a machine that slows down favours none.
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

// day is what an arm plays at a level.
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

// blame names the place in the file that an error is about, as far as it can be seen.
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

// Length is how long all runs take, those to come anew left out.
func (p *Plan) Length() time.Duration {
	sum := time.Duration(0)
	for _, r := range p.Runs {
		sum += p.Checked[r.Arm][r.Level].Length
	}
	return sum
}

// Identity is what an experiment's results belong to: whatever of it changes, they are another's.
type Identity struct {
	Question   string      `json:"question"`
	Scenario   string      `json:"scenario"`
	Seeds      []uint64    `json:"seeds"`
	Figures    []string    `json:"figures"`
	Staircase  *Staircase  `json:"staircase,omitempty"`
	Arms       []Arm       `json:"arms"`
	Levels     []Level     `json:"levels"`
	Days       [][]Day     `json:"days"`
	Scenarios  [][]string  `json:"scenarios"` // their texts, as played
	Builds     []string    `json:"builds"`    // by arm
	Replicates int         `json:"replicates"`
	About      string      `json:"about,omitempty"`
	Runs       []Run       `json:"runs"`
	Machine    string      `json:"machine,omitempty"`
	Lengths    [][]float64 `json:"lengths_s"`
}

// Identity gives it.
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

// Key is a run's name in the store: arm, level, seed, build and all that is played.
func (id *Identity) Key(r Run) string {
	h := sha256.New()
	// Maps are written in the order of their keys.
	if err := json.NewEncoder(h).Encode([]any{id.Days[r.Arm][r.Level], id.Scenarios[r.Arm][r.Level], id.Builds[r.Arm], id.Staircase, r.Seed}); err != nil {
		panic(fmt.Sprintf("a day that is no JSON: %v", err)) // it came from TOML
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Differs names the first thing in which an experiment is not the one that was begun under its name; ""
// is nothing. More replicates than before are no difference: the seeds before are the same.
func (id *Identity) Differs(begun *Identity) string {
	same := func(a, b any) bool {
		x, _ := json.Marshal(a)
		y, _ := json.Marshal(b)
		return string(x) == string(y)
	}
	switch shared := min(len(id.Seeds), len(begun.Seeds)); {
	case id.Question != begun.Question:
		return fmt.Sprintf("the question was %s, and is %s", begun.Question, id.Question)
	case !slices.Equal(id.Seeds[:shared], begun.Seeds[:shared]):
		return "the seeds are others"
	case !same(id.Staircase, begun.Staircase):
		return "the steps of the load are others"
	case !same(id.Arms, begun.Arms):
		return "the arms are others"
	case !same(id.Levels, begun.Levels):
		return "the factors are others"
	}
	for k := range id.Arms {
		if id.Builds[k] != begun.Builds[k] {
			return fmt.Sprintf("arm %s is another build of the daemon (%.12s, and it was %.12s)", id.Arms[k].Name, id.Builds[k], begun.Builds[k])
		}
		for l := range id.Levels {
			if !same(id.Days[k][l], begun.Days[k][l]) {
				return fmt.Sprintf("the settings of arm %s are others", id.Arms[k].Name)
			}
			if a, b := begun.Scenarios[k][l], id.Scenarios[k][l]; a != b {
				return "the scenario was edited: " + firstDifference(a, b)
			}
		}
	}
	return ""
}

// firstDifference is the first line in which two texts differ.
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
			return fmt.Sprintf("it said %q, and says %q", line(a), line(b))
		}
	}
	return "in its line ends"
}
