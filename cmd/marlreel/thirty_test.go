//go:build linux

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/fleettest"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

// Tests with thirty real processes side by side, as the platform runs them.

const thirty = 30

// thirtySettings returns the settings of one of thirty proxies, with a class that is safe to retry.
func thirtySettings(rank int, discovery string) string {
	return fmt.Sprintf(`{"Balancers":%d,"Rank":%d,"Zone":0,"Tick":5.0,"Discovery":%q,"FailureDomains":["koper"],
 "Kinds":["mid-2c"],"Feedback":{"How":"off","Names":[]},
 "Caps":{"Cancel":true,"ConnectTimeout":200.0,"ConnIdle":60000.0,"MaxAttempts":4,"SecondCopies":true},
 "Obligations":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":8000.0,"DrainGrace":500.0,"Fall":2000.0,"FallMultiple":1.5,"StartCapacity":0.2},
 "Services":[{"Name":"lot-list","Aim":600.0,"GiveUp":2000.0,"Effect":"retryable","Value":1.0}]}`, thirty, rank, discovery)
}

// processGroup is a group of thirty processes.
type processGroup struct {
	t         *testing.T
	dir, mode string
	discovery string
	known     []standin.Entry
	limit     int // of descriptors; 0 means the system's limit
	addrs     [thirty]string
	processes [thirty]*process
	saw       *fleettest.Recorder

	mu sync.Mutex
	by map[string]int // the process that each request was sent to
}

func newProcessGroup(t *testing.T, mode, discovery string, known ...standin.Entry) *processGroup {
	b := &processGroup{
		t: t, dir: t.TempDir(), mode: mode, discovery: discovery, known: known, by: map[string]int{},
		saw: fleettest.NewRecorder(fleettest.Agreed(), mode == "pushed"),
	}
	for i := range b.addrs {
		addr, err := standin.Address()
		if err != nil {
			t.Fatal(err)
		}
		b.addrs[i] = addr
	}
	return b
}

// launch starts process i with its last known list.
func (b *processGroup) launch(i int) {
	b.t.Helper()
	path := filepath.Join(b.dir, fmt.Sprint("config-", i))
	sockets := 256
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", i), "listen": b.addrs[i], "discovery": b.discovery, "seed": fmt.Sprintf("%x", i+1),
		"limits": map[string]any{"memory_mb": 64, "sockets": sockets, "cores": 1.0}, "settings": json.RawMessage(thirtySettings(i, b.mode)),
		"known": standin.List{Generation: 1, Reset: true, Instances: b.known},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.t.Fatal(err)
	}
	cmd := exec.Command(self(b.t))
	if b.limit > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", b.limit, self(b.t)))
	}
	b.processes[i] = spawn(b.t, cmd, nil, "NODE_CONFIG="+path)
}

