package agree

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// What the keeper that leads does beside keeping the log: leases, openings, proposals, seats.

// longest is for how long after it was granted a lease may be held, by this clock: both clocks may go wrong.
func (c *Config) longest() time.Duration { return share(c.Lease(), (1+Drift)/(1-Drift)) }

// renew takes a member's asking in. It is answered when a majority has confirmed, after it came, that this keeper
// leads. Danger: one that was cut off from the others would go on granting what they have long replaced.
func (k *Keeper) renew(from string, r Renew) {
	if !k.leads || k.phase != live {
		leader := ""
		if k.node != nil && k.phase == live {
			leader = k.names[k.node.BasicStatus().Lead]
		}
		if leader == k.cfg.Name {
			leader = ""
		}
		k.send(from, Message{Grant: &Grant{N: r.N, Boot: r.Boot, Leader: leader}})
		return
	}
	if r.Within != k.cfg.Within {
		// Danger: a lease that its holder counts longer than this one does outlives what is decided on it.
		if !k.apart[from] && len(k.apart) < 512 {
			k.apart[from] = true
			k.say("fleet-within-differs", "%s has agree-within = %v, and this keeper %v: it gets no lease, until they are the same", from, r.Within, k.cfg.Within)
		}
		k.send(from, Message{Grant: &Grant{N: r.N, Boot: r.Boot}})
		return
	}
	if len(k.renewals) < mostPending {
		k.renewals = append(k.renewals, renewal{from: from, renew: r})
	}
}

// lead is done every tick.
func (k *Keeper) lead() {
	if len(k.renewals) > 0 && len(k.reads) < 64 {
		k.lastRead++
		k.reads[k.lastRead], k.renewals = k.renewals, nil
		k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.lastRead))
	}
	for id, h := range k.holders {
		if k.now >= h.until {
			delete(k.holders, id)
		}
	}
	if len(k.reads) > 32 { // those that were never confirmed, as in an office that is not yet sure: their askers ask again
		for _, n := range slices.Sorted(maps.Keys(k.reads))[:16] {
			delete(k.reads, n)
		}
	}
	k.open()
	k.tell()
	k.complete()
	k.sit()
	for _, id := range slices.Sorted(maps.Keys(k.pending)) {
		k.decide(id)
	}
}

// confirmed grants what was asked before a majority confirmed that this keeper leads.
func (k *Keeper) confirmed(r raft.ReadState) {
	n := binary.BigEndian.Uint64(r.RequestCtx)
	asked := k.reads[n]
	delete(k.reads, n)
	if !k.leads || r.Index > k.applied {
		return
	}
	for _, a := range asked {
		if a.read != "" {
			v, _ := k.state.Newest()
			k.send(a.from, Message{Result: &Result{ID: a.read, Version: v.Number, By: v.By}})
			continue
		}
		g := Grant{N: a.renew.N, Boot: a.renew.Boot, Seq: k.state.Seq}
		if a.renew.Have != k.state.Seq || a.renew.Born != k.state.Born {
			g.State = k.state
		}
		held := a.renew.Held
		if a.renew.Born != k.state.Born {
			held = 0
		}
		k.holders[a.renew.Boot] = holder{a.from, held, k.now + k.cfg.longest(), a.renew.List}
		k.send(a.from, Message{Grant: &g})
	}
	k.open()
}

// known tells whether nobody can go by a state from before the last step on versions any more: each process that may
// hold a lease has said that it goes by this one or a later, or the longest lease has run out since.
func (k *Keeper) known() bool {
	if k.now-k.stepped >= k.cfg.longest() {
		return true
	}
	if k.now-k.office < k.cfg.longest() {
		return false // others may have granted leases that this office does not know
	}
	for _, h := range k.holders {
		if k.now < h.until && h.held < k.state.Step {
			return false
		}
	}
	return true
}

// open decides that the newest version is in force whole, when nobody can go by the one before alone.
func (k *Keeper) open() {
	v, some := k.state.Newest()
	if some && k.state.Opening() && k.opens != v.Number && k.known() && k.propose(Change{Kind: "open", Version: v.Number}) {
		k.opens = v.Number
	}
}

