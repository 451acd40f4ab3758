// Package control is the platform's door: a listener of its own at which one call to a
// connection asks whether the process is ready, and for its figures. It owns that
// listener and its callers' connections. It never waits for the engine, which answers
// nothing here: what it gives out has been published before.
package control

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headTimeout  = 2 * time.Second // for a call's head
	writeTimeout = time.Second     // for its answer: a caller that reads nothing is let go
	longestHead  = 4 << 10
	acceptRest   = 5 * time.Millisecond // after an accept that failed for want of descriptors
)

// Door answers calls. Make it with New.
type Door struct {
	ready    func() bool
	counters func([]byte) []byte
	most     int

	mu     sync.Mutex
	wanted list.List // callers without a whole call, the oldest first
	open   int
	ln     net.Listener
	closed bool
	wg     sync.WaitGroup
	also   map[string]func() (int, []byte)
}

// New makes a door. ready tells whether this process can serve; counters appends the
// figures to what it is given. Both are called from any goroutine and must not wait. most
// is how many callers are held at a time: one more closes the oldest that has not made a
// whole call, as callers that say nothing must not keep out those that do.
func New(ready func() bool, counters func([]byte) []byte, most int) *Door {
	return &Door{ready: ready, counters: counters, most: max(1, most)}
}

// Also answers another path under /control/. Only before Serve. give must wait for nobody.
func (d *Door) Also(path string, give func() (status int, body []byte)) {
	if d.also == nil {
		d.also = map[string]func() (int, []byte){}
	}
	d.also[path] = give
}

// Serve takes calls until Close, or until the listener fails.
func (d *Door) Serve(ln net.Listener) error {
	d.mu.Lock()
	d.ln = ln
	closed := d.closed
	d.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A door that gives up at the first want of descriptors is shut for good.
			time.Sleep(acceptRest)
			continue
		}
		d.admit(nc)
	}
}

// admit gives a caller a place: that of the oldest without a whole call where all are
// taken, and none where all have one. Those are answered within writeTimeout.
func (d *Door) admit(nc net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.most {
		oldest := d.wanted.Front()
		if oldest == nil {
			nc.Close()
			return
		}
		d.wanted.Remove(oldest)
		oldest.Value.(net.Conn).Close() // its goroutine gives the place up
		d.open--
	}
	place := d.wanted.PushBack(nc)
	d.open++
	d.wg.Add(1)
	go d.serve(nc, place)
}

// whole takes a caller off the list of those without a whole call, and tells whether it
// was still on it: a place that another has taken is not given up twice.
func (d *Door) whole(place *list.Element) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.wanted.Front(); e != nil; e = e.Next() {
		if e == place {
			d.wanted.Remove(e)
			return true
		}
	}
	return false
}

func (d *Door) serve(nc net.Conn, place *list.Element) {
	defer d.wg.Done()
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(headTimeout))
	in := bufio.NewReaderSize(io.LimitReader(nc, longestHead), 512)
	r, err := http.ReadRequest(in)
	if !d.whole(place) {
		return
	}
	defer func() {
		d.mu.Lock()
		d.open--
		d.mu.Unlock()
	}()
	var ne net.Error
	if errors.As(err, &ne) || errors.Is(err, io.EOF) {
		return // it has said nothing, or gone, or was too slow: there is nobody to tell
	}
	status, allow, body := d.answer(r, err)
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	nc.Write(encode(status, allow, body))
	if half, ok := nc.(interface{ CloseWrite() error }); ok && r != nil && r.ContentLength != 0 {
		// Closing over an unread body resets the connection, and may take the answer along.
		half.CloseWrite()
		nc.SetReadDeadline(time.Now().Add(writeTimeout))
		io.CopyN(io.Discard, nc, longestHead)
	}
}

// answer decides what a call gets.
func (d *Door) answer(r *http.Request, err error) (status int, allow string, body []byte) {
	if err != nil {
		return http.StatusBadRequest, "", []byte("this is no HTTP/1.1 request\n")
	}
	var give func() (int, []byte)
	switch r.URL.Path {
	case "/control/ready":
		give = func() (int, []byte) {
			if d.ready() {
				return http.StatusOK, []byte("ready\n")
			}
			return http.StatusServiceUnavailable, []byte("not ready\n")
		}
	case "/control/counters":
		give = func() (int, []byte) { return http.StatusOK, d.counters(nil) }
	default:
		if give = d.also[r.URL.Path]; give != nil {
			break
		}
		return http.StatusNotFound, "", []byte("there are /control/ready and /control/counters\n")
	}
	if r.Method != http.MethodGet {
		return http.StatusMethodNotAllowed, http.MethodGet, []byte("GET is needed\n")
	}
	status, body = give()
	return status, "", body
}

func encode(status int, allow string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n",
		status, http.StatusText(status))
	if allow != "" {
		b.WriteString("Allow: " + allow + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

// Close shuts the door, breaks off what callers have not said, and waits for the rest.
func (d *Door) Close() {
	d.mu.Lock()
	d.closed = true
	if d.ln != nil {
		d.ln.Close()
	}
	for e := d.wanted.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}
