package agree

import (
	"time"
)

// Bounds of the times, as shares of Within.
const (
	// Drift is by how much a clock may go wrong.
	Drift = 0.05
	// LeaseShare is what of Within a lease lasts: with clocks that go wrong by Drift, one ends within
	// LeaseShare/(1-Drift) = 0.895, which leaves a tenth for what is told to get to the keepers.
	LeaseShare = 0.85
	renewShare = 0.17  // of Within, between two renewals
	againShare = 0.05  // of Within, until one that is not answered is sent to another keeper
	tickShare  = 0.01  // of Within, between two ticks
	apartShare = 0.001 // of Within: what a nudge is answered within at most, by one of many
)

// Config is what members and keepers of a fleet have in common.
type Config struct {
	Name    string        // of this process's proxy
	Boot    uint64        // of this process: another one with each start; not 0
	Keepers []string      // by the file: whom to ask first, and who founds the fleet
	Within  time.Duration // beyond this no two proxies go by rules that contradict each other
	Seed    uint64
	// Check tells why a text can't be the version after others, or nil. It is pure.
	Check func(before []string, text string) error
}

// Lease is how long a lease lasts.
func (c *Config) Lease() time.Duration { return share(c.Within, LeaseShare) }

// Tick is how often Tick of a Member or Keeper is to be called.
func (c *Config) Tick() time.Duration { return share(c.Within, tickShare) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// Member is what every proxy of a fleet is.
type Member struct {
	cfg    Config
	view   *State // the newest heard; its Seq 0: none
	given  bool   // it was given out to be put in force: one of an earlier life was not
	held   uint64 // the Seq of the state that is in force here
	born   uint64 // and which fleet's
	until  time.Duration
	lists  Lists
	n      uint64 // its number
	out    bool
	sentAt time.Duration
	next   time.Duration // when to renew
	grants map[uint64]time.Duration
	whom   int    // whom of the keepers to ask, where nobody is known to lead
	leader string // "" is not known
}

// NewMember makes a member. saved is the view of an earlier life, or nil: it tells what was known, and gives no lease.
func NewMember(cfg Config, saved *State) *Member {
	m := &Member{cfg: cfg, view: saved, whom: int(cfg.Seed % 97), grants: map[uint64]time.Duration{}}
	if m.view == nil {
		m.view = &State{Floors: map[string]Floor{}}
	}
	return m
}

// View is the newest state that was heard. It is never changed.
func (m *Member) View() *State { return m.view }

// Until is when the lease on the state in force runs out, on this process's clock. It is past where there is none.
func (m *Member) Until() time.Duration { return m.until }

// Held is the state that is in force; 0 is none.
func (m *Member) Held() uint64 { return m.held }

// Leader is who leads the keepers, as far as is known.
func (m *Member) Leader() string { return m.leader }

// Keepers are those to ask: the decided ones, else the file's.
func (m *Member) Keepers() []string {
	if len(m.view.Keepers) == 0 {
		return m.cfg.Keepers
	}
	names := make([]string, len(m.view.Keepers))
	for i, k := range m.view.Keepers {
		names[i] = k.Name
	}
	return names
}

// Lists tells which list this proxy goes by.
func (m *Member) Lists(l Lists) { m.lists = l }

// Tick renews the lease in time.
func (m *Member) Tick(now time.Duration) []Action {
	switch {
	case m.out && now-m.sentAt >= share(m.cfg.Within, againShare):
		m.leader = "" // it does not answer
		m.whom++
		return m.ask(now)
	case !m.out && now >= m.next:
		return m.ask(now)
	}
	return nil
}

// ask sends a renewal. Each try has a number and a time of its own: an answer counts from its own asking.
func (m *Member) ask(now time.Duration) []Action {
	to := m.Target()
	m.next = now + share(m.cfg.Within, renewShare)
	if to == "" {
		return nil
	}
	m.n++
	m.out, m.sentAt = true, now
	m.grants[m.n] = now
	for n, at := range m.grants { // what is older than a lease can give none
		if now-at > m.cfg.Lease() {
			delete(m.grants, n)
		}
	}
	return []Action{Send{to, Message{Renew: &Renew{N: m.n, Boot: m.cfg.Boot, Born: m.view.Born, Have: m.view.Seq, Held: m.held, List: m.lists, Within: m.cfg.Within}}}}
}

// Target is whom to ask: who leads, else the keepers in turn.
func (m *Member) Target() string {
	if m.leader != "" {
		return m.leader
	}
	k := m.Keepers()
	if len(k) == 0 {
		return ""
	}
	return k[m.whom%len(k)]
}

// Receive takes a message.
func (m *Member) Receive(now time.Duration, from string, msg Message) []Action {
	switch {
	case msg.Nudge > m.view.Seq:
		m.leader = from
		// Danger: all at once would be a burst at the one that leads.
		m.next = min(m.next, now+time.Duration(m.cfg.Seed%64)*share(m.cfg.Within, apartShare)/8)
		m.out = false
	case msg.Grant != nil:
		return m.grant(now, from, *msg.Grant)
	}
	return nil
}

func (m *Member) grant(now time.Duration, from string, g Grant) []Action {
	asked, known := m.grants[g.N]
	if !known || g.Boot != m.cfg.Boot {
		return nil // too old, or another process's
	}
	delete(m.grants, g.N)
	if g.N == m.n {
		m.out = false
	}
	if g.Leader != "" {
		if g.Leader != from {
			m.leader = g.Leader
			m.next = min(m.next, now+share(m.cfg.Within, tickShare))
		}
		return nil
	}
	if g.Seq == 0 { // it does not lead, nor knows who does
		if m.leader == from {
			m.leader = ""
		}
		m.whom++
		m.next = min(m.next, now+share(m.cfg.Within, againShare))
		return nil
	}
	m.leader = from
	var acts []Action
	if s := g.State; s != nil && (s.Seq > m.view.Seq || s.Born != m.view.Born) {
		if s.Born != m.view.Born && m.view.Born != 0 {
			if now < m.until {
				return nil // one of the two fleets is false: this one's word still holds
			}
			acts = append(acts, Say{"fleet-begun-anew", "the keepers' log is another than the one that was known: the fleet was begun anew"})
		}
		m.view, m.given = s, true
		acts = append(acts, Adopt{s})
	}
	if !m.given && g.Seq == m.view.Seq {
		m.given = true
		acts = append(acts, Adopt{m.view})
	}
	if g.Seq == m.view.Seq {
		m.lease(asked)
	}
	return acts
}

// lease notes a lease on the newest state. It counts where that state is in force.
func (m *Member) lease(asked time.Duration) {
	m.until = max(m.until, asked+m.cfg.Lease())
}

// InForce tells that a state which was adopted is in force here: from now on its lease counts, and the keepers may
// know it.
func (m *Member) InForce(now time.Duration, s *State) {
	m.held, m.born = s.Seq, s.Born
	m.next = now // tell them
	m.out = false
}

// Valid tells whether the rules in force are under a lease.
func (m *Member) Valid(now time.Duration) bool {
	return m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born && now < m.until
}
