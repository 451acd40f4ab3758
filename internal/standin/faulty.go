package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ListFault is a fault of a watch or a call at a Faulty.
type ListFault string

// The faults. On an open watch, ListRefused and ListUnavailable end it, and ListHead is the same as ListSilent.
const (
	ListRefused     ListFault = "refused"     // the connection is reset before anything is read
	ListUnavailable ListFault = "unavailable" // 503
	ListSilent      ListFault = "silent"      // accepted and never answered
	ListHead        ListFault = "head alone"  // the response head, then nothing
	ListTrickle     ListFault = "trickle"     // one byte per second
	ListBlank       ListFault = "blank"       // heartbeats only, never a change
	ListHalf        ListFault = "half a line"
	ListReset       ListFault = "reset in a line"
)

// ListFaults lists all faults.
var ListFaults = []ListFault{ListRefused, ListUnavailable, ListSilent, ListHead, ListTrickle, ListBlank, ListHalf, ListReset}

// Faulty is a discovery service with faults that a test controls. Its methods are safe for concurrent use.
type Faulty struct {
	Addr   string
	raw    *Raw
	Indent bool // lists are sent as several lines; set before the first call

	mu      sync.Mutex
	list    List
	since   map[string]uint32 // the version at which an entry last changed
	next    []ListFault       // faults of the next calls
	at      ListFault         // fault of the watches that were open at the last Break
	breaks  int
	down    bool
	turn    time.Duration
	changed chan struct{}
	calls   []time.Time
	closed  chan struct{}
	turns   sync.Mutex // serializes calls after SerializeCalls
}

// StartFaulty starts a Faulty with an initial list.
func StartFaulty(entries ...Entry) (*Faulty, error) {
	f := &Faulty{since: map[string]uint32{}, changed: make(chan struct{}), closed: make(chan struct{})}
	f.put(entries)
	raw, err := StartRaw(f.serve)
	if err != nil {
		return nil, err
	}
	f.raw, f.Addr = raw, raw.Addr
	return f, nil
}

// Close stops the service.
func (f *Faulty) Close() {
	f.mu.Lock()
	select {
	case <-f.closed:
	default:
		close(f.closed)
	}
	f.mu.Unlock()
	f.raw.Stop()
}

func (f *Faulty) put(entries []Entry) {
	f.list.Generation++
	for _, e := range entries {
		f.since[e.InstanceID] = f.list.Generation
		known := false
		for i := range f.list.Instances {
			if f.list.Instances[i].InstanceID == e.InstanceID {
				f.list.Instances[i], known = e, true
			}
		}
		if !known {
			f.list.Instances = append(f.list.Instances, e)
		}
	}
}

// Put adds or replaces entries. Watches without a fault send the change at once.
func (f *Faulty) Put(entries ...Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(entries)
	f.notify()
}

// Break applies a fault to all open watches now, and one fault each to the next calls.
func (f *Faulty) Break(open ListFault, calls ...ListFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at, f.next = open, calls
	f.breaks++
	f.notify()
}

// Down ends all watches and refuses all calls; Down(false) ends that.
func (f *Faulty) Down(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down = on; on {
		f.at = ListRefused
		f.breaks++
	}
	f.notify()
}

// SerializeCalls serializes calls and makes each take a given time.
func (f *Faulty) SerializeCalls(each time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn = each
}

// Calls returns the arrival times of all calls.
func (f *Faulty) Calls() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.calls...)
}

func (f *Faulty) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// text returns the whole list, or the changes after a version, in wire format. The caller holds the lock.
func (f *Faulty) text(from uint32, whole bool) []byte {
	l := List{Generation: f.list.Generation, Reset: whole, Instances: []Entry{}}
	for _, e := range f.list.Instances {
		if whole || f.since[e.InstanceID] > from {
			l.Instances = append(l.Instances, e)
		}
	}
	data, err := json.Marshal(l)
	if f.Indent {
		data, err = json.MarshalIndent(l, "", "  ")
	}
	if err != nil {
		return nil
	}
	return append(data, '\n')
}

func (f *Faulty) serve(c net.Conn, in *bufio.Reader) {
	f.mu.Lock()
	var fault ListFault
	if len(f.next) > 0 {
		fault, f.next = f.next[0], f.next[1:]
	}
	f.calls = append(f.calls, time.Now())
	if f.down {
		fault = ListRefused
	}
	turn := f.turn
	f.mu.Unlock()
	if fault == ListRefused {
		reset(c)
		return
	}
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		io.Copy(io.Discard, in)
	}()
	if turn > 0 {
		f.turns.Lock()
		select {
		case <-time.After(turn):
		case <-gone:
		case <-f.closed:
		}
		f.turns.Unlock()
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 32)
	watch := err == nil
	f.mu.Lock()
	text, breaks := f.text(uint32(from), !watch || from == 0), f.breaks
	told := f.list.Generation
	f.mu.Unlock()
	switch fault {
	case ListUnavailable:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	case ListSilent:
		f.wait(gone)
		return
	case ListTrickle:
		f.trickle(c, head+chunk(text), gone)
		return
	}
	io.WriteString(c, head)
	if fault == "" {
		io.WriteString(c, chunk(text))
		if !watch {
			io.WriteString(c, "0\r\n\r\n")
			return
		}
	}
	f.watch(c, fault, told, breaks, gone)
}

// watch serves the rest of an open watch, or of a call whose fault keeps it open like one.
func (f *Faulty) watch(c net.Conn, fault ListFault, told uint32, breaks int, gone chan struct{}) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		f.mu.Lock()
		if f.breaks > breaks && fault == "" {
			fault = f.at
		}
		text, version, changed := f.text(told, false), f.list.Generation, f.changed
		f.mu.Unlock()
		switch fault {
		case "":
			if version > told {
				io.WriteString(c, chunk(text))
				told = version
			}
		case ListRefused, ListUnavailable:
			return
		case ListSilent, ListHead:
			f.wait(gone)
			return
		case ListTrickle:
			f.trickle(c, chunk(text), gone)
			return
		case ListHalf:
			io.WriteString(c, chunk(text[:len(text)/2]))
			f.wait(gone)
			return
		case ListReset:
			io.WriteString(c, chunk(text[:len(text)/2]))
			reset(c)
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			io.WriteString(c, chunk([]byte("\n")))
		case <-gone:
			return
		case <-f.closed:
			return
		}
	}
}

func (f *Faulty) wait(gone chan struct{}) {
	select {
	case <-gone:
	case <-f.closed:
	}
}

func (f *Faulty) trickle(c net.Conn, text string, gone chan struct{}) {
	for i := range len(text) {
		io.WriteString(c, text[i:i+1])
		select {
		case <-time.After(time.Second):
		case <-gone:
			return
		case <-f.closed:
			return
		}
	}
}

func chunk(text []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%x\r\n%s\r\n", len(text), text)
	return b.String()
}
