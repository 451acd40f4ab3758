package eventstream

import "bytes"

const (
	// maxFieldLine bounds the part of a line that is kept, in bytes. A longer line can be part of any event, but its
	// field is not read.
	maxFieldLine = 1 << 10

	lineEnds      = "\r\n"
	byteOrderMark = "\uFEFF"
	idField       = "id"
)

// Scanner scans a stream that arrives in parts. The zero value is a scanner at the beginning of a stream.
type Scanner struct {
	line       []byte // the first bytes of the current line, at most maxFieldLine
	lineLength int    // bytes of the current line so far
	pastStart  bool   // the first line has ended: a byte order mark is an ordinary character from here on
	afterCR    bool   // the previous byte was a CR: an LF belongs to the same line end
	inEvent    bool   // a field has been read since the last empty line
	eventID    string // of the current event, or of the last one that had an ID
	lastID     string // as eventID, but of complete events only
}

// Scan scans the next part of the stream. It returns the offset in the part just behind the last byte at which no event
// was in progress, or -1 if the part has no such byte.
func (s *Scanner) Scan(part []byte) (boundary int) {
	boundary = -1
	for at := 0; at < len(part); {
		if s.consumeLineFeed(part[at]) {
			at++
			if !s.InEvent() {
				boundary = at
			}
			continue
		}
		length := bytes.IndexAny(part[at:], lineEnds)
		if length < 0 {
			s.extendLine(part[at:])
			break
		}
		s.extendLine(part[at : at+length])
		at += length
		s.afterCR = part[at] == '\r'
		at++
		s.endLine()
		if !s.inEvent {
			boundary = at
		}
	}
	return boundary
}

// consumeLineFeed reports whether a byte is the LF of a line end whose CR has been scanned already.
func (s *Scanner) consumeLineFeed(b byte) bool {
	consumed := s.afterCR && b == '\n'
	s.afterCR = false
	return consumed
}

// InEvent reports whether the stream is in the middle of an event or of a line. If it ends there, something is missing.
func (s *Scanner) InEvent() bool { return s.inEvent || len(s.withoutMark()) > 0 }

// LastID returns the ID of the last complete event that had one. It is empty if there was none, or if the ID is longer
// than a scanner keeps.
func (s *Scanner) LastID() string { return s.lastID }

// extendLine adds bytes to the current line.
func (s *Scanner) extendLine(part []byte) {
	s.lineLength += len(part)
	room := maxFieldLine - len(s.line)
	s.line = append(s.line, part[:min(len(part), room)]...)
}

// withoutMark returns the kept part of the current line, without the byte order mark of the stream.
func (s *Scanner) withoutMark() []byte {
	if s.pastStart {
		return s.line
	}
	return bytes.TrimPrefix(s.line, []byte(byteOrderMark))
}

// endLine processes the current line and begins the next one.
func (s *Scanner) endLine() {
	line := s.withoutMark()
	switch {
	case len(line) == 0:
		s.inEvent = false
		s.lastID = s.eventID
	case line[0] == ':':
	default:
		s.inEvent = true
		s.processField(line)
	}
	s.line, s.lineLength, s.pastStart = s.line[:0], 0, true
}

// processField processes a line that is no comment. Only the ID is of interest.
func (s *Scanner) processField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != idField {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case s.lineLength > len(s.line): // the ID is not known, so no event can be named by it
		s.eventID = ""
	case bytes.IndexByte(value, 0) >= 0: // ignored, as the specification says
	default:
		s.eventID = string(value)
	}
}

// ResumeAfter returns a scanner for the continuation of a stream, whose last complete event had the given ID.
func ResumeAfter(lastID string) Scanner { return Scanner{eventID: lastID, lastID: lastID} }

// State is the state of a scanner between two parts, for another process that scans the rest of the stream.
type State struct {
	Line       []byte `json:"Line,omitempty"`
	LineLength int    `json:"LineLength,omitempty"`
	PastStart  bool   `json:"PastStart,omitempty"`
	AfterCR    bool   `json:"AfterCR,omitempty"`
	InEvent    bool   `json:"InEvent,omitempty"`
	EventID    string `json:"EventID,omitempty"`
	LastID     string `json:"LastID,omitempty"`
}

// State returns the scanner's state. It shares no memory with the scanner.
func (s *Scanner) State() State {
	return State{
		Line: bytes.Clone(s.line), LineLength: s.lineLength, PastStart: s.pastStart, AfterCR: s.afterCR, InEvent: s.inEvent,
		EventID: s.eventID, LastID: s.lastID,
	}
}

// Resume returns a scanner that continues from a state.
func Resume(state State) Scanner {
	return Scanner{
		line: bytes.Clone(state.Line[:min(len(state.Line), maxFieldLine)]), lineLength: state.LineLength, pastStart: state.PastStart,
		afterCR: state.AfterCR, inEvent: state.InEvent, eventID: state.EventID, lastID: state.LastID,
	}
}
