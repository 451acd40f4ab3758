// Package fleet is a proxy's part in a fleet of proxies: it carries out what package agree decides. It owns the one
// goroutine on which the keeper and the member live, the peers, the disk and the clock of leases, and what operators
// ask. It never decides what versions mean (package rules), nor anything on a request.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/disk"
	"marlreel/internal/fleet/peers"
	"marlreel/internal/fleet/transition"
)

// Rules are what a proxy goes by.
type Rules struct {
	Seq      uint64
	Versions []uint64 // in force: the newest, and the one before while it is being taken; none: no word yet
	InForce  balancer.Config
	Strict   balancer.Config // when the lease has run out
}

// Host is the proxy.
type Host interface {
	// Rule puts rules in force, and calls done on any goroutine when they are, or with why not.
	Rule(r Rules, done func(error))
	// Extend lets the lease on the rules in force run until then, on Now's clock. Any goroutine.
	Extend(until time.Duration)
	// Parse reads a version's text, with what is this proxy's own.
	Parse(text string) (balancer.Config, error)
	// Told hands on what proxies were told of lists. Any goroutine; the state is never changed.
	Told(s *agree.State)
	// Names gives the backends that this proxy's own list has as ready to done, on any goroutine.
	Names(done func(l agree.Lists, ready []string))
}

// Options are what the fleet is told of this proxy.
type Options struct {
	Config
	Proxy string // its name
	File  string // the settings of its file, without what is its own
	Check func(before []string, text string) error
	Host  Host
	Log   *slog.Logger
}

// Fleet is this proxy's part. Make it with Start.
type Fleet struct {
	o      Options
	cfg    agree.Config
	key    []byte
	events chan func()
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once
	status atomic.Pointer[Status]

	// The rest is the goroutine's.
	peers    *peers.Peers
	disk     *disk.Disk
	keeper   *agree.Keeper
	member   *agree.Member
	rng      *rand.Rand
	ticks    int
	known    []string // texts of versions that this process has gone by or heard of, the newest last
	ruled    *agree.State
	ruledAt  time.Time
	adopted  *agree.State // on its way to the engine
	lapsed   bool
	file     string
	fileHash string
	asks     map[string]*ask
	lastAsk  uint64
	tells    []agree.Change
	lists    agree.Lists
	saidOnce map[string]bool
	sights   map[string]*sight
	peersAt  int // tick at which to try again
	diskAt   int
	floorAt  time.Time // since when this proxy's list has been under the floor
}

// ask is a question to the keeper that leads.
type ask struct {
	msg   agree.Message
	until time.Duration
	next  time.Duration
	reply chan agree.Result
}