func (k *Keeper) propose(c Change) bool {
	data, err := json.Marshal(c)
	return err == nil && k.node.Propose(data) == nil
}

// proposed takes a proposal, or a word on lists.
func (k *Keeper) proposed(from string, c Change) {
	switch {
	case !k.leads:
	case c.Kind == "holders":
		k.send(from, Message{Result: &Result{ID: c.ID, Holders: k.Holders()}})
	case c.Kind == "read":
		if len(k.renewals) < mostPending {
			k.renewals = append(k.renewals, renewal{from: from, read: c.ID})
		}
	case c.Kind == "told" || c.Kind == "reset":
		if len(k.waiting) < mostPending {
			k.waiting = append(k.waiting, c)
		}
		if c.Kind == "told" {
			k.tell()
		}
	case c.Kind == "propose" && c.ID != "":
		if p, there := k.pending[c.ID]; there { // it asks again
			p.from = from
			k.pending[c.ID] = p
			return
		}
		r := k.state.clone().propose(c)
		if v, some := k.state.Newest(); some && r.Refused == "" && !r.Same && !k.known() {
			// Danger: with some still between the two versions before, three would be in use.
			r = Result{Refused: Busy, By: v.By, Version: v.Number}
		}
		if r.Refused != "" || r.Same {
			r.ID = c.ID
			k.send(from, Message{Result: &r})
			return
		}
		if err := k.check(c.Text); err != nil {
			k.send(from, Message{Result: &Result{ID: c.ID, Refused: err.Error(), By: k.cfg.Name}})
			return
		}
		if len(k.pending) >= 64 {
			return
		}
		p := pending{from: from, change: c, at: k.ticks, checks: map[string]bool{k.cfg.Name: true}}
		k.pending[c.ID] = p
		for _, n := range k.others() {
			k.send(n, Message{Check: &Check{ID: c.ID, Text: c.Text}})
		}
		k.decide(c.ID)
	}
}

// checked takes another keeper's word on a proposal.
func (k *Keeper) checked(from string, a Checked) {
	p, there := k.pending[a.ID]
	if !there || p.sent {
		return
	}
	if a.Bad != "" {
		delete(k.pending, a.ID)
		k.send(p.from, Message{Result: &Result{ID: a.ID, Refused: a.Bad, By: from}})
		return
	}
	p.checks[from] = true
	k.decide(a.ID)
}

// decide hands a proposal to the log, when all keepers have found it good, or a majority has and the rest is away.
func (k *Keeper) decide(id string) {
	p, there := k.pending[id]
	if !there {
		return
	}
	if k.ticks-p.at > 20*electionTicks { // its proposer has long asked again
		delete(k.pending, id)
		return
	}
	seats := max(1, len(k.state.Keepers))
	if p.sent || len(p.checks) < seats && (len(p.checks) <= seats/2 || k.ticks-p.at < checkTicks) {
		return
	}
	p.sent = k.propose(p.change)
	k.pending[id] = p
}

// tell decides what proxies were told of lists, together and one after the other: a drain that 300 proxies hear at
// once is one entry, or two.
func (k *Keeper) tell() {
	if k.telling || len(k.waiting) == 0 {
		return
	}
	trial, bySource := k.state.clone(), map[string]*Change{}
	for _, c := range k.waiting {
		if c.Kind == "reset" {
			k.propose(c)
			continue
		}
		if f := trial.Floors[c.Source]; c.Floor.History != f.History {
			continue
		}
		before := trial.Seq
		if trial.apply(before+1, c); trial.Seq == before {
			continue // others have said so
		}
		sum := bySource[c.Source]
		if sum == nil {
			bySource[c.Source] = &c
			continue
		}
		sum.Floor.Revision = max(sum.Floor.Revision, c.Floor.Revision)
		sum.Ends = append(sum.Ends, c.Ends...)
	}
	k.waiting = nil
	for _, source := range slices.Sorted(maps.Keys(bySource)) {
		k.telling = k.propose(*bySource[source]) || k.telling
	}
}

