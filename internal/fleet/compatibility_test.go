package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
	"marlreel/internal/testing/recorded"
)

var compatibilityTime = time.Date(2026, 11, 30, 8, 15, 0, 250_000_000, time.UTC)

// compatibilityStatus has all keys.
func compatibilityStatus() *Status {
	lists := agree.Lists{Source: "etcd", Revision: 17, Count: 12, Hash: 99}
	return &Status{
		Fleet: "pier", Proxy: "n0", Boot: 6, Within: 5 * time.Second, Versions: []uint64{1, 2}, Since: compatibilityTime, Strict: true, LeaseFor: 2500 * time.Millisecond,
		Held: 40, Heard: 41, Leader: "n1", Keeper: "votes", Leads: true, Differs: true, List: lists, Behind: 3, Joined: true, Taken: true, Sent: 1234,
		Members: []peers.Member{
			{Name: "n0", Address: "127.0.0.1:7946", State: "alive", Boot: 6, Started: compatibilityTime, Since: compatibilityTime},
			{Name: "n1", State: "suspect"},
			{Name: "n2", State: "gone"},
		},
		Holders: []agree.Holder{{Name: "n0", Held: 40, Left: time.Second, Lists: lists}}, Apart: []string{"n2"},
		View: &agree.State{Seq: 41, Open: 1, Versions: []agree.Version{{Number: 1, Hash: "h", By: "n0", At: compatibilityTime, Text: "{}"}}, Floors: map[string]agree.Floor{"etcd": {Revision: 17}}},
	}
}

// The JSON of /control/fleet and of the operators' socket: with all keys, and with what may be left out left out.
func TestCompatibilityJSON(t *testing.T) {
	for name, v := range map[string]any{
		"status.json":       compatibilityStatus(),
		"status-empty.json": &Status{View: &agree.State{}},
		"sight.json": Sight{
			Proxies: []Seen{{Proxy: "n0", Source: "etcd", Revision: 17, Ready: 12}}, Silent: []string{"n2"},
			Partly: []Partial{{Name: "a1", SeenBy: []string{"n0"}, Not: []string{"n1"}}},
		},
		"sight-empty.json":   Sight{},
		"refusal.json":       Reply{Error: "e", Advice: "a", Version: 2, By: "n0"},
		"refusal-least.json": Reply{Error: "e"},
	} {
		got, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name, string(append(got, '\n')))
	}
	for name, into := range map[string]any{"status.json": new(Status), "sight.json": new(Sight), "refusal.json": new(Reply)} {
		recorded, err := os.ReadFile(filepath.Join("testdata", "compatibility", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(recorded, into); err != nil {
			t.Fatal(err)
		}
		if again, err := json.MarshalIndent(into, "", " "); err != nil || !bytes.Equal(append(again, '\n'), recorded) {
			t.Errorf("%s: read and written again it is %s (%v)", name, again, err)
		}
	}
}

// The fleet's lines of /control/counters.
func TestCompatibilityFigures(t *testing.T) {
	f := &Fleet{}
	f.status.Store(compatibilityStatus())
	recorded.Check(t, "counters.txt", string(f.Figures([]byte("proxy.before:1|c\n"))))
}

// The operators' socket: its name and mode, its paths, methods and parameters, what each asks the keeper that leads,
// and the status of a refusal.
func TestCompatibilityOperators(t *testing.T) {
	dir, err := os.MkdirTemp("", "fleet") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	state := compatibilityStatus().View
	f := &Fleet{events: make(chan func(), 8), done: make(chan struct{}), asks: map[string]*ask{}, member: agree.NewMember(agree.Config{Name: "n0"}, state)}
	f.o.Proxy, f.o.Dir, f.o.AgreeWithin = "n0", dir, DefaultConfig().AgreeWithin
	f.o.Check = func(before []string, text string) error {
		if text == "bad" {
			return errors.New("no settings")
		}
		return nil
	}
	f.status.Store(compatibilityStatus())
	var asked strings.Builder
	over := make(chan struct{})
	go func() { // the fleet's goroutine, with a leader who answers at once
		defer close(over)
		for event := range f.events {
			event()
			for id, a := range f.asks {
				fmt.Fprintf(&asked, "  asks %s\n", agree.Encode(a.msg))
				r := agree.Result{ID: id, Version: 2, By: "n0"}
				if p := a.msg.Propose; p != nil && p.Why == "refuse it" {
					r.Refused = "another version was decided first"
				}
				f.answered(r)
			}
		}
	}()
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- f.Serve(ctx) }()
	path := filepath.Join(dir, "fleet.sock")
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("unix", path); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("nothing is served at fleet.sock")
		}
	}
	if i, err := os.Stat(path); err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("the socket's mode: %v, %v", i.Mode(), err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}}
	var got strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/fleet", ""},
		{"GET", "/fleet/holders", ""},
		{"GET", "/fleet/newest", ""},
		{"POST", "/fleet/check", "{}"},
		{"POST", "/fleet/check", "bad"},
		{"POST", "/fleet/propose?by=ana&why=quicker&base=1", `{"Tick":6}`},
		{"POST", "/fleet/propose", `{"Tick":7}`},
		{"POST", "/fleet/propose?why=refuse+it&base=1", `{"Tick":7}`},
		{"POST", "/fleet/propose?base=one", "{}"},
		{"POST", "/fleet/rollback?version=1&by=ana", ""},
		{"POST", "/fleet/rollback?version=9", ""},
		{"POST", "/fleet/rollback", ""},
		{"POST", "/fleet/keepers?name=n3&add=true", ""},
		{"POST", "/fleet/keepers?name=n3&add=false", ""},
		{"POST", "/fleet/floor?source=etcd", ""},
		{"POST", "/fleet", ""},
		{"POST", "/fleet/lists", ""},
		{"GET", "/fleet/propose", ""},
		{"GET", "/other", ""},
	} {
		r, err := http.NewRequestWithContext(t.Context(), c.method, "http://fleet"+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		text := string(body)
		switch {
		case resp.StatusCode == http.StatusConflict: // the words for people may change
			text = regexp.MustCompile(`"(error|advice)":"[^"]*"`).ReplaceAllString(text, `"$1":"WORDS"`)
		case resp.StatusCode != http.StatusOK:
			text = ""
		case c.path == "/fleet":
			text = "the status, as in status.json\n"
			var s Status
			if err := json.Unmarshal(body, &s); err != nil || s.Fleet != "pier" {
				t.Errorf("%s: %v", body, err)
			}
		}
		fmt.Fprintf(&got, "--- %s %s %s\n%d %s\n%s", c.method, c.path, c.body, resp.StatusCode, resp.Header.Get("Content-Type"), text)
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	close(f.events)
	<-over
	got.WriteString("--- asked of the leader\n" + regexp.MustCompile(`"at":"[^"]*"`).ReplaceAllString(asked.String(), `"at":"TIME"`))
	recorded.Check(t, "operators.txt", got.String())
}
