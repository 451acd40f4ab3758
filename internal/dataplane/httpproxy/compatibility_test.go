package httpproxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894. They are the states that a process
// passes along with the connections of a large answer in flight, to a process that may run another version. They must not
// be rewritten to make a test pass: if this test fails, such answers break off at an upgrade.
//
// A missing file is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/dataplane/httpproxy
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedAnswer is a stored relay state of an answer in flight.
type storedAnswer struct {
	file  string
	state streamRelayState
	rest  string // the bytes that the backend still sends
	body  string // the rest of the body for the client, after the pending bytes
}

func storedAnswers() []storedAnswer {
	return []storedAnswer{
		{
			file:  "answer-sized.json",
			state: streamRelayState{Version: 1, Form: "sized", Remaining: 12, Pending: []byte("pending\r\n\x00\xff"), Undecoded: []byte("ahead "), Passed: 123456789},
			rest:  "behind",
			body:  "ahead behind",
		},
		{
			file: "answer-chunks-data.json",
			state: streamRelayState{
				Version: 1, Form: "chunks", Remaining: 6, ChunkState: chunkData, Chunked: true, Pending: []byte("5\r\nhello\r\n"),
				Undecoded: []byte("ahead "), Passed: 5,
			},
			rest: "\r\n3\r\nend\r\n0\r\n\r\n",
			body: "ahead end",
		},
		{
			file:  "answer-chunks-size.json",
			state: streamRelayState{Version: 1, Form: "chunks", ChunkState: chunkSizeLine, PartialLine: []byte("1"), Chunked: true, Undecoded: []byte("0\r\n"), Passed: 7},
			rest:  "0123456789abcdef\r\n0\r\n\r\n",
			body:  "0123456789abcdef",
		},
		{
			file:  "answer-chunks-data-end.json",
			state: streamRelayState{Version: 1, Form: "chunks", ChunkState: chunkDataEnd, PartialLine: []byte("\r"), Chunked: true, Undecoded: []byte("\n"), Passed: 8},
			rest:  "0\r\n\r\n",
			body:  "",
		},
		{
			file:  "answer-chunks-trailer.json",
			state: streamRelayState{Version: 1, Form: "chunks", ChunkState: chunkTrailer, PartialLine: []byte("X: "), TrailerBytes: 9, Undecoded: []byte("y\r\n"), Passed: 10},
			rest:  "\r\n",
			body:  "",
		},
		{
			file:  "answer-chunks-done.json",
			state: streamRelayState{Version: 1, Form: "chunks", ChunkState: chunkDone, Chunked: true, Pending: []byte("0\r\n\r\n"), Passed: 11},
			body:  "",
		},
		{
			file:  "answer-end.json",
			state: streamRelayState{Version: 1, Form: "end", Pending: []byte("p"), Undecoded: []byte("until "), Passed: 4_000_000_000},
			rest:  "the end",
			body:  "until the end",
		},
	}
}

// TestCompatibilityOfStoredAnswers continues answers that an earlier version has handed over.
func TestCompatibilityOfStoredAnswers(t *testing.T) {
	writeMissingFiles(t)
	for _, want := range storedAnswers() {
		t.Run(want.file, func(t *testing.T) {
			stored := readStored(t, want.file)
			var got streamRelayState
			if err := json.Unmarshal(stored, &got); err != nil {
				t.Fatal(err)
			}
			compareStates(t, got, want.state)

			r := restoredRelay(t, stored, len(want.state.Undecoded), want.rest)
			if again := encodeAnswer(t, r); !bytes.Equal(again, stored) {
				t.Errorf("encoded again, the state is\n%s\nstored is\n%s", again, stored)
			}
			if !bytes.Equal(r.pending, want.state.Pending) || r.passed != want.state.Passed || r.chunked != want.state.Chunked {
				t.Errorf("pending are %q, %d bytes passed, chunked is %t", r.pending, r.passed, r.chunked)
			}
			body, err := io.ReadAll(r.body)
			if err != nil || string(body) != want.body {
				t.Errorf("the rest of the body is %q, %v, want %q", body, err, want.body)
			}
		})
	}
}

