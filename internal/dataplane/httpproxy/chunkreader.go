package httpproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

const (
	maxChunkLine  = 4 << 10 // a size with its extensions, or a line of the trailer
	maxTrailer    = maxHead
	maxSizeDigits = 15 // more of them would overflow
)

// chunkReader reads a body that comes in chunks (RFC 9112, section 7.1). Unlike net/http's
// it can go on after a time-out, wherever that met it: how long a piece may take is decided
// while it is waited for. Extensions and trailers are read and left out.
type chunkReader struct {
	in        *bufio.Reader
	state     chunkState
	remaining int64  // of the chunk
	line      []byte // of which the end has not come yet
	trailer   int    // bytes of it
}

type chunkState uint8

const (
	chunkSizeLine chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkDone
)

var errChunks = errors.New("the chunks can't be read")

// Read implements io.Reader. It gives what is there rather than wait for more.
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
			if got > 0 { // it is met again
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

// processLine takes in a line between the data.
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
			return fmt.Errorf("%w: a chunk is longer than its size", errChunks)
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

// readLine gives the next line without its end. What it has read of one stays for the next
// call, whatever ended this one.
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
		// A line that ends with a bare LF here ends elsewhere for others.
		if n < 2 || c.line[n-2] != '\r' {
			return nil, fmt.Errorf("%w: a line without CR", errChunks)
		}
		return c.line[:n-2], nil
	}
}

// unexpectedEnd is an end within the chunks: a clean one is none.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseSize reads the line before a chunk: hexadecimal digits, and maybe extensions.
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
			return 0, fmt.Errorf("%w: a size is too long", errChunks)
		}
		n = n<<4 | v
	}
	rest := line[digits:]
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		rest = rest[1:]
	}
	if digits == 0 || len(rest) > 0 && rest[0] != ';' {
		return 0, fmt.Errorf("%w: %q is no size", errChunks, line[:min(len(line), 20)])
	}
	return n, nil
}
