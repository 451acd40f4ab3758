package standin

import (
	"slices"
	"time"
)

// Harm is how a node serves badly what it serves badly.
type Harm uint8

// The harms.
const (
	HarmSlow   Harm = iota // the work and the wait take Partial.Times longer
	HarmSilent             // taken, never answered: as far as anybody can tell it ran
	HarmErrors             // answered with an error after the work
)

// Partial is a way in which a node serves one kind of work badly and all else as ever: what
// gray failures are made of.
type Partial struct {
	Class string  // the class of work; "" is every one
	Above int     // only answers of so many bytes or more
	Harm  Harm    // what becomes of them
	Rate  float64 // share of them, drawn from the requests' ids
	Times float64 // HarmSlow: how many times longer
}

// longestSilence bounds how long a request that is never answered is held for a sender that
// named no time and does not leave.
const longestSilence = time.Minute

type keyedPartial struct {
	key string
	Partial
}

// Partially makes the node serve some work badly from now on, under a key by which Wholly ends
// it. The first of several that fits a request counts.
func (n *Node) Partially(key string, p Partial) {
	n.command(func(time.Duration) { n.partial = append(n.partial, keyedPartial{key, p}) })
}

// Wholly ends what began under the key.
func (n *Node) Wholly(key string) {
	n.command(func(time.Duration) {
		n.partial = slices.DeleteFunc(n.partial, func(p keyedPartial) bool { return p.key == key })
	})
}

// harm finds what becomes of a request. It wants the node's lock.
func (n *Node) harm(s *Send) (Partial, bool) {
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

// size is how many bytes the answer to a request has.
func (n *Node) size(id, class string) int {
	if n.cfg.Size == nil {
		return answerSize
	}
	return n.cfg.Size(id, class)
}

// stayAway holds a request that is never answered until nobody waits for it.
func (n *Node) stayAway(s *Send, left time.Duration, gone <-chan struct{}) ending {
	s.Effect = Ran
	n.cfg.Journal.send(s)
	if left <= 0 {
		left = longestSilence
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
