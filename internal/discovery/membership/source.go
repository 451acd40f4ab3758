package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRemovals bounds how many removed entries are remembered of a source.
	maxRemovals = 20_000
	// removalMemory is after how long a removal may be forgotten: by then the other sources report it, too.
	removalMemory = 10 * time.Minute
	// maxMalformed bounds how many malformed entries of a source are listed in its status.
	maxMalformed = 1000
)

// source is what one source has reported.
type source struct {
	name              string
	items             map[string]Item // the last that could be read of each
	malformed         map[string]string
	history           uint64
	revision          int64
	confirmedRevision int64 // at which ConfirmKey was last written
	hasSnapshot       bool  // it has ever sent one
	synced            bool  // items are complete at revision
	loading           bool  // a snapshot has been requested

	unreachable           bool
	reachabilityChangedAt time.Duration // when unreachable last changed
	lossReason            string        // of the last loss
	upToDateAt            time.Duration // when items were last known to be the newest; 0: never

	reportedAt map[string]time.Duration // when it last reported each entry
	removedAt  map[string]time.Duration // when it reported that an entry is gone
}

func newSource(name string) *source {
	return &source{
		name: name, items: map[string]Item{}, malformed: map[string]string{},
		reportedAt: map[string]time.Duration{}, removedAt: map[string]time.Duration{},
	}
}

// replacedBy reports whether a snapshot has another history, or a revision that was passed already.
func (s *source) replacedBy(snapshot Snapshot) bool {
	return s.hasSnapshot && (snapshot.History != s.history || snapshot.Revision < s.revision)
}

// takeConfirmation returns a snapshot's items without ConfirmKey, and whether an operator has confirmed the
// list. A confirmation that a restored backup brings back confirms nothing: only one that is written now does.
func (s *source) takeConfirmation(items []Item, replaced bool) (backends []Item, confirmed bool) {
	index := slices.IndexFunc(items, func(i Item) bool { return i.Name == ConfirmKey })
	if index < 0 {
		return items, false
	}
	revision := items[index].ModRevision
	confirmed = s.hasSnapshot && !replaced && revision > s.confirmedRevision
	s.confirmedRevision = revision
	return slices.Delete(slices.Clone(items), index, index+1), confirmed
}

// recordReports notes when a snapshot's entries were reported, and which were removed. What a restored registry
// lacks was not removed.
func (s *source) recordReports(now time.Duration, previous map[string]Item, replaced bool) {
	for name := range previous {
		if _, listed := s.items[name]; listed {
			continue
		}
		delete(s.reportedAt, name)
		if !replaced {
			s.recordRemoval(name, now)
		}
	}
	for name := range s.items {
		s.reportedAt[name] = now
		delete(s.removedAt, name)
	}
}

// recordRemoval notes that an entry has been removed, while there is room.
func (s *source) recordRemoval(name string, now time.Duration) {
	if len(s.removedAt) >= maxRemovals {
		maps.DeleteFunc(s.removedAt, func(_ string, at time.Duration) bool { return now-at > removalMemory })
	}
	if len(s.removedAt) < maxRemovals {
		s.removedAt[name] = now
	}
}

// forgetMalformed forgets malformed entries that a snapshot has no more.
func (s *source) forgetMalformed(items []Item) {
	for name := range s.malformed {
		_, listed := s.items[name]
		if !listed && !slices.ContainsFunc(items, func(i Item) bool { return i.Name == name }) {
			delete(s.malformed, name)
		}
	}
}

// remove applies an update's delete.
func (s *source) remove(name string, now time.Duration) {
	if _, listed := s.items[name]; listed {
		s.recordRemoval(name, now)
	}
	delete(s.items, name)
	delete(s.reportedAt, name)
	delete(s.malformed, name)
}

// leftAt reports when the source said that an entry drains or is gone; false: it has not.
func (s *source) leftAt(name string) (time.Duration, bool) {
	if item, listed := s.items[name]; listed && item.Entry.Draining {
		return s.reportedAt[name], true
	}
	at, removed := s.removedAt[name]
	return at, removed
}
