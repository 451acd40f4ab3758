package httpproxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"

	"marlreel/internal/dataplane/eventstream"
)

// streamRelayState is the state of a relay for another process, encoded as JSON. A process that doesn't support its Version
// rejects it.
type streamRelayState struct {
	Version      int        `json:"Version"`
	Form         string     `json:"Form"` // of the body: sized (known length), chunks, end (ends with the connection)
	Remaining    int64      `json:"Left"`
	ChunkState   chunkState `json:"Chunk"`
	PartialLine  []byte     `json:"Line"`
	TrailerBytes int        `json:"Trailer"`
	Chunked      bool       `json:"Chunked"`
	Pending      []byte     `json:"Pending"`
	Undecoded    []byte     `json:"Ahead"` // read from the backend and not decoded yet
	Passed       int64      `json:"Total"`
	// Done says that the body has been read completely, and that its end is in Pending. A proxy version without this field
	// reads on and ends the body a second time.
	Done bool `json:"Done,omitempty"`
	// Events is the state of the scanner of a stream of events that ends with the connection. A proxy version without this
	// field takes every close of the connection for the end of the stream.
	Events *eventstream.State `json:"Events,omitempty"`
}

const streamRelayVersion = 1

// state returns everything that another process needs to continue, including the backend's bytes that are
// buffered and not decoded yet.
func (r *streamRelay) state() streamRelayState {
	s := streamRelayState{Version: streamRelayVersion, Chunked: r.chunked, Pending: r.pending, Passed: r.passed, Done: r.done}
	s.Undecoded, _ = r.backend.reader.Peek(r.backend.reader.Buffered())
	switch body := r.body.(type) {
	case *sizedReader:
		s.Form, s.Remaining = "sized", body.remaining
	case *chunkReader:
		s.Form, s.Remaining, s.ChunkState, s.PartialLine, s.TrailerBytes = "chunks", body.remaining, body.state, body.line, body.trailer
	case *eventBodyReader:
		events := body.events.State()
		s.Form, s.Events = "end", &events
	default:
		s.Form = "end"
	}
	return s
}

// decodeRelay restores a relay from the state and the connections that another process passed.
func decodeRelay(state []byte, client, backend net.Conn) (*streamRelay, error) {
	var s streamRelayState
	if err := json.Unmarshal(state, &s); err != nil {
		return nil, fmt.Errorf("cannot decode relay state: %w", err)
	}
	if s.Version != streamRelayVersion || s.Remaining < 0 || s.ChunkState > chunkDone || s.Passed < 0 {
		return nil, fmt.Errorf("relay state of version %d is unsupported or invalid", s.Version)
	}
	c := newBackendConn(backend, io.MultiReader(bytes.NewReader(s.Undecoded), backend))
	c.readLimit.N = math.MaxInt64
	r := &streamRelay{client: client, backend: c, chunked: s.Chunked, pending: s.Pending, passed: s.Passed, done: s.Done}
	switch {
	case s.Form == "sized":
		r.body = &sizedReader{c.reader, s.Remaining}
	case s.Form == "chunks":
		r.body = &chunkReader{in: c.reader, state: s.ChunkState, remaining: s.Remaining, line: s.PartialLine, trailer: s.TrailerBytes}
	case s.Form == "end" && s.Events != nil:
		r.body = &eventBodyReader{in: c.reader, events: eventstream.Resume(*s.Events)}
	case s.Form == "end":
		r.body = c.reader
	default:
		return nil, fmt.Errorf("relay state has unknown body form %q", s.Form)
	}
	return r, nil
}
