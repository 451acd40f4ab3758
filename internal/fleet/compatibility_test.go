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

// compatibilityStatus returns a status that has all keys when encoded.
func compatibilityStatus() *Status {
	lists := agree.Lists{Source: "etcd", Revision: 17, Count: 12, Hash: 99}
	return &Status{
		Fleet: "pier", Proxy: "n0", Boot: 6, AgreeWithin: 5 * time.Second, Versions: []uint64{1, 2}, InForceSince: compatibilityTime, LeaseExpired: true, LeaseRemaining: 2500 * time.Millisecond,
		AppliedSequence: 40, LatestSequence: 41, Leader: "n1", KeeperPhase: "votes", IsLeader: true, FileDiffers: true,
		Membership: lists, RevisionsBehind: 3, Joined: true, NameTaken: true, SentBytes: 1234,
		Members: []peers.Member{
			{Name: "n0", Address: "127.0.0.1:7946", State: "alive", Boot: 6, Started: compatibilityTime, Since: compatibilityTime},
			{Name: "n1", State: "suspect"},
			{Name: "n2", State: "gone"},
		},
		Holders: []agree.Holder{{Name: "n0", Held: 40, Left: time.Second, Lists: lists}}, Divergent: []string{"n2"},
		State: &agree.State{Seq: 41, Open: 1, Versions: []agree.Version{{Number: 1, Hash: "h", By: "n0", At: compatibilityTime, Text: "{}"}}, Floors: map[string]agree.Floor{"etcd": {Revision: 17}}},
	}
}

// The JSON of /control/fleet and of the operators' socket: with all keys, and without the optional ones.
func TestCompatibilityJSON(t *testing.T) {
	for name, v := range map[string]any{
		"status.json":       compatibilityStatus(),
		"status-empty.json": &Status{State: &agree.State{}},
		"sight.json": MembershipComparison{
			Proxies: []ProxyMembership{{Proxy: "n0", Source: "etcd", Revision: 17, Ready: 12}}, Unresponsive: []string{"n2"},
			Partial: []PartlyReadyBackend{{Name: "a1", ReadyAt: []string{"n0"}, NotReadyAt: []string{"n1"}}},
		},
		"sight-empty.json":   MembershipComparison{},
		"refusal.json":       ErrorReply{Error: "e", Advice: "a", Version: 2, By: "n0"},
		"refusal-least.json": ErrorReply{Error: "e"},
	} {
		got, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name, string(append(got, '\n')))
	}
	for name, into := range map[string]any{"status.json": new(Status), "sight.json": new(MembershipComparison), "refusal.json": new(ErrorReply)} {
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
func TestCompatibilityMetrics(t *testing.T) {
	f := &Fleet{}
	f.status.Store(compatibilityStatus())
	recorded.Check(t, "counters.txt", string(f.AppendMetrics([]byte("proxy.before:1|c\n"))))
}

// operatorRequests are sent to the operators' socket in this order.
var operatorRequests = []struct{ method, path, body string }{
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
}

// operatedFleet is a fleet whose events run on the test's goroutine, with a leader that answers at once.
type operatedFleet struct {
	*Fleet
	asked strings.Builder // requests to the leader; must not be read before over is closed
	over  chan struct{}
}

func newOperatedFleet(dir string) *operatedFleet {
	state := compatibilityStatus().State
	f := &operatedFleet{over: make(chan struct{}), Fleet: &Fleet{
		events: make(chan func(), 8), done: make(chan struct{}), requests: map[string]*leaderRequest{},
		member: agree.NewMember(agree.Config{Name: "n0"}, state),
	}}
	f.options.Proxy, f.options.Dir, f.options.AgreeWithin = "n0", dir, DefaultConfig().AgreeWithin
	f.options.Check = func(before []string, text string) error {
		if text == "bad" {
			return errors.New("no settings")
		}
		return nil
	}
	f.status.Store(compatibilityStatus())
	go f.answerRequests()
	return f
}

// answerRequests runs the fleet's events until they are closed.
func (f *operatedFleet) answerRequests() {
	defer close(f.over)
	for event := range f.events {
		event()
		for id, request := range f.requests {
			fmt.Fprintf(&f.asked, "  asks %s\n", agree.Encode(request.message))
			r := agree.Result{ID: id, Version: 2, By: "n0"}
			if p := request.message.Propose; p != nil && p.Why == "refuse it" {
				r.Refused = "another version was decided first"
			}
			f.completeRequest(r)
		}
	}
}

// awaitSocket waits until a Unix socket is served.
func awaitSocket(t *testing.T, path string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("unix", path); err == nil {
			c.Close()
			return
		}
		if time.Now().After(end) {
			t.Fatal("nothing is served at fleet.sock")
		}
	}
}

// recordOperatorRequest sends a request and returns it with its answer, as they are recorded.
func recordOperatorRequest(t *testing.T, client *http.Client, method, path, body string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://fleet"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	text := string(answer)
	switch {
	case resp.StatusCode == http.StatusConflict: // the texts of errors and advice are not recorded
		text = regexp.MustCompile(`"(error|advice)":"[^"]*"`).ReplaceAllString(text, `"$1":"WORDS"`)
	case resp.StatusCode != http.StatusOK:
		text = ""
	case path == "/fleet":
		text = "the status, as in status.json\n"
		var s Status
		if err := json.Unmarshal(answer, &s); err != nil || s.Fleet != "pier" {
			t.Errorf("%s: %v", answer, err)
		}
	}
	return fmt.Sprintf("--- %s %s %s\n%d %s\n%s", method, path, body, resp.StatusCode, resp.Header.Get("Content-Type"), text)
}

// The operators' socket: its name and mode, its paths, methods and parameters, the request to the leader that each
// causes, and the status of a refusal.
func TestCompatibilityOperators(t *testing.T) {
	dir, err := os.MkdirTemp("", "fleet") // t.TempDir may be too long for a socket's path
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	f := newOperatedFleet(dir)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- f.ServeOperators(ctx) }()
	path := filepath.Join(dir, "fleet.sock")
	awaitSocket(t, path)
	if i, err := os.Stat(path); err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("the socket's mode: %v, %v", i.Mode(), err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}}
	var got strings.Builder
	for _, r := range operatorRequests {
		got.WriteString(recordOperatorRequest(t, client, r.method, r.path, r.body))
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	close(f.events)
	<-f.over
	got.WriteString("--- asked of the leader\n" + regexp.MustCompile(`"at":"[^"]*"`).ReplaceAllString(f.asked.String(), `"at":"TIME"`))
	recorded.Check(t, "operators.txt", got.String())
}
