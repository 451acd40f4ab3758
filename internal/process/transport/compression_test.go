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

// bodyService responds with a fixed body.
type bodyService struct{ body *string }

func (bodyService) PathPrefix() string { return "/body/" }

func (s bodyService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, *s.body)
}

// countingConn counts the bytes read from it.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// fetch gets a body from a server, and also returns how many bytes were received. newClient creates the client.
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

// repetitiveBody returns text that compresses to less than a tenth of its size, like a configuration.
func repetitiveBody(size int) string {
	return strings.Repeat(`{"name":"r","route_class":"unsafe","timeout_ms":900}`, size/50+1)[:size]
}

// Both kinds of clients get the body that the server sent. Large bodies are compressed for the client that accepts that,
// and plain for the other one, which stands for a process of an older version.
func TestRepliesAreCompressedOnlyForClientsThatAcceptIt(t *testing.T) {
	const header = 300 // maximum bytes of a response header
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

// A body is compressed once for all clients that get it, and the cache is bounded.
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
	is.Equal(len(c.recent), 4) // a body too large for the cache evicts nothing
	kept := 0
	for _, known := range c.recent {
		kept += len(known.plain)
	}
	is.Equal(kept, c.bytes)
}

// A body is an error if it isn't a valid frame, has an encoding that was not requested, or exceeds the message limit.
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
				t.Errorf("got a body of %d bytes and no error", len(body))
			}
		})
	}
}

// recordedFrame is "marlreel" repeated 64 times, as sent by the first version that compressed replies.
const recordedFrame = "28b52ffd44000001850000406d61726c7265656c015408032cf50b1e8e7d79"

// Replies of the first version that compressed them can be read, and replies sent now have the same frame format.
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
