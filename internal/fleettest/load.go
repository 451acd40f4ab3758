//go:build linux

package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer is a client's request and its outcome.
type Answer struct {
	ID, Class   string
	Proxy       int
	Sent, Ended time.Duration
	Status      int  // 0: no response
	Fresh       bool // the request was the first on its connection
}

// load is a set of clients, some for each proxy. Each has at most one request in flight.
type load struct {
	f       *Fleet
	halt    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []Answer
	lastID  uint64
}

// Load starts clients for each proxy. Each sends a request of a random class per interval, until Unload.
func (f *Fleet) Load(clients int, every time.Duration, classes ...Class) {
	l := &load{f: f, halt: make(chan struct{})}
	f.load = l
	for k, p := range f.Proxies {
		for c := range clients {
			l.wg.Go(func() { l.client(p, rand.New(rand.NewPCG(f.Seed, uint64(k*100+c))), every, classes) })
		}
	}
}

// Unload stops the clients and returns the outcomes of their requests.
func (f *Fleet) Unload() []Answer {
	f.load.stop()
	return f.load.answers
}

func (l *load) stop() {
	l.once.Do(func() { close(l.halt) })
	l.wg.Wait()
}

func (l *load) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%016x", l.f.Seed<<40+l.lastID)
}

// client sends requests until the load stops. It replaces its connection after an error.
func (l *load) client(p *Proxy, rng *rand.Rand, every time.Duration, classes []Class) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-l.halt:
			return
		case <-tick.C:
		}
		class := classes[rng.IntN(len(classes))]
		a := Answer{ID: l.id(), Class: class.Name, Proxy: p.N, Fresh: c == nil}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", p.Listen, time.Second); err != nil {
				c = nil
				continue // the proxy did not accept the request, so there is nothing to record
			}
			in = bufio.NewReader(c)
		}
		method, key := "POST", ""
		switch class.Effect {
		case "retryable":
			method = "GET"
		case "dedup":
			key = "Idempotency-Key: k" + a.ID + "\r\n"
		}
		a.Sent = l.f.Clock.Now()
		c.SetDeadline(time.Now().Add(class.GiveUp + 500*time.Millisecond))
		_, err := fmt.Fprintf(c, "%s /%s/x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Account: obala\r\nX-Time-Left: %dm\r\n%sContent-Length: 0\r\n\r\n",
			method, class.Name, a.ID, class.GiveUp.Milliseconds(), key)
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(in, nil); err == nil {
				if _, err = io.Copy(io.Discard, resp.Body); err == nil {
					a.Status = resp.StatusCode
				}
				if resp.Close {
					err = io.EOF
				}
			}
		}
		a.Ended = l.f.Clock.Now()
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		if err != nil {
			c.Close()
			c = nil
		}
	}
}
