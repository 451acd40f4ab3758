package httpproxy

import "bytes"

// headScan looks at the bytes of requests' heads as they come, for what net/http reads in
// one way and another reader of the same bytes may read in another: two words on where the
// body ends, lines that end with a bare LF, lines that are folded. It judges only: what
// comes is passed on as it is.
//
// It sees what is read while no request is in hand. A head that came together with the
// request before it is not seen whole; whole tells so, and the connection then ends with
// that request's answer if it came in chunks.
type headScan struct {
	line   [len("transfer-encoding:")]byte // the beginning of the line that has not ended
	n      int                             // bytes of that line so far
	last   byte
	begun  bool
	proper bool // it began with the first line of a request
	ended  bool // the empty line has come: what follows is a body, or another head

	length, coding bool
	bad            bool
}

// see takes in bytes that have just been read.
func (h *headScan) see(p []byte) {
	if !h.begun && len(p) > 0 {
		h.begun, h.proper = true, startsRequest(p)
	}
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end]
		}
		if h.n < len(h.line) {
			copy(h.line[h.n:], part)
		}
		h.n += len(part)
		if len(part) > 0 {
			h.last = part[len(part)-1]
		}
		if end < 0 {
			return
		}
		h.endLine()
		p = p[end+1:]
	}
}

func (h *headScan) endLine() {
	if h.n == 0 || h.last != '\r' {
		h.bad = true
	}
	if h.n <= 1 {
		h.ended = true
	} else {
		start := h.line[:min(h.n, len(h.line))]
		h.bad = h.bad || start[0] == ' ' || start[0] == '\t'
		h.length = h.length || named(start, "content-length:")
		h.coding = h.coding || named(start, "transfer-encoding:")
	}
	h.n, h.last = 0, 0
}

// named tells whether a line begins with a field's name, whatever its letters' case.
func named(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}

// startsRequest tells whether bytes look like the beginning of a request. Its first byte may
// have been read before, by who watched for the client's leave.
func startsRequest(p []byte) bool {
	word, _, found := bytes.Cut(p[:min(len(p), 16)], []byte(" "))
	if !found {
		return len(p) < 8 // too little to tell
	}
	for _, b := range word {
		if b < 'A' || b > 'Z' {
			return false
		}
	}
	return len(word) > 0
}

// refused tells that the head must not be acted on.
func (h *headScan) refused() bool { return h.bad || h.length && h.coding }

// whole tells that all of the head has been seen.
func (h *headScan) whole() bool { return h.begun && h.proper && h.ended }
