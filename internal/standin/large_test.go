package standin

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// A large body written in pieces is read back unchanged, a body with a wrong byte is rejected,
// write errors are returned, and the read rate is limited.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	const size, id = 300<<10 + 7, "00000000000000aa"
	var made bytes.Buffer
	if err := WriteBody("s-1", id, size, 0, func(p []byte) error { made.Write(p); return nil }); err != nil {
		t.Fatal(err)
	}
	if made.String() != Body("s-1", id, size) {
		t.Error("WriteBody and Body make different bodies")
	}
	head, n, err := ReadBody(bytes.NewReader(made.Bytes()), 0)
	if maker, ok := CheckBody(id, head); err != nil || n != size || !ok || maker != "s-1" {
		t.Errorf("read %d bytes, made by %q, error %v", n, maker, err)
	}
	spoilt := bytes.Clone(made.Bytes())
	spoilt[200<<10] = 'x'
	if _, _, err := ReadBody(bytes.NewReader(spoilt), 0); err == nil {
		t.Error("ReadBody accepts a corrupted body")
	}
	full := errors.New("full")
	if err := WriteBody("s-1", id, size, 0, func([]byte) error { return full }); err != full {
		t.Errorf("WriteBody with a failing write: %v", err)
	}
	began := time.Now()
	ReadBody(strings.NewReader(Body("s-1", id, 64<<10)), 1<<20)
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("reading 64 KiB at 1 MiB/s took %v, want at least 50ms", took)
	}
}

// A node sends large answers chunked or with a length, and accepts a large request body only if
// its client made it.
func TestNodesWithLargeBodies(t *testing.T) {
	t.Parallel()
	for _, chunked := range []bool{false, true} {
		cfg := testNodeConfig()
		cfg.Size = func(_, class string) int { return map[string]int{"picture": 500 << 10}[class] }
		cfg.Gives = func(string) (int, bool) { return 0, chunked }
		n := startNode(t, cfg)
		ask := func(method, path, id string, body io.Reader) (*http.Response, string) {
			r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.Addr()+path, body)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("X-Correlation-Id", id)
			r.Header.Set("X-Time-Left", "9000m")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			return resp, string(text)
		}
		resp, text := ask("GET", "/picture/7", "00000000000000aa", nil)
		if _, ok := CheckBody("00000000000000aa", text); !ok || len(text) != 500<<10 || (resp.ContentLength < 0) != chunked {
			t.Errorf("chunked %v: %d bytes, length %d", chunked, len(text), resp.ContentLength)
		}
		const size = 200 << 10
		for id, c := range map[string]struct {
			body string
			want int
		}{
			"00000000000000b1": {Body(ClientBody(size), "00000000000000b1", size), 200},
			"00000000000000b2": {Body(ClientBody(size), "00000000000000b2", size-9), 400},
			"00000000000000b3": {Body(ClientBody(size), "00000000000000b1", size), 400},
			"00000000000000b4": {strings.Repeat("x", 20<<10), 200}, // small bodies are not checked
		} {
			var body io.Reader = strings.NewReader(c.body)
			if chunked {
				body = io.MultiReader(body) // unknown length, so net/http sends it chunked
			}
			if resp, _ := ask("POST", "/bid/7", id, body); resp.StatusCode != c.want {
				t.Errorf("request %s, chunked %v: status %d, want %d", id, chunked, resp.StatusCode, c.want)
			}
		}
	}
}

func TestPlainCheck(t *testing.T) {
	t.Parallel()
	for text, good := range map[string]bool{
		"": false,
		`{"settings":{"Services":[{"Effect":"fragile","GiveUp":5}],"Caps":{"MaxAttempts":1}}}`: true,
		`{"settings":{"Services":[{"GiveUp":5}],"Caps":{"MaxAttempts":1}}}`:                    false,
		`{"settings":{"Services":[{"Effect":"fragile","GiveUp":5}],"Caps":{"MaxAttempts":0}}}`: false,
	} {
		path := t.TempDir() + "/config.json"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := plainCheck(path); (err == nil) != good {
			t.Errorf("plainCheck of %q: %v", text, err)
		}
	}
}
