package httpproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// framingCase is a byte stream, the number of complete heads in it, and the number of the first rejected one; 0: none.
type framingCase struct {
	bytes      string
	heads, bad int
}

func framingCases() map[string]framingCase {
	const (
		first   = "POST /bid HTTP/1.1\r\n"
		get     = "GET /lot-list HTTP/1.1\r\nHost: a\r\n\r\n"
		chunked = first + "transfer-encoding: chunked\r\n\r\n"
	)
	return map[string]framingCase{
		"good":                      {first + "Host: a\r\nContent-Length: 3\r\n\r\nabc", 1, 0},
		"no body":                   {get, 1, 0},
		"both":                      {first + "Transfer-Encoding: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n", 1, 1},
		"two lengths":               {first + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 1, 1},
		"a length of signs":         {first + "Content-Length: +3\r\n\r\n", 1, 1},
		"a length of two":           {first + "Content-Length: 3, 3\r\n\r\n", 1, 1},
		"bare LF":                   {first + "Host: a\nContent-Length: 3\r\n\r\n", 1, 1},
		"all bare":                  {"POST /bid HTTP/1.1\nHost: a\n\n", 1, 1},
		"folded":                    {first + "Host: a\r\n b\r\n\r\n", 1, 1},
		"chunks of an old version":  {"POST /bid HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 1, 1},
		"a long line":               {first + "X: " + strings.Repeat("content-length:", 90) + "\r\n\r\n", 1, 0},
		"in a value":                {first + "X: Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 1, 0},
		"half":                      {first + "Host: a\r\n", 0, 0},
		"one after another":         {get + get + get, 3, 0},
		"after a body":              {first + "Content-Length: 3\r\n\r\nabc" + get, 2, 0},
		"after an empty line":       {first + "Content-Length: 1\r\n\r\na" + "\r\n" + get, 2, 0},
		"after chunks":              {chunked + "1;x=\"y\"\r\na\r\n10\r\n0123456789abcdef\r\n0\r\nA: b\r\n\r\n" + get, 2, 0},
		"the second one bad":        {get + first + "Host: a\nX: b\r\n\r\n", 2, 2},
		"bad behind chunks":         {chunked + "0\r\n\r\n" + first + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 2, 2},
		"the third after a bad one": {get + first + "Host: a\nX: b\r\n\r\n" + get, 3, 2},
		"chunks with bare LF":       {chunked + "0\n\n" + get, 1, 2},
		"a chunk without a size":    {chunked + ";x\r\n\r\n" + get, 1, 2},
		"a chunk beyond its size":   {chunked + "1\r\nab\r\n0\r\n\r\n" + get, 1, 2},
		"a chunk beyond all bounds": {chunked + "ffffffffffffffff\r\n" + get, 1, 2},
	}
}

// The result must not depend on how the bytes are split into reads, and every head must be checked,
// also one that was read together with the previous request.
func TestRequestFraming(t *testing.T) {
	t.Parallel()
	for name, c := range framingCases() {
		for cut := range len(c.bytes) {
			var f requestFraming
			f.observe([]byte(c.bytes[:cut]))
			f.observe([]byte(c.bytes[cut:]))
			if f.headsEnded > 0 && !f.betweenBodies() && f.headBytes != 0 {
				t.Errorf("%s, cut at %d: %d bytes counted for a complete head", name, cut, f.headBytes)
			}
			if f.headsEnded != c.heads || f.rejectFrom != c.bad {
				t.Errorf("%s, cut at %d: %d heads, the first rejected is %d", name, cut, f.headsEnded, f.rejectFrom)
			}
		}
		var f requestFraming
		f.observe([]byte(c.bytes))
		for n := 1; n <= c.heads; n++ {
			if rejected := f.beginRequest(); rejected != (c.bad > 0 && n >= c.bad) {
				t.Errorf("%s: head %d is rejected: %v", name, n, rejected)
			}
		}
		if !f.beginRequest() {
			t.Errorf("%s: an incomplete head is not rejected", name)
		}
	}
}

// For any bytes: where net/http finds the end of a head, requestFraming must find it too, or reject
// that head.
func FuzzRequestFraming(f *testing.F) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, s := range []string{
		get + get, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + get,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n" + get,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + get, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na\r\n" + get,
		"GET / HTTP/1.1\nHost: a\n\n" + get, "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n" + get,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		under := bytes.NewReader(data)
		in := bufio.NewReader(under)
		var seen requestFraming
		fed := 0
		for n := 1; ; n++ {
			for n > 1 { // as net/http does after a POST
				if p, _ := in.Peek(1); len(p) == 0 || p[0] != '\r' && p[0] != '\n' {
					break
				}
				if _, err := in.Discard(1); err != nil {
					t.Fatal(err)
				}
			}
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			end := len(data) - under.Len() - in.Buffered()
			before := seen
			seen.observe(data[fed:end])
			if seen.beginRequest() {
				return
			}
			if before.observe(data[fed : end-1]); seen.headsEnded != n || before.headsEnded != n-1 {
				t.Fatalf("%q: net/http's head %d ends at byte %d; %d heads observed before it, %d with it", data, n, end, before.headsEnded, seen.headsEnded)
			}
			fed = end
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}
