//go:build linux

package fleettest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"

	"marlreel/internal/standin"
)

// Event is one action or fault of a random history.
type Event struct {
	At, For time.Duration
	Kind    string
	A, B    int
}

func (e Event) String() string {
	return fmt.Sprintf("%.1f s %s %d %d for %.1f s", e.At.Seconds(), e.Kind, e.A, e.B, e.For.Seconds())
}

// History is a fleet and a schedule of events, generated from a seed.
type History struct {
	Seed    uint64
	Proxies int
	Within  time.Duration
	Events  []Event
}

func (h History) String() string {
	text := fmt.Sprintf("seed %d: %d proxies, agree-within %v", h.Seed, h.Proxies, h.Within)
	for _, e := range h.Events {
		text += "\n  " + e.String()
	}
	return text
}

const historyLength = 9 * time.Second

// Draw generates the history of a seed.
func Draw(seed uint64) History {
	rng := rand.New(rand.NewPCG(seed, 11))
	h := History{Seed: seed, Proxies: 3 + rng.IntN(6), Within: time.Duration(2+rng.IntN(2)) * time.Second}
	kinds := []string{"propose", "propose", "propose", "hup", "stop", "stop leader", "kill", "kill leader", "split", "one-way", "weather", "older", "empty", "full", "keepers", "drain", "read", "read"}
	for range 5 + rng.IntN(8) {
		h.Events = append(h.Events, Event{
			At: time.Duration(rng.Int64N(int64(historyLength))), For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(5*time.Second))),
			Kind: kinds[rng.IntN(len(kinds))], A: rng.IntN(100), B: rng.IntN(100),
		})
	}
	sort.Slice(h.Events, func(i, j int) bool { return h.Events[i].At < h.Events[j].At })
	return h
}

var settingsChanges = []func(Settings) Settings{
	func(s Settings) Settings { return s.Try(1) }, func(s Settings) Settings { return s.Try(2) }, func(s Settings) Settings { return s },
	func(s Settings) Settings { return s.Without("pickup") }, func(s Settings) Settings { return s.Try(2).Without("pickup") }, func(s Settings) Settings { return s.Try(3) },
	func(s Settings) Settings { return s.Try(1).With(Class{"notice", "retryable", time.Second}) },
}

// Play runs the history with the built program and returns the auditor's verdict.
func (h History) Play(program, dir string) (v Verdict, notes string, err error) {
	f, err := New(Options{Program: program, Dir: dir, Proxies: h.Proxies, Keepers: 3, Nodes: 3, Settings: Usual(), Errors: 0.25, Within: h.Within, Seed: h.Seed})
	defer func() {
		for _, n := range f.Notes() {
			notes += fmt.Sprintf("%8.3f %s\n", n.At.Seconds(), n.What)
		}
		if err != nil || len(v.Breaks) > 0 {
			for _, p := range f.Proxies {
				if p.log != nil {
					notes += "--- " + p.Name + "\n" + p.Log()
				}
			}
		}
		f.Close()
	}()
	if err != nil {
		return v, "", err
	}
	if err := f.StartAll(); err != nil {
		return v, "", err
	}
	if err := f.Wait(f.Proxies, "version 1", func(_ *Proxy, st Status) bool { return st.Goes(1) }); err != nil {
		return v, "", err
	}
	f.Load(2, 20*time.Millisecond, Usual().Classes...)
	r := &run{f: f, start: time.Now(), damaged: map[int]bool{}}
	for _, e := range h.Events {
		r.until(e.At)
		r.do(e)
	}
	r.until(historyLength + 5*time.Second)
	// At the end all faults are removed, and all proxies must agree again.
	f.Heal()
	r.asked.Wait()
	for _, p := range f.Proxies {
		if err := r.restore(p); err != nil {
			return v, "", err
		}
	}
	newest := uint64(0)
	err = f.Wait(f.Proxies, "one version", func(p *Proxy, st Status) bool {
		n := len(st.View.Versions)
		if n == 0 {
			return false
		}
		newest = max(newest, st.View.Versions[n-1].Number)
		return st.Goes(newest)
	})
	if err != nil {
		return v, "", err
	}
	for _, p := range f.Proxies {
		f.Read(p, Patience)
	}
	v, err = f.Audit(f.Unload())
	return v, "", err
}

// run is the state of a running history.
type run struct {
	f       *Fleet
	start   time.Time
	asked   sync.WaitGroup
	later   []step
	damaged map[int]bool // keepers whose disks were lost or set back: consensus tolerates that only for a minority
}

type step struct {
	at time.Duration
	do func()
}

// until sleeps until a time of the run and executes the scheduled steps that come due.
func (r *run) until(at time.Duration) {
	for {
		sort.SliceStable(r.later, func(i, j int) bool { return r.later[i].at < r.later[j].at })
		if len(r.later) == 0 || r.later[0].at > at {
			break
		}
		s := r.later[0]
		r.later = r.later[1:]
		time.Sleep(time.Until(r.start.Add(s.at)))
		s.do()
	}
	time.Sleep(time.Until(r.start.Add(at)))
}

func (r *run) then(d time.Duration, do func()) {
	r.later = append(r.later, step{time.Since(r.start) + d, do})
}

