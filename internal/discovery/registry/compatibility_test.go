package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"marlreel/internal/discovery/membership"
	"marlreel/internal/testing/recorded"
)

// recordedRegistry records calls and answers them in order from a script.
type recordedRegistry struct {
	t       *testing.T
	mu      sync.Mutex
	calls   strings.Builder
	answers []string // "STATUS BODY", or "INDEX STATUS BODY" for Consul
}

func (r *recordedRegistry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		r.t.Errorf("the body of %s %s: %v", q.Method, q.RequestURI, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.calls, "%s %s\n", q.Method, q.RequestURI)
	for _, name := range []string{"Authorization", "X-Consul-Token", "Content-Type"} {
		if v, there := q.Header[name]; there {
			fmt.Fprintf(&r.calls, "  %s: %s\n", name, v[0])
		}
	}
	if len(body) > 0 {
		fmt.Fprintf(&r.calls, "  %s\n", body)
	}
	if len(r.answers) == 0 {
		w.WriteHeader(http.StatusTeapot)
		return
	}
	var index, status int
	text := r.answers[0]
	r.answers = r.answers[1:]
	if strings.HasPrefix(text, "index ") {
		if _, err := fmt.Sscanf(text, "index %d", &index); err != nil {
			r.t.Errorf("%q has no index: %v", text, err)
		}
		_, text, _ = strings.Cut(strings.TrimPrefix(text, "index "), " ")
		w.Header().Set("X-Consul-Index", fmt.Sprint(index))
	}
	if _, err := fmt.Sscan(text, &status); err != nil {
		r.t.Errorf("%q has no status: %v", text, err)
	}
	_, text, _ = strings.Cut(text, " ")
	w.WriteHeader(status)
	if _, err := io.WriteString(w, text); err != nil {
		r.t.Logf("the client disconnected before the end of its answer: %v", err) // allowed for a watch
	}
}

// recorder records what a client reports.
type recorder struct{ strings.Builder }

func (w *recorder) item(i membership.Item) {
	fmt.Fprintf(w, "    %s at %d: address %s, zone %s, kind %s, cell %d, draining %v, weight %v, started %d, can be read %v\n", i.Name, i.ModRevision,
		i.Entry.Addr, i.Entry.Zone, i.Entry.Kind, i.Entry.Cell, i.Entry.Draining, i.Entry.Weight, i.Entry.Started, i.Malformed == "")
}

func (w *recorder) OnSnapshot(l membership.Snapshot) {
	fmt.Fprintf(w, "  list: history %d, revision %d, stale %v\n", l.History, l.Revision, l.Stale)
	for _, i := range l.Items {
		w.item(i)
	}
}

func (w *recorder) OnUpdate(c membership.Update) {
	fmt.Fprintf(w, "  change at %d: deleted %q\n", c.Revision, c.Deletes)
	for _, i := range c.Puts {
		w.item(i)
	}
}

func (w *recorder) OnProgress(revision int64) { fmt.Fprintf(w, "  progress %d\n", revision) }
func (w *recorder) OnCompacted()              { fmt.Fprintln(w, "  compacted") }
func (w *recorder) OnLost(reason string)      { fmt.Fprintln(w, "  lost:", reason) }

// exchangeWith makes all calls of a client against scripted answers, and returns the requests and what was parsed of the
// answers.
func exchangeWith(t *testing.T, kind, user string, answers []string, watches int) string {
	t.Helper()
	r := &recordedRegistry{t: t, answers: answers}
	server := httptest.NewServer(r)
	defer server.Close()
	w := recordedClient(t, kind, user, server.URL)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got recorder
	list, err := w.ReadSnapshot(ctx)
	got.call(t, r, "list", err)
	got.OnSnapshot(list)
	for range watches {
		got.call(t, r, "watch", w.Watch(ctx, list, &got))
	}
	value := []byte(`{"v":1,"address":"127.0.0.1:9001","zone":"koper","state":"ready"}`)
	got.call(t, r, "put if new", w.Put(ctx, "n1", value, 0, ""))
	got.call(t, r, "put over revision 15", w.Put(ctx, "n1", value, 15, ""))
	got.call(t, r, "put over anything under a lease", w.Put(ctx, "n1", value, AnyRevision, "77"))
	got.call(t, r, "delete at 16", w.Delete(ctx, "n1", 16))
	got.call(t, r, "delete whatever", w.Delete(ctx, "n1", AnyRevision))
	lease, err := w.Grant(ctx, 1500*time.Millisecond)
	got.call(t, r, "grant", err)
	fmt.Fprintf(&got, "  lease %s\n", lease)
	got.call(t, r, "renew", w.Renew(ctx, lease))
	got.call(t, r, "renew a lease that has ended", w.Renew(ctx, lease))
	got.call(t, r, "revoke", w.Revoke(ctx, lease))
	if len(r.answers) > 0 {
		t.Errorf("%d scripted answers were not used", len(r.answers))
	}
	return got.String()
}

