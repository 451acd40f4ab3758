package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Faults are deliberate faults of a PlainProxy, which show that an auditor detects
// each of them.
type Faults struct {
	ResendBids   bool // retries an unsafe request after it may have run
	AnswerTwice  bool // answers each request twice
	IgnoreDrains bool // keeps sending to nodes that are draining or gone
	FloodCold    bool // sends everything to the node that started last
	Lose         bool // closes some connections without an answer
	RefuseRan    bool // answers some requests 503 although they may have run
	Invent       bool // answers some requests 200 with a body that no node made
	LateAnswers  bool // answers some requests long after the client has left
	SendAfter    bool // sends the request once more after the answer
	KeyElsewhere bool // retries a keyed request in another zone
	TakeBroken   bool // accepts settings files without validation
	Mute         bool // does not report a settings file that it rejects
	NoYes        bool // never reports that it is ready
	DropAtTerm   bool // exits on SIGTERM without finishing the requests in flight
	CutLarge     bool // truncates some large answers
}

// PlainProxy is a proxy without marlreel's algorithms: it sends each request to a random
// node among those listed as ready, and retries on another one only if the first attempt
// provably did not run. It is the baseline for the figures of a rehearsal.
type PlainProxy struct {
	Faults Faults
	client *http.Client

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]Entry
	gone  map[string]Entry // for IgnoreDrains
	ready bool
	turn  int
}

// plainConfig is the part of a proxy's configuration that a PlainProxy reads.
type plainConfig struct {
	Listen, Discovery, Seed string
	Known                   *List
}

// RunPlainProxy serves with the given configuration file until ctx ends.
func RunPlainProxy(ctx context.Context, configPath string, faults Faults) error {
	data, err := os.ReadFile(configPath)
	if err != nil {
		return fmt.Errorf("plain proxy: %w", err)
	}
	var c plainConfig
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("plain proxy: %s: %w", configPath, err)
	}
	var seed uint64
	fmt.Sscanf(c.Seed, "%x", &seed)
	p := &PlainProxy{
		Faults: faults, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]Entry{}, gone: map[string]Entry{},
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true, DialContext: (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext,
		}},
	}
	defer p.client.CloseIdleConnections()
	if c.Known != nil {
		p.learn(*c.Known)
	}
	ln, err := listen(c.Listen)
	if err != nil {
		return fmt.Errorf("plain proxy: %w", err)
	}
	if err := p.serveControl(ctx, os.Getenv("NODE_CONTROL"), configPath); err != nil {
		return err
	}
	s := &http.Server{Handler: p}
	go p.follow(ctx, c.Discovery)
	over := make(chan struct{}) // closed when the requests in flight are answered
	go func() {
		defer close(over)
		<-ctx.Done()
		if faults.DropAtTerm {
			s.Close()
			return
		}
		stop, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s.Shutdown(stop)
	}()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-over
	return nil
}

func (p *PlainProxy) follow(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints?watch=1&from=0", nil)
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			for d := json.NewDecoder(resp.Body); ; {
				var l List
				if d.Decode(&l) != nil {
					break
				}
				p.learn(l)
			}
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (p *PlainProxy) learn(l List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
	if l.Reset {
		p.nodes = map[string]Entry{}
	}
	for _, e := range l.Instances {
		old, was := p.nodes[e.InstanceID]
		delete(p.nodes, e.InstanceID)
		if e.Lifecycle == "Ready" {
			p.nodes[e.InstanceID] = e
		} else if was {
			p.gone[e.InstanceID] = old
		}
	}
}

// pick returns a random ready node that is not among those in not.
func (p *PlainProxy) pick(not []string) (Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fit []Entry
	for _, e := range p.nodes {
		if !slices.Contains(not, e.InstanceID) {
			fit = append(fit, e)
		}
	}
	if p.Faults.IgnoreDrains && len(not) == 0 && len(p.gone) > 0 {
		for _, e := range p.gone {
			return e, true
		}
	}
	if len(fit) == 0 {
		return Entry{}, false
	}
	slices.SortFunc(fit, func(a, b Entry) int { return strings.Compare(a.InstanceID, b.InstanceID) })
	if p.Faults.FloodCold {
		return slices.MaxFunc(fit, func(a, b Entry) int { return int(a.StartedAtMs - b.StartedAtMs) }), true
	}
	return fit[p.rng.IntN(len(fit))], true
}

// ServeHTTP implements http.Handler.
func (p *PlainProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	left, err := timeLeft(r.Header.Get("X-Time-Left"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := p.Faults
	p.mu.Lock()
	p.turn++
	turn := p.turn
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), left-left/20)
	defer cancel()
	status, answer := p.try(ctx, r, body, left)
	switch {
	case f.Lose && turn%5 == 0:
		panic(http.ErrAbortHandler)
	case f.LateAnswers && turn%5 == 0:
		time.Sleep(left + 300*time.Millisecond)
	case f.Invent && turn%5 == 0:
		status, answer = http.StatusOK, []byte("all is well")
	case f.RefuseRan && turn%5 == 0:
		status, answer = http.StatusServiceUnavailable, []byte("refused")
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if f.CutLarge && len(answer) > LargeFrom && turn%2 == 0 {
		w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	w.Write(answer)
	if f.AnswerTwice {
		rc := http.NewResponseController(w)
		rc.Flush()
		if c, buf, err := rc.Hijack(); err == nil {
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			buf.Flush()
			time.Sleep(50 * time.Millisecond)
			c.Close()
		}
	}
	if f.SendAfter {
		http.NewResponseController(w).Flush()
		go func() {
			time.Sleep(300 * time.Millisecond)
			if e, found := p.pick(nil); found {
				late, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				p.send(late, e, r, body, time.Second)
			}
		}()
	}
}

// try attempts a request until it is answered or may have run, three times at most.
func (p *PlainProxy) try(ctx context.Context, r *http.Request, body []byte, left time.Duration) (int, []byte) {
	var tried []string
	zone := ""
	for range 3 {
		e, found := p.pick(tried)
		if p.Faults.KeyElsewhere && zone != "" {
			e, found = p.elsewhere(zone)
		}
		if !found {
			break
		}
		tried, zone = append(tried, e.InstanceID), e.Zone
		status, answer, ran := p.send(ctx, e, r, body, left)
		if p.Faults.ResendBids && len(tried) < 2 || p.Faults.KeyElsewhere && len(tried) < 2 {
			continue
		}
		if status == http.StatusOK {
			return status, answer
		}
		if ran {
			return http.StatusBadGateway, []byte("failed")
		}
	}
	return http.StatusServiceUnavailable, []byte("refused")
}

func (p *PlainProxy) elsewhere(zone string) (Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.nodes {
		if e.Zone != zone {
			return e, true
		}
	}
	return Entry{}, false
}

// send makes one attempt and reports whether it may have run.
func (p *PlainProxy) send(ctx context.Context, e Entry, r *http.Request, body []byte, left time.Duration) (status int, answer []byte, ran bool) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.HostPort+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, false
	}
	out.GetBody = nil // otherwise net/http retries it on its own
	for _, h := range []string{"X-Correlation-Id", "X-Account", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	out.Header.Set("X-Time-Left", fmt.Sprintf("%dm", max(1, (left-left/20).Milliseconds())))
	resp, err := p.client.Do(out)
	if err != nil {
		var op *net.OpError
		return 0, nil, !(errors.As(err, &op) && op.Op == "dial")
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, true
	}
	return resp.StatusCode, answer, resp.Header.Get("X-Unprocessed") != "1"
}
