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

// The files under testdata/compatibility were written by the code of commit 6fb9894. They are what a process passes
// with the connections of a large answer that is on its way, to a process that may be of another version. They must not be
// written again to make a test pass: where this test fails, such answers break off at an upgrade.
//
// A file that is missing is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/httpproxy
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedAnswer is a stored answer on its way.
type storedAnswer struct {
	file  string
	state relayState
	rest  string // what the backend still sends
	body  string // what the client is still due, but for what is pending
}

func storedAnswers() []storedAnswer {
	return []storedAnswer{
		{
			file:  "answer-sized.json",
			state: relayState{Version: 1, Form: "sized", Left: 12, Pending: []byte("pending\r\n\x00\xff"), Ahead: []byte("ahead "), Total: 123456789},
			rest:  "behind",
			body:  "ahead behind",
		},
		{
			file: "answer-chunks-data.json",
			state: relayState{
				Version: 1, Form: "chunks", Left: 6, Chunk: chunkData, Chunked: true, Pending: []byte("5\r\nhello\r\n"),
				Ahead: []byte("ahead "), Total: 5,
			},
			rest: "\r\n3\r\nend\r\n0\r\n\r\n",
			body: "ahead end",
		},
		{
			file:  "answer-chunks-size.json",
			state: relayState{Version: 1, Form: "chunks", Chunk: chunkSizeLine, Line: []byte("1"), Chunked: true, Ahead: []byte("0\r\n"), Total: 7},
			rest:  "0123456789abcdef\r\n0\r\n\r\n",
			body:  "0123456789abcdef",
		},
		{
			file:  "answer-chunks-data-end.json",
			state: relayState{Version: 1, Form: "chunks", Chunk: chunkDataEnd, Line: []byte("\r"), Chunked: true, Ahead: []byte("\n"), Total: 8},
			rest:  "0\r\n\r\n",
			body:  "",
		},
		{
			file:  "answer-chunks-trailer.json",
			state: relayState{Version: 1, Form: "chunks", Chunk: chunkTrailer, Line: []byte("X: "), Trailer: 9, Ahead: []byte("y\r\n"), Total: 10},
			rest:  "\r\n",
			body:  "",
		},
		{
			file:  "answer-chunks-done.json",
			state: relayState{Version: 1, Form: "chunks", Chunk: chunkDone, Chunked: true, Pending: []byte("0\r\n\r\n"), Total: 11},
			body:  "",
		},
		{
			file:  "answer-end.json",
			state: relayState{Version: 1, Form: "end", Pending: []byte("p"), Ahead: []byte("until "), Total: 4_000_000_000},
			rest:  "the end",
			body:  "until the end",
		},
	}
}

// TestCompatibilityOfStoredAnswers goes on with answers that an earlier version has passed.
func TestCompatibilityOfStoredAnswers(t *testing.T) {
	writeMissingFiles(t)
	for _, want := range storedAnswers() {
		t.Run(want.file, func(t *testing.T) {
			stored := readStored(t, want.file)
			var got relayState
			if err := json.Unmarshal(stored, &got); err != nil {
				t.Fatal(err)
			}
			compareStates(t, got, want.state)

			r := takenOver(t, stored, len(want.state.Ahead), want.rest)
			if again := encodeAnswer(t, r); !bytes.Equal(again, stored) {
				t.Errorf("passed on is\n%s\nand stored is\n%s", again, stored)
			}
			if !bytes.Equal(r.pending, want.state.Pending) || r.total != want.state.Total || r.chunked != want.state.Chunked {
				t.Errorf("pending are %q, %d in all, chunked is %t", r.pending, r.total, r.chunked)
			}
			body, err := io.ReadAll(r.body)
			if err != nil || string(body) != want.body {
				t.Errorf("the rest of the body is %q, %v, want %q", body, err, want.body)
			}
		})
	}
}

// TestCompatibilityOfAnswersFields names the fields of an answer that is passed, with no help from this package.
func TestCompatibilityOfAnswersFields(t *testing.T) {
	writeMissingFiles(t)
	const want = `{"Version":1,"Form":"chunks","Left":6,"Chunk":1,"Line":null,"Trailer":0,"Chunked":true,` +
		`"Pending":"NQ0KaGVsbG8NCg==","Ahead":"YWhlYWQg","Total":5}`
	if got := string(readStored(t, "answer-chunks-data.json")); got != want {
		t.Errorf("the stored file holds\n%s\nwant\n%s", got, want)
	}
}

func compareStates(t *testing.T, got, want relayState) {
	t.Helper()
	if got.Version != want.Version {
		t.Errorf("Version is %d, want %d", got.Version, want.Version)
	}
	if got.Form != want.Form {
		t.Errorf("Form is %q, want %q", got.Form, want.Form)
	}
	if got.Left != want.Left {
		t.Errorf("Left is %d, want %d", got.Left, want.Left)
	}
	if got.Chunk != want.Chunk {
		t.Errorf("Chunk is %d, want %d", got.Chunk, want.Chunk)
	}
	if !bytes.Equal(got.Line, want.Line) {
		t.Errorf("Line is %q, want %q", got.Line, want.Line)
	}
	if got.Trailer != want.Trailer {
		t.Errorf("Trailer is %d, want %d", got.Trailer, want.Trailer)
	}
	if got.Chunked != want.Chunked {
		t.Errorf("Chunked is %t, want %t", got.Chunked, want.Chunked)
	}
	if !bytes.Equal(got.Pending, want.Pending) {
		t.Errorf("Pending is %q, want %q", got.Pending, want.Pending)
	}
	if !bytes.Equal(got.Ahead, want.Ahead) {
		t.Errorf("Ahead is %q, want %q", got.Ahead, want.Ahead)
	}
	if got.Total != want.Total {
		t.Errorf("Total is %d, want %d", got.Total, want.Total)
	}
}

// textConn is a backend's connection on which a text comes.
type textConn struct {
	net.Conn
	text io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// takenOver makes a relay of what was passed, as of a backend that sends the rest. What was read ahead is buffered, as
// it was where it came from.
func takenOver(t *testing.T, state []byte, ahead int, rest string) *relay {
	t.Helper()
	r, err := newRelay(state, nil, textConn{text: strings.NewReader(rest)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.backend.in.Peek(ahead); err != nil {
		t.Fatal(err)
	}
	return r
}

func encodeAnswer(t *testing.T, r *relay) []byte {
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

// writeMissingFiles writes the files that are missing, if that is asked for.
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
		in := bufio.NewReader(bytes.NewReader(a.state.Ahead))
		if _, err := in.Peek(len(a.state.Ahead)); err != nil {
			t.Fatal(err)
		}
		r := &relay{backend: &conn{in: in}, chunked: a.state.Chunked, pending: a.state.Pending, total: a.state.Total}
		switch a.state.Form {
		case "sized":
			r.body = &sized{in, a.state.Left}
		case "chunks":
			r.body = &chunkReader{in: in, state: a.state.Chunk, left: a.state.Left, line: a.state.Line, trailer: a.state.Trailer}
		case "end":
			r.body = in
		}
		if err := os.WriteFile(path, encodeAnswer(t, r), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
