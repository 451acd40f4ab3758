package agree

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The figures of the log, in ticks and entries.
const (
	electionTicks  = 10 // a keeper that hears nothing for so long, and up to as long again, wants to lead
	heartbeatTicks = 2
	helloTicks     = 10
	checkTicks     = 8    // for the other keepers' word on a proposal
	proveTicks     = 20   // that a keeper waits for those who don't answer, once enough have
	keptEntries    = 200  // behind a snapshot
	mostPending    = 1024 // renewals, proposals and told lists that wait
)

// Saved is what a keeper's disk holds.
type Saved struct {
	ID, Life uint64
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
	Lives    map[uint64]Lived // of other keepers, as far as they have shown them
}

// Lived is a life of a keeper's disk, and the process that had it: a disk that is set back comes to the same number
// with another.
type Lived struct{ Life, Boot uint64 }

// Save is to be on the disk, synced, before any later action is carried out. Where that fails the host ends the
// keeper: nothing of it may be sent.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // in the place of all before it
	Entries  []*pb.Entry  // from the first one's place on they replace what is there
	Lives    map[uint64]Lived
	Reset    bool // all that the disk holds is another's: begin anew under ID
	ID, Life uint64
}

func (Save) isAction() {}

type phase uint8

const (
	empty   phase = iota // its disk holds nothing: it waits to be taken in, or founds the fleet with the others
	proving              // its disk may be old: it asks
	live
)

// Keeper is a process that keeps the log.
type Keeper struct {
	cfg   Config
	phase phase
	id    uint64
	life  uint64
	node  *raft.RawNode
	store *raft.MemoryStorage
	state *State
	rng   *rand.Rand
	now   time.Duration
	acts  []Action

	applied uint64
	conf    *pb.ConfState
	ticks   int
	begun   int // tick at which this phase began
	quiet   int // ticks since the one that leads was heard
	patient int // after how many of them this one wants to lead

	names map[uint64]string // of identities
	lives map[uint64]Lived  // the highest life seen of other keepers
	marks map[uint64]mark   // how far they have been seen
	heard map[string]Known  // answers to this phase's Hello
	seen  map[string]Hello  // of keepers with an empty disk
	apart map[string]bool   // who was told that its agree-within differs

	leads     bool
	office    time.Duration // since when
	renewals  []renewal
	reads     map[uint64][]renewal
	lastRead  uint64
	holders   map[uint64]holder // by process
	stepped   time.Duration     // when a version was decided or opened last, as it was applied here
	opens     uint64            // the version whose opening is proposed
	pending   map[string]pending
	waiting   []Change // told lists
	telling   bool     // one is proposed and not decided
	seats     []seatAsk
	seatedAt  int  // tick at which a seat was proposed last
	reseated  bool // the keepers have changed since the last snapshot
	saidEmpty bool
}

type mark struct{ term, last uint64 }

type renewal struct {
	from  string
	renew Renew
	read  string // in place of a renewal: the question that is to be answered with the newest version
}

// holder is a process that may hold a lease.
type holder struct {
	name  string
	held  uint64 // the state that it goes by
	until time.Duration
	lists Lists
}

type pending struct {
	from   string
	change Change
	at     int // tick
	checks map[string]bool
	sent   bool
}

type seatAsk struct {
	from string
	ask  SeatAsk
	at   int
}

// NewKeeper makes a keeper of what its disk holds. saved.ID must be set: a new disk is given one that nobody has.
func NewKeeper(cfg Config, now time.Duration, saved Saved) (*Keeper, error) {
	k := &Keeper{
		cfg: cfg, id: saved.ID, life: saved.Life, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, saved.ID^saved.Life)),
		state: &State{Floors: map[string]Floor{}}, names: map[uint64]string{}, lives: map[uint64]Lived{}, marks: map[uint64]mark{},
		heard: map[string]Known{}, seen: map[string]Hello{}, reads: map[uint64][]renewal{}, holders: map[uint64]holder{}, pending: map[string]pending{},
	}
	maps.Copy(k.lives, saved.Lives)
	k.apart = map[string]bool{}
	if saved.Snapshot == nil && len(saved.Entries) == 0 && saved.Hard == nil {
		return k, nil
	}
	k.phase = proving
	return k, k.load(saved)
}

