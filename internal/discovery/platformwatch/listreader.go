package platformwatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxListBytes bounds the size of a list on the wire.
const maxListBytes = 4 << 20

var errListTooLong error = &ListError{Err: fmt.Errorf("more than %d bytes", maxListBytes)}

// listReader reads the body of a watch: JSON objects, each on one or several lines, and blank lines between them.
type listReader struct {
	in      *bufio.Reader
	buffer  []byte // the list being read, so far
	depth   int    // number of open braces and brackets
	quoted  bool   // within a string
	escaped bool   // after a backslash within a string
}

// next returns the text of the next list, or an empty text for a blank line; it is valid until the next call. The error
// is a ListError if the list is too long, and io.ErrUnexpectedEOF if the watch ends.
func (l *listReader) next() ([]byte, error) {
	l.buffer = l.buffer[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		if len(l.buffer)+len(part) > maxListBytes {
			return nil, errListTooLong
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF // a watch is not expected to end
			}
			return nil, err
		}
		l.buffer = append(l.buffer, part...)
		l.track(part)
		if err != nil || l.depth > 0 || l.quoted { // the line or the list is incomplete
			continue
		}
		return bytes.TrimSpace(l.buffer), nil
	}
}

// track follows which braces, brackets and strings are open.
func (l *listReader) track(part []byte) {
	for _, b := range part {
		switch {
		case l.escaped:
			l.escaped = false
		case l.quoted && b == '\\':
			l.escaped = true
		case b == '"':
			l.quoted = !l.quoted
		case l.quoted:
		case b == '{' || b == '[':
			l.depth++
		case b == '}' || b == ']':
			l.depth--
		}
	}
}
