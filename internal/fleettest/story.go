//go:build linux

package fleettest

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"marlreel/internal/standin"
)

// A story is a test script in a text file: one command or expectation per line. This interpreter runs all of them, and
// the auditor checks the whole run at the end of each.
//
//	fleet proxies=5 keepers=3 nodes=3 within=2s errors=0.2   the fleet; the first line
//	start                       start all proxies and wait until version 1 is in force
//	start-only                  start all proxies and wait until they are ready
//	load                        start the clients
//	pass 500ms                  sleep: the duration of a fault, never a wait for an event
//	file n3 attempts=1 -pickup  write a proxy's settings file ("broken": invalid JSON)
//	hup n0 n1                   SIGHUP
//	propose n0 attempts=2       through the operator socket; a line ends with the expected outcome: "decided", "refused TEXT", "lost" or "any"
//	expect n0,n1 version=2      wait for a state; also: attempts=3, strict, leased, keeps, unkept, seated, unseated, behind, ended=s-1, log=TEXT
//	never n3 version=2          fail if the state holds now
//	stop, continue, kill, restart, term, upgrade   a proxy's process
//	disk n1 keep|set|empty|torn|full|well|of=n2
//	split n0,n1 n2,n3,n4        drop everything between the sides
//	cut n0 n1                   drop everything from the first to the second
//	weather lose=0.2 slow=100ms repeat=0.2
//	heal                        remove all faults from the links
//	node s-1 Terminating        set its state in service discovery
//	late n3 4s                  delay its discovery updates
//	keepers n0 add n3           change the keepers through the operator socket; outcomes as for propose
//	rogue n0 [name=n1] [key=other] [fleet=other]
//
// $leader stands for the leader, and $other for a keeper that is not the leader.
type story struct {
	f      *Fleet
	rng    *rand.Rand
	rogues []*Rogue
	loaded bool
	at     string
}

// PlayStory runs a story file, with dir for the fleet's files, and returns the auditor's verdict.
func PlayStory(program, path, dir string) (v Verdict, notes string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return v, "", err
	}
	s := &story{rng: rand.New(rand.NewPCG(7, 7))}
	defer func() {
		for _, r := range s.rogues {
			r.Close()
		}
		if s.f == nil {
			return
		}
		for _, n := range s.f.Notes() {
			notes += fmt.Sprintf("%8.3f %s\n", n.At.Seconds(), n.What)
		}
		if err != nil {
			for _, p := range s.f.Proxies {
				notes += "--- " + p.Name + "\n" + p.Log()
			}
		}
		s.f.Close()
	}()
	n := 0
	for l := range strings.Lines(string(text)) {
		n++
		l, _, _ = strings.Cut(strings.TrimSpace(l), "#")
		words := strings.Fields(l)
		if len(words) == 0 {
			continue
		}
		s.at = fmt.Sprintf("%s:%d: %s", filepath.Base(path), n, strings.TrimSpace(l))
		if err := s.line(program, dir, words); err != nil {
			return v, notes, fmt.Errorf("%s: %w", s.at, err)
		}
	}
	var answers []Answer
	if s.loaded {
		answers = s.f.Unload()
	}
	v, err = s.f.Audit(answers)
	return v, notes, err
}

func options(words []string) map[string]string {
	all := map[string]string{}
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		all[key] = value
	}
	return all
}

func number(text string, otherwise float64) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	return otherwise
}

// settings parses words of the forms attempts=N, -CLASS and +CLASS:EFFECT:TIMEOUT as changes of Usual.
func settings(words []string) Settings {
	s := Usual()
	for _, w := range words {
		switch {
		case strings.HasPrefix(w, "attempts="):
			s = s.Try(int(number(w[len("attempts="):], 4)))
		case strings.HasPrefix(w, "-"):
			s = s.Without(w[1:])
		case strings.HasPrefix(w, "+"):
			part := append(strings.Split(w[1:], ":"), "retryable", "2s")
			d, _ := time.ParseDuration(part[2])
			if d == 0 {
				d = 2 * time.Second
			}
			s = s.With(Class{part[0], part[1], d})
		}
	}
	return s
}

// proxies parses a list of proxies: all, or names such as n0,$leader,$other.
func (s *story) proxies(words string) ([]*Proxy, error) {
	if words == "all" {
		return s.f.Proxies, nil
	}
	var some []*Proxy
	for name := range strings.SplitSeq(words, ",") {
		if name == "$leader" || name == "$other" {
			p, err := s.f.leader(name == "$other")
			if err != nil {
				return nil, err
			}
			some = append(some, p)
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		if err != nil || n >= len(s.f.Proxies) {
			return nil, fmt.Errorf("unknown proxy %s", name)
		}
		some = append(some, s.f.Proxies[n])
	}
	return some, nil
}

// leader waits until a keeper leads, and returns it or, with other, a keeper that doesn't lead.
func (f *Fleet) leader(other bool) (*Proxy, error) {
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		var leads, rest *Proxy
		for _, p := range f.Proxies[:f.Keepers] {
			if st, err := p.Status(); err == nil && st.Leads {
				leads = p
			} else if err == nil {
				rest = p
			}
		}
		if leads != nil && (!other || rest != nil) {
			if other {
				return rest, nil
			}
			return leads, nil
		}
	}
	return nil, fmt.Errorf("timed out waiting for a leader")
}