// TestCompatibilityOfAnswersFields spells out the JSON fields of a relay state, independently of the types of this package.
func TestCompatibilityOfAnswersFields(t *testing.T) {
	writeMissingFiles(t)
	const want = `{"Version":1,"Form":"chunks","Left":6,"Chunk":1,"Line":null,"Trailer":0,"Chunked":true,` +
		`"Pending":"NQ0KaGVsbG8NCg==","Ahead":"YWhlYWQg","Total":5}`
	if got := string(readStored(t, "answer-chunks-data.json")); got != want {
		t.Errorf("the stored file holds\n%s\nwant\n%s", got, want)
	}
}

func compareStates(t *testing.T, got, want streamRelayState) {
	t.Helper()
	if got.Version != want.Version {
		t.Errorf("Version is %d, want %d", got.Version, want.Version)
	}
	if got.Form != want.Form {
		t.Errorf("Form is %q, want %q", got.Form, want.Form)
	}
	if got.Remaining != want.Remaining {
		t.Errorf("Left is %d, want %d", got.Remaining, want.Remaining)
	}
	if got.ChunkState != want.ChunkState {
		t.Errorf("Chunk is %d, want %d", got.ChunkState, want.ChunkState)
	}
	if !bytes.Equal(got.PartialLine, want.PartialLine) {
		t.Errorf("Line is %q, want %q", got.PartialLine, want.PartialLine)
	}
	if got.TrailerBytes != want.TrailerBytes {
		t.Errorf("Trailer is %d, want %d", got.TrailerBytes, want.TrailerBytes)
	}
	if got.Chunked != want.Chunked {
		t.Errorf("Chunked is %t, want %t", got.Chunked, want.Chunked)
	}
	if !bytes.Equal(got.Pending, want.Pending) {
		t.Errorf("Pending is %q, want %q", got.Pending, want.Pending)
	}
	if !bytes.Equal(got.Undecoded, want.Undecoded) {
		t.Errorf("Ahead is %q, want %q", got.Undecoded, want.Undecoded)
	}
	if got.Passed != want.Passed {
		t.Errorf("Total is %d, want %d", got.Passed, want.Passed)
	}
}

// textConn is a backend connection from which a given text is read.
type textConn struct {
	net.Conn
	text io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// restoredRelay restores a relay from a state; its backend sends rest. The undecoded bytes, ahead in number, are buffered
// again, as they were in the process that passed them.
func restoredRelay(t *testing.T, state []byte, ahead int, rest string) *streamRelay {
	t.Helper()
	r, err := decodeRelay(state, nil, textConn{text: strings.NewReader(rest)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.backend.reader.Peek(ahead); err != nil {
		t.Fatal(err)
	}
	return r
}

func encodeAnswer(t *testing.T, r *streamRelay) []byte {
	t.Helper()
	data, err := json.Marshal(r.state())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(compatibilityFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writeMissingFiles writes the missing files, if writeVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, a := range storedAnswers() {
		path := filepath.Join(compatibilityFolder, a.file)
		if _, err := os.Stat(path); err == nil {
			continue
		}
		in := bufio.NewReader(bytes.NewReader(a.state.Undecoded))
		if _, err := in.Peek(len(a.state.Undecoded)); err != nil {
			t.Fatal(err)
		}
		r := &streamRelay{backend: &backendConn{reader: in}, chunked: a.state.Chunked, pending: a.state.Pending, passed: a.state.Passed}
		switch a.state.Form {
		case "sized":
			r.body = &sizedReader{in, a.state.Remaining}
		case "chunks":
			r.body = &chunkReader{in: in, state: a.state.ChunkState, remaining: a.state.Remaining, line: a.state.PartialLine, trailer: a.state.TrailerBytes}
		case "end":
			r.body = in
		}
		if err := os.WriteFile(path, encodeAnswer(t, r), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