// running reports whether a proxy's process is running and not suspended.
func (r *run) running(p *Proxy) bool {
	now := r.f.Clock.Now()
	return !p.Away(now, now)
}

func (r *run) kill(p *Proxy, back time.Duration, between func()) {
	if !r.running(p) {
		return
	}
	p.Kill()
	r.then(back, func() {
		if between != nil {
			between()
		}
		r.f.Note("%s starts again", p.Name)
		p.Start()
		p.Ready() // a proxy that isn't ready is detected at the end
	})
}

func (r *run) do(e Event) {
	f := r.f
	p := f.Proxies[e.A%len(f.Proxies)]
	q := f.Proxies[e.B%len(f.Proxies)]
	if e.Kind == "stop leader" || e.Kind == "kill leader" {
		for _, k := range f.Proxies[:f.Keepers] {
			if st, err := k.Status(); err == nil && st.Leads {
				p = k
			}
		}
	}
	switch e.Kind {
	case "propose":
		if r.running(p) {
			r.asked.Go(func() { f.Propose(p, settingsChanges[e.B%len(settingsChanges)](Usual()), 3*f.Within) })
		}
	case "read":
		if r.running(p) {
			r.asked.Go(func() { f.Read(p, 3*f.Within) })
		}
	case "hup":
		s := settingsChanges[e.B%len(settingsChanges)](Usual())
		f.mu.Lock()
		f.texts = append(f.texts, s)
		f.mu.Unlock()
		f.proposedByFile = true
		for _, x := range f.Proxies {
			if x.WriteFile(s); r.running(x) && x != q {
				x.Hangup()
			}
		}
	case "stop", "stop leader":
		if r.running(p) {
			p.Stop()
			r.then(e.For, p.Continue)
		}
	case "kill", "kill leader":
		r.kill(p, e.For, nil)
	case "older", "empty":
		k := f.Proxies[e.A%f.Keepers]
		if len(r.damaged) > 0 || !r.running(k) {
			return
		}
		r.damaged[k.N] = true
		if e.Kind == "empty" {
			r.kill(k, e.For, func() { k.SetDisk("") })
		} else {
			k.KeepDisk("older")
			r.kill(k, e.For, func() {
				f.Heal() // a disk that was set back is detected only if peers that saw its newer state can be reached
				k.SetDisk("older")
			})
		}
	case "full":
		k := f.Proxies[e.A%f.Keepers]
		if r.running(k) {
			s := &story{f: f}
			s.disk(k, "full")
			r.then(e.For, func() {
				if r.running(k) {
					s.disk(k, "well")
				}
			})
		}
	case "keepers":
		for _, k := range f.Proxies[:f.Keepers] {
			r.kill(k, e.For+time.Duration(k.N*e.B%10)*100*time.Millisecond, nil)
		}
	case "split":
		var one, other []int
		for i := range f.Proxies {
			if (i+e.A)%2 == 0 {
				one = append(one, i)
			} else {
				other = append(other, i)
			}
		}
		f.Split(one, other)
		r.then(e.For, f.Heal)
	case "one-way":
		f.Note("nothing from %s", p.Name)
		for _, x := range f.Proxies {
			if x != p {
				f.Set(p.N, x.N, standin.LinkFaults{Cut: true})
			}
		}
		r.then(e.For, f.Heal)
	case "weather":
		f.Note("weather")
		all := indices(f.Proxies)
		f.SetAll(all, all, standin.LinkFaults{Slow: 80 * time.Millisecond, Lose: 0.25, Repeat: 0.25})
		r.then(e.For, f.Heal)
	case "drain":
		f.Proxies[e.B%len(f.Proxies)].Late(3 * time.Second)
		f.Put(e.A%len(f.Nodes), "Terminating")
		r.then(e.For+4*time.Second, func() { f.Put(e.A%len(f.Nodes), "Ready") })
	}
}

// restore makes a proxy run again, with its disk usable and, if its disk was damaged, as a keeper.
func (r *run) restore(p *Proxy) error {
	if !r.running(p) {
		p.Continue()
		select {
		case <-p.ended:
			if err := p.Start(); err != nil {
				return err
			}
		default:
		}
	}
	if err := p.Ready(); err != nil {
		return err
	}
	s := &story{f: r.f}
	if err := s.disk(p, "well"); err != nil {
		return err
	}
	if r.damaged[p.N] { // an operator adds it as a keeper again
		for try := 0; ; try++ {
			r, err := r.f.Proxies[(p.N+1)%r.f.Keepers].Operator(http.MethodPost, "/fleet/keepers", url.Values{"name": {p.Name}, "add": {"true"}}, nil, Patience)
			if err == nil && r.Error == "" {
				break
			}
			if try > 3 {
				break // it may still be a keeper under its old identity, if the copy of its disk was not older
			}
		}
	}
	return nil
}

// Shorten removes events without which the history still fails, with at most the given number of runs.
func (h History) Shorten(plays int, fails func(History) bool) History {
	for i := len(h.Events) - 1; i >= 0 && plays > 0; i-- {
		less := h
		less.Events = append(append([]Event(nil), h.Events[:i]...), h.Events[i+1:]...)
		plays--
		if fails(less) {
			h = less
		}
	}
	return h
}