// ready waits until processes are ready, and returns their sorted start times.
func (b *processGroup) ready(which []int) []time.Duration {
	b.t.Helper()
	began, took := time.Now(), make([]time.Duration, len(which))
	var wg sync.WaitGroup
	for n, i := range which {
		wg.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for took[n] = time.Hour; time.Since(began) < waitTimeout; time.Sleep(20 * time.Millisecond) {
				resp, err := client.Get("http://" + b.addrs[i] + "/ready")
				if err != nil {
					continue
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					took[n] = time.Since(began)
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took
}

func all() (which []int) {
	for i := range thirty {
		which = append(which, i)
	}
	return which
}

var lastAsked atomic.Uint64

// id returns the id of a new request to process i.
func (b *processGroup) id(i int) string {
	id := fmt.Sprintf("%016x", lastAsked.Add(1))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.by[id] = i
	return id
}

// ask sends a request to process i, and records it and its answer.
func (b *processGroup) ask(client *http.Client, i int) (served bool) {
	id := b.id(i)
	q := fleettest.Asked{Proxy: i, Request: id, Sent: b.saw.Now(), Wait: 2 * time.Second}
	defer func() {
		b.saw.See(func(saw *fleettest.Sighting) { saw.Asked = append(saw.Asked, q) })
	}()
	r, err := http.NewRequest("GET", "http://"+b.addrs[i]+"/lot-list/x", nil)
	if err != nil {
		b.t.Error(err)
		return false
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left", "2000m")
	resp, err := client.Do(r)
	if err != nil {
		b.t.Logf("request %s to process %d at %v, after %v: %v", id, i, q.Sent, b.saw.Now()-q.Sent, err)
		return false
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	q.Answered, q.Answers, q.Served = b.saw.Now(), 1, resp.StatusCode == http.StatusOK
	if !q.Served {
		b.t.Logf("request %s to process %d at %v, after %v: %d %q", id, i, q.Sent, q.Answered-q.Sent, resp.StatusCode, text)
	}
	return q.Served
}

// addArrivals adds what backends received to the recorded sighting.
func (b *processGroup) addArrivals(backends ...*countingBackend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range backends {
		c.mu.Lock()
		for n, at := range c.times {
			proxy, asked := b.by[c.ids[n]]
			if !asked {
				b.t.Errorf("%s got a request %q that was never sent", c.name, c.ids[n])
			}
			b.saw.See(func(saw *fleettest.Sighting) {
				saw.Arrived = append(saw.Arrived, fleettest.Arrival{Proxy: proxy, Backend: c.name, Request: c.ids[n], Began: b.saw.At(at), Ran: true, Work: 1})
			})
		}
		c.mu.Unlock()
	}
}

// audit audits the sighting against the agreed terms, and fails the test for each breach (the first five are printed).
func (b *processGroup) audit() fleettest.Findings {
	b.t.Helper()
	f := b.saw.Audit()
	b.t.Log(f)
	for i, k := range f.Breaks {
		if i < 5 {
			b.t.Errorf("%s: %s", k.Term, k.Text)
		}
	}
	return f
}

// load sends requests evenly to all processes, at rate per second in total, until stop is closed.
func (b *processGroup) load(rate int, stop chan struct{}) (asked, lost *atomic.Int64, done *sync.WaitGroup) {
	asked, lost, done = new(atomic.Int64), new(atomic.Int64), new(sync.WaitGroup)
	for i := range thirty {
		done.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second}
			defer client.CloseIdleConnections()
			testutil.Every(time.Second*thirty/time.Duration(rate), stop, func() {
				asked.Add(1)
				if !b.ask(client, i) {
					lost.Add(1)
				}
			})
		})
	}
	return asked, lost, done
}

// countingBackend is a backend that records when each request arrived.
type countingBackend struct {
	name  string
	mu    sync.Mutex
	times []time.Time
	ids   []string
	addr  string
}

func newCountingBackend(t *testing.T, name string, took time.Duration) *countingBackend {
	c := &countingBackend{name: name}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		c.mu.Lock()
		c.times, c.ids = append(c.times, time.Now()), append(c.ids, r.Header.Get("X-Correlation-Id"))
		c.mu.Unlock()
		time.Sleep(took)
		io.WriteString(w, "served")
	}))
	t.Cleanup(s.Close)
	c.addr = s.Listener.Addr().String()
	return c
}

func (c *countingBackend) between(from, to time.Time) (in []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.times {
		if !at.Before(from) && at.Before(to) {
			in = append(in, at)
		}
	}
	return in
}

func entry(id, addr, lifecycle string, started time.Time) standin.Entry {
	e := standin.Entry{InstanceID: id, HostPort: addr, Zone: "koper", MachineType: "mid-2c", Lifecycle: lifecycle, Weight: 1}
	if !started.IsZero() {
		e.StartedAtMs = started.UnixMilli()
	}
	return e
}

