package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// FrontProxy is a proxy as the front knows it.
type FrontProxy struct {
	Addr, Zone string
	RPC        string // where it takes MessagePack-RPC; "" is nowhere
}

// Front deals clients' connections out among the proxies of their zone. It takes a
// proxy in once GET /ready has answered 200 after a start, and notices its death
// late: until then it goes on dealing connections to it, which fail.
type Front struct {
	proxies []FrontProxy
	notice  time.Duration
	client  *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu   sync.Mutex
	in   []bool
	next map[string]int
	came chan struct{} // closed and made anew when a proxy is taken in
}

const askReady = 50 * time.Millisecond

// ErrNoProxy says that the front knows no proxy that lives.
var ErrNoProxy = errors.New("the front knows no living proxy")

// NewFront starts a front that notices a death so long after it.
func NewFront(notice time.Duration, proxies []FrontProxy) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{
		proxies: proxies, notice: notice, cancel: cancel, in: make([]bool, len(proxies)),
		next: map[string]int{}, came: make(chan struct{}),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range proxies {
		f.wg.Go(func() { f.look(ctx, i) })
	}
	return f
}

// look watches one proxy.
func (f *Front) look(ctx context.Context, i int) {
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
		wait := askReady
		if f.Has(i) && failing.IsZero() {
			wait = 5 * askReady
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
		close(f.came)
		f.came = make(chan struct{})
	}
}

// Has tells whether the front deals connections to a proxy.
func (f *Front) Has(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.in[i]
}

// WaitAll waits until all proxies are taken in.
func (f *Front) WaitAll(ctx context.Context) error {
	for {
		f.mu.Lock()
		all, came := true, f.came
		for _, in := range f.in {
			all = all && in
		}
		f.mu.Unlock()
		if all {
			return nil
		}
		select {
		case <-came:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Pick deals a proxy: one of the zone in turn, or of any zone where it has none that lives.
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

// Dial opens a connection for a client of a zone, and tells to which proxy.
func (f *Front) Dial(ctx context.Context, zone string) (net.Conn, int, error) {
	i, err := f.Pick(zone)
	if err != nil {
		return nil, -1, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.proxies[i].Addr)
	return c, i, err
}

// DialRPC is Dial for a caller by MessagePack-RPC.
func (f *Front) DialRPC(ctx context.Context, zone string) (net.Conn, int, error) {
	i, err := f.Pick(zone)
	if err != nil {
		return nil, -1, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.proxies[i].RPC)
	return c, i, err
}

// Close ends it.
func (f *Front) Close() {
	f.cancel()
	f.wg.Wait()
	f.client.CloseIdleConnections()
}
