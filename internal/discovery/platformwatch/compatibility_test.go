package platformwatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testing/recorded"
)

var compatibilityNames = Names{Zones: map[string]int{"koper": 0, "maribor": 1}, Kinds: map[string]int{"mid-2c": 0, "big-4c": 1}}

// readRecorded reads the recorded lines of a watch in the same way as a proxy.
func readRecorded(t *testing.T) (lists []*List) {
	t.Helper()
	var names atomic.Pointer[Names]
	names.Store(&compatibilityNames)
	d := &follower{names: &names}
	in := listReader{in: bufio.NewReader(bytes.NewReader(recorded.Read(t, "watch.txt")))}
	for {
		text, err := in.next()
		if err != nil {
			return lists
		}
		if len(text) == 0 {
			continue
		}
		l, err := d.parseList(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		lists = append(lists, l)
	}
}

// A pushed list and its changes are encoded as in the recorded text, and decoding that text gives the value of each
// key.
func TestCompatibilityPushedLists(t *testing.T) {
	var sent bytes.Buffer
	for _, l := range []List{
		{Generation: 41, Reset: true, Instances: []Instance{
			{InstanceID: "a1", HostPort: "127.0.0.1:8001", Zone: "maribor", MachineType: "big-4c", Cell: 3, Lifecycle: "Ready", Weight: 1.5, StartedAtMs: 1764490500250},
			{InstanceID: "a2", HostPort: "127.0.0.1:8002", Zone: "koper", MachineType: "of another site", Lifecycle: "Terminating"},
		}},
		{Generation: 42, Instances: []Instance{{InstanceID: "a2", Lifecycle: "Gone"}}},
	} {
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		sent.Write(append(text, '\n', '\n'))
	}
	recorded.Check(t, "watch.txt", string(sent.String()))
	lists := readRecorded(t)
	if len(lists) != 2 {
		t.Fatalf("%d lists", len(lists))
	}
	if l := lists[0]; l.Generation != 41 || !l.Reset || lists[1].Generation != 42 || lists[1].Reset {
		t.Errorf("%+v, %+v", lists[0], lists[1])
	}
	for i, want := range []engine.Entry{
		{Name: "a1", Addr: "127.0.0.1:8001", Zone: 1, Kind: 1, Cell: 3, State: balancer.Ready, Weight: 1.5, Started: time.UnixMilli(1764490500250)},
		{Name: "a2", Addr: "127.0.0.1:8002", Zone: 0, Kind: -1, State: balancer.Draining},
		{Name: "a2", Zone: -1, Kind: -1, State: balancer.Gone},
	} {
		got := append(append([]engine.Entry(nil), lists[0].entries...), lists[1].entries...)[i]
		if got != want {
			t.Errorf("entry %d: %+v, want %+v", i, got, want)
		}
	}
}

// The paths and queries of the calls to the platform's discovery, for a watch from a generation and for the full list.
func TestCompatibilityCalls(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, fmt.Sprintf("%s %s\n", r.Method, r.RequestURI))
		mu.Unlock()
		fmt.Fprintln(w, `{"generation":41,"reset":false,"instances":[]}`)
	}))
	defer server.Close()
	var names atomic.Pointer[Names]
	names.Store(&compatibilityNames)
	d := &follower{names: &names, addr: strings.TrimPrefix(server.URL, "http://"), client: newClient()}
	events := make(chan callEvent, 8)
	d.watchOnce(t.Context(), 1, 41, events)
	l, err := d.fetchOnce(t.Context(), time.Minute, nil)
	if err != nil || l.Generation != 41 || !l.Reset {
		t.Errorf("the full list: %+v, %v", l, err)
	}
	if l, err := d.fetchOnce(context.Background(), time.Minute, func() uint32 { return 41 }); l != nil || err != nil {
		t.Errorf("a list of the known generation: %+v, %v", l, err)
	}
	recorded.Check(t, "calls.txt", strings.Join(calls, ""))
}
