package httpproxy

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// requestFraming tracks the request framing in the byte stream of one connection, from head to body
// to next head. It detects heads that net/http reads in one way and another parser may read in
// another, which allows request smuggling: conflicting body lengths, lines that end with a bare LF,
// folded lines. It only observes the bytes and doesn't change them.
//
// It sees the bytes before net/http, which reads them in the same order: the n-th head that ends
// here is the n-th that net/http passes to the handler. If the two could disagree, this head and
// all that follow it are rejected.
type requestFraming struct {
	state        framingState
	headsEnded   int   // heads observed completely
	headsHandled int   // heads that net/http has passed to the handler
	rejectFrom   int   // number of the first head to reject, with all that follow; 0: none
	remaining    int64 // bytes of the body or the chunk that have not arrived
	digits       int   // of a chunk's size so far
	trailer      int   // bytes of the trailer so far

	headBytes int // bytes of the head so far

	line       [48]byte // the beginning of the current line
	lineLength int      // bytes of that line so far
	tail       [2]byte  // its last two bytes
	headLines  int      // lines of the head so far

	length    int64 // Content-Length in the head; -1: none
	chunked   bool
	http10    bool // HTTP/1.0, which has no chunked coding: some parsers ignore it there
	ambiguous bool // this head must be rejected
}

type framingState uint8

const (
	frameHead framingState = iota
	frameBody
	frameChunkSize
	frameChunkExtension
	frameChunkData
	frameChunkEnd
	frameTrailer
	frameLost // it is unknown where the next head begins: no further head is accepted
)

// observe processes bytes that have just been read.
func (f *requestFraming) observe(p []byte) {
	for len(p) > 0 && f.state != frameLost {
		switch f.state {
		case frameBody, frameChunkData:
			n := min(f.remaining, int64(len(p)))
			p = p[n:]
			if f.remaining -= n; f.remaining > 0 {
				return
			}
			if f.state == frameBody {
				f.startHead()
			} else {
				f.state = frameChunkEnd
			}
		case frameChunkSize:
			if f.observeSizeDigit(p[0]) {
				p = p[1:]
			}
		default:
			p = f.observeLine(p)
		}
	}
}

// observeLine processes the bytes of a line, and returns those that follow it.
func (f *requestFraming) observeLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	part := p
	if end >= 0 {
		part = p[:end]
	}
	if f.lineLength < len(f.line) {
		copy(f.line[f.lineLength:], part)
	}
	f.lineLength += len(part)
	switch len(part) {
	case 0:
	case 1:
		f.tail[0], f.tail[1] = f.tail[1], part[0]
	default:
		copy(f.tail[:], part[len(part)-2:])
	}
	if f.state == frameHead {
		f.headBytes += len(part)
	}
	if end < 0 {
		return nil
	}
	if f.state == frameHead {
		f.headBytes++
	}
	endsCRLF := f.lineLength > 0 && f.tail[1] == '\r'
	switch f.state {
	case frameHead:
		f.headLine(endsCRLF)
	case frameChunkExtension:
		f.state = frameChunkData
		if f.remaining == 0 {
			f.state = frameTrailer
		}
		f.require(endsCRLF)
	case frameChunkEnd:
		f.state, f.digits = frameChunkSize, 0
		f.require(endsCRLF && f.lineLength == 1)
	case frameTrailer:
		f.trailer += f.lineLength
		if f.lineLength <= 1 {
			f.startHead()
		}
		f.require(endsCRLF && f.trailer <= maxTrailer)
	}
	f.lineLength = 0
	return p[end+1:]
}

// observeSizeDigit processes a byte of a chunk's size. It returns false, and leaves the byte, if the size has ended.
func (f *requestFraming) observeSizeDigit(b byte) bool {
	v, err := strconv.ParseUint(string(b), 16, 8)
	if err != nil {
		f.state = frameChunkExtension
		f.require(f.digits > 0)
		return false
	}
	if f.digits++; f.digits == 1 {
		f.remaining = 0
	}
	f.remaining = f.remaining<<4 | int64(v)
	f.require(f.digits <= maxSizeDigits)
	return true
}

// require stops the tracking and rejects all further heads unless ok.
func (f *requestFraming) require(ok bool) {
	if !ok {
		f.state = frameLost
		f.rejectHead(f.headsEnded + 1)
	}
}

func (f *requestFraming) rejectHead(head int) {
	if f.rejectFrom == 0 {
		f.rejectFrom = head
	}
}