// Start begins. What can't be had at once (a port, a disk) is tried again and said once; only what can never be
// right is an error.
func Start(o Options) (*Fleet, error) {
	key, err := peers.ReadKey(o.KeyFile)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(o.Peers, func(p peers.Peer) bool { return p.Name == o.Proxy }) {
		return nil, &ConfigError{"fleet.peers", fmt.Sprintf("lack this proxy's own name, %q", o.Proxy)}
	}
	if slices.Contains(o.Keepers, o.Proxy) && o.Dir == "" {
		return nil, &ConfigError{"fleet.dir", "is missing: a keeper needs a folder that outlives the process"}
	}
	f := &Fleet{
		o: o, key: key, events: make(chan func(), 1024), stop: make(chan struct{}), done: make(chan struct{}), asks: map[string]*ask{}, sights: map[string]*sight{},
		saidOnce: map[string]bool{}, file: o.File, fileHash: agree.Hash(o.File), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	f.cfg = agree.Config{Name: o.Proxy, Boot: f.rng.Uint64()>>11 | 1, Keepers: o.Keepers, Within: o.AgreeWithin.D(), Seed: f.rng.Uint64() >> 11, Check: o.Check}
	f.known = []string{o.File}
	f.openDisk()
	var saved *agree.State
	if f.disk != nil {
		if saved, err = f.disk.View(); err != nil {
			f.warn("fleet-view-lost", err)
		}
	}
	f.member = agree.NewMember(f.cfg, saved)
	if saved != nil {
		f.learn(saved)
		o.Host.Told(saved)
	}
	f.lapsed = true
	f.publish()
	go f.run()
	return f, nil
}

// First are the rules until the fleet has been heard: no lease runs.
func (f *Fleet) First(file balancer.Config) Rules {
	return Rules{InForce: file, Strict: f.strictOf(nil)}
}

func (f *Fleet) warn(event string, err error) {
	var a interface{ Advice() string }
	if errors.As(err, &a) {
		f.o.Log.Warn(err.Error(), "event", event, "do", a.Advice())
		return
	}
	f.o.Log.Warn(err.Error(), "event", event)
}

// warnOnce says a thing once, until it is over.
func (f *Fleet) warnOnce(event string, err error) {
	if !f.saidOnce[event] {
		f.saidOnce[event] = true
		f.warn(event, err)
	}
}

// post hands the goroutine an event.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

func (f *Fleet) run() {
	defer close(f.done)
	tick := time.NewTicker(f.cfg.Tick())
	defer tick.Stop()
	for {
		select {
		case event := <-f.events:
			event()
		case <-tick.C:
			f.tick()
		case <-f.stop:
			if f.peers != nil {
				f.peers.Close()
			}
			if f.disk != nil {
				f.disk.Close()
			}
			return
		}
	}
}

func (f *Fleet) tick() {
	f.ticks++
	now := Now()
	if f.peers == nil && f.ticks >= f.peersAt {
		f.join()
	}
	if f.disk == nil && f.o.Dir != "" && f.ticks >= f.diskAt {
		f.openDisk()
	}
	if f.disk != nil && f.keeper == nil && f.ticks >= f.diskAt {
		f.startKeeper()
	}
	if f.keeper != nil {
		f.carry(f.keeper.Tick(now))
	}
	if k := f.keeper; k != nil && k.Leads() && k.Complete() && f.ticks%20 == 0 {
		if _, some := k.View().Newest(); !some {
			f.carry(k.Receive(now, f.o.Proxy, agree.Message{Propose: &agree.Change{Kind: "propose", ID: f.askID(), Text: f.file, By: f.o.Proxy, Why: "the file of the one that led first", At: time.Now()}}))
		}
	}
	f.carry(f.member.Tick(now))
	f.askAgain(now)
	if lapsed := !f.member.Valid(now); lapsed != f.lapsed {
		f.lapsed = lapsed
		if lapsed {
			f.o.Log.Warn("the lease on the fleet's settings has run out: nothing that may have run goes again, until the keepers are heard", "event", "fleet-lease-lapsed", "state", f.member.Held())
		} else {
			f.o.Log.Info("the fleet's settings are under a lease", "event", "fleet-lease", "state", f.member.Held())
		}
	}
	if f.ticks%4 == 0 {
		f.publish()
	}
}

// join begins to be a peer.
func (f *Fleet) join() {
	p, err := peers.Join(peers.Config{
		Fleet: f.o.Name, Name: f.o.Proxy, Listen: f.o.Listen, Peers: f.o.Peers, Key: f.key, Boot: f.cfg.Boot, Started: time.Now(),
		Receive: f.receive, Refused: func(err error) { f.post(func() { f.warn("fleet-refused", err) }) },
	})
	if err != nil {
		// At an upgrade the process before still has the port: this one goes by the strict rules until it has gone.
		f.warnOnce("fleet-not-joined", err)
		f.peersAt = f.ticks + 2
		return
	}
	f.saidOnce["fleet-not-joined"] = false
	f.peers = p
}

func (f *Fleet) receive(from string, data []byte) {
	m, err := agree.Decode(data)
	f.post(func() {
		if err != nil {
			f.warnOnce("fleet-form "+from, fmt.Errorf("from %s: %w", from, err))
			return
		}
		f.take(from, m)
	})
}

func (f *Fleet) take(from string, m agree.Message) {
	now := Now()
	switch {
	case m.Result != nil:
		f.answered(*m.Result)
		return
	case m.Names != nil:
		f.names(from, *m.Names)
		return
	case f.keeper != nil:
		f.carry(f.keeper.Receive(now, from, m))
	case m.Hello != nil: // no keeper here: nothing was seen of it
		f.send(from, agree.Message{Known: &agree.Known{To: m.Hello.ID, Life: m.Hello.Life}})
	case m.Renew != nil:
		f.send(from, agree.Message{Grant: &agree.Grant{N: m.Renew.N, Boot: m.Renew.Boot}})
	}
	f.carry(f.member.Receive(now, from, m))
}

func (f *Fleet) send(to string, m agree.Message) {
	if to == f.o.Proxy {
		m.Form = agree.Form
		select { // this goroutine reads it later
		case f.events <- func() { f.take(to, m) }:
		default:
		}
		return
	}
	if f.peers != nil && !f.peers.Taken() {
		f.peers.Send(to, agree.Encode(m))
	}
}

// carry does what a machine wants, in order.
func (f *Fleet) carry(acts []agree.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case agree.Send:
			f.send(a.To, a.Msg)
		case agree.Save:
			if err := f.disk.Save(a); err != nil {
				f.warnOnce("fleet-disk-failed", err)
				f.keeper = nil // what it was about to say must not be said
				f.diskAt = f.ticks + 40
				return
			}
		case agree.Say:
			f.o.Log.Info(a.Text, "event", a.Event)
		case agree.Adopt:
			f.adopt(a.State)
		}
	}
	if f.ruled != nil && f.adopted == nil && f.member.Valid(Now()) {
		f.o.Host.Extend(f.member.Until())
	}
}

