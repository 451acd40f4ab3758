package membership

import (
	"fmt"
	"time"
)

// Config holds the limits and delays of a Model.
type Config struct {
	Sources         []string      // names, in order of preference
	LossTimeout     time.Duration // how long the list of an unreachable source stays in force
	FailbackDelay   time.Duration // how long a preferred source must be reachable before its list is in force again
	MaxLossFraction float64       // of the list, from 0 to 1, that may be removed within LossWindow; 0 and 1 mean no limit
	LossWindow      time.Duration
	MaxFlaps        float64       // returns within FlapDecay after which an entry is damped; 0 means no limit
	FlapDecay       time.Duration // time constant of the exponential decay of flap penalties
	MaxEntries      int           // per source; further ones are ignored and logged; 0 means no limit
	EmitDeltas      bool          // emit small changes as Delta
}

// limitsLoss reports whether there is a limit on how much of the list may be removed at once.
func (c *Config) limitsLoss() bool { return c.MaxLossFraction > 0 && c.MaxLossFraction < 1 }

// Model is one proxy's view of its sources. It is not safe for concurrent use.
type Model struct {
	config  Config
	sources []*source
	active  int // index of the source whose list is in force; -1 for the cached list

	list       map[string]Entry // in force, as last emitted
	listCached bool             // whether it is the cached list, as last emitted
	published  bool             // a list has been emitted

	cachedList map[string]Entry // from an earlier process; unused once a source has reported
	wantCached bool             // the list to be emitted is the cached one

	incremental    bool                // the list has been derived in full, so updates may be applied to it
	drainsIgnored  bool                // other sources report too many drains, which are ignored
	namesByAddress map[string][]string // names of the active source's items

	recentSizes []sizeSample         // of the list, within Config.LossWindow
	retained    map[string]Entry     // removed with too many others and therefore kept
	flaps       map[string]flapState // by name
	damped      map[string]bool      // kept out of the list, by name
	lastLines   map[string]string    // the last line logged, by topic
	actions     []Action             // not returned yet
}

// New returns a model without a list.
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

// takeActions returns the actions since its last call.
func (m *Model) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// maxLastLines bounds Model.lastLines, as new names keep appearing. At the limit all lines are forgotten and may be
// logged again.
const maxLastLines = 10_000

// log emits a line unless it repeats the last line of its topic.
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

// forgetLine allows the last line of a topic to be logged again.
func (m *Model) forgetLine(topic string) { delete(m.lastLines, topic) }

// requestSnapshot requests a source's snapshot unless a request is pending.
func (m *Model) requestSnapshot(index int) {
	s := m.sources[index]
	if s.loading {
		return
	}
	s.loading = true
	m.actions = append(m.actions, RequestSnapshot{index})
}