// recordedClient returns a client that uses a password.
func recordedClient(t *testing.T, kind, user, endpoint string) Writer {
	t.Helper()
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("s3cret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.Kind, c.Endpoints, c.User, c.PasswordFile = kind, []string{endpoint}, user, secret
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	w, err := NewWriter(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.NextEndpoint)
	return w
}

// call records the requests of a call and its error. It records the kind of error, as the texts may change.
func (w *recorder) call(t *testing.T, r *recordedRegistry, what string, err error) {
	t.Helper()
	r.mu.Lock()
	fmt.Fprintf(w, "--- %s\n%s", what, r.calls.String())
	r.calls.Reset()
	r.mu.Unlock()
	switch {
	case errors.Is(err, ErrConflict):
		fmt.Fprintln(w, "  written by another")
	case errors.Is(err, ErrLeaseEnded):
		fmt.Fprintln(w, "  the lease has ended")
	case errors.Is(err, ErrCompacted):
		fmt.Fprintln(w, "  compacted")
	case errors.Is(err, ErrHistoryReplaced):
		fmt.Fprintln(w, "  another history")
	case err != nil:
		t.Errorf("%s: %v", what, err)
	}
}

// The calls to etcd's JSON gateway, and how its answers are parsed.
func TestCompatibilityEtcd(t *testing.T) {
	const (
		n1     = `{"key":"bWFybHJlZWwvbm9kZXMvbjE=","value":"eyJ2IjoxLCJhZGRyZXNzIjoiMTI3LjAuMC4xOjkwMDEiLCJ6b25lIjoia29wZXIiLCJzdGF0ZSI6InJlYWR5In0=","mod_revision":"15"}`
		n2     = `{"key":"bWFybHJlZWwvbm9kZXMvbjI=","value":"e30=","mod_revision":"16"}`
		header = `"header":{"cluster_id":"14841639068965178418","revision":"17"}`
	)
	recorded.Check(t, "etcd.txt", exchangeWith(t, "etcd", "proxy", []string{
		`200 {"token":"t-1"}`,
		`200 {` + header + `,"kvs":[` + n1 + `],"more":true,"count":"2"}`,
		`200 {` + header + `,"kvs":[` + n2 + `],"count":"2"}`,
		`200 {"result":{` + header + `,"created":true}}` + "\n" +
			`{"result":{` + header + `,"events":[{"kv":` + n1 + `},{"type":"DELETE","kv":` + n2 + `}]}}` + "\n" +
			`{"result":{"header":{"cluster_id":"14841639068965178418","revision":"18"}}}` + "\n" +
			`{"result":{` + header + `,"canceled":true,"compact_revision":"19"}}` + "\n",
		`200 {"error":{"code":11,"message":"etcdserver: mvcc: required revision has been compacted"}}`,
		`200 {` + header + `,"succeeded":true}`,
		`200 {` + header + `}`,
		`404 {"code":5,"message":"etcdserver: requested lease not found"}`,
		`200 {` + header + `,"succeeded":true}`,
		`200 {` + header + `,"succeeded":true}`,
		`200 {` + header + `,"ID":"7587862094","TTL":"2"}`,
		`200 {"result":{` + header + `,"ID":"7587862094","TTL":"2"}}`,
		`200 {"result":{` + header + `,"ID":"7587862094"}}`,
		`200 {` + header + `}`,
	}, 2))
}

// The calls to Consul, and how its answers are parsed.
func TestCompatibilityConsul(t *testing.T) {
	const (
		folder = `{"Key":"marlreel/nodes/","Value":null,"ModifyIndex":2}`
		n1     = `{"Key":"marlreel/nodes/n1","Value":"eyJ2IjoxLCJhZGRyZXNzIjoiMTI3LjAuMC4xOjkwMDEiLCJ6b25lIjoia29wZXIiLCJzdGF0ZSI6InJlYWR5In0=","ModifyIndex":15}`
	)
	recorded.Check(t, "consul.txt", exchangeWith(t, "consul", "", []string{
		`index 17 200 [` + folder + `,` + n1 + `]`,
		`index 18 200 [` + n1 + `]`,
		`index 18 404 `,
		`index 3 200 []`,
		`200 true`,
		`200 true`,
		`200 true`,
		`200 false`,
		`200 true`,
		`200 {"ID":"adf4238a-882b-9ddc-4a9d-5b6758e4159e"}`,
		`200 [{"ID":"adf4238a-882b-9ddc-4a9d-5b6758e4159e"}]`,
		`404 no session`,
		`200 true`,
	}, 1))
}

// A node's value in the registry, with all keys and with only the required ones, and how it is parsed.
func TestCompatibilityNodeValue(t *testing.T) {
	var got recorder
	for _, v := range []Value{
		{Address: "127.0.0.1:9001", Zone: "koper", State: "ready"},
		{Address: "127.0.0.1:9002", Zone: "maribor", Kind: "big-4c", Cell: 3, State: "draining", Weight: 1.5, Started: 1764490500250},
	} {
		text, err := v.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if !json.Valid(text) {
			t.Errorf("%s is not valid JSON", text)
		}
		fmt.Fprintf(&got, "%s\n", text)
		got.item(ParseItem("marlreel/nodes/", "marlreel/nodes/n1", text, 5))
	}
	got.item(ParseItem("marlreel/nodes/", "marlreel/nodes/"+membership.ConfirmKey, []byte("17"), 6))
	recorded.Check(t, "node-values.txt", got.String())
}
