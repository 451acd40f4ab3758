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

// Bounds of what is decided and kept.
const (
	MostText     = 64 << 10 // bytes of a version
	keptTexts    = 8        // versions whose text is kept
	keptVersions = 64       // versions that are known by number, name and hash
	mostEnds     = 5000     // drains and ends
	mostSources  = 8
)

// Version is one version of the settings.
type Version struct {
	Number uint64    `json:"number"`
	Hash   string    `json:"hash"`
	By     string    `json:"by"`             // who proposed it
	ID     string    `json:"id,omitempty"`   // of the proposal
	Why    string    `json:"why,omitempty"`  // in the proposer's words
	At     time.Time `json:"at"`             // by the proposer's clock: for people
	Text   string    `json:"text,omitempty"` // "" where it is no longer kept
}

// Floor is the newest revision of a list that any proxy has told.
type Floor struct {
	History  int   `json:"history"` // goes up when an operator says that revisions begin anew
	Revision int64 `json:"revision"`
}

// End is a backend that drains, or has gone, by the word of a source at a revision.
type End struct {
	Source   string `json:"source"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Gone     bool   `json:"gone,omitempty"`
}

// State is what all decided changes together make. The same changes make the same state everywhere.
type State struct {
	Born     uint64           `json:"born"` // which founding of the fleet this is
	Seq      uint64           `json:"seq"`  // of the last change
	Step     uint64           `json:"step"` // the Seq at which the newest version was decided or opened
	Open     uint64           `json:"open"` // the newest version that is in force whole; 0 is none
	Versions []Version        `json:"versions"`
	Floors   map[string]Floor `json:"floors"`
	Ends     []End            `json:"ends"`
	Keepers  []Seat           `json:"keepers"`
}

// Seat is a keeper, by its name and its disk's identity.
type Seat struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
}

// Newest is the newest decided version; false is none.
func (s *State) Newest() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[len(s.Versions)-1], true
}

// Get is a version by its number.
func (s *State) Get(number uint64) (Version, bool) {
	i := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if i < 0 {
		return Version{}, false
	}
	return s.Versions[i], true
}

// Opening tells whether the newest version is decided but not yet open.
func (s *State) Opening() bool {
	v, some := s.Newest()
	return some && v.Number != s.Open
}

// clone is a copy that shares nothing that changes.
func (s *State) clone() *State {
	c := *s
	c.Versions, c.Ends, c.Keepers, c.Floors = slices.Clone(s.Versions), slices.Clone(s.Ends), slices.Clone(s.Keepers), maps.Clone(s.Floors)
	return &c
}

// Change is one entry of the log.
type Change struct {
	Kind    string    `json:"kind"`              // propose, open, told, reset, keepers
	ID      string    `json:"id,omitempty"`      // of the proposal, for its answer
	Base    uint64    `json:"base"`              // propose: the newest version that its proposer knew
	Version uint64    `json:"version,omitempty"` // open, and propose as a way back
	Text    string    `json:"text,omitempty"`
	By      string    `json:"by,omitempty"`
	Why     string    `json:"why,omitempty"`
	At      time.Time `json:"at,omitzero"`
	Source  string    `json:"source,omitempty"` // told, reset
	Floor   Floor     `json:"floor,omitzero"`
	Ends    []End     `json:"ends,omitempty"`
	Keepers []Seat    `json:"keepers,omitempty"` // keepers: all of them, from now on
}

// Hash names a text: the same settings have the same one, however they are spaced and ordered.
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

// Busy is why a proposal is refused that may be made again in a moment.
const Busy = "the version before is still being taken by the proxies"

// Result is what a proposal came to.
type Result struct {
	ID      string `json:"id"`
	Version uint64 `json:"version,omitempty"` // decided, or the same text decided before
	Same    bool   `json:"same,omitempty"`    // it was in force already
	Refused string `json:"refused,omitempty"` // why not
	By      string `json:"by,omitempty"`      // who was first, where somebody was

	Holders []Holder `json:"holders,omitempty"` // where that was asked: who goes by what
}

// apply takes a decided change in at a place of the log. What it gives is told to who proposed it.
func (s *State) apply(seq uint64, c Change) (r Result) {
	r.ID = c.ID
	switch c.Kind {
	case "propose":
		r = s.propose(c)
		if r.Refused != "" || r.Same {
			return r // nothing changed: leases stand
		}
		s.Step = seq
	case "open":
		v, some := s.Newest()
		if !some || v.Number != c.Version || s.Open == c.Version {
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

// propose decides on a version: the first on a base wins, and the other is told by whom.
func (s *State) propose(c Change) Result {
	r := Result{ID: c.ID}
	now, some := s.Newest()
	hash := Hash(c.Text)
	// Danger: one whose answer was lost asks again, and may find that others have gone on from its own version.
	if i := slices.IndexFunc(s.Versions, func(v Version) bool { return c.ID != "" && v.ID == c.ID }); i >= 0 {
		r.Version, r.Same, r.By = s.Versions[i].Number, true, s.Versions[i].By
		return r
	}
	switch {
	case len(c.Text) > MostText:
		r.Refused = "the settings are too long"
	case some && now.Hash == hash:
		r.Version, r.Same, r.By = now.Number, true, now.By
	case some && c.Base != now.Number:
		r.Refused, r.By, r.Version = "another version was decided first", now.By, now.Number
	case s.Opening():
		r.Refused, r.By, r.Version = Busy, now.By, now.Number
	default:
		r.Version = now.Number + 1
		s.Versions = append(s.Versions, Version{Number: r.Version, Hash: hash, ID: c.ID, By: c.By, Why: c.Why, At: c.At, Text: c.Text})
		if !some {
			s.Open = r.Version // there is none before it that anybody could go by
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

// told takes in what a proxy was told of a list, and tells whether anything is new.
func (s *State) told(c Change) (news bool) {
	f, known := s.Floors[c.Source]
	if !known && len(s.Floors) >= mostSources || c.Floor.History != f.History {
		return false
	}
	for _, e := range c.Ends {
		i, there := slices.BinarySearchFunc(s.Ends, e, byName)
		switch {
		case there && s.Ends[i].Revision >= e.Revision:
		case there:
			s.Ends[i], news = e, true
		default:
			s.Ends, news = slices.Insert(s.Ends, i, e), true
			if len(s.Ends) > mostEnds { // the oldest word: lists have long gone beyond it
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

// End is what was told of a backend of a source.
func (s *State) End(source, name string) (End, bool) {
	i, there := slices.BinarySearchFunc(s.Ends, End{Source: source, Name: name}, byName)
	if !there {
		return End{}, false
	}
	return s.Ends[i], true
}
