package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Large bodies: made and checked as they pass, so that a node or a client with many of them
// holds none.

const (
	// LargeFrom is the size above which a body is made and read in pieces.
	LargeFrom = 64 << 10
	piece     = 16 << 10
	// pieceWithin is how long a peer may take for a piece before its connection is ended.
	pieceWithin = 10 * time.Second
)

var filler = []byte(strings.Repeat(".", piece))

// Pace spaces the pieces of a body so that it passes at a rate, bytes a second; 0 is at once.
type Pace struct {
	rate  int
	began time.Time
	done  int64
}

// NewPace begins a body now.
func NewPace(rate int) *Pace { return &Pace{rate: rate, began: time.Now()} }

// Wait notes n bytes, and waits until they should have passed.
func (p *Pace) Wait(n int) {
	p.done += int64(n)
	if p.rate > 0 {
		time.Sleep(time.Until(p.began.Add(time.Duration(float64(p.done) / float64(p.rate) * float64(time.Second)))))
	}
}

// WriteBody writes what Body would give, a piece at a time, each by write.
func WriteBody(maker, id string, size, rate int, write func([]byte) error) error {
	head := Body(maker, id, 0)
	pace := NewPace(rate)
	for rest, p := size-len(head), []byte(head); ; {
		if err := write(p); err != nil {
			return err
		}
		if rest <= 0 {
			return nil
		}
		pace.Wait(len(p))
		p = filler[:min(rest, piece)]
		rest -= len(p)
	}
}

// ReadBody reads a body that may be large, and gives its beginning and its length. An error is
// one of reading, or says that what follows the beginning is not what Body makes.
func ReadBody(in io.Reader, rate int) (head string, size int, err error) {
	pace := NewPace(rate)
	var begin []byte
	buf := make([]byte, piece)
	line := false // the first line is whole
	for {
		n, err := in.Read(buf)
		size += n
		p := buf[:n]
		if len(begin) < 4<<10 {
			begin = append(begin, p[:min(n, 4<<10-len(begin))]...)
		}
		if line && strings.HasPrefix(string(begin), "node ") {
			for _, b := range p {
				if b != '.' {
					return string(begin), size, errors.New("a byte of the body is another")
				}
			}
		}
		line = line || strings.Contains(string(p), "\n")
		if err == io.EOF {
			return string(begin), size, nil
		}
		if err != nil {
			return string(begin), size, err
		}
		pace.Wait(n)
	}
}

// ClientBody is the name under which a client makes a body of so many bytes.
func ClientBody(size int) string { return fmt.Sprintf("client-%d", size) }

// checkUpload tells whether a body that came is the one that its client made; small ones are
// not looked at.
func checkUpload(id, head string, size int) bool {
	if size <= LargeFrom {
		return true
	}
	maker, ok := CheckBody(id, head)
	return ok && maker == ClientBody(size)
}

// replyLarge writes a large answer in pieces, at the node's rate for its class.
func (n *Node) replyLarge(x *exchange, s *Send, size, rate int, chunked bool) {
	if x.path.Delay > 0 {
		time.Sleep(x.path.Delay)
	}
	if n.Vanished() {
		return
	}
	n.cfg.Journal.end(s, "", http.StatusOK, n.cfg.Clock.Now())
	w := bufio.NewWriterSize(x.c, piece+64)
	if chunked {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", max(size, len(Body(n.cfg.ID, s.ID, 0))))
	}
	err := WriteBody(n.cfg.ID, s.ID, size, rate, func(p []byte) error {
		if chunked {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(p), p)
		} else {
			w.Write(p)
		}
		x.c.SetWriteDeadline(time.Now().Add(pieceWithin))
		return w.Flush()
	})
	if err == nil && chunked {
		io.WriteString(w, "0\r\n\r\n")
		err = w.Flush()
	}
	n.idle(x.c)
	x.rested = n.cfg.Clock.Now()
	if err != nil {
		x.last = true
		x.c.Close()
	}
}