// load readies the log out of a disk.
func (k *Keeper) load(saved Saved) error {
	k.store = raft.NewMemoryStorage()
	if saved.Snapshot != nil {
		if err := k.store.ApplySnapshot(saved.Snapshot); err != nil {
			return &DiskError{Reason: err.Error()}
		}
		if err := k.restore(saved.Snapshot); err != nil {
			return err
		}
	}
	if saved.Hard != nil {
		k.store.SetHardState(saved.Hard)
	}
	if err := k.store.Append(saved.Entries); err != nil {
		return &DiskError{Reason: err.Error()}
	}
	return k.run()
}

// run makes the consensus's own machine.
func (k *Keeper) run() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &DiskError{Reason: fmt.Sprint(p)}
		}
	}()
	k.node, err = raft.NewRawNode(&raft.Config{
		ID: k.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.store, Applied: k.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: quietLogger{},
	})
	if err != nil {
		return &DiskError{Reason: err.Error()}
	}
	k.conf = &pb.ConfState{}
	if _, c, err := k.store.InitialState(); err == nil && c != nil {
		k.conf = c
	}
	k.calm()
	return nil
}

// calm begins anew to wait for the one that leads.
func (k *Keeper) calm() { k.quiet, k.patient = 0, electionTicks+k.rng.IntN(electionTicks) }

// restore takes a snapshot's state.
func (k *Keeper) restore(s *pb.Snapshot) error {
	st := &State{}
	if err := json.Unmarshal(s.GetData(), st); err != nil {
		return &DiskError{Reason: "a snapshot: " + err.Error()}
	}
	if st.Floors == nil {
		st.Floors = map[string]Floor{}
	}
	k.state, k.applied = st, s.GetMetadata().GetIndex()
	k.stepped = k.now
	k.nameSeats()
	return nil
}

func (k *Keeper) nameSeats() {
	for _, s := range k.state.Keepers {
		k.names[s.ID] = s.Name
	}
}

func (k *Keeper) do(a Action) { k.acts = append(k.acts, a) }

func (k *Keeper) send(to string, m Message) { k.do(Send{to, m}) }

func (k *Keeper) say(event, format string, args ...any) {
	k.do(Say{event, fmt.Sprintf(format, args...)})
}

// flush ends an event: what the log wants is carried out, and all actions are given.
func (k *Keeper) flush() []Action {
	if k.node != nil && k.phase == live {
		k.ready()
	}
	acts := k.acts
	k.acts = nil
	return acts
}

// guarded keeps a log that contradicts itself from ending the process: the disk is no longer believed.
func (k *Keeper) guarded(event func()) (acts []Action) {
	defer func() {
		if p := recover(); p != nil {
			k.acts = nil
			k.disown(fmt.Sprintf("the log contradicts itself: %v", p))
			acts, k.acts = k.acts, nil
		}
	}()
	event()
	return k.flush()
}

// Tick is called every Config.Tick.
func (k *Keeper) Tick(now time.Duration) []Action {
	k.now = now
	return k.guarded(func() {
		k.ticks++
		switch k.phase {
		case live:
			k.tickLog()
			if k.leads {
				k.lead()
			}
		default:
			if k.ticks%helloTicks == 1 && (k.phase == proving || slices.Contains(k.cfg.Keepers, k.cfg.Name)) {
				k.hello()
			}
			k.settle()
		}
	})
}

func (k *Keeper) tickLog() {
	if k.node.BasicStatus().RaftState == raft.StateLeader {
		k.node.Tick()
		return
	}
	// The library's own draws can't be seeded: a history has to be played again as it was.
	k.node.TickQuiesced()
	if k.quiet++; k.quiet >= k.patient {
		k.calm()
		k.node.Campaign()
	}
}

