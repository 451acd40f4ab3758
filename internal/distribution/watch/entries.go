package watch

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

const (
	// maxLogEntries is how many of the last entries are kept for subscribers that lag. Raising it costs memory in each
	// process; with a lower one more subscribers get the whole state after a short interruption.
	maxLogEntries = 256
	// maxLogBytes bounds the same entries in bytes of their encoding; the last one is kept whatever its size.
	maxLogBytes = 1 << 20
	// maxReplyEntryBytes bounds the entries in one reply. They are smaller than the state, mostly, so more of them goes
	// at once: a subscriber waits for 0.7 s at least, in which 10 Mbit/s carries 875 KB. A higher bound lets replies time
	// out on slow links; with a lower one a burst of changes takes more round trips.
	maxReplyEntryBytes = 512 << 10
)

// entryLog is the tail of the replicated log, up to the store's sequence.
type entryLog struct {
	entries []*api.Entry
	sizes   []int // encoded bytes of each entry
	bytes   int   // their sum
}

// add appends an entry. trim is to be called once all are added.
func (l *entryLog) add(entry *api.Entry) {
	size := proto.Size(entry)
	l.entries, l.sizes = append(l.entries, entry), append(l.sizes, size)
	l.bytes += size
}

// trim drops the oldest entries that are beyond the bounds.
func (l *entryLog) trim() {
	extra := 0
	for extra < len(l.entries)-1 && (len(l.entries)-extra > maxLogEntries || l.bytes > maxLogBytes) {
		l.bytes -= l.sizes[extra]
		extra++
	}
	if extra > 0 {
		l.entries, l.sizes = slices.Clone(l.entries[extra:]), slices.Clone(l.sizes[extra:])
	}
}

// forReply returns the first of the entries from an index on that fit into one reply.
func (l *entryLog) forReply(from int) []*api.Entry {
	size := 0
	for i := from; i < len(l.entries); i++ {
		size += l.sizes[i]
		if size > maxReplyEntryBytes {
			return l.entries[from:i]
		}
	}
	return l.entries[from:]
}

// AppendEntries applies committed entries that directly follow the state that is known; others are passed over.
func (s *Store) AppendEntries(entries []*api.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendEntries(entries)
}

func (s *Store) appendEntries(entries []*api.Entry) { s.append(entries, s.machine.Apply) }

// AppendApplied does the same with the state that the entries led to where they were applied already. The store owns
// that state from then on.
func (s *Store) AppendApplied(entries []*api.Entry, machine *state.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	follows := len(entries) > 0 && entries[0].Sequence == s.sequence+1 && entries[0].PreviousHash == s.hash
	if !follows {
		s.appendEntries(entries)
		return
	}
	s.machine = machine
	s.append(entries, func(*api.Entry) {})
}

// append adds the entries that directly follow the state, each once it is applied.
func (s *Store) append(entries []*api.Entry, apply func(*api.Entry)) {
	applied := false
	for _, entry := range entries {
		if entry.Sequence != s.sequence+1 {
			continue
		}
		apply(entry)
		s.sequence, s.hash = entry.Sequence, entry.Hash
		s.log.add(entry)
		applied = true
	}
	s.log.trim()
	if applied {
		s.removeRetired()
		s.publishState()
	}
}

// InstallSnapshot replaces the replicated state by a snapshot of it at a sequence number, unless what is known is newer.
func (s *Store) InstallSnapshot(sequence, hash uint64, snapshot *api.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installSnapshot(sequence, hash, snapshot)
}

func (s *Store) installSnapshot(sequence, hash uint64, snapshot *api.State) {
	known := sequence == s.sequence && hash == s.hash
	if sequence < s.sequence || known {
		return
	}
	s.machine.Restore(snapshot)
	s.sequence, s.hash = sequence, hash
	s.log = entryLog{}
	s.removeRetired()
	s.publishState()
}

// Position returns how far the replicated state is known: the sequence number and the hash of the last entry.
func (s *Store) Position() (sequence, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence, s.hash
}

// ReadState calls read with the replicated state, under the store's lock: read must neither keep nor change it, nor
// call the store.
func (s *Store) ReadState(read func(m *state.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.machine)
}

// addState adds to a reply the entries that a subscriber lacks, or the snapshot where the log can't bridge the gap. A
// subscriber that knows more gets nothing.
func (s *Store) addState(reply *api.WatchReply, request *api.WatchRequest) {
	if request.Sequence >= s.sequence {
		return
	}
	first := s.sequence - uint64(len(s.log.entries)) // the log begins after this sequence number
	if request.Sequence >= first && request.Sequence > 0 {
		missing := s.log.forReply(int(request.Sequence - first))
		if len(missing) > 0 && missing[0].PreviousHash == request.Hash {
			reply.Entries = missing
			return
		}
	}
	s.addSnapshot(reply, request)
}
