package httpproxy

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// requestFraming follows the requests of one connection through its bytes, from each head over its body
// to the next head, and judges every head for what net/http reads in one way and another reader
// of the same bytes may read in another: two words on where the body ends, lines that end with a
// bare LF, lines that are folded. It changes nothing of what passes.
//
// It sees bytes ahead of net/http, which reads them in the same order: the n-th head that ends
// here is the n-th that net/http gives. Where the two would part, all that follows is refused.
type requestFraming struct {
	state      framingState
	headsEnded int   // that have ended
	headsGiven int   // that net/http has given
	rejectFrom int   // number of the first head that must not be acted on, nor what follows; 0: none
	remaining  int64 // bytes of the body, or the chunk, that are to come
	digits     int   // of a chunk's size so far
	trailer    int   // bytes of it so far

	headBytes int // bytes of the head so far

	line       [48]byte // the beginning of the line that has not ended
	lineLength int      // bytes of that line so far
	tail       [2]byte  // its last ones
	headLines  int      // of the head so far

	length    int64 // what the head says; -1 is nothing
	chunked   bool
	http10    bool // HTTP/1.0: it knows of no chunks, and some leave the coding out
	ambiguous bool // this head must not be acted on
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
	frameLost // where the next head begins isn't known: it must not come
)

// observe takes in bytes that have just been read.
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

// observeLine takes in the bytes of a line, and gives those that follow it.
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
	proper := f.lineLength > 0 && f.tail[1] == '\r'
	switch f.state {
	case frameHead:
		f.headLine(proper)
	case frameChunkExtension:
		f.state = frameChunkData
		if f.remaining == 0 {
			f.state = frameTrailer
		}
		f.require(proper)
	case frameChunkEnd:
		f.state, f.digits = frameChunkSize, 0
		f.require(proper && f.lineLength == 1)
	case frameTrailer:
		f.trailer += f.lineLength
		if f.lineLength <= 1 {
			f.startHead()
		}
		f.require(proper && f.trailer <= maxTrailer)
	}
	f.lineLength = 0
	return p[end+1:]
}

// observeSizeDigit takes in a byte of a chunk's size, unless it is what follows that.
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

// require ends the following where something does not hold.
func (f *requestFraming) require(holds bool) {
	if !holds {
		f.state = frameLost
		f.rejectHead(f.headsEnded + 1)
	}
}

func (f *requestFraming) rejectHead(head int) {
	if f.rejectFrom == 0 {
		f.rejectFrom = head
	}
}

// startHead begins with the next head.
func (f *requestFraming) startHead() { f.state, f.headLines, f.headBytes = frameHead, 0, 0 }

// headLine takes in the end of a line of a head.
func (f *requestFraming) headLine(proper bool) {
	if f.lineLength <= 1 && proper && f.headLines == 0 {
		f.headBytes = 0
		return // an empty line before a head, which net/http skips or refuses
	}
	start := f.line[:min(f.lineLength, len(f.line))]
	if f.headLines == 0 {
		f.length, f.chunked, f.ambiguous, f.http10 = -1, false, false, f.tail[0] == '0'
	}
	f.headLines++
	f.ambiguous = f.ambiguous || !proper
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

// endHead judges a head, and says what follows it.
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

// beginRequest says that net/http has given the next request, and tells whether it must be refused.
func (f *requestFraming) beginRequest() (refused bool) {
	f.headsGiven++
	return f.rejectFrom > 0 && f.headsGiven >= f.rejectFrom || f.headsGiven > f.headsEnded
}

// hasUnhandledHead tells whether a complete head has been read that net/http has not given yet.
func (f *requestFraming) hasUnhandledHead() bool { return f.headsEnded > f.headsGiven }

// headBegun tells whether something of the next head has been read.
func (f *requestFraming) headBegun() bool {
	return f.hasUnhandledHead() || f.headBytes > 0 || f.state != frameHead
}

// betweenBodies tells whether no body is being read: what comes next is of a head.
func (f *requestFraming) betweenBodies() bool { return f.state == frameHead }

// resumeBytes says what has to stand around the data of a body in chunks, of which so much has come, for
// its wire to go on where it is now: before it, and behind it. It merges the chunks that came into
// one, and leaves out extensions and trailers that came; both have no effect.
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

// hasFieldName tells whether a line begins with a field's name, whatever its letters' case.
func hasFieldName(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}
