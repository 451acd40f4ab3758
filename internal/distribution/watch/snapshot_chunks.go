package watch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// maxReplyStateBytes bounds the replicated state, or a chunk of it, in one reply. At 10 Mbit/s this much takes 52 ms,
// during which everything else that the source sends has to wait: raising it delays heartbeats and urgent updates,
// lowering it adds a round trip for each further chunk.
const maxReplyStateBytes = 64 << 10

// encodedSnapshot is the replicated state, encoded to be served in chunks.
type encodedSnapshot struct {
	sequence, hash uint64
	data           []byte
}

// partialSnapshot is a snapshot of which some chunks have been received.
type partialSnapshot struct {
	source         string
	sequence, hash uint64
	totalBytes     uint64
	data           []byte
}

// addSnapshot adds the whole state to a reply or, if the state is large, the requested chunk of it.
func (s *Store) addSnapshot(reply *api.WatchReply, request *api.WatchRequest) {
	offset := uint64(0)
	if s.canContinue(request) {
		offset = request.StatePart.Offset
	} else {
		snapshot := s.machine.State()
		if proto.Size(snapshot) <= maxReplyStateBytes {
			reply.State = snapshot
			return
		}
		s.encodeSnapshot(snapshot, request.Sequence)
	}
	data := s.encoded.data
	end := min(uint64(len(data)), offset+maxReplyStateBytes)
	reply.StatePart = &api.StatePart{
		Sequence: s.encoded.sequence, Hash: s.encoded.hash, Offset: offset, Total: uint64(len(data)),
		Data: data[offset:end],
	}
}

// canContinue reports whether a subscriber requests another chunk of the snapshot in s.encoded.
func (s *Store) canContinue(request *api.WatchRequest) bool {
	chunk := request.StatePart
	if chunk == nil || request.Source != s.source || s.encoded == nil {
		return false
	}
	return chunk.Sequence == s.encoded.sequence && chunk.Hash == s.encoded.hash && chunk.Offset < uint64(len(s.encoded.data))
}

// encodeSnapshot prepares the state to be served in chunks to a subscriber that has it up to the sequence number known.
// An earlier encoding is reused if it is newer than that and the log still has the entries since, which the subscriber
// can fetch afterwards.
func (s *Store) encodeSnapshot(snapshot *api.State, known uint64) {
	if s.encoded != nil && known < s.encoded.sequence && s.sequence-s.encoded.sequence <= uint64(len(s.log.entries)) {
		return
	}
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot) // never fails for a message of plain fields
	s.encoded = &encodedSnapshot{s.sequence, s.hash, data}
}

// applyChunk adds a chunk to the partial snapshot of a subscriber, and installs the snapshot once it is complete. If the
// chunk is not the next one, or belongs to another snapshot or source, the subscriber starts over.
func (s *Store) applyChunk(source string, chunk *api.StatePart, cursor *Cursor) {
	if chunk.Offset == 0 {
		cursor.partial = &partialSnapshot{source: source, sequence: chunk.Sequence, hash: chunk.Hash, totalBytes: chunk.Total}
	}
	p := cursor.partial
	if p == nil || !p.continuedBy(source, chunk) {
		cursor.partial = nil
		return
	}
	p.data = append(p.data, chunk.Data...)
	s.lastChunk = s.now()
	if uint64(len(p.data)) < p.totalBytes {
		return
	}
	cursor.partial = nil
	snapshot := new(api.State)
	if proto.Unmarshal(p.data, snapshot) == nil {
		s.installSnapshot(p.sequence, p.hash, snapshot)
	}
}

// LastChunk returns when the last chunk of a snapshot was received; the zero time means that there was none.
func (s *Store) LastChunk() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastChunk
}

// continuedBy reports whether a chunk is the next one of this snapshot.
func (p *partialSnapshot) continuedBy(source string, chunk *api.StatePart) bool {
	return p.source == source && p.sequence == chunk.Sequence && p.hash == chunk.Hash && p.totalBytes == chunk.Total &&
		chunk.Offset == uint64(len(p.data))
}
