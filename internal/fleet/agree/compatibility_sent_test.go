package agree

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
)

// compatibilityState returns a state that has all keys when encoded.
func compatibilityState() *State {
	at := time.Date(2026, 11, 30, 8, 15, 0, 250_000_000, time.UTC)
	return &State{
		Born: 7, Seq: 41, Step: 40, Open: 1,
		Versions: []Version{{Number: 1, Hash: Hash(`{"Tick":5}`), By: "n0", At: at}, {Number: 2, Hash: Hash(`{"Tick":6}`), By: "n1", ID: "n1-3", Why: "quicker", At: at, Text: `{"Tick":6}`}},
		Floors:   map[string]Floor{"platform": {History: 1, Revision: 90}, "etcd": {Revision: 17}},
		Ends:     []End{{Source: "etcd", Name: "a1", Revision: 16}, {Source: "platform", Name: "a2", Revision: 88, Gone: true}},
		Keepers:  []Seat{{Name: "n0", ID: 11}, {Name: "n1", ID: 12}, {Name: "n2", ID: 13}},
	}
}

// Each message between the proxies of a fleet is encoded as the recorded bytes, which are decoded and encoded to the same.
func TestCompatibilityMessages(t *testing.T) {
	at := time.Date(2026, 11, 30, 8, 15, 0, 250_000_000, time.UTC)
	var got strings.Builder
	for _, m := range []struct {
		name    string
		message Message
	}{
		{"raft", Message{Raft: []byte{8, 3, 16, 1, 255}}},
		{"renew", Message{Renew: &Renew{N: 5, Boot: 6, Born: 7, Have: 41, Held: 40, List: Lists{Source: "etcd", Revision: 17, Count: 12, Hash: 1 << 63}, Within: 5 * time.Second}}},
		{"renew without a list", Message{Renew: &Renew{N: 1}}},
		{"grant with a state", Message{Grant: &Grant{N: 5, Boot: 6, Seq: 41, State: compatibilityState()}}},
		{"grant that names the leader", Message{Grant: &Grant{N: 5, Boot: 6, Leader: "n2"}}},
		{"propose", Message{Propose: &Change{Kind: "propose", ID: "n1-3", Base: 1, Text: `{"Tick":6}`, By: "n1", Why: "quicker", At: at}}},
		{"propose a way back", Message{Propose: &Change{Kind: "propose", ID: "n1-4", Base: 2, Version: 1}}},
		{"open", Message{Propose: &Change{Kind: "open", Version: 2}}},
		{"told", Message{Propose: &Change{Kind: "told", Source: "etcd", Floor: Floor{History: 2, Revision: 18}, Ends: []End{{Source: "etcd", Name: "a3", Revision: 18, Gone: true}}}}},
		{"reset", Message{Propose: &Change{Kind: "reset", ID: "x", Source: "etcd"}}},
		{"keepers", Message{Propose: &Change{Kind: "keepers", Keepers: []Seat{{Name: "n0", ID: 11}}}}},
		{"result", Message{Result: &Result{ID: "n1-3", Version: 2, Same: true, By: "n1"}}},
		{"result that refuses", Message{Result: &Result{ID: "n1-3", Refused: Busy}}},
		{"result with holders", Message{Result: &Result{ID: "n1-5", Holders: []Holder{{Name: "n0", Lists: Lists{Source: "etcd", Revision: 17, Count: 12, Hash: 99}}}}}},
		{"hello", Message{Hello: &Hello{Name: "n0", ID: 11, Life: 3, Boot: 6, Term: 2, Last: 41, Empty: true}}},
		{"known", Message{Known: &Known{To: 11, Life: 3, Old: "older than what was seen", ID: 12, Empty: true, Begun: true}}},
		{"check", Message{Check: &Check{ID: "n1-3", Text: `{"Tick":6}`}}},
		{"checked", Message{Checked: &Checked{ID: "n1-3", Bad: "no"}}},
		{"checked and good", Message{Checked: &Checked{ID: "n1-3"}}},
		{"nudge", Message{Nudge: 42}},
		{"seat", Message{Seat: &SeatAsk{ID: "n1-6", Name: "n3", Add: true}}},
		{"invite", Message{Invite: true}},
		{"names asked", Message{Names: &Names{ID: "n1-7", Ask: true}}},
		{"names", Message{Names: &Names{ID: "n1-7", Source: "etcd", Revision: 17, Ready: []string{"a1", "a2"}}}},
	} {
		fmt.Fprintf(&got, "%s: %s\n", m.name, Encode(m.message))
	}
	recorded.Check(t, "messages.txt", got.String())

	recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", "messages.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(recorded)) {
		name, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		m, err := Decode([]byte(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if again := Encode(m); string(again) != text {
			t.Errorf("%s: decoded and encoded again it is\n got %s\nwant %s", name, again, text)
		}
	}
	if _, err := Decode([]byte(`{"f":2,"invite":true}`)); err == nil {
		t.Error("a message of form 2 was decoded without an error")
	}
}

// Applying the changes in order gives the recorded results and states: keepers of two releases side by side must come to
// the same state. The hash of a version's text is part of it.
func TestCompatibilityApply(t *testing.T) {
	at := time.Date(2026, 11, 30, 8, 15, 0, 0, time.UTC)
	s := &State{Born: 7, Floors: map[string]Floor{}}
	var got strings.Builder
	for i, c := range []Change{
		{Kind: "keepers", Keepers: []Seat{{Name: "n0", ID: 11}, {Name: "n1", ID: 12}, {Name: "n2", ID: 13}}},
		{Kind: "propose", ID: "n0-1", Text: `{"Tick": 5, "Rules": [1, 2]}`, By: "n0", At: at},
		{Kind: "propose", ID: "n1-1", Base: 1, Text: `{"Rules":[1,2],"Tick":5}`, By: "n1", At: at},
		{Kind: "propose", ID: "n1-2", Base: 1, Text: `{"Tick":6}`, By: "n1", Why: "slower", At: at},
		{Kind: "propose", ID: "n2-1", Base: 1, Text: `{"Tick":7}`, By: "n2", At: at},
		{Kind: "propose", ID: "n2-2", Base: 2, Text: `{"Tick":7}`, By: "n2", At: at},
		{Kind: "open", Version: 2},
		{Kind: "told", Source: "etcd", Floor: Floor{Revision: 18}, Ends: []End{{Source: "etcd", Name: "a3", Revision: 18}}},
		{Kind: "told", Source: "etcd", Floor: Floor{Revision: 20}, Ends: []End{{Source: "etcd", Name: "a3", Revision: 19, Gone: true}, {Source: "etcd", Name: "a1", Revision: 20}}},
		{Kind: "told", Source: "platform", Floor: Floor{Revision: 3}},
		{Kind: "reset", ID: "r", Source: "etcd"},
		{Kind: "of another release"},
	} {
		r := s.apply(uint64(i+1), c)
		fmt.Fprintf(&got, "%s: %s\n%s\n", c.Kind, Encode(Message{Result: &r}), Encode(Message{Grant: &Grant{State: s}}))
	}
	recorded.Check(t, "apply.txt", got.String())
}