// hello shows the disk to all who may have seen it.
func (k *Keeper) hello() {
	h := Hello{Name: k.cfg.Name, ID: k.id, Life: k.life, Boot: k.cfg.Boot, Empty: k.phase == empty}
	if k.node != nil {
		h.Term, h.Last = k.node.BasicStatus().GetTerm(), k.last()
	}
	for _, name := range k.others() {
		k.send(name, Message{Hello: &h})
	}
}

func (k *Keeper) last() uint64 {
	n, err := k.store.LastIndex()
	if err != nil {
		return 0
	}
	return n
}

// others are the other keepers, as decided, else as in the file.
func (k *Keeper) others() []string {
	var names []string
	for _, s := range k.state.Keepers {
		names = append(names, s.Name)
	}
	if len(names) < len(k.cfg.Keepers) { // while the fleet is being founded
		for _, n := range k.cfg.Keepers {
			if !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	return slices.DeleteFunc(names, func(n string) bool { return n == k.cfg.Name })
}

// settle leaves a phase in which nothing is said yet.
func (k *Keeper) settle() {
	switch k.phase {
	case proving:
		others, have := k.others(), 0
		for _, n := range others {
			if _, told := k.heard[n]; told {
				have++
			}
		}
		// Who took in a life before this one, or a vote, sits among any half of the others and this one's own disk;
		// where one of them is away the rest is waited for, but not for good.
		if have == len(others) || have >= len(k.state.Keepers)/2 && k.ticks-k.begun >= proveTicks {
			k.phase = live
			k.calm()
			k.say("keeper-live", "keeper %s: its log goes on at %d", k.cfg.Name, k.last())
		}
	case empty:
		k.found()
	}
}

// found begins the fleet: the first of the file's keepers does, when all of them have shown an empty disk. It alone
// is a majority for a moment, in which nothing but the others' seats is decided.
func (k *Keeper) found() {
	names := slices.Sorted(slices.Values(k.cfg.Keepers))
	if len(names) == 0 || names[0] != k.cfg.Name {
		return
	}
	for _, n := range names[1:] {
		if a, told := k.heard[n]; !told || !a.Empty || a.Begun {
			return
		}
	}
	born := k.rng.Uint64() >> 11 // JSON's numbers are exact up to 53 bits
	st := &State{Born: born | 1, Seq: 1, Floors: map[string]Floor{}, Keepers: []Seat{{k.cfg.Name, k.id}}}
	data, err := json.Marshal(st)
	if err != nil {
		return
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: []uint64{k.id}}}}
	hard := &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}
	k.do(Save{Snapshot: snap, Hard: hard, ID: k.id, Life: k.life})
	if err := k.load(Saved{Snapshot: snap, Hard: hard}); err != nil {
		k.say("keeper-failed", "%v", err)
		return
	}
	k.phase = live
	k.say("fleet-founded", "the fleet is founded by %s", k.cfg.Name)
	k.node.Campaign()
}

// disown gives an identity up: what its disk says is not believed, and a new one waits to be taken in.
func (k *Keeper) disown(why string) {
	k.say("keeper-disk-old", "keeper %s: %s: it is no keeper any more, until 'marlreelctl fleet keepers add %s'", k.cfg.Name, why, k.cfg.Name)
	id := k.rng.Uint64()>>12 | 1
	*k = Keeper{
		cfg: k.cfg, id: id, life: 1, now: k.now, rng: k.rng, acts: k.acts, ticks: k.ticks, state: &State{Floors: map[string]Floor{}}, names: map[uint64]string{},
		lives: k.lives, marks: k.marks, heard: map[string]Known{}, seen: map[string]Hello{}, reads: map[uint64][]renewal{}, holders: map[uint64]holder{}, pending: map[string]pending{}, apart: map[string]bool{},
	}
	k.do(Save{Reset: true, ID: id, Life: 1})
}

