package transport

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// bodyService answers with a body.
type bodyService struct{ body *string }

func (bodyService) PathPrefix() string { return "/body/" }

func (s bodyService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, *s.body)
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// fetch gets a body from a server by a client that is made for the dial function, and returns how many bytes came.
func fetch(t *testing.T, newClient func(DialFunc) *Client, body string) (got string, received int64) {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- NewServer(nil, bodyService{&body}).Serve(listener) }()
	var read atomic.Int64
	client := newClient(func(context.Context, string) (net.Conn, error) {
		conn, err := listener.Dial()
		return countingConn{conn, &read}, err
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://peer/body/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	return string(data), read.Load()
}

// repetitiveBody is text of so many bytes that gets a tenth as long, as a configuration does.
func repetitiveBody(size int) string {
	return strings.Repeat(`{"name":"r","route_class":"unsafe","timeout_ms":900}`, size/50+1)[:size]
}

// Both kinds of clients get what the server sent; large bodies come compressed to the one that accepts that, and plain to
// the other, as to a process of an older version.
func TestRepliesAreCompressedForWhoAcceptsThat(t *testing.T) {
	const header = 300 // bytes that a response's header takes at most
	for name, size := range map[string]int{"small": minCompressedBytes - 1, "large": 200 * minCompressedBytes} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := repetitiveBody(size)
			got, plain := fetch(t, NewClient, body)
			is.Equal(got, body)
			is.True(plain >= int64(size))
			got, compressed := fetch(t, NewCompressedClient, body)
			is.Equal(got, body)
			if size < minCompressedBytes {
				is.True(compressed <= plain+header)
			} else {
				is.True(compressed < plain/10+header)
			}
		})
	}
}

// A body is compressed once for all who get it, and how many are kept is bounded.
func TestBodyIsCompressedOnceForAll(t *testing.T) {
	is := is.New(t)
	c := new(compressor)
	body := []byte(repetitiveBody(100_000))
	first := c.compress(body)
	is.True(&first[0] == &c.compress(bytes.Clone(body))[0])
	const size = maxRecentBytes / 5
	for i := range 20 {
		is.True(len(c.compress([]byte(repetitiveBody(size+i)))) > 0)
		is.True(len(c.recent) <= 5)
	}
	is.Equal(len(c.recent), 4)
	is.True(len(c.compress(make([]byte, maxRecentBytes+1))) > 0)
	is.Equal(len(c.recent), 4) // what is too large to be kept drives nothing out
	kept := 0
	for _, known := range c.recent {
		kept += len(known.plain)
	}
	is.Equal(kept, c.bytes)
}

// Bodies that are no frames, of an encoding that was not asked for, or larger than a message may be are errors.
func TestBrokenCompressionIsAnError(t *testing.T) {
	bomb := newEncoder().EncodeAll(make([]byte, maxMessageBytes+1), nil)
	for name, c := range map[string]struct {
		encoding string
		body     []byte
	}{
		"no frame": {encodingZstd, []byte("plain")}, "another encoding": {"br", []byte("plain")}, "too large": {encodingZstd, bomb},
	} {
		t.Run(name, func(t *testing.T) {
			var response fasthttp.Response
			response.Header.SetContentEncoding(c.encoding)
			response.SetBody(c.body)
			if body, err := new(decompressor).body(&response); err == nil {
				t.Errorf("a body of %d bytes", len(body))
			}
		})
	}
}

// recordedFrame is "marlreel" 64 times over, as the first version that compressed replies sent it.
const recordedFrame = "28b52ffd44000001850000406d61726c7265656c015408032cf50b1e8e7d79"

// What the first version that compresses sends is understood, and what is sent now is a frame of the same format.
func TestCompatibilityOfCompressedReplies(t *testing.T) {
	is := is.New(t)
	frame, err := hex.DecodeString(recordedFrame)
	is.NoErr(err)
	var response fasthttp.Response
	response.Header.SetContentEncoding("zstd")
	response.SetBody(frame)
	body, err := new(decompressor).body(&response)
	is.NoErr(err)
	text := strings.Repeat("marlreel", 64)
	is.Equal(string(body), text)
	decoder, err := zstd.NewReader(nil)
	is.NoErr(err)
	defer decoder.Close()
	now, err := decoder.DecodeAll(new(compressor).compress([]byte(text)), nil)
	is.NoErr(err)
	is.Equal(string(now), text)
}
