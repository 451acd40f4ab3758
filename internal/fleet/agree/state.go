package agree

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of the state.
const (
	MostText     = 64 << 10 // bytes of a version's text
	keptTexts    = 8        // versions whose text is kept
	keptVersions = 64       // versions of which everything but the text is kept
	maxEnds      = 5000     // entries of State.Ends
	maxSources   = 8
)

// Version is one version of the settings.
type Version struct {
	Number uint64    `json:"number"`
	Hash   string    `json:"hash"`
	By     string    `json:"by"`             // who proposed it
	ID     string    `json:"id,omitempty"`   // of the proposal
	Why    string    `json:"why,omitempty"`  // the reason that the proposer gave
	At     time.Time `json:"at"`             // by the proposer's clock; only shown to operators
	Text   string    `json:"text,omitempty"` // "" if it is no longer kept
}

// Floor is the newest revision of a list that any proxy has reported.
type Floor struct {
	History  int   `json:"history"` // incremented when an operator resets the floor because revisions start again
	Revision int64 `json:"revision"`
}

// End records that a source reported a backend as draining or gone at a revision.
type End struct {
	Source   string `json:"source"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Gone     bool   `json:"gone,omitempty"`
}

// State is the result of all decided changes. Applying the same changes gives the same state at every keeper.
type State struct {
	Born     uint64           `json:"born"` // random number of the founding, which tells fleets of one name apart
	Seq      uint64           `json:"seq"`  // log index of the last change
	Step     uint64           `json:"step"` // the Seq at which the newest version was decided or opened
	Open     uint64           `json:"open"` // the newest version that is in force by itself; 0 if none
	Versions []Version        `json:"versions"`
	Floors   map[string]Floor `json:"floors"`
	Ends     []End            `json:"ends"`
	Keepers  []Seat           `json:"keepers"`
}

// Seat is a keeper: its name and the identity of its disk.
type Seat struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
}

// Newest returns the newest decided version, if any.
func (s *State) Newest() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[len(s.Versions)-1], true
}

// Get returns a version by its number.
func (s *State) Get(number uint64) (Version, bool) {
	i := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if i < 0 {
		return Version{}, false
	}
	return s.Versions[i], true
}

// Opening reports whether the newest version is decided but not yet open.
func (s *State) Opening() bool {
	v, exists := s.Newest()
	return exists && v.Number != s.Open
}

// clone returns a copy that can be modified without changing the original.
func (s *State) clone() *State {
	c := *s
	c.Versions, c.Ends, c.Keepers, c.Floors = slices.Clone(s.Versions), slices.Clone(s.Ends), slices.Clone(s.Keepers), maps.Clone(s.Floors)
	return &c
}

// Change is one entry of the log.
type Change struct {
	Kind    string    `json:"kind"`              // propose, open, told, reset, keepers
	ID      string    `json:"id,omitempty"`      // of the proposal, for its answer
	Base    uint64    `json:"base"`              // propose: the newest version that the proposer knew
	Version uint64    `json:"version,omitempty"` // open; also sent with a propose that rolls back
	Text    string    `json:"text,omitempty"`
	By      string    `json:"by,omitempty"`
	Why     string    `json:"why,omitempty"`
	At      time.Time `json:"at,omitzero"`
	Source  string    `json:"source,omitempty"` // told, reset
	Floor   Floor     `json:"floor,omitzero"`
	Ends    []End     `json:"ends,omitempty"`
	Keepers []Seat    `json:"keepers,omitempty"` // keepers: the complete new set
}

// Hash returns a hash of a version's text. It does not depend on the white space and key order of JSON.
func Hash(text string) string {
	var tree any
	if json.Unmarshal([]byte(text), &tree) == nil {
		if same, err := json.Marshal(tree); err == nil {
			text = string(same)
		}
	}
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// Busy is the Refused text of a proposal that can be retried after a moment.
const Busy = "the version before is still being taken by the proxies"

// Result is the outcome of a proposal or another request to the leader.
type Result struct {
	ID      string `json:"id"`
	Version uint64 `json:"version,omitempty"` // the decided version, or the earlier one with the same text
	Same    bool   `json:"same,omitempty"`    // the text or the proposal was decided before
	Refused string `json:"refused,omitempty"` // the reason of a refusal
	By      string `json:"by,omitempty"`      // who proposed the version, or which keeper refused

	Holders []Holder `json:"holders,omitempty"` // the answer to a request for lease holders
}

// apply applies the decided change at a log index and returns the result for its proposer.
func (s *State) apply(seq uint64, c Change) (r Result) {
	r.ID = c.ID
	switch c.Kind {
	case "propose":
		r = s.propose(c)
		if r.Refused != "" || r.Same {
			return r // the state is unchanged, so leases stay valid
		}
		s.Step = seq
	case "open":
		v, exists := s.Newest()
		if !exists || v.Number != c.Version || s.Open == c.Version {
			return r
		}
		s.Open, s.Step = c.Version, seq
	case "told":
		if !s.told(c) {
			return r
		}
	case "reset":
		f := s.Floors[c.Source]
		s.Floors[c.Source] = Floor{History: f.History + 1}
		s.Ends = slices.DeleteFunc(s.Ends, func(e End) bool { return e.Source == c.Source })
	case "keepers":
		s.Keepers = slices.Clone(c.Keepers)
	default:
		return r
	}
	s.Seq = seq
	return r
}

// propose decides a proposed version. The first proposal on a base wins; others are refused and get its proposer's name.
func (s *State) propose(c Change) Result {
	r := Result{ID: c.ID}
	newest, exists := s.Newest()
	hash := Hash(c.Text)
	// Danger: a proposer that lost its answer retries, possibly after others have built on its version. It must still
	// learn that its proposal was decided.
	if i := slices.IndexFunc(s.Versions, func(v Version) bool { return c.ID != "" && v.ID == c.ID }); i >= 0 {
		r.Version, r.Same, r.By = s.Versions[i].Number, true, s.Versions[i].By
		return r
	}
	switch {
	case len(c.Text) > MostText:
		r.Refused = "the settings are too long"
	case exists && newest.Hash == hash:
		r.Version, r.Same, r.By = newest.Number, true, newest.By
	case exists && c.Base != newest.Number:
		r.Refused, r.By, r.Version = "another version was decided first", newest.By, newest.Number
	case s.Opening():
		r.Refused, r.By, r.Version = Busy, newest.By, newest.Number
	default:
		r.Version = newest.Number + 1
		s.Versions = append(s.Versions, Version{Number: r.Version, Hash: hash, ID: c.ID, By: c.By, Why: c.Why, At: c.At, Text: c.Text})
		if !exists {
			s.Open = r.Version // no proxy can be using an earlier version
		}
		if n := len(s.Versions); n > keptTexts {
			s.Versions[n-keptTexts-1].Text = ""
		}
		if n := len(s.Versions); n > keptVersions {
			s.Versions = slices.Clone(s.Versions[n-keptVersions:])
		}
	}
	return r
}

// told applies a proxy's report on a list and reports whether it changed the state.
func (s *State) told(c Change) (news bool) {
	f, known := s.Floors[c.Source]
	if !known && len(s.Floors) >= maxSources || c.Floor.History != f.History {
		return false
	}
	for _, e := range c.Ends {
		i, exists := slices.BinarySearchFunc(s.Ends, e, byName)
		switch {
		case exists && s.Ends[i].Revision >= e.Revision:
		case exists:
			s.Ends[i], news = e, true
		default:
			s.Ends, news = slices.Insert(s.Ends, i, e), true
			if len(s.Ends) > maxEnds { // drop the oldest entry: lists have moved far past it
				oldest := 0
				for k := range s.Ends {
					if s.Ends[k].Revision < s.Ends[oldest].Revision {
						oldest = k
					}
				}
				s.Ends = slices.Delete(s.Ends, oldest, oldest+1)
			}
		}
	}
	if c.Floor.Revision > f.Revision {
		f.Revision, news = c.Floor.Revision, true
		s.Floors[c.Source] = f
	}
	return news
}

func byName(a, b End) int {
	if n := strings.Compare(a.Source, b.Source); n != 0 {
		return n
	}
	return strings.Compare(a.Name, b.Name)
}

// End returns what was reported of a backend of a source.
func (s *State) End(source, name string) (End, bool) {
	i, exists := slices.BinarySearchFunc(s.Ends, End{Source: source, Name: name}, byName)
	if !exists {
		return End{}, false
	}
	return s.Ends[i], true
}