// learn remembers a state's texts: what a proxy that hears nobody may do is what all versions that it knows allow.
func (f *Fleet) learn(s *agree.State) {
	for _, v := range s.Versions {
		if v.Text != "" && !slices.Contains(f.known, v.Text) {
			f.known = append(f.known, v.Text)
		}
	}
	if n := len(f.known); n > keptKnown {
		f.known = f.known[n-keptKnown:]
	}
}

const keptKnown = 4

func (f *Fleet) strictOf(newest []balancer.Config) balancer.Config {
	var all []balancer.Config
	for _, text := range f.known {
		if c, err := f.o.Host.Parse(text); err == nil {
			all = append(all, c)
		}
	}
	all = append(all, newest...)
	if len(all) == 0 {
		return balancer.Config{}
	}
	return transition.WithoutLease(all)
}

// adopt puts a state in force.
func (f *Fleet) adopt(s *agree.State) {
	f.learn(s)
	if f.disk != nil {
		if err := f.disk.SaveView(s); err != nil {
			f.warnOnce("fleet-view-not-kept", err)
		}
	}
	f.o.Host.Told(s)
	v, some := s.Newest()
	if !some {
		return // nothing to go by yet: no lease is of use
	}
	if f.ruled != nil && f.ruled.Born == s.Born && f.ruled.Step == s.Step && f.adopted == nil {
		f.ruled = s // the settings are as they were
		f.member.InForce(Now(), s)
		return
	}
	r := Rules{Seq: s.Seq, Versions: []uint64{v.Number}}
	newest, err := f.o.Host.Parse(v.Text)
	if err != nil {
		f.warnOnce(fmt.Sprintf("fleet-version-%d", v.Number), &VersionError{v.Number, err})
		return
	}
	r.InForce = newest
	if s.Opening() && s.Open != 0 {
		before, there := s.Get(s.Open)
		old, err := f.o.Host.Parse(before.Text)
		if !there || err != nil {
			f.warnOnce(fmt.Sprintf("fleet-version-%d", s.Open), &VersionError{s.Open, err})
			return
		}
		r.Versions = []uint64{s.Open, v.Number}
		r.InForce = transition.Strictest(old, newest)
	}
	r.Strict = f.strictOf([]balancer.Config{newest})
	f.adopted = s
	f.o.Host.Rule(r, func(err error) {
		f.post(func() {
			if f.adopted == s {
				f.adopted = nil
			}
			if err != nil {
				f.warnOnce(fmt.Sprintf("fleet-rule-%d", s.Seq), &VersionError{v.Number, err})
				return
			}
			if f.ruled != nil && f.ruled.Born == s.Born && f.ruled.Seq > s.Seq {
				return
			}
			f.ruled, f.ruledAt = s, time.Now()
			f.member.InForce(Now(), s)
			f.o.Log.Info("the fleet's settings are in force", "event", "fleet-version", "versions", r.Versions, "state", s.Seq, "by", v.By, "file_differs", v.Hash != f.fileHash)
			if f.member.Valid(Now()) {
				f.o.Host.Extend(f.member.Until())
			}
			f.publish()
		})
	})
}