// complete takes the file's other keepers in, while the fleet is being founded: before any version is decided.
func (k *Keeper) complete() {
	if _, some := k.state.Newest(); some || len(k.state.Keepers) >= len(k.cfg.Keepers) {
		return
	}
	for _, n := range k.cfg.Keepers {
		if h, shown := k.seen[n]; shown && k.seatOf(n) == 0 {
			if k.ticks-k.seatedAt >= electionTicks { // one at a time: the log lets only one be under way
				k.seatedAt = k.ticks
				k.change(Seat{n, h.ID}, true, "")
			}
			return
		}
		if k.seatOf(n) == 0 && k.ticks%helloTicks == 0 {
			k.send(n, Message{Invite: true})
		}
	}
}

// Complete tells whether all of the file's keepers have a seat, or a version has been decided, so that a first
// version may be proposed.
func (k *Keeper) Complete() bool {
	_, some := k.state.Newest()
	return some || len(k.state.Keepers) >= len(k.cfg.Keepers)
}

func (k *Keeper) seatOf(name string) uint64 {
	for _, s := range k.state.Keepers {
		if s.Name == name {
			return s.ID
		}
	}
	return 0
}

// change decides on a seat: who has one under that name leaves it, in the same step.
func (k *Keeper) change(s Seat, add bool, id string) bool {
	seats := slices.DeleteFunc(slices.Clone(k.state.Keepers), func(x Seat) bool { return x.Name == s.Name })
	var steps []*pb.ConfChangeSingle
	if old := k.seatOf(s.Name); old != 0 && old != s.ID {
		steps = append(steps, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(old)})
	}
	if add {
		steps = append(steps, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(s.ID)})
		seats = append(seats, s)
		k.names[s.ID] = s.Name
	}
	slices.SortFunc(seats, func(a, b Seat) int { return cmp.Compare(a.Name, b.Name) })
	context, err := json.Marshal(Change{Kind: "keepers", ID: id, Keepers: seats})
	if err != nil {
		return false
	}
	return k.node.ProposeConfChange(&pb.ConfChangeV2{Changes: steps, Context: context}) == nil
}

// seat takes an operator's word on keepers.
func (k *Keeper) seat(from string, a SeatAsk) {
	refuse := func(why string) {
		k.send(from, Message{Result: &Result{ID: a.ID, Refused: why, By: k.cfg.Name}})
	}
	switch {
	case !k.leads:
	case !a.Add && k.seatOf(a.Name) == 0:
		refuse(a.Name + " is no keeper")
	case !a.Add && len(k.state.Keepers) <= 1:
		refuse("it is the only keeper")
	case a.Add && len(k.state.Keepers) >= 7 && k.seatOf(a.Name) == 0:
		refuse("there are 7 keepers already: each more makes every decision slower")
	default:
		if len(k.seats) >= 16 {
			return
		}
		delete(k.seen, a.Name) // it has to show its disk now
		k.pending[a.ID] = pending{from: from, at: k.ticks, sent: true}
		k.seats = append(k.seats, seatAsk{from, a, k.ticks})
		if a.Add {
			k.send(a.Name, Message{Invite: true})
		}
	}
}

// sit carries operators' words on keepers out: who is to be one has to show a new disk first.
func (k *Keeper) sit() {
	k.seats = slices.DeleteFunc(k.seats, func(s seatAsk) bool {
		late := k.ticks-s.at > 10*electionTicks
		if s.ask.Add {
			h, shown := k.seen[s.ask.Name]
			if !shown && !late {
				if (k.ticks-s.at)%helloTicks == 0 {
					k.send(s.ask.Name, Message{Invite: true})
				}
				return false
			}
			if !shown {
				delete(k.pending, s.ask.ID)
				k.send(s.from, Message{Result: &Result{ID: s.ask.ID, By: k.cfg.Name, Refused: s.ask.Name + " shows no new disk: it has none, can't be reached, or keeps the log already"}})
				return true
			}
			return k.change(Seat{s.ask.Name, h.ID}, true, s.ask.ID)
		}
		return late || k.change(Seat{s.ask.Name, 0}, false, s.ask.ID)
	})
}