// Thirty processes start together, and then seven in ten of them are killed and restarted during a release. Whatever
// discovery does, nine in ten must be ready within 10 s, and a backend that drains in the release gets no new requests.
func TestThirtyProcessesAreReadyInTime(t *testing.T) {
	for name, c := range map[string]struct {
		mode  string
		state func(d *standin.Faulty)
	}{
		"up":            {"pushed", func(*standin.Faulty) {}},
		"calls in turn": {"on_request", func(d *standin.Faulty) { d.SerializeCalls(200 * time.Millisecond) }},
		"down":          {"pushed", func(d *standin.Faulty) { d.Down(true) }},
		"down, asked":   {"on_request", func(d *standin.Faulty) { d.Down(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			stays, leaves, comes := newCountingBackend(t, "s-1", 0), newCountingBackend(t, "s-2", 0), newCountingBackend(t, "s-3", 0)
			known := []standin.Entry{entry("s-1", stays.addr, "Ready", time.Time{}), entry("s-2", leaves.addr, "Ready", time.Time{})}
			d, err := standin.StartFaulty(known...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(d.Close)
			b := newProcessGroup(t, c.mode, d.Addr, known...)
			for i := range thirty {
				b.launch(i)
			}
			took := b.ready(all())
			first := took[thirty*9/10-1]
			c.state(d)
			away := b.saw.Now()
			which := all()[:thirty*7/10]
			for _, i := range which {
				b.processes[i].cmd.Process.Kill()
			}
			for _, i := range which {
				<-b.processes[i].ended
			}
			// The release coincides with the restart: one backend drains, another is new and cold.
			d.Put(entry("s-2", leaves.addr, "Terminating", time.Time{}), entry("s-3", comes.addr, "Ready", time.Now()))
			changed := b.saw.Now()
			for _, i := range which {
				b.launch(i)
			}
			started := b.saw.Now()
			took = b.ready(which)
			t.Logf("nine in ten ready after %v at the first start; discovery: %s", first.Round(time.Millisecond), name)
			// Discovery is reachable from here on, and its changes must take effect within 6 s.
			d.Down(false)
			d.SerializeCalls(0)
			back := b.saw.Now()
			b.saw.See(func(saw *fleettest.Sighting) {
				saw.Changes = append(saw.Changes, fleettest.Change{Backend: "s-2", At: changed, Away: true})
				saw.Outages = append(saw.Outages, fleettest.Span{From: away, To: back})
				for n, i := range which {
					saw.Started = append(saw.Started, fleettest.Started{Proxy: i, At: started, Ready: started + took[n]})
				}
			})
			stop := make(chan struct{})
			asked, lost, done := b.load(150, stop)
			for b.saw.Now()-back < 7*time.Second || asked.Load() < 600 {
				time.Sleep(10 * time.Millisecond)
			}
			close(stop)
			done.Wait()
			b.addArrivals(stays, leaves, comes)
			b.audit()
			if lost.Load() > asked.Load()/20 {
				t.Errorf("%d of %d requests were not served", lost.Load(), asked.Load())
			}
		})
	}
}

// From thirty processes together, a cold backend gets no more requests in any window than its budget plus a margin for
// chance. Its capacity is taken to be the rate that each warm backend is sent, which is less than they could serve.
func TestThirtyProcessesLimitAColdBackend(t *testing.T) {
	var warm []*countingBackend
	var list []standin.Entry
	for i := range 3 {
		warm = append(warm, newCountingBackend(t, fmt.Sprint("s-", i), 20*time.Millisecond))
		list = append(list, entry(fmt.Sprint("s-", i), warm[i].addr, "Ready", time.Time{}))
	}
	cold := newCountingBackend(t, "s-cold", 20*time.Millisecond)
	d, err := standin.StartFaulty(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	b := newProcessGroup(t, "pushed", d.Addr, list...)
	for i := range thirty {
		b.launch(i)
	}
	b.ready(all())
	const rate, window, whole, multiple, from = 300, 2 * time.Second, 8 * time.Second, 1.5, 0.2
	stop := make(chan struct{})
	asked, lost, done := b.load(rate, stop)
	began := time.Now()
	for time.Since(began) < 5*time.Second { // the proxies learn the load that backends carry
		time.Sleep(10 * time.Millisecond)
	}
	started := time.Now()
	d.Put(entry("s-cold", cold.addr, "Ready", started))
	for time.Since(started) < whole+time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	done.Wait()
	carried := 0
	for _, w := range warm {
		carried += len(w.between(started.Add(-3*time.Second), started))
	}
	each := float64(carried) / 3 / float64(len(warm)) // requests per second
	times := cold.between(started, started.Add(whole))
	since := b.saw.At(started)
	b.saw.See(func(saw *fleettest.Sighting) {
		saw.Colds = append(saw.Colds, fleettest.Cold{
			Backend: "s-cold", Span: fleettest.Span{From: since, To: since + whole}, Window: window,
			Bears: func(since time.Duration) float64 {
				return multiple * (from + (1-from)*since.Seconds()/whole.Seconds()) * each * window.Seconds()
			},
		})
	})
	b.addArrivals(append(warm, cold)...)
	b.audit()
	t.Logf("%d requests, %d not served; each warm one %.0f a second; the cold one %d while cold", asked.Load(), lost.Load(), each, len(times))
	if float64(len(times)) < each*whole.Seconds()/12 {
		t.Errorf("%d requests in %v: it never warms up", len(times), whole)
	}
	if lost.Load() > asked.Load()/50 {
		t.Errorf("%d of %d were not served", lost.Load(), asked.Load())
	}
}

// Idle clients use up the descriptors and more arrive while discovery is down. Requests are served, the accept loop does
// not spin, and discovery is reached at once when it returns.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	stays, leaves := newCountingBackend(t, "s-1", 0), newCountingBackend(t, "s-2", 0)
	known := []standin.Entry{entry("s-1", stays.addr, "Ready", time.Time{}), entry("s-2", leaves.addr, "Ready", time.Time{})}
	d, err := standin.StartFaulty(known...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	b := newProcessGroup(t, "pushed", d.Addr, known...)
	b.limit = 256
	b.launch(0)
	if took := b.ready([]int{0}); took[0] > waitTimeout {
		t.Fatalf("not ready:\n%s", b.processes[0].log.String())
	}
	d.Down(true)
	down, since := time.Now(), b.saw.Now()
	var idle []net.Conn
	t.Cleanup(func() {
		for _, c := range idle {
			c.Close()
		}
	})
	asked, lost := 0, 0
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	used := cpu(b.processes[0])
	for time.Since(down) < 8*time.Second { // three idle connections per request: some sent one request, some none
		for k := range 3 {
			c, err := net.DialTimeout("tcp", b.addrs[0], time.Second)
			if err != nil {
				continue
			}
			idle = append(idle, c)
			if k == 0 {
				fmt.Fprintf(c, "GET /lot-list/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left: 2000m\r\n\r\n", b.id(0))
			}
		}
		asked++
		if !b.ask(client, 0) {
			lost++
		}
		time.Sleep(10 * time.Millisecond) // some 300 connections per second
		if len(idle) > 400 {
			for _, c := range idle[:50] {
				c.Close()
			}
			idle = idle[50:]
		}
	}
	spent, wall := cpu(b.processes[0])-used, time.Since(down)
	calls := len(d.Calls())
	d.Down(false)
	back := time.Now()
	d.Put(entry("s-2", leaves.addr, "Terminating", time.Time{}))
	b.saw.See(func(saw *fleettest.Sighting) {
		saw.Outages = append(saw.Outages, fleettest.Span{From: since, To: b.saw.At(back)})
		saw.Changes = append(saw.Changes, fleettest.Change{Backend: "s-2", At: b.saw.Now(), Away: true})
		saw.Crowds = append(saw.Crowds, fleettest.Crowd{Span: fleettest.Span{From: since, To: b.saw.At(back)}, CPU: spent})
	})
	for time.Since(back) < 7*time.Second {
		if !b.ask(client, 0) {
			lost++
		}
		asked++
		time.Sleep(5 * time.Millisecond)
	}
	b.saw.See(func(saw *fleettest.Sighting) {
		for _, at := range d.Calls() {
			saw.Calls = append(saw.Calls, fleettest.Call{At: b.saw.At(at)})
		}
	})
	b.addArrivals(stays, leaves)
	b.audit()
	t.Logf("%d requests next to %d idle connections, %d not served; %v of CPU in %v; %d calls while it was down", asked, len(idle), lost, spent.Round(time.Millisecond), wall.Round(time.Millisecond), calls)
	if lost > 0 {
		t.Errorf("%d of %d requests were not served:\n%s", lost, asked, b.processes[0].log.String())
	}
	if log := b.processes[0].log.String(); strings.Contains(log, "panic") {
		t.Error(log)
	}
}

// cpu returns the processor time that a process has used.
func cpu(q *process) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", q.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond // 100 clock ticks per second
}
