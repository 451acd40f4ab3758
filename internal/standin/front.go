package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// FrontProxy is a proxy behind the front.
type FrontProxy struct {
	Addr, Zone string
	RPC        string // MessagePack-RPC address; "" for none
}

// Front distributes clients' connections over the proxies of their zone. It adds a
// proxy once GET /ready answers 200, and removes a failed one only after a delay:
// until then it keeps sending connections to it, which fail.
type Front struct {
	proxies []FrontProxy
	notice  time.Duration
	client  *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	in      []bool
	next    map[string]int
	changed chan struct{} // closed and replaced when a proxy is added or removed
}

const readyPollInterval = 50 * time.Millisecond

// ErrNoProxy is returned when no proxy is available.
var ErrNoProxy = errors.New("the front has no available proxy")

// NewFront starts a front that removes a proxy once it has failed for notice.
func NewFront(notice time.Duration, proxies []FrontProxy) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{
		proxies: proxies, notice: notice, cancel: cancel, in: make([]bool, len(proxies)),
		next: map[string]int{}, changed: make(chan struct{}),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range proxies {
		f.wg.Go(func() { f.pollReady(ctx, i) })
	}
	return f
}

// pollReady polls the readiness of one proxy.
func (f *Front) pollReady(ctx context.Context, i int) {
	var failing time.Time
	for ctx.Err() == nil {
		if f.ready(ctx, i) {
			failing = time.Time{}
			f.set(i, true)
		} else if failing.IsZero() {
			failing = time.Now()
		}
		if !failing.IsZero() && time.Since(failing) >= f.notice {
			f.set(i, false)
		}
		wait := readyPollInterval
		if f.Has(i) && failing.IsZero() {
			wait = 5 * readyPollInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (f *Front) ready(ctx context.Context, i int) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.proxies[i].Addr+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Front) set(i int, in bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.in[i] != in {
		f.in[i] = in
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// Has reports whether the front sends connections to a proxy.
func (f *Front) Has(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.in[i]
}

// WaitAll waits until all proxies are in.
func (f *Front) WaitAll(ctx context.Context) error {
	for {
		f.mu.Lock()
		all, changed := true, f.changed
		for _, in := range f.in {
			all = all && in
		}
		f.mu.Unlock()
		if all {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Pick returns the index of a proxy: round robin in the zone, or over all zones if the zone has none available.
func (f *Front) Pick(zone string) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, z := range []string{zone, ""} {
		var fit []int
		for i, p := range f.proxies {
			if f.in[i] && (z == "" || p.Zone == z) {
				fit = append(fit, i)
			}
		}
		if len(fit) > 0 {
			f.next[z]++
			return fit[f.next[z]%len(fit)], nil
		}
	}
	return 0, ErrNoProxy
}

// Dial opens a connection for a client of a zone and returns the index of its proxy.
func (f *Front) Dial(ctx context.Context, zone string) (net.Conn, int, error) {
	i, err := f.Pick(zone)
	if err != nil {
		return nil, -1, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.proxies[i].Addr)
	return c, i, err
}

// DialRPC is Dial for MessagePack-RPC.
func (f *Front) DialRPC(ctx context.Context, zone string) (net.Conn, int, error) {
	i, err := f.Pick(zone)
	if err != nil {
		return nil, -1, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.proxies[i].RPC)
	return c, i, err
}

// Close stops the front.
func (f *Front) Close() {
	f.cancel()
	f.wg.Wait()
	f.client.CloseIdleConnections()
}
