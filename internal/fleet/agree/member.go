package agree

import (
	"time"
)

// Durations, as fractions of Config.Within.
const (
	// Drift is the largest relative error of a clock's rate.
	Drift = 0.05
	// LeaseShare is the duration of a lease. With clock rates that are wrong by Drift, a lease ends within
	// LeaseShare/(1-Drift) = 0.895, which leaves a tenth of Within for messages to reach the keepers.
	LeaseShare       = 0.85
	renewShare       = 0.17  // between two renewals
	retryShare       = 0.05  // until an unanswered renewal is sent to another keeper
	tickShare        = 0.01  // between two ticks
	nudgeSpreadShare = 0.001 // unit of the random delay with which members react to a nudge
)

// Config configures a Member or Keeper.
type Config struct {
	Name    string        // of this proxy
	Boot    uint64        // identifies this process: differs with each start; not 0
	Keepers []string      // from the configuration file: asked first, and the founders of the fleet
	Within  time.Duration // agree-within: after this time no two proxies act on settings that conflict
	Seed    uint64
	// Check returns an error if a text can't be the successor of earlier versions. It is pure.
	Check func(before []string, text string) error
}

// Lease returns the duration of a lease.
func (c *Config) Lease() time.Duration { return share(c.Within, LeaseShare) }

// Tick returns the interval at which Tick of a Member or Keeper has to be called.
func (c *Config) Tick() time.Duration { return share(c.Within, tickShare) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// Member is a proxy's part in the fleet: it learns the decided state and renews the lease on it. Every proxy has one.
type Member struct {
	cfg          Config
	view         *State        // the newest state known; its Seq is 0 if there is none
	adopted      bool          // view was handed to the host by an Adopt action; false for a view loaded from disk
	held         uint64        // Seq of the state in force here; 0 if none
	born         uint64        // Born of the state in force here
	until        time.Duration // end of the lease
	lists        Lists
	lastRequest  uint64 // number of the last renewal
	inFlight     bool   // a renewal is unanswered
	sentAt       time.Duration
	next         time.Duration            // time of the next renewal
	requestTimes map[uint64]time.Duration // when each unanswered renewal was sent
	keeperIndex  int                      // the keeper to ask while no leader is known, modulo their number
	leader       string                   // "" if not known
}

// NewMember returns a member. saved is the view stored by an earlier process, or nil. It comes without a lease.
func NewMember(cfg Config, saved *State) *Member {
	m := &Member{cfg: cfg, view: saved, keeperIndex: int(cfg.Seed % 97), requestTimes: map[uint64]time.Duration{}}
	if m.view == nil {
		m.view = &State{Floors: map[string]Floor{}}
	}
	return m
}

// View returns the newest state known. It is never modified.
func (m *Member) View() *State { return m.view }

// Until returns when the lease on the state in force expires, on this process's clock. Without a lease it is in the past.
func (m *Member) Until() time.Duration { return m.until }

// Held returns the Seq of the state in force, or 0 if there is none.
func (m *Member) Held() uint64 { return m.held }

// Leader returns the name of the leader, or "" if it is not known.
func (m *Member) Leader() string { return m.leader }

// Keepers returns the names of the decided keepers or, while none are known, of those in the configuration file.
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

// Lists sets the backend list that this proxy uses, which renewals report.
func (m *Member) Lists(l Lists) { m.lists = l }

// Tick renews the lease when that is due, and retries unanswered renewals.
func (m *Member) Tick(now time.Duration) []Action {
	switch {
	case m.inFlight && now-m.sentAt >= share(m.cfg.Within, retryShare):
		m.leader = "" // no answer: try another keeper
		m.keeperIndex++
		return m.ask(now)
	case !m.inFlight && now >= m.next:
		return m.ask(now)
	}
	return nil
}

// ask sends a renewal. Each attempt has its own number and time, as a lease is counted from the request it answers.
func (m *Member) ask(now time.Duration) []Action {
	to := m.Target()
	m.next = now + share(m.cfg.Within, renewShare)
	if to == "" {
		return nil
	}
	m.lastRequest++
	m.inFlight, m.sentAt = true, now
	m.requestTimes[m.lastRequest] = now
	for n, at := range m.requestTimes { // a grant for a request older than a lease would have expired
		if now-at > m.cfg.Lease() {
			delete(m.requestTimes, n)
		}
	}
	return []Action{Send{to, Message{Renew: &Renew{N: m.lastRequest, Boot: m.cfg.Boot, Born: m.view.Born, Have: m.view.Seq, Held: m.held, List: m.lists, Within: m.cfg.Within}}}}
}

// Target returns the proxy to send requests to: the leader if known, else one of the keepers in turn.
func (m *Member) Target() string {
	if m.leader != "" {
		return m.leader
	}
	k := m.Keepers()
	if len(k) == 0 {
		return ""
	}
	return k[m.keeperIndex%len(k)]
}

// Receive handles a message.
func (m *Member) Receive(now time.Duration, from string, msg Message) []Action {
	switch {
	case msg.Nudge > m.view.Seq:
		m.leader = from
		// Danger: if all members renewed at once, the leader would get a burst of requests.
		m.next = min(m.next, now+time.Duration(m.cfg.Seed%64)*share(m.cfg.Within, nudgeSpreadShare)/8)
		m.inFlight = false
	case msg.Grant != nil:
		return m.grant(now, from, *msg.Grant)
	}
	return nil
}

func (m *Member) grant(now time.Duration, from string, g Grant) []Action {
	asked, known := m.requestTimes[g.N]
	if !known || g.Boot != m.cfg.Boot {
		return nil // it answers an expired request, or one of another process
	}
	delete(m.requestTimes, g.N)
	if g.N == m.lastRequest {
		m.inFlight = false
	}
	if g.Leader != "" {
		if g.Leader != from {
			m.leader = g.Leader
			m.next = min(m.next, now+share(m.cfg.Within, tickShare))
		}
		return nil
	}
	if g.Seq == 0 { // the sender is not the leader and does not know it
		if m.leader == from {
			m.leader = ""
		}
		m.keeperIndex++
		m.next = min(m.next, now+share(m.cfg.Within, retryShare))
		return nil
	}
	m.leader = from
	var acts []Action
	if s := g.State; s != nil && (s.Seq > m.view.Seq || s.Born != m.view.Born) {
		if s.Born != m.view.Born && m.view.Born != 0 {
			if now < m.until {
				return nil // two foundings compete: stay with the known one while its lease lasts
			}
			acts = append(acts, Say{"fleet-begun-anew", "the keepers have a log of another founding than the one known here: the fleet was founded again"})
		}
		m.view, m.adopted = s, true
		acts = append(acts, Adopt{s})
	}
	if !m.adopted && g.Seq == m.view.Seq {
		m.adopted = true
		acts = append(acts, Adopt{m.view})
	}
	if g.Seq == m.view.Seq {
		m.lease(asked)
	}
	return acts
}

// lease extends the lease on the newest state. It is valid once that state is in force here.
func (m *Member) lease(asked time.Duration) {
	m.until = max(m.until, asked+m.cfg.Lease())
}

// InForce records that an adopted state is in force here. From now on the lease on it is valid, and the next renewal,
// which is due at once, reports it to the leader.
func (m *Member) InForce(now time.Duration, s *State) {
	m.held, m.born = s.Seq, s.Born
	m.next = now
	m.inFlight = false
}

// Valid reports whether there is a lease on the state in force.
func (m *Member) Valid(now time.Duration) bool {
	return m.held != 0 && m.held == m.view.Seq && m.born == m.view.Born && now < m.until
}
