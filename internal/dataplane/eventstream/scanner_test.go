package eventstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// scanned is what a scanner says of a stream after its last byte.
type scanned struct {
	boundary int // offset in the whole stream behind the last byte outside any event; 0: there is none
	inEvent  bool
	lastID   string
}

// scan scans a stream in parts of the given lengths, and the rest in one part.
func scan(s *Scanner, stream string, lengths ...int) scanned {
	boundary, at := 0, 0
	for _, length := range append(lengths, len(stream)) {
		part := stream[at:min(at+length, len(stream))]
		if found := s.Scan([]byte(part)); found >= 0 {
			boundary = at + found
		}
		at += len(part)
	}
	return scanned{boundary, s.InEvent(), s.LastID()}
}

// streams holds streams and what is to be found in them. "|" marks the boundary and is no part of the stream.
var streams = map[string]struct {
	text    string
	inEvent bool
	lastID  string
}{
	"empty":                               {"|", false, ""},
	"LF":                                  {"id: 1\ndata: a\n\n|", false, "1"},
	"CR":                                  {"id: 1\rdata: a\r\r|", false, "1"},
	"CR LF":                               {"id: 1\r\ndata: a\r\n\r\n|", false, "1"},
	"LF, then CR LF":                      {"data: a\n\r\n|", false, ""},
	"CR LF, then LF":                      {"data: a\r\n\n|", false, ""},
	"CR LF, then CR":                      {"data: a\r\n\r|", false, ""},
	"LF, then CR":                         {"data: a\n\r|", false, ""},
	"CR, then CR LF":                      {"data: a\r\r\n|", false, ""},
	"a CR LF is one line end":             {"|data: a\r\n", true, ""},
	"no empty line":                       {"id: 1\ndata: a\n\n|id: 2\ndata: b\n", true, "1"},
	"inside a line":                       {"id: 1\ndata: a\n\n|id: 2\nda", true, "1"},
	"inside an ID":                        {"id: 1\n\n|id: 2", true, "1"},
	"a field without a value":             {"|data\n", true, ""},
	"an unknown field":                    {"|versions: 2\n", true, ""},
	"a retry time":                        {"|retry: 100\n", true, ""},
	"a comment between events":            {"id: 1\n\n: ping\n|", false, "1"},
	"inside a comment":                    {"id: 1\n\n|: pi", true, "1"},
	"a comment in an event":               {"|data: a\n: ping\n", true, ""},
	"several empty lines":                 {"data: a\n\n\n\r\n|", false, ""},
	"empty lines alone":                   {"\r\r\n\n|", false, ""},
	"a byte order mark":                   {"\uFEFFid: 1\n\n|", false, "1"},
	"a byte order mark alone":             {"|\uFEFF", false, ""},
	"a byte order mark and an empty line": {"\uFEFF\n|", false, ""},
	"a later byte order mark":             {"id: 1\n\n\uFEFFid: 2\n\n|", false, "1"},
	"an ID of a later event":              {"id: 1\n\ndata: b\n\n|", false, "1"},
	"an ID without a space":               {"id:17\n\n|", false, "17"},
	"an ID with two spaces":               {"id:  17\n\n|", false, " 17"},
	"an ID with a colon":                  {"id: a:b\n\n|", false, "a:b"},
	"an empty ID":                         {"id: 1\n\nid\n\n|", false, ""},
	"an ID with NUL":                      {"id: 1\n\nid: \x00\n\n|", false, "1"},
	"another field with the same start":   {"id: 1\n\nidx: 2\n\n|", false, "1"},
	"an ID that is too long":              {"id: 1\n\nid: " + strings.Repeat("9", maxFieldLine) + "\n\n|", false, ""},
	"a long line":                         {"id: 1\ndata: " + strings.Repeat("\x00", 4*maxFieldLine) + "\n\n|", false, "1"},
}

// Guards against events that end unnoticed: each line end that the format allows, wherever the stream is split.
func TestEventsInParts(t *testing.T) {
	for name, c := range streams {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boundary := strings.Index(c.text, "|")
			stream := c.text[:boundary] + c.text[boundary+1:]
			want := scanned{boundary, c.inEvent, c.lastID}
			is.Equal(scan(new(Scanner), stream), want)
			for at := range min(len(stream), 100) {
				is.Equal(scan(new(Scanner), stream, at), want) // in two parts
			}
			single := make([]int, len(stream))
			for i := range single {
				single[i] = 1
			}
			is.Equal(scan(new(Scanner), stream, single...), want) // byte by byte
		})
	}
}

// A scanner that another process resumes finds what a single one does, at any split of any stream.
func TestScannerIsResumed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pieces := []string{"\n", "\r", "\r\n", ":", "id", "id: ", "data: ", "7", "\uFEFF", "\x00", strings.Repeat("x", maxFieldLine-2)}
		stream := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 24).Draw(rt, "stream"), "")
		split := rapid.IntRange(0, len(stream)).Draw(rt, "split")
		want := scan(new(Scanner), stream)
		first := new(Scanner)
		scan(first, stream[:split])
		rest := Resume(first.State())
		got := scan(&rest, stream[split:])
		if got.inEvent != want.inEvent || got.lastID != want.lastID || !got.inEvent && got.boundary+split != want.boundary && got.boundary > 0 {
			rt.Fatalf("%q resumed at %d: got %+v, want %+v", stream, split, got, want)
		}
	})
}

// The continuation of a stream goes on with the ID of the last event before it.
func TestResumeAfter(t *testing.T) {
	is := is.New(t)
	s := ResumeAfter("7")
	is.Equal(s.LastID(), "7")
	is.True(!s.InEvent())
	is.Equal(scan(&s, "data: a\n\n"), scanned{9, false, "7"})
	is.Equal(scan(&s, "id: 8\n\n"), scanned{7, false, "8"})
}
