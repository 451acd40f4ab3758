package watch

import (
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

const (
	// largestAnswer bounds the replicated state, or a part of it, in one answer, in bytes: on 10 Mbit/s it takes 52 ms,
	// for which whatever else the source sends waits.
	largestAnswer = 64 << 10
	// largestEntries bounds the entries in one answer, in bytes. They are less than the state, mostly, so more of them
	// goes at once: a reader waits for 0.7 s at least, in which 10 Mbit/s carries 875 KB.
	largestEntries = 512 << 10
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
}

// serveState gives a reader the whole state, or the part that it asks for of one that is large.
func (s *Store) serveState(feed *api.WatchReply, request *api.WatchRequest) {
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
	feed.StatePart = &api.StatePart{
		Sequence: s.encoded.sequence, Hash: s.encoded.hash, Offset: want.Offset, Total: uint64(len(data)),
		Data: data[want.Offset:end],
	}
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

// takePart takes a part of a state in for a reader, and the state once it is whole.
func (s *Store) takePart(source string, part *api.StatePart, cursor *Cursor) {
	if part.Offset == 0 {
		cursor.partial = &partialState{source: source, sequence: part.Sequence, hash: part.Hash, total: part.Total}
	}
	p := cursor.partial
	if p == nil || p.source != source || p.sequence != part.Sequence || p.hash != part.Hash || p.total != part.Total ||
		part.Offset != uint64(len(p.data)) {
		cursor.partial = nil // it begins anew
		return
	}
	p.data = append(p.data, part.Data...)
	if uint64(len(p.data)) < p.total {
		return
	}
	cursor.partial = nil
	state := new(api.State)
	if proto.Unmarshal(p.data, state) == nil {
		s.reset(p.sequence, p.hash, state)
	}
}

// wantedPart is the part that a reader asks for next; nil: none.
func (c *Cursor) wantedPart() *api.StatePart {
	if c.partial == nil || c.partial.source != c.source {
		return nil
	}
	return &api.StatePart{Sequence: c.partial.sequence, Hash: c.partial.hash, Offset: uint64(len(c.partial.data))}
}

// ReceivingSnapshot tells whether this reader has some parts of a state, and asks for the others.
func (c *Cursor) ReceivingSnapshot() bool { return c.partial != nil }

// fitting are the first entries that fit into one answer.
func (s *Store) fitting(entries []*api.Entry) []*api.Entry {
	size, first := 0, len(s.entrySizes)-len(entries)
	for i := range entries {
		if size += s.entrySizes[first+i]; size > largestEntries {
			return entries[:i]
		}
	}
	return entries
}
