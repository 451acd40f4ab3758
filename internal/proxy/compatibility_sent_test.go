package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/fleet"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
	"marlreel/internal/stricttoml"
	"marlreel/internal/testing/recorded"
	"marlreel/internal/testutil"
)

// getControl requests a path from a running proxy's control address.
func getControl(t *testing.T, p *running, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.control+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	status, body, _ := do(t, r)
	return status, body
}

// keysOf lists the keys of a JSON object by their paths.
func keysOf(t *testing.T, text string) string {
	t.Helper()
	var tree any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	found := map[string]bool{}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			if len(v) == 0 {
				found[path+" {}"] = true
			}
			for key, x := range v {
				walk(path+"."+key, x)
			}
		case []any:
			for _, x := range v {
				walk(path+"[]", x)
			}
		default:
			found[path] = true
		}
	}
	walk("", tree)
	var keys []string
	for key := range found {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return strings.Join(keys, "\n") + "\n"
}

// The control paths with and without a registry and a fleet, the names of the counters in their order, and the keys of
// the JSON answers.
func TestCompatibilityDoor(t *testing.T) {
	t.Parallel()
	figures := regexp.MustCompile(`:\d+\|`)
	var got strings.Builder
	ask := func(p *running, paths ...string) {
		t.Helper()
		for _, path := range paths {
			status, body := getControl(t, p, path)
			switch {
			case status == http.StatusOK && strings.HasPrefix(body, "{"):
				body = keysOf(t, body)
			case path == "/control/counters":
				body = figures.ReplaceAllString(body, ":N|")
			}
			fmt.Fprintf(&got, "--- %s\n%d\n%s", path, status, body)
		}
	}
	backend, _ := testutil.Counting(t, "served")
	cfg := testConfig(t, closedAddr(t), ready("s-1", backend))
	cfg.ControlAddress = "127.0.0.1:0"
	got.WriteString("=== neither a registry nor a fleet\n")
	ask(start(t, cfg), "/control/ready", "/control/counters", "/control/discovery", "/control/fleet")

	r, own := kvStore(t, "etcd")
	r.Txn(registryNode(t, "s-1", backend, "ready"))
	got.WriteString("=== with a registry\n")
	p := startWith(t, cfg, own)
	eventually(t, "the registry's list", func() bool {
		_, body := getControl(t, p, "/control/discovery")
		return strings.Contains(body, `"source": "registry"`)
	})
	ask(p, "/control/discovery")

	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte("0123456789-key-0123456789-key-01"), 0o600); err != nil {
		t.Fatal(err)
	}
	own = config.DefaultOperator()
	own.Fleet = fleet.Config{
		Name: "pier", Listen: closedAddr(t), KeyFile: key, Keepers: []string{"n1", "n2", "n3"}, AgreeWithin: stricttoml.Duration(5 * time.Second),
		Peers: []peers.Peer{{Name: "n0", Address: closedAddr(t)}, {Name: "n1", Address: closedAddr(t)}, {Name: "n2", Address: closedAddr(t)}, {Name: "n3", Address: closedAddr(t)}},
	}
	got.WriteString("=== with a fleet\n")
	p = startWith(t, cfg, own)
	eventually(t, "the fleet's port", func() bool {
		_, body := getControl(t, p, "/control/fleet")
		return strings.Contains(body, `"joined": true`) && strings.Contains(body, `"state": "alive"`)
	})
	ask(p, "/control/fleet", "/control/counters", "/control/discovery")
	recorded.Check(t, "door.txt", got.String())
}

// The lines of [fleet] trace.
func TestCompatibilityTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	trace, err := openTrace(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	trace.write(traceSettings{At: 1, Seq: 41, Versions: []uint64{1, 2}})
	trace.write(traceEnds{At: 2, Ends: []agree.End{{Source: "etcd", Name: "a1", Revision: 17, Gone: true}}})
	trace.write(traceAttempt{At: 3, ID: "00000000000000aa", Class: "bid", Attempt: 1, Node: "a1", Seq: 41, Strict: true})
	if err := trace.file.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "trace.txt", string(got))
}

// recordingBackend answers every request with answer, and sends each POST with its body of four bytes to seen.
func recordingBackend(t *testing.T, seen chan<- string, answer string) string {
	t.Helper()
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		for {
			var message strings.Builder
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				message.WriteString(line)
				if line == "\r\n" {
					break
				}
			}
			if strings.HasPrefix(message.String(), "POST ") {
				body := make([]byte, 4)
				if _, err := io.ReadFull(in, body); err != nil {
					return
				}
				message.Write(body)
				seen <- message.String()
			}
			io.WriteString(c, answer)
		}
	})
}

// A request through a running proxy: what the backend receives and the client reads, line by line.
func TestCompatibilityThrough(t *testing.T) {
	seen := make(chan string, 4)
	addr := recordingBackend(t, seen, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Backend-Load: {}\r\nX-Kept: yes\r\nContent-Length: 2\r\n\r\n{}")
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", addr)))
	c := testutil.Dial(t, p.addr)
	fmt.Fprint(c, "POST /pickup/lot-7 HTTP/1.1\r\nHost: auction\r\nX-Correlation-Id: 00000000000000aa\r\nX-Account: obala\r\nX-Time-Left: 5000m\r\nIdempotency-Key: k-1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	varying := regexp.MustCompile(`(?m)^(X-Time-Left: )\d+u|^(Date: ).*?\r$`)
	sorted := func(message string) string {
		head, body, _ := strings.Cut(varying.ReplaceAllString(message, "${1}${2}VARIES"), "\r\n\r\n")
		lines := strings.Split(strings.ReplaceAll(head, "\r", ""), "\n")
		slices.Sort(lines[1:])
		return strings.Join(lines, "\n") + "\n\n" + body + "\n"
	}
	recorded.Check(t, "through.txt", "--- to the backend\n"+sorted(receive(t, seen, "the request"))+"--- to the client\n"+sorted(string(answer)))
}
