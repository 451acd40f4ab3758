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

// Large bodies are generated and checked while they are streamed, so that a node or a client with
// many of them keeps none in memory.

const (
	// LargeFrom is the size above which a body is generated and read in pieces.
	LargeFrom = 64 << 10
	pieceSize = 16 << 10
	// pieceWriteTimeout is the write timeout of a piece; the connection is closed when it expires.
	pieceWriteTimeout = 10 * time.Second
)

var filler = []byte(strings.Repeat(".", pieceSize))

// Pace limits the rate of a body, in bytes per second; 0 is unlimited.
type Pace struct {
	rate  int
	began time.Time
	done  int64
}

// NewPace returns a Pace for a body that starts now.
func NewPace(rate int) *Pace { return &Pace{rate: rate, began: time.Now()} }

// Wait counts n bytes and sleeps until the rate allows them to have passed.
func (p *Pace) Wait(n int) {
	p.done += int64(n)
	if p.rate > 0 {
		time.Sleep(time.Until(p.began.Add(time.Duration(float64(p.done) / float64(p.rate) * float64(time.Second)))))
	}
}

// WriteBody writes what Body would return, one piece per call of write.
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
		p = filler[:min(rest, pieceSize)]
		rest -= len(p)
	}
}

// ReadBody reads a body that may be large and returns its first bytes and its size. It fails if reading
// fails, or if what follows the first line is not what Body makes.
func ReadBody(in io.Reader, rate int) (head string, size int, err error) {
	pace := NewPace(rate)
	var begin []byte
	buf := make([]byte, pieceSize)
	line := false // the first line is complete
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
					return string(begin), size, errors.New("body contains a byte other than the filler")
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

// ClientBody returns the maker name that a client passes to Body for a body of this size.
func ClientBody(size int) string { return fmt.Sprintf("client-%d", size) }

// checkUpload reports whether a received body is the one that its client made. Small bodies are
// not checked.
func checkUpload(id, head string, size int) bool {
	if size <= LargeFrom {
		return true
	}
	maker, ok := CheckBody(id, head)
	return ok && maker == ClientBody(size)
}

// replyLarge writes a large response in pieces, at the node's rate for its class.
func (n *Node) replyLarge(x *exchange, s *Send, size, rate int, chunked bool) {
	if x.path.Delay > 0 {
		time.Sleep(x.path.Delay)
	}
	if n.Vanished() {
		return
	}
	n.cfg.Journal.end(s, "", http.StatusOK, n.cfg.Clock.Now())
	w := bufio.NewWriterSize(x.c, pieceSize+64)
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
		x.c.SetWriteDeadline(time.Now().Add(pieceWriteTimeout))
		return w.Flush()
	})
	if err == nil && chunked {
		io.WriteString(w, "0\r\n\r\n")
		err = w.Flush()
	}
	n.idle(x.c)
	x.idleSince = n.cfg.Clock.Now()
	if err != nil {
		x.last = true
		x.c.Close()
	}
}
