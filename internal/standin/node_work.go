package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"marlreel/internal/standin/machine"
)

// exchange is a request in flight.
type exchange struct {
	c         net.Conn
	path      Path
	gone      chan struct{} // closed when the proxy has closed the connection
	done      chan struct{} // closed when the response is written, or there will be none
	fresh     bool
	full      bool // the connection exceeds NodeConfig.Connections
	last      bool
	began     time.Duration
	whole     time.Duration
	idleSince time.Duration // when the connection last became idle: before the request, and after its response once that is written
}

// sendOf returns the journal record of a request.
func (n *Node) sendOf(x *exchange, r *http.Request) *Send {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return &Send{
		Node: n.cfg.ID, Zone: n.cfg.Zone, Proxy: x.path.Proxy, ID: r.Header.Get("X-Correlation-Id"),
		Key: r.Header.Get("Idempotency-Key"), Class: class, Began: x.began, Whole: x.whole, Fresh: x.fresh, CrossesZone: x.path.Cross,
	}
}

// answer processes one HTTP request and writes its response.
func (n *Node) answer(x *exchange, r *http.Request, good bool) {
	defer close(x.done)
	if x.path.Delay > 0 {
		time.Sleep(x.path.Delay)
	}
	s := n.sendOf(x, r)
	if s.Class == "health" || s.Class == "status" {
		n.probe(x, s, s.Class == "status")
		return
	}
	if s.ID == "" {
		n.reply(x, nil, http.StatusNotFound, nil, "no id")
		return
	}
	left, err := timeLeft(r.Header.Get("X-Time-Left"))
	if err != nil {
		left = 0
	}
	switch end := n.process(s, left, x.full, good, x.gone); end {
	case endUnknown:
		n.reply(x, nil, http.StatusBadRequest, nil, "no client's request")
	case endServed:
		spoil := SpoilNothing
		if s.Effect != Dropped && n.spoils(s) {
			n.mu.Lock()
			spoil = n.spoil
			n.mu.Unlock()
		}
		n.spoilReply(x, s, spoil)
	case endFailed:
		n.reply(x, s, http.StatusInternalServerError, nil, "error")
	case endFull:
		x.last = x.full
		n.reply(x, s, http.StatusServiceUnavailable, unprocessed, "full")
	case endExpiredQueued:
		n.reply(x, s, http.StatusGatewayTimeout, unprocessed, "over")
	case endExpiredRunning:
		x.last = true
		x.c.Close()
	case endGone:
	}
}

// ending is the outcome of a request at a node, independent of the protocol.
type ending uint8

const (
	endServed         ending = iota
	endFailed                // an error, after it had started
	endFull                  // rejected without running
	endExpiredQueued         // its deadline passed before it started
	endExpiredRunning        // its deadline passed while it ran: no response
	endGone                  // the caller has left or the node has died: no response
	endUnknown               // a request that no client sent
)

// placed is a request that the machine has accepted.
type placed struct {
	id      uint64
	ended   chan machine.Completion
	first   bool // it is the first with its key in the group
	failing bool // it will end with an error
}

// process submits a request to the machine, waits for its end and records it in the journal.
// gone is closed when the caller no longer waits for it.
func (n *Node) process(s *Send, left time.Duration, full, good bool, gone <-chan struct{}) ending {
	job, known := machine.Job{Work: time.Millisecond}, true
	if n.cfg.Demand != nil {
		job, known = n.cfg.Demand(s.ID, s.Class)
	}
	if !known || !good {
		return endUnknown
	}
	if s.Fresh {
		job.Work += n.cfg.Handshake
	}
	s.Work = job.Work
	if left > 0 {
		job.Deadline = s.Whole + left
	}
	p, end, over := n.place(s, job, left, full, gone)
	if over {
		return end
	}
	return n.await(s, p, gone)
}

// place submits a request to the machine, unless a fault ends it first. over tells that it has already ended.
func (n *Node) place(s *Send, job machine.Job, left time.Duration, full bool, gone <-chan struct{}) (p placed, end ending, over bool) {
	n.mu.Lock()
	if n.dead || n.silent {
		n.mu.Unlock()
		return p, endGone, true
	}
	p.failing = n.errors > 0 && chance(s.ID, n.cfg.ID, "error") < n.errors
	if partial, harmed := n.partialFor(s); harmed && !n.draining && !full {
		switch partial.Harm {
		case HarmSilent:
			n.mu.Unlock()
			return p, n.leaveUnanswered(s, left, gone), true
		case HarmErrors:
			p.failing = true
		case HarmSlow:
			job.Work, job.Wait = times(job.Work, partial.Times), times(job.Wait, partial.Times)
			s.Work = job.Work
		}
	}
	verdict, repeated := n.submit(s, job, full, &p)
	n.cfg.Journal.send(s)
	if !repeated {
		n.advance()
	}
	n.mu.Unlock()
	switch {
	case repeated:
		return p, endServed, true
	case verdict == machine.QueueFull:
		return p, endFull, true
	case verdict == machine.DeadlinePassed:
		return p, endExpiredQueued, true
	case verdict == machine.Unavailable: // the crash resets the connection, so there is no response
		n.cfg.Journal.end(s, "", 0, n.cfg.Clock.Now())
		return p, endGone, true
	}
	return p, 0, false
}