// startHead resets the state for the next head.
func (f *requestFraming) startHead() { f.state, f.headLines, f.headBytes = frameHead, 0, 0 }

// headLine processes a complete line of a head.
func (f *requestFraming) headLine(endsCRLF bool) {
	if f.lineLength <= 1 && endsCRLF && f.headLines == 0 {
		f.headBytes = 0
		return // an empty line before a head, which net/http skips or rejects
	}
	start := f.line[:min(f.lineLength, len(f.line))]
	if f.headLines == 0 {
		f.length, f.chunked, f.ambiguous, f.http10 = -1, false, false, f.tail[0] == '0'
	}
	f.headLines++
	f.ambiguous = f.ambiguous || !endsCRLF
	switch {
	case f.lineLength <= 1:
		f.endHead()
	case f.headLines == 1:
	case start[0] == ' ' || start[0] == '\t':
		f.ambiguous = true
	case hasFieldName(start, "content-length:"):
		n, err := strconv.ParseUint(strings.Trim(string(start[len("content-length:"):]), " \t\r"), 10, 63)
		f.ambiguous = f.ambiguous || err != nil || f.length >= 0 || f.lineLength > len(f.line)
		f.length = int64(min(n, math.MaxInt64))
	case hasFieldName(start, "transfer-encoding:"):
		f.chunked = true
	}
}

// endHead decides whether to reject a complete head, and sets the state for what follows it.
func (f *requestFraming) endHead() {
	if f.ambiguous || f.chunked && (f.length >= 0 || f.http10) {
		f.rejectHead(f.headsEnded + 1)
	}
	f.headsEnded++
	f.headBytes = 0
	switch {
	case f.chunked:
		f.state, f.digits, f.trailer = frameChunkSize, 0, 0
	case f.length > 0:
		f.state, f.remaining = frameBody, f.length
	default:
		f.startHead()
	}
}

// beginRequest records that net/http has passed on the next request, and reports whether it must be rejected.
func (f *requestFraming) beginRequest() (rejected bool) {
	f.headsHandled++
	return f.rejectFrom > 0 && f.headsHandled >= f.rejectFrom || f.headsHandled > f.headsEnded
}

// hasUnhandledHead reports whether a complete head has been read that net/http has not passed to the handler yet.
func (f *requestFraming) hasUnhandledHead() bool { return f.headsEnded > f.headsHandled }

// headBegun reports whether bytes of the next request have been read.
func (f *requestFraming) headBegun() bool {
	return f.hasUnhandledHead() || f.headBytes > 0 || f.state != frameHead
}

// betweenBodies reports whether no body is being read: the next byte belongs to a head.
func (f *requestFraming) betweenBodies() bool { return f.state == frameHead }

// resumeBytes returns the bytes to put before and after the received data of a chunked body, so that the
// rest of the stream continues it correctly in another process. The received chunks are merged into
// one, and received extensions and trailers are left out; both have no effect.
func (f *requestFraming) resumeBytes(received int) (before, behind []byte, ok bool) {
	closeChunk := func() {
		if received > 0 {
			before, behind = fmt.Appendf(nil, "%x\r\n", received), []byte("\r\n")
		}
	}
	switch f.state {
	case frameChunkData:
		return fmt.Appendf(nil, "%x\r\n", int64(received)+f.remaining), nil, true
	case frameChunkEnd:
		if closeChunk(); f.lineLength > 1 || received == 0 {
			return nil, nil, false
		}
		return before, behind[:f.lineLength], true
	case frameChunkSize:
		if closeChunk(); f.digits > 0 {
			behind = fmt.Appendf(behind, "%0*x", f.digits, f.remaining)
		}
		return before, behind, true
	case frameChunkExtension:
		closeChunk()
		behind = fmt.Appendf(behind, "%x", f.remaining)
		if f.lineLength > 1 || f.lineLength == 1 && f.tail[1] != '\r' {
			behind = append(behind, ';')
		}
		if f.lineLength > 0 && f.tail[1] == '\r' {
			behind = append(behind, '\r')
		}
		return before, behind, true
	case frameTrailer:
		if closeChunk(); f.lineLength > len(f.line) {
			return nil, nil, false
		}
		return before, append(append(behind, "0\r\n"...), f.line[:f.lineLength]...), true
	}
	return nil, nil, false
}

// hasFieldName reports whether a line begins with a field name, ignoring case.
func hasFieldName(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}
