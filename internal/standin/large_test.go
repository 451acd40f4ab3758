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

// A large body is read as it was made, whatever the pieces; one with another byte, or one too
// few, is not.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	const size, id = 300<<10 + 7, "00000000000000aa"
	var made bytes.Buffer
	if err := WriteBody("s-1", id, size, 0, func(p []byte) error { made.Write(p); return nil }); err != nil {
		t.Fatal(err)
	}
	if made.String() != Body("s-1", id, size) {
		t.Error("in pieces it is another body than in one")
	}
	head, n, err := ReadBody(bytes.NewReader(made.Bytes()), 0)
	if maker, ok := CheckBody(id, head); err != nil || n != size || !ok || maker != "s-1" {
		t.Errorf("%d bytes of %q, %v", n, maker, err)
	}
	spoilt := bytes.Clone(made.Bytes())
	spoilt[200<<10] = 'x'
	if _, _, err := ReadBody(bytes.NewReader(spoilt), 0); err == nil {
		t.Error("a spoilt body is taken")
	}
	full := errors.New("full")
	if err := WriteBody("s-1", id, size, 0, func([]byte) error { return full }); err != full {
		t.Errorf("a write that fails: %v", err)
	}
	began := time.Now()
	ReadBody(strings.NewReader(Body("s-1", id, 64<<10)), 1<<20)
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("64 KiB at 1 MiB a second in %v", took)
	}
}

// A node gives large answers in either form, and takes a large body only if it is what its
// client made.
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
			"00000000000000b4": {strings.Repeat("x", 20<<10), 200}, // small ones are not looked at
		} {
			var body io.Reader = strings.NewReader(c.body)
			if chunked {
				body = io.MultiReader(body) // of unknown length
			}
			if resp, _ := ask("POST", "/bid/7", id, body); resp.StatusCode != c.want {
				t.Errorf("%s, chunked %v: %d, want %d", id, chunked, resp.StatusCode, c.want)
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
			t.Errorf("%q: %v", text, err)
		}
	}
}
