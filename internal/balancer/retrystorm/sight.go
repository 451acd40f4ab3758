package retrystorm

import (
	"time"

	"marlreel/internal/balancer/decay"
)

// Unmarked repeats. A client's repeat has a new name, and what it asks may be asked by others: a
// match of class, tenant and key with a request that went unserved lately proves nothing by itself.
// So what was served is watched alike, as a control: nobody repeats that, and what matches it comes
// by chance. How much oftener the unserved are matched is the share of their matches that are
// repeats.

const (
	mostSights  = 4096            // requests that are remembered
	controlOf   = 8               // one in so many of the served is watched
	sightsFade  = 5 * time.Second // over which shares of matches are taken
	leastSights = 12              // unserved requests, of late, before any match counts
	likely      = 0.5             // chance from which a match is taken for a repeat
)

// sight is a request that has ended.
type sight struct {
	first, ended time.Duration
	due          time.Duration // when it was told to come again; 0: it was told nothing
	served       bool
}

// sights are the requests that have ended within a span.
type sights struct {
	span  time.Duration
	by    map[uint64]sight
	order []seen // oldest first, from head on
	head  int
	turn  int

	unserved, unservedMet decay.Sum
	control, controlMet   decay.Sum
	gaps, gapsOf          decay.Sum // from the first arrival to the repeat, ms
}

type seen struct {
	key uint64
	at  time.Duration
}

func newSights(span time.Duration) sights {
	return sights{span: span, by: map[uint64]sight{}}
}

// ended takes in the end of a request.
func (s *sights) ended(now time.Duration, key uint64, first, due time.Duration, served bool) {
	if served {
		// Seldom matched by chance, so few have to be watched.
		if s.turn++; s.turn%controlOf != 0 {
			delete(s.by, key) // what it repeated is done
			return
		}
		s.control.Add(1, now, sightsFade)
	} else {
		s.unserved.Add(1, now, sightsFade)
	}
	s.forget(now)
	if len(s.by) >= mostSights {
		return
	}
	s.by[key] = sight{first, now, due, served}
	s.order = append(s.order, seen{key, now})
}

// forget drops what ended longer ago than the span.
func (s *sights) forget(now time.Duration) {
	for s.head < len(s.order) && now-s.order[s.head].at > s.span {
		o := s.order[s.head]
		if x, there := s.by[o.key]; there && x.ended == o.at {
			delete(s.by, o.key)
		}
		s.head++
	}
	if s.head > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.head:]...)
		s.head = 0
	}
}

// came gives when the request came first that one is likely the repeat of, and when it was told to
// come again.
func (s *sights) came(now time.Duration, key uint64) (first, due time.Duration, repeat bool) {
	x, there := s.by[key]
	if !there || now-x.ended > s.span {
		return 0, 0, false
	}
	if x.served {
		s.controlMet.Add(1, now, sightsFade)
		delete(s.by, key) // one match each, as for the others
		return 0, 0, false
	}
	s.unservedMet.Add(1, now, sightsFade)
	delete(s.by, key)
	if s.chance(now) < likely {
		return 0, 0, false
	}
	s.gaps.Add((now-x.first).Seconds()*1000, now, sightsFade)
	s.gapsOf.Add(1, now, sightsFade)
	return x.first, x.due, true
}

// chance is the part of the matches of unserved requests that are repeats.
func (s *sights) chance(now time.Duration) float64 {
	n := s.unserved.Fade(now, sightsFade)
	if n < leastSights {
		return 0
	}
	met := s.unservedMet.Fade(now, sightsFade) / n
	by := (s.controlMet.Fade(now, sightsFade) + 0.1) / (s.control.Fade(now, sightsFade) + 2)
	if met <= 0 {
		return 0
	}
	return max(0, 1-by/met)
}

// gap is how long after its first arrival a repeat comes, about; 0 is not known.
func (s *sights) gap(now time.Duration) time.Duration {
	return time.Duration(s.gaps.Over(&s.gapsOf, now, sightsFade) * float64(time.Millisecond))
}
