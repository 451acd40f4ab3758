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

// Timeouts in ticks, and limits.
const (
	electionTicks  = 10 // a keeper campaigns after one to two times this without a message from the leader
	heartbeatTicks = 2
	helloTicks     = 10
	checkTicks     = 8    // to wait for all other keepers' verdicts on a proposal
	proveTicks     = 20   // to wait for the rest of the answers to a Hello, once enough have come
	keptEntries    = 200  // log entries kept before a snapshot
	maxPending     = 1024 // waiting renewals, and waiting reports on lists
)

// Saved is the content of a keeper's disk.
type Saved struct {
	ID, Life uint64
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
	Lives    map[uint64]Lived // the highest seen of other keepers' disks, by identity
}

// Lived is a life of a keeper's disk and the process that had it. A disk that was restored from a copy reaches the same
// life again, but with another process.
type Lived struct{ Life, Boot uint64 }

// Save writes to the disk. It has to be synced before any later action is executed. If that fails, the host stops the
// keeper and must send none of its later messages.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // replaces the log up to it
	Entries  []*pb.Entry  // replace the stored entries from the index of the first one on
	Lives    map[uint64]Lived
	Reset    bool // discard the identity and log on the disk, and start empty under ID
	ID, Life uint64
}

func (Save) isAction() {}

type phase uint8

const (
	empty   phase = iota // its disk has no log: it waits to be added, or to found the fleet with the others
	proving              // its disk may be outdated: it asks the other keepers
	live                 // it takes part in consensus
)

// Keeper is a proxy's part in consensus: it holds the log and may be elected leader.
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

	applied          uint64
	conf             *pb.ConfState
	ticks            int
	phaseStart       int // tick at which this phase started
	ticksSinceLeader int // ticks since the last message from a leader
	electionTimeout  int // the number of such ticks after which this keeper campaigns

	names          map[uint64]string      // by identity
	lives          map[uint64]Lived       // the highest life seen of other keepers, by identity
	positions      map[uint64]logPosition // the highest log position seen of other keepers, by identity
	helloAnswers   map[string]Known       // answers to this phase's Hello, by name
	emptyKeepers   map[string]Hello       // from keepers with an empty disk, by name
	withinMismatch map[string]bool        // members whose different agree-within has been logged

	leads              bool
	leaderSince        time.Duration        // since when this keeper has led
	renewals           []renewal            // wait for the next read
	reads              map[uint64][]renewal // by number of the read, until a majority has confirmed it
	lastRead           uint64
	holders            map[uint64]holder // by Boot
	lastStep           time.Duration     // when the last decision or opening of a version was applied here
	openProposed       uint64            // the version whose opening has been proposed
	pending            map[string]pending
	listChanges        []Change // reports on lists that wait to be proposed
	listChangeInFlight bool     // a report has been proposed and not decided
	seatRequests       []seatAsk
	lastSeatTick       int  // tick of the last proposal to add a keeper
	reseated           bool // the keepers have changed since the last snapshot
	loggedEmpty        bool
}

type logPosition struct{ term, last uint64 }

type renewal struct {
	from  string
	renew Renew
	read  string // if set, this is a question for the newest version with this ID, and no renewal
}

// holder is a process that may hold a lease.
type holder struct {
	name  string
	held  uint64 // Seq of the state in force there
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

// NewKeeper returns a keeper with the content of its disk. saved.ID must be set; for a new disk it must be unique.
func NewKeeper(cfg Config, now time.Duration, saved Saved) (*Keeper, error) {
	k := &Keeper{
		cfg: cfg, id: saved.ID, life: saved.Life, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, saved.ID^saved.Life)),
		state: &State{Floors: map[string]Floor{}}, names: map[uint64]string{}, lives: map[uint64]Lived{}, positions: map[uint64]logPosition{},
		helloAnswers: map[string]Known{}, emptyKeepers: map[string]Hello{}, reads: map[uint64][]renewal{}, holders: map[uint64]holder{}, pending: map[string]pending{},
	}
	maps.Copy(k.lives, saved.Lives)
	k.withinMismatch = map[string]bool{}
	if saved.Snapshot == nil && len(saved.Entries) == 0 && saved.Hard == nil {
		return k, nil
	}
	k.phase = proving
	return k, k.load(saved)
}

