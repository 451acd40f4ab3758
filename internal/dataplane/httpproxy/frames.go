package httpproxy

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// frames follows the requests of one connection through its bytes, from each head over its body
// to the next head, and judges every head for what net/http reads in one way and another reader
// of the same bytes may read in another: two words on where the body ends, lines that end with a
// bare LF, lines that are folded. It changes nothing of what passes.
//
// It sees bytes ahead of net/http, which reads them in the same order: the n-th head that ends
// here is the n-th that net/http gives. Where the two would part, all that follows is refused.
type frames struct {
	state   frameState
	heads   int   // that have ended
	begun   int   // that net/http has given
	bad     int   // number of the first head that must not be acted on, nor what follows; 0: none
	left    int64 // bytes of the body, or the chunk, that are to come
	digits  int   // of a chunk's size so far
	trailer int   // bytes of it so far

	head int // bytes of the head so far

	line  [48]byte // the beginning of the line that has not ended
	n     int      // bytes of that line so far
	tail  [2]byte  // its last ones
	lines int      // of the head so far

	length int64 // what the head says; -1 is nothing
	coding bool
	old    bool // HTTP/1.0: it knows of no chunks, and some leave the coding out
	spoilt bool // this head must not be acted on
}

type frameState uint8

const (
	frameHead frameState = iota
	frameBody
	frameChunkSize
	frameChunkExtension
	frameChunkData
	frameChunkEnd
	frameTrailer
	frameLost // where the next head begins isn't known: it must not come
)

// see takes in bytes that have just been read.
func (f *frames) see(p []byte) {
	for len(p) > 0 && f.state != frameLost {
		switch f.state {
		case frameBody, frameChunkData:
			n := min(f.left, int64(len(p)))
			p = p[n:]
			if f.left -= n; f.left > 0 {
				return
			}
			if f.state == frameBody {
				f.next()
			} else {
				f.state = frameChunkEnd
			}
		case frameChunkSize:
			if f.sizeDigit(p[0]) {
				p = p[1:]
			}
		default:
			p = f.seeLine(p)
		}
	}
}

// seeLine takes in the bytes of a line, and gives those that follow it.
func (f *frames) seeLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	part := p
	if end >= 0 {
		part = p[:end]
	}
	if f.n < len(f.line) {
		copy(f.line[f.n:], part)
	}
	f.n += len(part)
	switch len(part) {
	case 0:
	case 1:
		f.tail[0], f.tail[1] = f.tail[1], part[0]
	default:
		copy(f.tail[:], part[len(part)-2:])
	}
	if f.state == frameHead {
		f.head += len(part)
	}
	if end < 0 {
		return nil
	}
	if f.state == frameHead {
		f.head++
	}
	proper := f.n > 0 && f.tail[1] == '\r'
	switch f.state {
	case frameHead:
		f.headLine(proper)
	case frameChunkExtension:
		f.state = frameChunkData
		if f.left == 0 {
			f.state = frameTrailer
		}
		f.require(proper)
	case frameChunkEnd:
		f.state, f.digits = frameChunkSize, 0
		f.require(proper && f.n == 1)
	case frameTrailer:
		f.trailer += f.n
		if f.n <= 1 {
			f.next()
		}
		f.require(proper && f.trailer <= longestTrailer)
	}
	f.n = 0
	return p[end+1:]
}

// sizeDigit takes in a byte of a chunk's size, unless it is what follows that.
func (f *frames) sizeDigit(b byte) bool {
	v, err := strconv.ParseUint(string(b), 16, 8)
	if err != nil {
		f.state = frameChunkExtension
		f.require(f.digits > 0)
		return false
	}
	if f.digits++; f.digits == 1 {
		f.left = 0
	}
	f.left = f.left<<4 | int64(v)
	f.require(f.digits <= sizeDigits)
	return true
}

// require ends the following where something does not hold.
func (f *frames) require(holds bool) {
	if !holds {
		f.state = frameLost
		f.refuse(f.heads + 1)
	}
}