// Receive takes a message from a process.
func (k *Keeper) Receive(now time.Duration, from string, m Message) []Action {
	k.now = now
	return k.guarded(func() {
		switch {
		case m.Raft != nil:
			k.step(from, m.Raft)
		case m.Hello != nil:
			k.judge(from, *m.Hello)
		case m.Known != nil:
			k.answered(from, *m.Known)
		case m.Invite:
			if k.phase == empty {
				k.send(from, Message{Hello: &Hello{Name: k.cfg.Name, ID: k.id, Life: k.life, Boot: k.cfg.Boot, Empty: true}})
			}
		case m.Renew != nil:
			k.renew(from, *m.Renew)
		case m.Propose != nil:
			k.proposed(from, *m.Propose)
		case m.Check != nil:
			a := Checked{ID: m.Check.ID}
			if err := k.check(m.Check.Text); err != nil {
				a.Bad = err.Error()
			}
			k.send(from, Message{Checked: &a})
		case m.Checked != nil:
			k.checked(from, *m.Checked)
		case m.Seat != nil:
			k.seat(from, *m.Seat)
		}
	})
}

// step hands the log a message of another keeper's.
func (k *Keeper) step(from string, data []byte) {
	m := &pb.Message{}
	if proto.Unmarshal(data, m) != nil || m.GetTo() != k.id || raft.IsLocalMsg(m.GetType()) {
		return // for another disk, or no message
	}
	if k.phase == empty && k.node == nil {
		// Whoever leads has taken this disk in.
		k.store = raft.NewMemoryStorage()
		if err := k.run(); err != nil {
			k.say("keeper-failed", "%v", err)
			return
		}
		k.phase = live
	}
	if k.phase != live {
		return
	}
	k.names[m.GetFrom()] = from
	k.mark(m)
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= k.node.BasicStatus().GetTerm() {
			k.calm()
		}
	}
	k.node.Step(m) // an error is one of a message that is let be
}

// mark notes how far another keeper's log surely goes by what it says. In one term it never gets shorter; in a later
// one it may, where another leads.
func (k *Keeper) mark(m *pb.Message) {
	seen := k.marks[m.GetFrom()]
	if m.GetTerm() > seen.term {
		seen = mark{term: m.GetTerm()}
	}
	if m.GetTerm() == seen.term {
		switch m.GetType() {
		case pb.MsgApp: // what it sends it has on its disk
			seen.last = max(seen.last, m.GetIndex()+uint64(len(m.GetEntries())))
		case pb.MsgAppResp:
			if !m.GetReject() {
				seen.last = max(seen.last, m.GetIndex())
			}
		case pb.MsgSnap:
			seen.last = max(seen.last, m.GetSnapshot().GetMetadata().GetIndex())
		}
	}
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgPreVoteResp: // these speak of a term that may never be
		return
	}
	if len(k.marks) < 64 || k.marks[m.GetFrom()].term != 0 {
		k.marks[m.GetFrom()] = seen
	}
}

// judge answers another keeper's Hello by what was seen of it.
func (k *Keeper) judge(from string, h Hello) {
	if h.Empty {
		if len(k.seen) < 64 {
			k.seen[h.Name] = h
		}
	}
	seen := Lived{h.Life, h.Boot}
	old := Judge(h, k.lives[h.ID], k.marks[h.ID].term, k.marks[h.ID].last)
	if old == "" && k.lives[h.ID] != seen && len(k.lives) < 256 {
		k.lives[h.ID] = seen
		k.do(Save{Lives: map[uint64]Lived{h.ID: seen}})
	}
	k.send(from, Message{Known: &Known{To: h.ID, Life: h.Life, Old: old, ID: k.id, Empty: k.phase == empty, Begun: k.phase != empty}})
}