// load restores the log from the content of a disk.
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
	return k.startRaft()
}

// startRaft creates the raft node.
func (k *Keeper) startRaft() (err error) {
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
	k.resetElectionTimer()
	return nil
}

// resetElectionTimer restarts the election timer with a random timeout.
func (k *Keeper) resetElectionTimer() {
	k.ticksSinceLeader, k.electionTimeout = 0, electionTicks+k.rng.IntN(electionTicks)
}

// restore replaces the state by that of a snapshot.
func (k *Keeper) restore(s *pb.Snapshot) error {
	st := &State{}
	if err := json.Unmarshal(s.GetData(), st); err != nil {
		return &DiskError{Reason: "snapshot: " + err.Error()}
	}
	if st.Floors == nil {
		st.Floors = map[string]Floor{}
	}
	k.state, k.applied = st, s.GetMetadata().GetIndex()
	k.lastStep = k.now
	k.nameSeats()
	return nil
}

func (k *Keeper) nameSeats() {
	for _, s := range k.state.Keepers {
		k.names[s.ID] = s.Name
	}
}

func (k *Keeper) emit(a Action) { k.acts = append(k.acts, a) }

func (k *Keeper) send(to string, m Message) { k.emit(Send{to, m}) }

func (k *Keeper) log(event, format string, args ...any) {
	k.emit(Say{event, fmt.Sprintf(format, args...)})
}

// flush ends an event: it processes what raft has ready and returns all actions.
func (k *Keeper) flush() []Action {
	if k.node != nil && k.phase == live {
		k.ready()
	}
	acts := k.acts
	k.acts = nil
	return acts
}

// runEvent runs an event. The raft library panics if the log is inconsistent: then this keeper abandons its identity,
// as its disk can't be trusted, and the process goes on.
func (k *Keeper) runEvent(event func()) (acts []Action) {
	defer func() {
		if p := recover(); p != nil {
			k.acts = nil
			k.abandonIdentity(fmt.Sprintf("the log is inconsistent: %v", p))
			acts, k.acts = k.acts, nil
		}
	}()
	event()
	return k.flush()
}

// Tick is called every Config.Tick.
func (k *Keeper) Tick(now time.Duration) []Action {
	k.now = now
	return k.runEvent(func() {
		k.ticks++
		switch k.phase {
		case live:
			k.tickLog()
			if k.leads {
				k.tickLeader()
			}
		default:
			if k.ticks%helloTicks == 1 && (k.phase == proving || slices.Contains(k.cfg.Keepers, k.cfg.Name)) {
				k.hello()
			}
			k.advancePhase()
		}
	})
}

func (k *Keeper) tickLog() {
	if k.node.BasicStatus().RaftState == raft.StateLeader {
		k.node.Tick()
		return
	}
	// The library's election timeouts can't be seeded, and simulations have to be reproducible. So this keeper counts
	// its own timeout and campaigns itself.
	k.node.TickQuiesced()
	if k.ticksSinceLeader++; k.ticksSinceLeader >= k.electionTimeout {
		k.resetElectionTimer()
		k.node.Campaign()
	}
}

// hello describes the disk to all proxies that may have seen it before.
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

// others returns the names of the other keepers: the decided ones and, until the fleet is complete, those of the
// configuration file.
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

