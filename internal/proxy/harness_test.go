package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/standin"
)

// patience is how long a test waits for what must come. It is no measure of speed.
const patience = 20 * time.Second

const testSettings = `{"Balancers":1,"Rank":0,"Zone":0,"Tick":5.0,"Discovery":"pushed",
 "FailureDomains":["koper","maribor"],"Kinds":["mid-2c"],"Feedback":{"How":"off","Names":[]},
 "Caps":{"Cancel":true,"ConnIdle":60000.0,"ConnectTimeout":2000.0,"MaxAttempts":4,"MaxOpen":20000,
  "Probes":false,"SecondCopies":true,"StreamsPerConn":1},
 "Obligations":{"AnswerSlack":20.0,"Cold":8900.0,"DrainGrace":500.0,"Fall":3000.0,"FallMultiple":2.5,"StartCapacity":0.32},
 "Services":[
  {"Name":"lot-list","Aim":60000.0,"GiveUp":60000.0,"Effect":"retryable","Value":1.0},
  {"Name":"bid","Aim":60000.0,"GiveUp":60000.0,"Effect":"fragile","Value":8.0},
  {"Name":"pickup","Aim":60000.0,"GiveUp":60000.0,"Effect":"dedup","Group":"zone","Window":10000.0,"Value":2.0}],
 "Tenants":[{"Name":"obala","Share":1.0,"QuotaPerS":1000.0}]}`

// ready is a list's entry for a backend at an address.
func ready(id, addr string) endpoint {
	return endpoint{InstanceID: id, HostPort: addr, Zone: "koper", MachineType: "mid-2c", Lifecycle: "Ready", Weight: 1}
}

func testConfig(t *testing.T, discovery string, known ...endpoint) *Config {
	t.Helper()
	file := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(testSettings)}
	if known != nil {
		file["known"] = endpointList{Generation: 1, Reset: true, Instances: known}
	}
	data, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(data, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// registry is a discovery service whose watches the test writes line by line.
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

func line(t *testing.T, generation uint32, reset bool, entries ...endpoint) string {
	t.Helper()
	data, err := json.Marshal(endpointList{generation, reset, entries})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// eventually waits until a state that has no event of its own is reached.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// lockedLog is a log that the test may read while the proxy writes it.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

type running struct {
	url, addr string
	stop      context.CancelFunc // as SIGTERM does
	ended     chan error
	reloads   chan *Config // what SIGHUP finds
	log       *lockedLog
}

// start runs a proxy until the test ends, and waits until it is ready.
func start(t *testing.T, cfg *Config) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &running{addr: ln.Addr().String(), stop: stop, ended: make(chan error, 1),
		reloads: make(chan *Config), log: &lockedLog{}}
	p.url = "http://" + p.addr
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ended <- serve(ctx, cfg, log.New(p.log, "", 0), ln, p.reloads)
	}()
	t.Cleanup(func() { stop(); <-done })
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

// lastName numbers the requests of all tests.
var lastName atomic.Uint64

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
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", lastName.Add(1))) // new with every request
	r.Header.Set("X-Account", "obala")
	r.Header.Set("X-Time-Left", "12000m")
	if class == "pickup" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return r
}

func do(t *testing.T, r *http.Request) (int, string, http.Header) {
	t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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

// rawBackend accepts connections and hands each to serve, which reads and writes as it likes.
func rawBackend(t *testing.T, serve func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	r, err := standin.StartRaw(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop) // a serve that the test holds up must not hold up its end
	return r.Addr
}

// readRequest takes a whole request off a connection.
func readRequest(in *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// closedAddr is an address at which connections are refused.
func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
