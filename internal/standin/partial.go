package standin

import (
	"slices"
	"time"
)

// Harm is the effect of a Partial fault on a request.
type Harm uint8

// The effects.
const (
	HarmSlow   Harm = iota // work and wait are multiplied by Partial.Times
	HarmSilent             // accepted and never answered: it may have run
	HarmErrors             // answered with an error after the work
)

// Partial is a gray failure: the node serves one kind of request badly and all others normally.
type Partial struct {
	Class string  // request class; "" matches all
	Above int     // minimum response size in bytes
	Harm  Harm    // the effect
	Rate  float64 // share of the matching requests, chosen by request ID
	Times float64 // factor for HarmSlow
}

// maxUnanswered bounds how long an unanswered request is kept open for a sender that set no
// time limit and does not disconnect.
const maxUnanswered = time.Minute

type keyedPartial struct {
	key string
	Partial
}

// AddPartial adds a partial fault under a key; RemovePartial removes it. If several match a request,
// the first one applies.
func (n *Node) AddPartial(key string, p Partial) {
	n.command(func(time.Duration) { n.partial = append(n.partial, keyedPartial{key, p}) })
}

// RemovePartial removes the partial faults that were added under the key.
func (n *Node) RemovePartial(key string) {
	n.command(func(time.Duration) {
		n.partial = slices.DeleteFunc(n.partial, func(p keyedPartial) bool { return p.key == key })
	})
}

// partialFor returns the partial fault that applies to a request, if any. The caller holds the node's lock.
func (n *Node) partialFor(s *Send) (Partial, bool) {
	for _, p := range n.partial {
		if p.Class != "" && p.Class != s.Class {
			continue
		}
		if p.Above > 0 && n.size(s.ID, s.Class) < p.Above {
			continue
		}
		return p.Partial, chance(s.ID, n.cfg.ID, "partial") < p.Rate
	}
	return Partial{}, false
}

// size returns the response body size of a request.
func (n *Node) size(id, class string) int {
	if n.cfg.Size == nil {
		return answerSize
	}
	return n.cfg.Size(id, class)
}

// leaveUnanswered keeps a request open without an answer until its time limit or until the caller disconnects.
func (n *Node) leaveUnanswered(s *Send, left time.Duration, gone <-chan struct{}) ending {
	s.Effect = Ran
	n.cfg.Journal.send(s)
	if left <= 0 {
		left = maxUnanswered
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
	}
	n.cfg.Journal.end(s, "", 0, n.cfg.Clock.Now())
	return endGone
}

func times(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * max(by, 1)) }
