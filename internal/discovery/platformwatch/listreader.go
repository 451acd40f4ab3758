package platformwatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxListBytes bounds a list on the wire.
const maxListBytes = 4 << 20

var errListTooLong error = &ListError{Err: fmt.Errorf("it has more than %d bytes", maxListBytes)}

// listReader reads a watch: lists, each an object over one line or several, and blank lines between them.
type listReader struct {
	in      *bufio.Reader
	buffer  []byte // of the list that is being read
	depth   int    // of open braces and brackets
	quoted  bool   // within a string
	escaped bool   // behind a backslash there
}

// next returns the next list's text, or an empty one for a blank line, valid until the next call. Errors: a ListError
// for a list that is too long, io.ErrUnexpectedEOF where the watch ends.
func (l *listReader) next() ([]byte, error) {
	l.buffer = l.buffer[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		if len(l.buffer)+len(part) > maxListBytes {
			return nil, errListTooLong
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF // a watch has no end
			}
			return nil, err
		}
		l.buffer = append(l.buffer, part...)
		l.track(part)
		if err != nil || l.depth > 0 || l.quoted { // the line or the list goes on
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