func indices(some []*Proxy) (all []int) {
	for _, p := range some {
		all = append(all, p.N)
	}
	return all
}

func (s *story) line(program, dir string, words []string) error {
	verb, rest := words[0], words[1:]
	if verb == "fleet" {
		o := options(rest)
		within, err := time.ParseDuration(o["within"])
		if err != nil {
			return err
		}
		s.f, err = New(Options{
			Program: program, Dir: dir, Proxies: int(number(o["proxies"], 3)), Keepers: int(number(o["keepers"], 3)), Nodes: int(number(o["nodes"], 3)),
			Within: within, Errors: number(o["errors"], 0), Settings: Usual(), Seed: 5, Hold: o["hold"] != "",
		})
		return err
	}
	if s.f == nil {
		return fmt.Errorf("the first command of a story must be fleet")
	}
	f := s.f
	switch verb {
	case "start":
		if err := f.StartAll(); err != nil {
			return err
		}
		return f.Wait(f.Proxies, "version 1", func(_ *Proxy, st Status) bool { return st.Goes(1) })
	case "start-only":
		return f.StartAll()
	case "load":
		s.loaded = true
		f.Load(3, 15*time.Millisecond, Usual().Classes...)
		return nil
	case "pass":
		d, err := time.ParseDuration(rest[0])
		time.Sleep(d)
		return err
	case "heal":
		f.Heal()
		return nil
	case "split":
		var sides [][]int
		for _, w := range rest {
			some, err := s.proxies(w)
			if err != nil {
				return err
			}
			sides = append(sides, indices(some))
		}
		f.Split(sides...)
		return nil
	case "weather":
		o := options(rest)
		slow, _ := time.ParseDuration(o["slow"])
		f.Note("weather %v", rest)
		all := indices(f.Proxies)
		f.SetAll(all, all, standin.LinkFaults{Slow: slow, Lose: number(o["lose"], 0), Repeat: number(o["repeat"], 0)})
		return nil
	case "node":
		n, _ := strconv.Atoi(strings.TrimPrefix(rest[0], "s-"))
		f.Put(n, rest[1])
		return nil
	}
	if len(rest) == 0 {
		return fmt.Errorf("the command needs a proxy")
	}
	if verb == "hup" {
		for _, w := range rest {
			some, err := s.proxies(w)
			if err != nil {
				return err
			}
			for _, p := range some {
				p.Hangup()
			}
		}
		return nil
	}
	some, err := s.proxies(rest[0])
	if err != nil {
		return err
	}
	for _, p := range some {
		if err := s.do(verb, p, rest[1:]); err != nil {
			return err
		}
	}
	return nil
}

