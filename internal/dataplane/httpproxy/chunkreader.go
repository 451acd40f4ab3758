package httpproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

const (
	maxChunkLine  = 4 << 10 // bytes of a chunk size with its extensions, or of a trailer line
	maxTrailer    = maxHead
	maxSizeDigits = 15 // more hexadecimal digits would overflow an int64
)

// chunkReader decodes a chunked body (RFC 9112, section 7.1). Unlike the decoder of net/http it
// can continue after a timeout at any point, as the deadline of a piece is changed while it
// is awaited. Extensions and trailers are read and discarded.
type chunkReader struct {
	in        *bufio.Reader
	state     chunkState
	remaining int64  // bytes of the chunk
	line      []byte // the received part of an incomplete line
	trailer   int    // bytes of the trailer so far
}

type chunkState uint8

const (
	chunkSizeLine chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkDone
)

var errChunks = errors.New("malformed chunked body")

// Read implements io.Reader. It returns the available data rather than wait for more.
func (c *chunkReader) Read(p []byte) (int, error) {
	got := 0
	for {
		if got > 0 && (c.in.Buffered() == 0 || got == len(p)) {
			return got, nil
		}
		switch c.state {
		case chunkDone:
			if got > 0 {
				return got, nil
			}
			return 0, io.EOF
		case chunkData:
			n, err := c.in.Read(p[got:min(int64(len(p)), int64(got)+c.remaining)])
			got, c.remaining = got+n, c.remaining-int64(n)
			if c.remaining == 0 {
				c.state = chunkDataEnd
			}
			if err != nil {
				return got, unexpectedEnd(err)
			}
			continue
		}
		line, err := c.readLine()
		if err != nil {
			if got > 0 { // the next call returns the error
				return got, nil
			}
			return 0, err
		}
		if err := c.processLine(line); err != nil {
			return got, err
		}
		c.line = c.line[:0]
	}
}

// processLine processes a line between the data of chunks.
func (c *chunkReader) processLine(line []byte) error {
	switch c.state {
	case chunkSizeLine:
		n, err := parseSize(line)
		if err != nil {
			return err
		}
		c.remaining, c.state = n, chunkData
		if n == 0 {
			c.state = chunkTrailer
		}
	case chunkDataEnd:
		if len(line) > 0 {
			return fmt.Errorf("%w: the chunk data exceed the chunk size", errChunks)
		}
		c.state = chunkSizeLine
	case chunkTrailer:
		if c.trailer += len(line); c.trailer > maxTrailer {
			return fmt.Errorf("%w: the trailer is too long", errChunks)
		}
		if len(line) == 0 {
			c.state = chunkDone
		}
	}
	return nil
}

// readLine returns the next line without its end. After an error, the part of the line that was read
// is kept for the next call.
func (c *chunkReader) readLine() ([]byte, error) {
	for {
		part, err := c.in.ReadSlice('\n')
		c.line = append(c.line, part...)
		switch {
		case len(c.line) > maxChunkLine:
			return nil, fmt.Errorf("%w: a line is too long", errChunks)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, unexpectedEnd(err)
		}
		n := len(c.line)
		// Parsers disagree on whether a bare LF ends a line.
		if n < 2 || c.line[n-2] != '\r' {
			return nil, fmt.Errorf("%w: a line ends without CR", errChunks)
		}
		return c.line[:n-2], nil
	}
}

// unexpectedEnd turns io.EOF, which can only be premature within the chunks, into the error for that.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseSize parses the line before a chunk: hexadecimal digits and optional extensions.
func parseSize(line []byte) (int64, error) {
	n, digits := int64(0), 0
	for ; digits < len(line); digits++ {
		b, v := line[digits], int64(0)
		switch {
		case b >= '0' && b <= '9':
			v = int64(b - '0')
		case b >= 'a' && b <= 'f':
			v = int64(b-'a') + 10
		case b >= 'A' && b <= 'F':
			v = int64(b-'A') + 10
		default:
			v = -1
		}
		if v < 0 {
			break
		}
		if digits == maxSizeDigits {
			return 0, fmt.Errorf("%w: the chunk size has too many digits", errChunks)
		}
		n = n<<4 | v
	}
	rest := line[digits:]
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		rest = rest[1:]
	}
	if digits == 0 || len(rest) > 0 && rest[0] != ';' {
		return 0, fmt.Errorf("%w: invalid chunk size %q", errChunks, line[:min(len(line), 20)])
	}
	return n, nil
}