func (f *frames) refuse(head int) {
	if f.bad == 0 {
		f.bad = head
	}
}

// next begins with the next head.
func (f *frames) next() { f.state, f.lines, f.head = frameHead, 0, 0 }

// headLine takes in the end of a line of a head.
func (f *frames) headLine(proper bool) {
	if f.n <= 1 && proper && f.lines == 0 {
		f.head = 0
		return // an empty line before a head, which net/http skips or refuses
	}
	start := f.line[:min(f.n, len(f.line))]
	if f.lines == 0 {
		f.length, f.coding, f.spoilt, f.old = -1, false, false, f.tail[0] == '0'
	}
	f.lines++
	f.spoilt = f.spoilt || !proper
	switch {
	case f.n <= 1:
		f.endHead()
	case f.lines == 1:
	case start[0] == ' ' || start[0] == '\t':
		f.spoilt = true
	case named(start, "content-length:"):
		n, err := strconv.ParseUint(strings.Trim(string(start[len("content-length:"):]), " \t\r"), 10, 63)
		f.spoilt = f.spoilt || err != nil || f.length >= 0 || f.n > len(f.line)
		f.length = int64(min(n, math.MaxInt64))
	case named(start, "transfer-encoding:"):
		f.coding = true
	}
}

// endHead judges a head, and says what follows it.
func (f *frames) endHead() {
	if f.spoilt || f.coding && (f.length >= 0 || f.old) {
		f.refuse(f.heads + 1)
	}
	f.heads++
	f.head = 0
	switch {
	case f.coding:
		f.state, f.digits, f.trailer = frameChunkSize, 0, 0
	case f.length > 0:
		f.state, f.left = frameBody, f.length
	default:
		f.next()
	}
}

// begins says that net/http has given the next request, and tells whether it must be refused.
func (f *frames) begins() (refused bool) {
	f.begun++
	return f.bad > 0 && f.begun >= f.bad || f.begun > f.heads
}

// ahead tells whether a whole head has been read that net/http has not given yet.
func (f *frames) ahead() bool { return f.heads > f.begun }

// begunHead tells whether something of the next head has been read.
func (f *frames) begunHead() bool { return f.ahead() || f.head > 0 || f.state != frameHead }

// between tells whether no body is being read: what comes next is of a head.
func (f *frames) between() bool { return f.state == frameHead }

// rest says what has to stand around the data of a body in chunks, of which so much has come, for
// its wire to go on where it is now: before it, and behind it. It merges the chunks that came into
// one, and leaves out extensions and trailers that came; both have no effect.
func (f *frames) rest(data int) (before, behind []byte, ok bool) {
	whole := func() {
		if data > 0 {
			before, behind = fmt.Appendf(nil, "%x\r\n", data), []byte("\r\n")
		}
	}
	switch f.state {
	case frameChunkData:
		return fmt.Appendf(nil, "%x\r\n", int64(data)+f.left), nil, true
	case frameChunkEnd:
		if whole(); f.n > 1 || data == 0 {
			return nil, nil, false
		}
		return before, behind[:f.n], true
	case frameChunkSize:
		if whole(); f.digits > 0 {
			behind = fmt.Appendf(behind, "%0*x", f.digits, f.left)
		}
		return before, behind, true
	case frameChunkExtension:
		whole()
		behind = fmt.Appendf(behind, "%x", f.left)
		if f.n > 1 || f.n == 1 && f.tail[1] != '\r' {
			behind = append(behind, ';')
		}
		if f.n > 0 && f.tail[1] == '\r' {
			behind = append(behind, '\r')
		}
		return before, behind, true
	case frameTrailer:
		if whole(); f.n > len(f.line) {
			return nil, nil, false
		}
		return before, append(append(behind, "0\r\n"...), f.line[:f.n]...), true
	}
	return nil, nil, false
}

// named tells whether a line begins with a field's name, whatever its letters' case.
func named(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}