// advancePhase leaves the phases proving and empty once their conditions are met.
func (k *Keeper) advancePhase() {
	switch k.phase {
	case proving:
		others, have := k.others(), 0
		for _, n := range others {
			if _, answered := k.helloAnswers[n]; answered {
				have++
			}
		}
		// Any half of the others and this keeper form a majority, which overlaps with each majority that saw an earlier
		// life or a vote of this disk. The overlap may be this keeper alone, so the rest of the others is waited for as
		// well, but only for proveTicks.
		if have == len(others) || have >= len(k.state.Keepers)/2 && k.ticks-k.phaseStart >= proveTicks {
			k.phase = live
			k.resetElectionTimer()
			k.log("keeper-live", "keeper %s: resumes its log after entry %d", k.cfg.Name, k.last())
		}
	case empty:
		k.foundFleet()
	}
}

// foundFleet founds the fleet. The first by name of the configuration file's keepers does so once all of them have
// shown an empty disk. At first it is a majority on its own; it decides nothing then but to add the other keepers.
func (k *Keeper) foundFleet() {
	names := slices.Sorted(slices.Values(k.cfg.Keepers))
	if len(names) == 0 || names[0] != k.cfg.Name {
		return
	}
	for _, n := range names[1:] {
		if a, answered := k.helloAnswers[n]; !answered || !a.Empty || a.Begun {
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
	k.emit(Save{Snapshot: snap, Hard: hard, ID: k.id, Life: k.life})
	if err := k.load(Saved{Snapshot: snap, Hard: hard}); err != nil {
		k.log("keeper-failed", "%v", err)
		return
	}
	k.phase = live
	k.log("fleet-founded", "keeper %s has founded the fleet", k.cfg.Name)
	k.node.Campaign()
}

// abandonIdentity discards the disk's log, which can't be trusted, and takes a new identity that waits to be added.
func (k *Keeper) abandonIdentity(why string) {
	k.log("keeper-disk-old", "keeper %s: %s: it is not a keeper any more until it is added with 'marlreelctl fleet keepers add %s'", k.cfg.Name, why, k.cfg.Name)
	id := k.rng.Uint64()>>12 | 1
	*k = Keeper{
		cfg: k.cfg, id: id, life: 1, now: k.now, rng: k.rng, acts: k.acts, ticks: k.ticks, state: &State{Floors: map[string]Floor{}}, names: map[uint64]string{},
		lives: k.lives, positions: k.positions, helloAnswers: map[string]Known{}, emptyKeepers: map[string]Hello{}, reads: map[uint64][]renewal{}, holders: map[uint64]holder{}, pending: map[string]pending{}, withinMismatch: map[string]bool{},
	}
	k.emit(Save{Reset: true, ID: id, Life: 1})
}

// Receive handles a message from a proxy.
func (k *Keeper) Receive(now time.Duration, from string, m Message) []Action {
	k.now = now
	return k.runEvent(func() {
		switch {
		case m.Raft != nil:
			k.stepRaft(from, m.Raft)
		case m.Hello != nil:
			k.answerHello(from, *m.Hello)
		case m.Known != nil:
			k.handleKnown(from, *m.Known)
		case m.Invite:
			if k.phase == empty {
				k.send(from, Message{Hello: &Hello{Name: k.cfg.Name, ID: k.id, Life: k.life, Boot: k.cfg.Boot, Empty: true}})
			}
		case m.Renew != nil:
			k.renew(from, *m.Renew)
		case m.Propose != nil:
			k.handleProposal(from, *m.Propose)
		case m.Check != nil:
			a := Checked{ID: m.Check.ID}
			if err := k.check(m.Check.Text); err != nil {
				a.Bad = err.Error()
			}
			k.send(from, Message{Checked: &a})
		case m.Checked != nil:
			k.handleChecked(from, *m.Checked)
		case m.Seat != nil:
			k.handleSeatRequest(from, *m.Seat)
		}
	})
}

// stepRaft passes another keeper's message to raft.
func (k *Keeper) stepRaft(from string, data []byte) {
	m := &pb.Message{}
	if proto.Unmarshal(data, m) != nil || m.GetTo() != k.id || raft.IsLocalMsg(m.GetType()) {
		return // invalid, or for another identity
	}
	if k.phase == empty && k.node == nil {
		// A raft message for this identity means that the leader has added this keeper.
		k.store = raft.NewMemoryStorage()
		if err := k.startRaft(); err != nil {
			k.log("keeper-failed", "%v", err)
			return
		}
		k.phase = live
	}
	if k.phase != live {
		return
	}
	k.names[m.GetFrom()] = from
	k.recordPosition(m)
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= k.node.BasicStatus().GetTerm() {
			k.resetElectionTimer()
		}
	}
	k.node.Step(m) // an error means that the message was ignored
}

// recordPosition records how far another keeper's log reaches at least, according to its messages. Within a term a log
// never gets shorter; in a later term another leader may truncate it.
func (k *Keeper) recordPosition(m *pb.Message) {
	seen := k.positions[m.GetFrom()]
	if m.GetTerm() > seen.term {
		seen = logPosition{term: m.GetTerm()}
	}
	if m.GetTerm() == seen.term {
		switch m.GetType() {
		case pb.MsgApp: // a leader has stored the entries that it sends
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
	case pb.MsgPreVote, pb.MsgPreVoteResp: // their term is a candidate's and may never start
		return
	}
	if len(k.positions) < 64 || k.positions[m.GetFrom()].term != 0 {
		k.positions[m.GetFrom()] = seen
	}
}

// answerHello answers another keeper's Hello with what was seen of its identity before.
func (k *Keeper) answerHello(from string, h Hello) {
	if h.Empty {
		if len(k.emptyKeepers) < 64 {
			k.emptyKeepers[h.Name] = h
		}
	}
	seen := Lived{h.Life, h.Boot}
	old := Judge(h, k.lives[h.ID], k.positions[h.ID].term, k.positions[h.ID].last)
	if old == "" && k.lives[h.ID] != seen && len(k.lives) < 256 {
		k.lives[h.ID] = seen
		k.emit(Save{Lives: map[uint64]Lived{h.ID: seen}})
	}
	k.send(from, Message{Known: &Known{To: h.ID, Life: h.Life, Old: old, ID: k.id, Empty: k.phase == empty, Begun: k.phase != empty}})
}

// Judge returns why a disk is outdated, given the highest life, term and entry seen of its identity before, or "" if it
// is not known to be.
func Judge(h Hello, seen Lived, term, last uint64) string {
	switch {
	case h.Life == seen.Life && h.Boot == seen.Boot:
		// Danger: a delayed Hello of this same process may arrive after it has been added and its log has grown.
		return ""
	case h.Life <= seen.Life:
		return fmt.Sprintf("its disk is from life %d, and life %d has been seen", h.Life, seen.Life)
	case h.Term < term || h.Term == term && h.Last < last:
		return fmt.Sprintf("its disk ends at entry %d of term %d, and it has acknowledged entry %d, term %d", h.Last, h.Term, last, term)
	}
	return ""
}

func (k *Keeper) handleKnown(from string, a Known) {
	if a.To != k.id || a.Life != k.life || k.phase == live && a.Old == "" {
		return
	}
	if a.Old != "" {
		k.abandonIdentity(from + " reports: " + a.Old)
		return
	}
	if k.phase == empty && a.Begun && !k.loggedEmpty && k.ticks >= 2*helloTicks {
		k.loggedEmpty = true
		k.log("keeper-disk-empty", "keeper %s: its disk is empty and the fleet exists already: add it with 'marlreelctl fleet keepers add %s'", k.cfg.Name, k.cfg.Name)
	}
	k.helloAnswers[from] = a
	k.advancePhase()
}

// ready processes what raft has ready, in the order that raft requires: saves come before the messages that rely on
// them.
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
			k.emit(s)
		}
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgVoteResp && !m.GetReject() {
				k.resetElectionTimer()
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
			k.leadershipChanged(rd.SoftState)
		}
		for _, r := range rd.ReadStates {
			k.confirmed(r)
		}
		k.node.Advance(rd)
	}
	k.compact()
}