// submit passes a request to the machine and sets its effect. repeated tells that the group has already run its key
// and the request is dropped. The caller holds the lock.
func (n *Node) submit(s *Send, job machine.Job, full bool, p *placed) (verdict machine.Admission, repeated bool) {
	now, grouped := n.cfg.Clock.Now(), s.Key != "" && n.cfg.Group != nil
	if n.draining || full {
		s.Effect = TurnedAway
		return machine.QueueFull, false
	}
	if grouped && !n.cfg.Group.first(s.Key, now) {
		s.Effect = Dropped
		return machine.Accepted, true
	}
	p.first = grouped
	n.lastJob++
	p.id = n.lastJob
	verdict = n.machine.Submit(now, p.id, job)
	if verdict == machine.Accepted {
		p.ended = make(chan machine.Completion, 1)
		n.open[p.id] = p.ended
	}
	s.Effect = TurnedAway
	if verdict == machine.Accepted || verdict == machine.Unavailable {
		s.Effect = Ran
	}
	if p.first && verdict != machine.Accepted {
		n.cfg.Group.forget(s.Key)
	}
	return verdict, false
}

// await waits until an accepted request ends or its caller leaves.
func (n *Node) await(s *Send, p placed, gone <-chan struct{}) ending {
	select {
	case e := <-p.ended:
		if !e.Started && p.first {
			n.cfg.Group.forget(s.Key)
		}
		switch {
		case e.Outcome == machine.DeadlineExceeded && !e.Started:
			return endExpiredQueued // nothing of it ran or will run
		case e.Outcome == machine.DeadlineExceeded:
			n.cfg.Journal.end(s, "", 0, n.cfg.Clock.Now())
			return endExpiredRunning
		case e.Outcome != machine.Completed:
			n.cfg.Journal.end(s, "", 0, n.cfg.Clock.Now())
			return endGone
		case p.failing:
			return endFailed
		}
		return endServed
	case <-gone:
		n.mu.Lock()
		ran := n.machine.Cancel(n.cfg.Clock.Now(), p.id)
		delete(n.open, p.id)
		n.advance()
		n.mu.Unlock()
		if !ran && p.first {
			n.cfg.Group.forget(s.Key)
		}
		n.cfg.Journal.end(s, "", 0, n.cfg.Clock.Now())
		return endGone
	}
}

var unprocessed = []string{"X-Unprocessed: 1"}

// probe answers a health or load probe at once, without waiting in the queue. The machine is charged a little work for it.
func (n *Node) probe(x *exchange, s *Send, load bool) {
	s.Probe = true
	if !n.cfg.Probes {
		n.reply(x, nil, http.StatusNotFound, nil, "no probes here")
		return
	}
	n.mu.Lock()
	s.Work, s.Effect = n.cfg.ProbeWork, Ran
	if x.fresh {
		s.Work += n.cfg.Handshake
	}
	if n.dead || n.silent {
		n.mu.Unlock()
		return
	}
	n.lastJob++
	n.machine.Submit(n.cfg.Clock.Now(), n.lastJob, machine.Job{Work: s.Work})
	n.advance()
	draining := n.draining
	n.mu.Unlock()
	n.cfg.Journal.send(s)
	status, text := http.StatusOK, "up"
	if draining {
		status, text = http.StatusServiceUnavailable, "draining"
	}
	if load && len(n.cfg.Report) > 0 {
		text = n.load()
	}
	n.reply(x, s, status, nil, text)
}

// load returns the load report as JSON.
func (n *Node) load() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	values := map[string]float64{}
	for _, f := range n.cfg.Report {
		switch f {
		case "inflight", "busy_reqs":
			values[f] = float64(n.machine.InService())
		case "queue", "pending":
			values[f] = float64(n.machine.Outstanding() - n.machine.InService())
		case "util":
			values[f] = min(1, float64(n.machine.InService())/float64(n.cfg.Machine.Cores))
		default:
			values[f] = 0
		}
	}
	text, err := json.Marshal(values)
	if err != nil {
		return "{}"
	}
	return string(text)
}
