package watch

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

const (
	// maxLogEntries is the number of most recent entries that are kept for lagging subscribers. Raising it costs memory
	// in each process; lowering it sends the whole state to more subscribers after a short interruption.
	maxLogEntries = 256
	// maxLogBytes bounds the encoded size of the same entries. The last entry is kept whatever its size.
	maxLogBytes = 1 << 20
	// maxReplyEntryBytes bounds the encoded size of the entries in one reply. It is larger than maxReplyStateBytes, as
	// the entries are usually smaller than the state. A subscriber waits for at least 0.7 s, in which a link of 10 Mbit/s
	// carries 875 KB. Raising the bound makes replies time out on slow links; lowering it takes more round trips for a
	// burst of changes.
	maxReplyEntryBytes = 512 << 10
)

// entryLog is the tail of the replicated log, up to the store's sequence number.
type entryLog struct {
	entries []*api.Entry
	sizes   []int // encoded bytes of each entry
	bytes   int   // sum of sizes
}

// add appends an entry. Call trim after all entries have been added.
func (l *entryLog) add(entry *api.Entry) {
	size := proto.Size(entry)
	l.entries, l.sizes = append(l.entries, entry), append(l.sizes, size)
	l.bytes += size
}

// trim drops the oldest entries until the log is within its bounds.
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

// forReply returns as many entries from an index on as fit into one reply.
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

// AppendEntries applies the committed entries that directly follow the known state, and skips the others.
func (s *Store) AppendEntries(entries []*api.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendEntries(entries)
}

func (s *Store) appendEntries(entries []*api.Entry) { s.append(entries, s.machine.Apply) }

// AppendApplied is AppendEntries for entries that the caller has already applied: machine is the resulting state, which
// the store owns from then on.
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

// append applies the entries that directly follow the state and adds them to the log.
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

// InstallSnapshot replaces the replicated state by a snapshot at a sequence number, unless the known state is newer.
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

// Position returns the sequence number and the hash of the last known entry of the replicated state.
func (s *Store) Position() (sequence, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence, s.hash
}

// ReadState calls read with the replicated state, under the store's lock: read must not keep or modify the state, nor
// call the store.
func (s *Store) ReadState(read func(m *state.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.machine)
}

// addState adds to a reply the entries that a subscriber lacks, or a snapshot if the log doesn't reach back far enough.
// It adds nothing for a subscriber that is not behind this store.
func (s *Store) addState(reply *api.WatchReply, request *api.WatchRequest) {
	if request.Sequence >= s.sequence {
		return
	}
	first := s.sequence - uint64(len(s.log.entries)) // the log starts after this sequence number
	if request.Sequence >= first && request.Sequence > 0 {
		missing := s.log.forReply(int(request.Sequence - first))
		if len(missing) > 0 && missing[0].PreviousHash == request.Hash {
			reply.Entries = missing
			return
		}
	}
	s.addSnapshot(reply, request)
}