// ---- the disk ----

func (f *Fleet) openDisk() {
	if f.o.Dir == "" {
		return
	}
	d, err := disk.Open(f.o.Dir, f.o.Name, f.o.Proxy)
	if err != nil {
		f.warnOnce("fleet-disk "+err.Error(), err)
		f.diskAt = f.ticks + 4
		if errors.Is(err, disk.ErrOwner) {
			f.diskAt = 1 << 40 // not before the next start
		}
		return
	}
	f.disk = d
}

func (f *Fleet) startKeeper() {
	saved, err := f.disk.Load(f.rng.Uint64()>>12 | 1)
	if err == nil {
		f.keeper, err = agree.NewKeeper(f.cfg, Now(), saved)
	}
	if err != nil {
		f.keeper = nil
		f.warnOnce("fleet-disk-failed", err)
		f.diskAt = f.ticks + 40
		return
	}
	if f.saidOnce["fleet-disk-failed"] {
		f.saidOnce["fleet-disk-failed"] = false
		f.o.Log.Info("the keeper's disk takes what it is given again", "event", "fleet-disk-well")
	}
}

// ---- questions ----

func (f *Fleet) askID() string {
	f.lastAsk++
	return f.o.Proxy + "-" + strconv.FormatUint(f.cfg.Boot, 36) + "-" + strconv.FormatUint(f.lastAsk, 36)
}

// askAgain sends each open question to whoever leads, until it is answered.
func (f *Fleet) askAgain(now time.Duration) {
	for id, a := range f.asks {
		if now >= a.until {
			delete(f.asks, id)
			close(a.reply)
			continue
		}
		if to := f.member.Target(); now >= a.next && to != "" {
			a.next = now + f.o.AgreeWithin.D()/10
			f.send(to, a.msg)
		}
	}
	for _, c := range f.tells {
		if to := f.member.Target(); to != "" && f.ticks%5 == 0 {
			f.send(to, agree.Message{Propose: &c})
		}
	}
	f.tells = slices.DeleteFunc(f.tells, func(c agree.Change) bool { return f.isTold(c) })
}

func (f *Fleet) answered(r agree.Result) {
	a, open := f.asks[r.ID]
	if !open {
		return
	}
	if r.Refused == agree.Busy { // it goes by itself
		a.next = Now() + f.o.AgreeWithin.D()/10
		return
	}
	delete(f.asks, r.ID)
	a.reply <- r
}

// put asks the keeper that leads, and waits.
func (f *Fleet) put(ctx context.Context, compose func(id string) agree.Message) (agree.Result, error) {
	a := &ask{reply: make(chan agree.Result, 1), until: Now() + 3*f.o.AgreeWithin.D() + 5*time.Second}
	f.post(func() {
		if len(f.asks) >= mostAsks {
			close(a.reply)
			return
		}
		id := f.askID()
		a.msg = compose(id)
		f.asks[id] = a
	})
	select {
	case r, answered := <-a.reply:
		if !answered {
			return r, &NoLeaderError{Keepers: f.o.Keepers}
		}
		if r.Refused != "" {
			return r, &RefusedError{r}
		}
		return r, nil
	case <-ctx.Done():
		return agree.Result{}, &NoLeaderError{Keepers: f.o.Keepers}
	case <-f.done:
		return agree.Result{}, &NoLeaderError{Keepers: f.o.Keepers}
	}
}

const mostAsks = 64

// OnNewest proposes on what this proxy knows as the newest version.
const OnNewest = ^uint64(0)

// Propose puts settings to the fleet, on a version: if another has been decided on it, that one stands.
func (f *Fleet) Propose(ctx context.Context, text, by, why string, base uint64) (agree.Result, error) {
	return f.put(ctx, func(id string) agree.Message {
		if newest, _ := f.member.View().Newest(); base == OnNewest {
			base = newest.Number
		}
		return agree.Message{Propose: &agree.Change{Kind: "propose", ID: id, Base: base, Text: text, By: by, Why: why, At: time.Now()}}
	})
}

