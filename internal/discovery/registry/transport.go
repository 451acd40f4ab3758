package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// transport makes calls to one endpoint, and moves to the next one with NextEndpoint.
type transport struct {
	config     Config
	client     *http.Client
	checkEvery time.Duration // how often the member is checked during a watch

	mu            sync.Mutex
	endpointIndex int
}

func newTransport(c Config) (*transport, error) {
	t, err := c.tls()
	if err != nil {
		return nil, err
	}
	// Two connections suffice: one for the watch, one for calls. The client has no timeout, as it would end watches.
	return &transport{config: c, checkEvery: 10 * time.Second, client: &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: t, DialContext: (&net.Dialer{Timeout: callTimeout / 2}).DialContext, TLSHandshakeTimeout: callTimeout / 2,
			MaxIdleConns: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

func (t *transport) endpoint() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSuffix(t.config.Endpoints[t.endpointIndex%len(t.config.Endpoints)], "/")
}

// NextEndpoint implements Client.
func (t *transport) NextEndpoint() {
	t.mu.Lock()
	t.endpointIndex++
	t.mu.Unlock()
	t.client.CloseIdleConnections()
}

// call sends a request. A body that is not a []byte is sent as JSON. The caller closes the response body. If the
// endpoint can't be reached, the error is a ReachError.
func (t *transport) call(ctx context.Context, method, path string, header http.Header, body any) (*http.Response, error) {
	content, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, t.endpoint()+path, content)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, &ReachError{t.endpoint(), err}
	}
	return response, nil
}

func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return nil, nil
	}
	raw, isRaw := body.([]byte)
	if isRaw {
		return bytes.NewReader(raw), nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}

// readError reads a response that reports an error.
func readError(r *http.Response) *callError {
	e := &callError{Status: r.StatusCode}
	data, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	if json.Unmarshal(data, e) != nil || e.Message == "" && e.Old == "" {
		e.Message = string(data)
	}
	return e
}

// idleTimeout cancels a call when nothing has been received for a while: a machine that is cut off does not close its
// connections.
type idleTimeout struct {
	timer *time.Timer
	after time.Duration
}

func newIdleTimeout(after time.Duration, cancel func()) *idleTimeout {
	return &idleTimeout{time.AfterFunc(after, cancel), after}
}

// reset restarts the timeout after something was received.
func (t *idleTimeout) reset() { t.timer.Reset(t.after) }
func (t *idleTimeout) stop()  { t.timer.Stop() }

// boundedReader returns an error for a message longer than maxBodyBytes.
type boundedReader struct {
	r    io.Reader
	left int // bytes that the message may still have
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &ProtocolError{fmt.Sprintf("a message of more than %d bytes", maxBodyBytes)}
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
