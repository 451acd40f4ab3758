package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRemovals bounds how many removed entries are remembered per source.
	maxRemovals = 20_000
	// removalMemory is how long a removal is remembered at least: by then the other sources report it, too.
	removalMemory = 10 * time.Minute
	// maxMalformed bounds how many malformed entries are listed in a source's status.
	maxMalformed = 1000
)

// source is what one source has reported.
type source struct {
	name              string
	items             map[string]Item // the last valid version of each
	malformed         map[string]string
	history           uint64
	revision          int64
	confirmedRevision int64 // when ConfirmKey was last written
	hasSnapshot       bool  // a snapshot has been received at least once
	synced            bool  // items are the complete list at revision
	loading           bool  // a snapshot has been requested

	unreachable           bool
	reachabilityChangedAt time.Duration // when unreachable last changed
	lossReason            string        // why it was last lost
	upToDateAt            time.Duration // when items were last known to be the newest; 0: never

	reportedAt map[string]time.Duration // when it last reported each entry
	removedAt  map[string]time.Duration // when it reported each removal
}

func newSource(name string) *source {
	return &source{
		name: name, items: map[string]Item{}, malformed: map[string]string{},
		reportedAt: map[string]time.Duration{}, removedAt: map[string]time.Duration{},
	}
}

// replacedBy reports whether a snapshot shows that the registry was replaced: it has another history, or an older
// revision.
func (s *source) replacedBy(snapshot Snapshot) bool {
	return s.hasSnapshot && (snapshot.History != s.history || snapshot.Revision < s.revision)
}

// takeConfirmation returns a snapshot's items without ConfirmKey, and whether an operator has confirmed the
// list. A confirmation that was restored with a backup does not count: it must have been written since.
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

// recordReports records when a snapshot's entries were reported, and which were removed. Entries that are missing
// from a replaced registry do not count as removed.
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

// recordRemoval records that an entry has been removed, unless maxRemovals recent ones are recorded already.
func (s *source) recordRemoval(name string, now time.Duration) {
	if len(s.removedAt) >= maxRemovals {
		maps.DeleteFunc(s.removedAt, func(_ string, at time.Duration) bool { return now-at > removalMemory })
	}
	if len(s.removedAt) < maxRemovals {
		s.removedAt[name] = now
	}
}

// forgetMalformed forgets malformed entries that a snapshot no longer contains.
func (s *source) forgetMalformed(items []Item) {
	for name := range s.malformed {
		_, listed := s.items[name]
		if !listed && !slices.ContainsFunc(items, func(i Item) bool { return i.Name == name }) {
			delete(s.malformed, name)
		}
	}
}

// remove applies a delete of an update.
func (s *source) remove(name string, now time.Duration) {
	if _, listed := s.items[name]; listed {
		s.recordRemoval(name, now)
	}
	delete(s.items, name)
	delete(s.reportedAt, name)
	delete(s.malformed, name)
}

// leftAt returns when the source reported that an entry drains or was removed, and whether it did.
func (s *source) leftAt(name string) (time.Duration, bool) {
	if item, listed := s.items[name]; listed && item.Entry.Draining {
		return s.reportedAt[name], true
	}
	at, removed := s.removedAt[name]
	return at, removed
}
