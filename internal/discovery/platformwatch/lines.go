package platformwatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// longestList bounds a list on the wire.
const longestList = 4 << 20

var errTooLong error = &LineError{Why: fmt.Errorf("it has more than %d bytes", longestList)}

// lines reads a watch: lists, each an object over one line or several, and blank lines between them.
type lines struct {
	in      *bufio.Reader
	object  []byte // what has come of a list
	depth   int    // of braces and brackets that are open
	quoted  bool   // within a string
	escaped bool   // behind a backslash there
}

// next gives the next list's text, or nothing for a blank line. The text is good until the next call.
func (l *lines) next() ([]byte, error) {
	l.object = l.object[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		if len(l.object)+len(part) > longestList {
			return nil, errTooLong
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF // a watch has no end
			}
			return nil, err
		}
		l.object = append(l.object, part...)
		l.see(part)
		if err != nil || l.depth > 0 || l.quoted { // the line or the list goes on
			continue
		}
		return bytes.TrimSpace(l.object), nil
	}
}

// see follows what is open.
func (l *lines) see(part []byte) {
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