// ProposeFile proposes this proxy's file, as it was read again. A text that a newer version has replaced is not
// put to the others: it is an old file more likely than a wish to go back.
func (f *Fleet) ProposeFile(ctx context.Context, text string) (agree.Result, error) {
	hash, view := agree.Hash(text), make(chan *agree.State, 1)
	f.post(func() { f.file, f.fileHash = text, hash })
	for try := 0; ; try++ {
		f.post(func() { view <- f.member.View() })
		var s *agree.State
		select {
		case s = <-view:
		case <-f.done:
			return agree.Result{}, &NoLeaderError{Keepers: f.o.Keepers}
		}
		newest, some := s.Newest()
		// Danger: while the fleet is being founded its first version is under way, and would go before this one.
		if !some && try < foundingTries {
			time.Sleep(f.cfg.Tick())
			continue
		}
		for _, v := range s.Versions {
			if v.Hash == hash && newest.Hash != hash {
				return agree.Result{}, &StaleFileError{v.Number, newest.Number, newest.By}
			}
		}
		break
	}
	return f.Propose(ctx, text, f.o.Proxy, "the file at SIGHUP", OnNewest)
}

// foundingTries is how many ticks a file waits for the fleet's first version: thrice agree-within.
const foundingTries = 300

// Rollback proposes an earlier version's text.
func (f *Fleet) Rollback(ctx context.Context, version uint64, by string) (agree.Result, error) {
	s := f.Status().View
	v, there := s.Get(version)
	if !there || v.Text == "" {
		return agree.Result{}, &NoVersionError{version}
	}
	return f.Propose(ctx, v.Text, by, fmt.Sprintf("back to version %d", version), OnNewest)
}

// Seat asks for a keeper to be taken in or let go.
func (f *Fleet) Seat(ctx context.Context, name string, add bool) (agree.Result, error) {
	return f.put(ctx, func(id string) agree.Message {
		return agree.Message{Seat: &agree.SeatAsk{ID: id, Name: name, Add: add}}
	})
}

// Newest asks the keeper that leads, once a majority has confirmed that it does, for the newest version's number.
func (f *Fleet) Newest(ctx context.Context) (agree.Result, error) {
	return f.put(ctx, func(id string) agree.Message {
		return agree.Message{Propose: &agree.Change{Kind: "read", ID: id}}
	})
}

// Holders asks the keeper that leads who goes by what.
func (f *Fleet) Holders(ctx context.Context) ([]agree.Holder, error) {
	r, err := f.put(ctx, func(id string) agree.Message {
		return agree.Message{Propose: &agree.Change{Kind: "holders", ID: id}}
	})
	return r.Holders, err
}

// ---- lists ----

// List tells the fleet which list this proxy goes by, and what it was told to end.
func (f *Fleet) List(l agree.Lists, ends []agree.End) {
	f.post(func() {
		f.lists = l
		f.member.Lists(l)
		floor := f.member.View().Floors[l.Source]
		c := agree.Change{Kind: "told", Source: l.Source, Floor: agree.Floor{History: floor.History, Revision: l.Revision}, Ends: ends}
		if f.isTold(c) {
			return
		}
		if len(f.tells) >= mostTells { // the newest say most
			f.tells = f.tells[1:]
		}
		f.tells = append(f.tells, c)
		if to := f.member.Target(); to != "" {
			f.send(to, agree.Message{Propose: &c})
		}
	})
}

const mostTells = 64

// isTold tells whether the fleet knows all of a word on lists.
func (f *Fleet) isTold(c agree.Change) bool {
	s := f.member.View()
	floor := s.Floors[c.Source]
	if floor.History != c.Floor.History {
		return true // of another history: it counts no more
	}
	for _, e := range c.Ends {
		if k, there := s.End(c.Source, e.Name); !there || k.Revision < e.Revision {
			return false
		}
	}
	return floor.Revision >= c.Floor.Revision
}

// ResetFloor says that a source's revisions begin anew, as after a registry was restored from an older copy.
func (f *Fleet) ResetFloor(source string) {
	f.post(func() {
		if to := f.member.Target(); to != "" {
			f.send(to, agree.Message{Propose: &agree.Change{Kind: "reset", Source: source}})
		}
	})
}

// Close ends this proxy's part. The lease that runs is not taken back: it ends by itself.
func (f *Fleet) Close() {
	f.once.Do(func() { close(f.stop) })
	<-f.done
}
