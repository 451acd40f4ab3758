package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/process/logs"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

const (
	waitTimeout  = testutil.WaitTimeout
	testSettings = testutil.Settings
	okAnswer     = testutil.OKAnswer
	// The limits of the HTTP front.
	maxBody     = 64 << 10
	maxHead     = 16 << 10
	readTimeout = 2500 * time.Millisecond
)

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	return testutil.Receive(t, c, what)
}

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	testutil.Eventually(t, what, reached)
}

func rawBackend(t *testing.T, serve func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	return testutil.RawBackend(t, serve)
}

func readRequest(in *bufio.Reader) (*http.Request, bool) { return testutil.ReadRequest(in) }

func closedAddr(t *testing.T) string {
	t.Helper()
	return testutil.ClosedAddr(t)
}

func silent(t *testing.T) (string, chan *http.Request) {
	t.Helper()
	return testutil.Silent(t)
}

// ready returns a list entry for a ready backend.
func ready(id, addr string) platformwatch.Instance {
	return platformwatch.Instance{InstanceID: id, HostPort: addr, Zone: "koper", MachineType: "mid-2c", Lifecycle: "Ready", Weight: 1}
}

func testConfig(t *testing.T, addr string, known ...platformwatch.Instance) *config.Platform {
	t.Helper()
	return configWith(t, testutil.Settings, addr, known...)
}

// configWith is testConfig with other settings.
func configWith(t *testing.T, settings, addr string, known ...platformwatch.Instance) *config.Platform {
	t.Helper()
	file := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings),
	}
	if known != nil {
		file["known"] = platformwatch.List{Generation: 1, Reset: true, Instances: known}
	}
	data, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParsePlatform(data, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// registry is a discovery service; the test writes its watch responses line by line.
type registry struct{ *standin.Script }

type watch = standin.ScriptedWatch

func newRegistry(t *testing.T) registry {
	t.Helper()
	s, err := standin.NewScript()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return registry{s}
}

func (g registry) next(t *testing.T) watch {
	t.Helper()
	return receive(t, g.Watches, "a watch")
}

func line(t *testing.T, generation uint32, reset bool, entries ...platformwatch.Instance) string {
	t.Helper()
	data, err := json.Marshal(platformwatch.List{Generation: generation, Reset: reset, Instances: entries})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

type running struct {
	url, addr string
	rpc       string             // RPC address; "" if off
	control   string             // control address; "" if off
	stop      context.CancelFunc // has the effect of SIGTERM
	ended     chan error
	reloads   chan Reload // results of reading the configuration at SIGHUP
	log       *testutil.LockedLog
}

// start runs a proxy until the test ends, and waits until it is ready.
func start(t *testing.T, cfg *config.Platform) *running {
	t.Helper()
	return startWith(t, cfg, config.DefaultOperator())
}

// startWith is start with an operator's settings. It also listens for RPC if they enable it.
func startWith(t *testing.T, cfg *config.Platform, own *config.Operator) *running {
	t.Helper()
	p := launch(t, cfg, own)
	eventually(t, "the proxy to be ready", func() bool {
		resp, err := http.Get(p.url + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// launch runs a proxy until the test ends, without waiting until it is ready.
func launch(t *testing.T, cfg *config.Platform, own *config.Operator) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := listeners{http: ln}
	if own.RPC.Listen != "" {
		if in.rpc, err = net.Listen("tcp", own.RPC.Listen); err != nil {
			t.Fatal(err)
		}
	}
	if cfg.ControlAddress != "" {
		if in.control, err = net.Listen("tcp", cfg.ControlAddress); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &running{
		addr: ln.Addr().String(), stop: stop, ended: make(chan error, 1),
		reloads: make(chan Reload), log: &testutil.LockedLog{},
	}
	p.url = "http://" + p.addr
	if in.rpc != nil {
		p.rpc = in.rpc.Addr().String()
	}
	if in.control != nil {
		p.control = in.control.Addr().String()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ended <- serve(ctx, cfg, own, logs.NewWithoutTime(p.log), in, p.reloads)
	}()
	t.Cleanup(func() { stop(); <-done })
	return p
}

// lastRequestID is the last request id, shared by all tests.
var lastRequestID atomic.Uint64

func newRequest(t *testing.T, p *running, class, body string) *http.Request {
	t.Helper()
	method := http.MethodPost
	if class == "lot-list" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, p.url+"/"+class+"/7f3a9c21", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", lastRequestID.Add(1))) // unique per request
	r.Header.Set("X-Account", "obala")
	r.Header.Set("X-Time-Left", "12000m")
	if class == "pickup" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return r
}

func do(t *testing.T, r *http.Request) (int, string, http.Header) {
	t.Helper()
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatalf("%s %s: no answer: %v", r.Method, r.URL, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("half an answer: %v", err)
	}
	return resp.StatusCode, string(text), resp.Header
}