// Judge says why a shown disk is old, by what was seen of its identity before; "" is not known to be.
func Judge(h Hello, seen Lived, term, last uint64) string {
	switch {
	case h.Life == seen.Life && h.Boot == seen.Boot:
		// Danger: one that has been taken in since may have sent this before.
		return ""
	case h.Life <= seen.Life:
		return fmt.Sprintf("its disk is from life %d, and life %d has been seen", h.Life, seen.Life)
	case h.Term < term || h.Term == term && h.Last < last:
		return fmt.Sprintf("its disk ends at entry %d of term %d, and it has acknowledged entry %d, term %d", h.Last, h.Term, last, term)
	}
	return ""
}

func (k *Keeper) answered(from string, a Known) {
	if a.To != k.id || a.Life != k.life || k.phase == live && a.Old == "" {
		return
	}
	if a.Old != "" {
		k.disown(from + " says that " + a.Old)
		return
	}
	if k.phase == empty && a.Begun && !k.saidEmpty && k.ticks >= 2*helloTicks {
		k.saidEmpty = true
		k.say("keeper-disk-empty", "keeper %s: its disk is new, and the fleet has begun: an operator takes it in with 'marlreelctl fleet keepers add %s'", k.cfg.Name, k.cfg.Name)
	}
	k.heard[from] = a
	k.settle()
}

// ready carries out what the log wants, in the order that it needs: on the disk first, then what others may know.
func (k *Keeper) ready() {
	for k.node.HasReady() {
		rd := k.node.Ready()
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 || rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			s := Save{Entries: rd.Entries, ID: k.id, Life: k.life}
			if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
				s.Hard = rd.HardState
				k.store.SetHardState(rd.HardState)
			}
			if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
				s.Snapshot = rd.Snapshot
				k.store.ApplySnapshot(rd.Snapshot)
				k.conf = rd.Snapshot.GetMetadata().GetConfState()
				if err := k.restore(rd.Snapshot); err != nil {
					panic(err)
				}
			}
			if err := k.store.Append(rd.Entries); err != nil {
				panic(err)
			}
			k.do(s)
		}
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgVoteResp && !m.GetReject() {
				k.calm()
			}
			if data, err := proto.Marshal(m); err == nil && k.names[m.GetTo()] != "" {
				k.send(k.names[m.GetTo()], Message{Raft: data})
			}
			if m.GetType() == pb.MsgSnap {
				k.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, e := range rd.CommittedEntries {
			k.commit(e)
		}
		if rd.SoftState != nil {
			k.soft(rd.SoftState)
		}
		for _, r := range rd.ReadStates {
			k.confirmed(r)
		}
		k.node.Advance(rd)
	}
	k.compact()
}

// soft notes who leads.
func (k *Keeper) soft(s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if leads == k.leads {
		return
	}
	k.leads, k.office = leads, k.now
	k.renewals, k.reads, k.holders, k.opens, k.telling, k.waiting = nil, map[uint64][]renewal{}, map[uint64]holder{}, 0, false, nil
	k.pending, k.seats = map[string]pending{}, nil
	if leads {
		k.say("keeper-leads", "keeper %s leads from now on", k.cfg.Name)
	}
}

// commit takes a decided entry in.
func (k *Keeper) commit(e *pb.Entry) {
	k.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		var cc pb.ConfChangeI
		var context []byte
		if e.GetType() == pb.EntryConfChange {
			c := &pb.ConfChange{}
			if proto.Unmarshal(e.Data, c) != nil {
				return
			}
			cc, context = c, c.GetContext()
		} else {
			c := &pb.ConfChangeV2{}
			if proto.Unmarshal(e.Data, c) != nil {
				return
			}
			cc, context = c, c.GetContext()
		}
		k.conf = k.node.ApplyConfChange(cc)
		var c Change
		if len(context) > 0 && json.Unmarshal(context, &c) == nil {
			k.take(e.GetIndex(), c)
		}
		k.reseated = true
	default:
		var c Change
		if len(e.Data) > 0 && json.Unmarshal(e.Data, &c) == nil {
			k.take(e.GetIndex(), c)
		}
	}
}

