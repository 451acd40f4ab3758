package httpproxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// inPieces is a reader that returns its data piece by piece, with a timeout error before each.
type inPieces struct {
	pieces   [][]byte
	timedOut bool // before the current piece
}

func (r *inPieces) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	if !r.timedOut {
		r.timedOut = true
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, r.pieces[0])
	if r.pieces[0] = r.pieces[0][n:]; len(r.pieces[0]) == 0 {
		r.pieces, r.timedOut = r.pieces[1:], false
	}
	return n, nil
}

// readThrough reads to the end and continues after timeouts.
func readThrough(c *chunkReader, step int) ([]byte, error) {
	var got []byte
	buf := make([]byte, step)
	for {
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
}

// The decoded body must not depend on how the bytes arrive or on timeouts between them.
func TestChunksInPieces(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var text, want bytes.Buffer
		for range rapid.IntRange(0, 5).Draw(t, "chunks") {
			data := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data")
			want.Write(data)
			text.WriteString(rapid.SampledFrom([]string{"", "0", "00"}).Draw(t, "zeros"))
			text.Write(chunkSize(len(data))[:len(chunkSize(len(data)))-2])
			text.WriteString(rapid.SampledFrom([]string{"", ";a=b", " ;a", "\t; x=\"y\""}).Draw(t, "extension") + "\r\n")
			text.Write(data)
			text.WriteString("\r\n")
		}
		text.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X-Sum: 5\r\n", "A: b\r\nC: d\r\n"}).Draw(t, "trailer") + "\r\n")
		const next = "HTTP/1.1 200"
		text.WriteString(next)
		in := &inPieces{}
		for rest := text.Bytes(); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			in.pieces, rest = append(in.pieces, rest[:n]), rest[n:]
		}
		b := bufio.NewReaderSize(in, 64)
		got, err := readThrough(&chunkReader{in: b}, rapid.IntRange(1, 400).Draw(t, "step"))
		if err != nil || !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("%q: got %d bytes, want %d: %v", text.String(), len(got), want.Len(), err)
		}
		var behind []byte
		for len(behind) < len(next) {
			c, err := b.ReadByte()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if err != nil {
				t.Fatalf("bytes after the body were consumed: %v", err)
			}
			behind = append(behind, c)
		}
		if string(behind) != next {
			t.Fatalf("after the body: %q", behind)
		}
	})
}

// Whatever this reader accepts, net/http's must accept and decode to the same body. net/http's
// may accept more, such as a bare LF.
func FuzzChunks(f *testing.F) {
	for _, s := range []string{
		"0\r\n\r\n", "5\r\nabcde\r\n0\r\n\r\n", "5;x=y\r\nabcde\r\n0\r\nA: b\r\n\r\n", "5\nabcde\n0\n\n",
		"ffffffffffffffffff\r\n", "-1\r\n", "5 \r\nabcde\r\n0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n", "0\r\nbad\r\n\r\n", " 1\r\na\r\n0\r\n\r\n",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := readThrough(&chunkReader{in: bufio.NewReader(strings.NewReader(s))}, 100)
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(strings.NewReader(s))))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%q: decoded to %q, by net/http to %q and %v", s, got, want, err)
		}
	})
}