// leadershipChanged resets the leader's state when this keeper becomes the leader or stops being it.
func (k *Keeper) leadershipChanged(s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if leads == k.leads {
		return
	}
	k.leads, k.leaderSince = leads, k.now
	k.renewals, k.reads, k.holders, k.openProposed, k.listChangeInFlight, k.listChanges = nil, map[uint64][]renewal{}, map[uint64]holder{}, 0, false, nil
	k.pending, k.seatRequests = map[string]pending{}, nil
	if leads {
		k.log("keeper-leads", "keeper %s is the leader", k.cfg.Name)
	}
}

// commit applies a committed entry.
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
			k.applyChange(e.GetIndex(), c)
		}
		k.reseated = true
	default:
		var c Change
		if len(e.Data) > 0 && json.Unmarshal(e.Data, &c) == nil {
			k.applyChange(e.GetIndex(), c)
		}
	}
}

// applyChange applies a change, notifies lease holders of a new state, and answers the change's proposer.
func (k *Keeper) applyChange(index uint64, c Change) {
	next := k.state.clone() // states that were handed out are never modified
	r := next.apply(index, c)
	if c.Kind == "told" {
		k.listChangeInFlight = false
	}
	if next.Seq != k.state.Seq {
		if next.Step != k.state.Step {
			k.lastStep = k.now
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
	if p, isOwn := k.pending[c.ID]; isOwn && c.ID != "" {
		delete(k.pending, c.ID)
		k.send(p.from, Message{Result: &r})
	}
}

// compact takes a snapshot and truncates the log.
func (k *Keeper) compact() {
	// Danger: a new keeper is sent the last snapshot, and can't use one from before it was added. So each change of the
	// keepers is followed by a snapshot.
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
	k.emit(Save{Snapshot: snap, Entries: rest, ID: k.id, Life: k.life})
}

func (k *Keeper) check(text string) error {
	if len(text) > MostText {
		return fmt.Errorf("settings: %d bytes, %d at most", len(text), MostText)
	}
	if k.cfg.Check == nil {
		return nil
	}
	var before []string
	if v, exists := k.state.Newest(); exists && v.Text != "" {
		before = append(before, v.Text)
	}
	return k.cfg.Check(before, text)
}

// View returns the newest decided state that this keeper has applied. It is never modified.
func (k *Keeper) View() *State { return k.state }

// Leads reports whether this keeper is the leader, as far as it knows.
func (k *Keeper) Leads() bool { return k.leads }

// Identity returns the disk's identity, and its life since this start.
func (k *Keeper) Identity() (id, life uint64) { return k.id, k.life }

// Phase describes the keeper's phase for operators.
func (k *Keeper) Phase() string {
	return [...]string{"waits to be taken in", "shows its disk", "keeps the log"}[k.phase]
}

// Holder is a process that may hold a lease, as the leader knows it.
type Holder struct {
	Name  string        `json:"name"`
	Held  uint64        `json:"held"`
	Left  time.Duration `json:"left_ns"` // until the longest lease that it may hold has expired
	Lists Lists         `json:"lists"`
}

// Holders returns the processes that may hold a lease, sorted by name. It is empty if this keeper is not the leader.
func (k *Keeper) Holders() []Holder {
	var all []Holder
	for _, h := range k.holders {
		all = append(all, Holder{h.name, h.held, max(0, h.until-k.now), h.lists})
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Left, b.Left)) })
	return all
}

// DiskError is a keeper's disk whose content can't be used.
type DiskError struct{ Reason string }

// Error implements error.
func (e *DiskError) Error() string { return "can't use the keeper's disk: " + e.Reason }

// Advice says what an operator can do.
func (e *DiskError) Advice() string {
	return "move the folder of [fleet] dir away, start the proxy again, and add it with 'marlreelctl fleet keepers add NAME'"
}

// quietLogger discards the raft library's log lines but keeps its panics.
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