// take applies a change, and tells who asked for it.
func (k *Keeper) take(index uint64, c Change) {
	next := k.state.clone() // states that were handed out never change
	r := next.apply(index, c)
	if c.Kind == "told" {
		k.telling = false
	}
	if next.Seq != k.state.Seq {
		if next.Step != k.state.Step {
			k.stepped = k.now
		}
		k.state = next
		k.nameSeats()
		if k.leads {
			for _, h := range k.holders {
				if h.name != "" && k.now < h.until {
					k.send(h.name, Message{Nudge: next.Seq})
				}
			}
		}
	}
	if p, mine := k.pending[c.ID]; mine && c.ID != "" {
		delete(k.pending, c.ID)
		k.send(p.from, Message{Result: &r})
	}
}

// compact keeps the log short.
func (k *Keeper) compact() {
	// Danger: who comes anew is sent the last snapshot, and one of before it was taken in is of no use to it.
	first, err := k.store.FirstIndex()
	if err != nil || !k.reseated && k.applied < first+2*keptEntries {
		return
	}
	k.reseated = false
	data, err := json.Marshal(k.state)
	if err != nil {
		return
	}
	snap, err := k.store.CreateSnapshot(k.applied, k.conf, data)
	if err != nil {
		return
	}
	if k.applied >= first+2*keptEntries {
		k.store.Compact(k.applied - keptEntries)
	}
	lo, _ := k.store.FirstIndex()
	rest, err := k.store.Entries(lo, k.last()+1, 1<<30)
	if err != nil {
		return
	}
	k.do(Save{Snapshot: snap, Entries: rest, ID: k.id, Life: k.life})
}

func (k *Keeper) check(text string) error {
	if len(text) > MostText {
		return fmt.Errorf("settings: %d bytes, %d at most", len(text), MostText)
	}
	if k.cfg.Check == nil {
		return nil
	}
	var before []string
	if v, some := k.state.Newest(); some && v.Text != "" {
		before = append(before, v.Text)
	}
	return k.cfg.Check(before, text)
}

// View is the newest decided state that this keeper has. It is never changed.
func (k *Keeper) View() *State { return k.state }

// Leads tells whether this keeper leads, as far as it knows.
func (k *Keeper) Leads() bool { return k.leads }

// Identity is the disk's, and the life of this start.
func (k *Keeper) Identity() (id, life uint64) { return k.id, k.life }

// Phase is what the keeper is at, in a word.
func (k *Keeper) Phase() string {
	return [...]string{"waits to be taken in", "shows its disk", "keeps the log"}[k.phase]
}

// Holder is a process as the one that leads knows it.
type Holder struct {
	Name  string        `json:"name"`
	Held  uint64        `json:"held"`
	Left  time.Duration `json:"left_ns"` // of the longest lease that it may hold
	Lists Lists         `json:"lists"`
}

// Holders are the processes that may hold a lease, by name. Empty where this keeper does not lead.
func (k *Keeper) Holders() []Holder {
	var all []Holder
	for _, h := range k.holders {
		all = append(all, Holder{h.name, h.held, max(0, h.until-k.now), h.lists})
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Left, b.Left)) })
	return all
}

// DiskError is a keeper's disk that can't be gone on with.
type DiskError struct{ Reason string }

// Error implements error.
func (e *DiskError) Error() string { return "the keeper's disk can't be gone on with: " + e.Reason }

// Advice says what an operator can do.
func (e *DiskError) Advice() string {
	return "move the folder of [fleet] dir away, start the proxy again, and take it in with 'marlreelctl fleet keepers add NAME'"
}

// quietLogger keeps the library's own words from the log; its panics stay.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Error(...any)            {}
func (quietLogger) Errorf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}
func (quietLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quietLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