// do runs a command on one proxy.
func (s *story) do(verb string, p *Proxy, rest []string) error {
	f := s.f
	switch verb {
	case "file":
		if len(rest) == 1 && rest[0] == "broken" {
			return p.WriteRaw(`{"name":`)
		}
		f.texts = append(f.texts, settings(rest))
		f.proposedByFile = true
		return p.WriteFile(settings(rest))
	case "stop":
		p.Stop()
	case "continue":
		p.Continue()
	case "kill":
		p.Kill()
	case "term":
		p.Term()
	case "restart":
		f.Note("%s starts again", p.Name)
		if err := p.Start(); err != nil {
			return err
		}
		return p.Ready()
	case "upgrade":
		return p.Upgrade()
	case "late":
		d, err := time.ParseDuration(rest[0])
		p.Late(d)
		return err
	case "cut":
		to, err := s.proxies(rest[0])
		if err != nil {
			return err
		}
		for _, q := range to {
			if q == p {
				continue
			}
			f.Note("nothing from %s to %s", p.Name, q.Name)
			f.Set(p.N, q.N, standin.LinkFaults{Cut: true})
		}
	case "disk":
		return s.disk(p, rest[0])
	case "propose":
		patience, want := Patience, "decided"
		for i, w := range rest {
			if w == "decided" || w == "refused" || w == "lost" || w == "any" {
				want = strings.Join(rest[i:], " ")
				if rest = rest[:i]; w == "lost" {
					patience = 4 * f.Within
				}
				break
			}
		}
		r, err := f.Propose(p, settings(rest), patience)
		return expected(want, r, err)
	case "keepers":
		r, err := p.Operator(http.MethodPost, "/fleet/keepers", url.Values{"name": {rest[1]}, "add": {fmt.Sprint(rest[0] == "add")}}, nil, Patience)
		f.Note("keepers %v: %s %v", rest, r.Error, err)
		want := "decided"
		if len(rest) > 2 {
			want = strings.Join(rest[2:], " ")
		}
		if err == nil && r.Error == "" {
			r.Version = 1
		}
		return expected(want, r, err)
	case "rogue":
		o := options(rest)
		key, fleet, name := f.Key, "pier", "rogue"
		if o["key"] != "" {
			key = bytes.Repeat([]byte{9}, 32)
		}
		if o["fleet"] != "" {
			fleet = o["fleet"]
		}
		if o["name"] != "" {
			name = o["name"]
		}
		r, err := f.NewRogue(p, name, fleet, key)
		if err != nil {
			return err
		}
		s.rogues = append(s.rogues, r)
		r.SendGarbage(s.rng)
		p.SendNoise(s.rng)
	case "expect":
		what := strings.Join(rest, " ")
		return f.Wait([]*Proxy{p}, what, func(p *Proxy, st Status) bool { return holds(p, st, what) })
	case "never":
		if st, err := p.Status(); err == nil && holds(p, st, strings.Join(rest, " ")) {
			return fmt.Errorf("%s is in the state that must not hold", p.Name)
		}
	default:
		return fmt.Errorf("unknown command %s", verb)
	}
	return nil
}

// expected compares a reply to an operator with the outcome that a story expects.
func expected(want string, r Reply, err error) error {
	got := "decided"
	switch {
	case err != nil || r.Status != http.StatusOK && strings.Contains(r.Error, "no keeper that leads"):
		got = "lost"
	case r.Error != "":
		got = "refused " + r.Error
	}
	verb, text, _ := strings.Cut(want, " ")
	if want == "any" || strings.HasPrefix(got, verb) && strings.Contains(got, strings.Trim(text, `"`)) {
		return nil
	}
	return fmt.Errorf("outcome is %s, want %s (%v)", got, want, err)
}

// holds reports whether a proxy is in a state, in the words of expect.
func holds(p *Proxy, st Status, what string) bool {
	key, value, _ := strings.Cut(what, "=")
	switch key {
	case "version":
		n, _ := strconv.ParseUint(value, 10, 64)
		return st.Goes(n)
	case "attempts":
		n := len(st.View.Versions)
		return n > 0 && st.Goes(st.View.Versions[n-1].Number) && strings.Contains(st.View.Versions[n-1].Text, `"MaxAttempts":`+value+",")
	case "strict":
		return st.Strict
	case "leased":
		return !st.Strict
	case "behind":
		return st.Behind > 0
	case "ended":
		for _, e := range st.View.Ends {
			if e.Name == value {
				return true
			}
		}
		return false
	case "seated", "unseated":
		for _, k := range st.View.Keepers {
			if k.Name == p.Name {
				return key == "seated"
			}
		}
		return key == "unseated"
	case "unkept":
		return st.Keeper == ""
	case "keeps":
		return st.Keeper == "keeps the log"
	case "log":
		return strings.Contains(p.Log(), strings.Trim(value, `"`))
	}
	return false
}

// Wait polls until holds returns true for all the proxies in one round.
func (f *Fleet) Wait(some []*Proxy, what string, holds func(*Proxy, Status) bool) error {
	last := ""
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		all := true
		for _, p := range some {
			st, err := p.Status()
			if err != nil || !holds(p, st) {
				all, last = false, fmt.Sprintf("%s: %+v %v", p.Name, st, err)
				break
			}
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s; last state %.600s", what, last)
}

// disk changes a proxy's disk as the story command disk says.
func (s *story) disk(p *Proxy, how string) error {
	s.f.Note("disk of %s: %s", p.Name, how)
	file := filepath.Join(p.Disk, "fleet.db")
	switch {
	case how == "keep":
		return p.KeepDisk("kept-" + p.Name)
	case how == "set":
		return p.SetDisk("kept-" + p.Name)
	case how == "empty":
		return p.SetDisk("")
	case strings.HasPrefix(how, "of="):
		some, err := s.proxies(how[len("of="):])
		if err != nil {
			return err
		}
		if err := some[0].KeepDisk("copied"); err != nil {
			return err
		}
		return p.SetDisk("copied")
	case how == "torn":
		return os.Truncate(file, 3*4096+100)
	case how == "full":
		return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}, nil)
	case how == "well":
		return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}, nil)
	}
	return fmt.Errorf("unknown disk fault %s", how)
}
