package membership

import (
	"fmt"
	"time"
)

// Config holds the bounds and delays of a Model.
type Config struct {
	Sources         []string      // names, in order of preference
	LossTimeout     time.Duration // how long the list of an unreachable source stays in force
	FailbackDelay   time.Duration // how long a preferred source must be reachable before its list is in force again
	MaxLossFraction float64       // of the list, from 0 to 1, that may go within LossWindow; 0 and 1 are no bound
	LossWindow      time.Duration
	MaxFlaps        float64       // returns within FlapDecay after which an entry is damped; 0 is no bound
	FlapDecay       time.Duration // time constant of the decay of flap penalties
	MaxEntries      int           // of a source; further ones are ignored and logged; 0 is no bound
	EmitDeltas      bool          // small changes are emitted as Delta
}

// limitsLoss reports whether there is a bound on how much of the list may go at once.
func (c *Config) limitsLoss() bool { return c.MaxLossFraction > 0 && c.MaxLossFraction < 1 }

// Model is one proxy's view of its sources. It is not safe for concurrent use.
type Model struct {
	config  Config
	sources []*source
	active  int // the source whose list is in force; -1: the cached list is

	list       map[string]Entry // in force, as last emitted
	listCached bool             // as last emitted
	published  bool             // a list has been emitted

	cachedList map[string]Entry // from an earlier process, until a source has reported
	wantCached bool             // what is to be emitted is the cached list

	incremental    bool                // list was derived completely: updates may be applied to it
	drainsIgnored  bool                // other sources report that too many drain
	namesByAddress map[string][]string // of the active source's items

	recentSizes []sizeSample         // of the list, within Config.LossWindow
	retained    map[string]Entry     // removed with too many others, and kept
	flaps       map[string]flapState // by name
	damped      map[string]bool      // kept out of the list, by name
	lastLines   map[string]string    // the last line logged, by topic
	actions     []Action             // not taken yet
}

// New returns a model that knows of no list.
func New(config Config) *Model {
	m := &Model{
		config: config, active: -1, list: map[string]Entry{}, retained: map[string]Entry{}, flaps: map[string]flapState{},
		damped: map[string]bool{}, lastLines: map[string]string{},
	}
	for _, name := range config.Sources {
		m.sources = append(m.sources, newSource(name))
	}
	return m
}

// takeActions returns the actions since it was last called.
func (m *Model) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// maxLastLines bounds Model.lastLines: names are ever new. Beyond it all are forgotten, and may be logged again.
const maxLastLines = 10_000

// log emits a line unless it is the last one of its topic.
func (m *Model) log(topic, format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if m.lastLines[topic] == line {
		return
	}
	if len(m.lastLines) >= maxLastLines {
		clear(m.lastLines)
	}
	m.lastLines[topic] = line
	m.actions = append(m.actions, LogLine(line))
}

// forgetLine lets the last line of a topic be logged again.
func (m *Model) forgetLine(topic string) { delete(m.lastLines, topic) }

// requestSnapshot asks for a source's snapshot unless one is on its way.
func (m *Model) requestSnapshot(index int) {
	s := m.sources[index]
	if s.loading {
		return
	}
	s.loading = true
	m.actions = append(m.actions, RequestSnapshot{index})
}
