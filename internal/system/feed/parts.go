package feed

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/system/api"
)

const (
	// largestAnswer bounds the replicated state, or the entries, in one answer, in bytes: on 10 Mbit/s it takes 52 ms,
	// for which whatever else the source sends waits.
	largestAnswer = 64 << 10
	// partStale is after what time without a part a state that comes in parts counts as given up.
	partStale = time.Second
)

// encodedState is a state as it is served in parts.
type encodedState struct {
	sequence, hash uint64
	data           []byte
}

// partialState is a state that comes in parts.
type partialState struct {
	source         string
	sequence, hash uint64
	total          uint64
	data           []byte
	at             time.Time // of the last part
}

// serveState gives a reader the whole state, or the part that it asks for of one that is large.
func (s *Store) serveState(feed *api.Feed, request *api.WatchRequest) {
	want := request.StatePart
	goesOn := want != nil && request.Source == s.source && s.encoded != nil && want.Sequence == s.encoded.sequence &&
		want.Hash == s.encoded.hash && want.Offset < uint64(len(s.encoded.data))
	if !goesOn {
		state := s.machine.State()
		if proto.Size(state) <= largestAnswer {
			feed.State = state
			return
		}
		s.encode(state, request.Sequence)
		want = &api.StatePart{}
	}
	data := s.encoded.data
	end := min(uint64(len(data)), want.Offset+largestAnswer)
	feed.StatePart = &api.StatePart{Sequence: s.encoded.sequence, Hash: s.encoded.hash, Offset: want.Offset, Total: uint64(len(data)),
		Data: data[want.Offset:end]}
}

// encode prepares the state for being served in parts, to a reader that knows it up to an entry. One that was prepared
// before does for who knows less, as long as the entries since then are kept: they are next.
func (s *Store) encode(state *api.State, known uint64) {
	if s.encoded != nil && known < s.encoded.sequence && s.sequence-s.encoded.sequence <= uint64(len(s.entries)) {
		return
	}
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(state) // a message of plain fields always marshals
	s.encoded = &encodedState{s.sequence, s.hash, data}
}

// takePart takes a part of a state in, and the state once it is whole.
func (s *Store) takePart(source string, part *api.StatePart) {
	if part.Offset == 0 {
		s.partial = &partialState{source: source, sequence: part.Sequence, hash: part.Hash, total: part.Total}
	}
	p := s.partial
	if p == nil || p.source != source || p.sequence != part.Sequence || p.hash != part.Hash || p.total != part.Total ||
		part.Offset != uint64(len(p.data)) {
		s.partial = nil // it begins anew
		return
	}
	p.data, p.at = append(p.data, part.Data...), s.now()
	if uint64(len(p.data)) < p.total {
		return
	}
	s.partial = nil
	state := new(api.State)
	if proto.Unmarshal(p.data, state) == nil {
		s.reset(p.sequence, p.hash, state)
	}
}

// wantedPart is the part that a reader asks for next; nil: none.
func (s *Store) wantedPart(cursor *Cursor) *api.StatePart {
	if s.partial == nil || !cursor.topics.State() || s.partial.source != cursor.source {
		return nil
	}
	return &api.StatePart{Sequence: s.partial.sequence, Hash: s.partial.hash, Offset: uint64(len(s.partial.data))}
}

// Receiving tells whether a state is coming in parts.
func (s *Store) Receiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partial != nil && s.now().Sub(s.partial.at) < partStale
}

// fitting are the first entries that fit into one answer.
func (s *Store) fitting(entries []*api.Entry) []*api.Entry {
	size, first := 0, len(s.entrySizes)-len(entries)
	for i := range entries {
		if size += s.entrySizes[first+i]; size > largestAnswer {
			return entries[:i]
		}
	}
	return entries
}
