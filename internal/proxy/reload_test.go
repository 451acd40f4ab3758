package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

// withDiscoveryAddress returns cfg with another discovery address.
func withDiscoveryAddress(cfg *config.Platform, addr string) *config.Platform {
	next := *cfg
	next.DiscoveryAddress = addr
	return &next
}

// A new discovery address takes over with its first list. Until then the old one is followed, and
// afterwards it isn't. A backend that both lists contain keeps its connection.
func TestReloadMovesTheWatchWithoutAGap(t *testing.T) {
	t.Parallel()
	for name, onRequest := range map[string]bool{"pushed": false, "asked for": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newRegistry(t), newRegistry(t)
			kept, conns := testutil.Counting(t, "kept")
			cfg := testConfig(t, a.Addr, ready("s-1", kept))
			cfg.Settings.PollMembership = onRequest
			cfg.Settings.Obligations.MaxMembershipAge = time.Minute
			p := start(t, cfg)
			old := a.next(t)
			servedBy(t, p, "kept")
			p.reloads <- Reload{Config: withDiscoveryAddress(cfg, b.Addr)}
			next := b.next(t)
			if next.From != "0" {
				t.Errorf("the new address is asked for what came after %s, want the whole list", next.From)
			}
			other := named(t, "other")
			old.Lines <- line(t, 8, true, ready("s-2", other))
			servedBy(t, p, "other") // the old address is still followed
			old.Lines <- line(t, 9, true, ready("s-1", kept))
			servedBy(t, p, "kept")
			before := conns.Load()
			next.Lines <- line(t, 3, true, ready("s-1", kept))
			receive(t, old.Ended, "the end of the old watch")
			for range 5 {
				if status, text, _ := do(t, newRequest(t, p, "bid", "x")); status != 200 || text != "kept" {
					t.Fatalf("after the change: %d %q", status, text)
				}
			}
			if n := conns.Load() - before; n != 0 {
				t.Errorf("%d new connections to a backend that both lists name", n)
			}
			third := named(t, "third")
			next.Lines <- line(t, 4, true, ready("s-3", third))
			servedBy(t, p, "third")
		})
	}
}

// Reloads may follow each other faster than discovery addresses answer; the last one wins.
func TestQuickReloadsEndAtTheLastAddress(t *testing.T) {
	t.Parallel()
	a, b, c := newRegistry(t), newRegistry(t), newRegistry(t)
	cfg := testConfig(t, a.Addr, ready("s-1", named(t, "a")))
	p := start(t, cfg)
	a.next(t)
	for _, addr := range []string{closedAddr(t), b.Addr, a.Addr, b.Addr, c.Addr, c.Addr} {
		p.reloads <- Reload{Config: withDiscoveryAddress(cfg, addr)}
	}
	c.next(t).Lines <- line(t, 2, true, ready("s-2", named(t, "c")))
	servedBy(t, p, "c")
}

// If a new address refuses connections, the old one is still followed.
func TestReloadToADeadAddressKeepsTheOld(t *testing.T) {
	t.Parallel()
	a := newRegistry(t)
	cfg := testConfig(t, a.Addr, ready("s-1", named(t, "a")))
	p := start(t, cfg)
	w := a.next(t)
	p.reloads <- Reload{Config: withDiscoveryAddress(cfg, closedAddr(t))}
	eventually(t, "a call to the dead address", func() bool { return strings.Contains(p.log.String(), "refused") })
	w.Lines <- line(t, 2, true, ready("s-2", named(t, "b")))
	servedBy(t, p, "b")
}

// After a reload the file's discovery address overrides the environment's, which applies only at the start.
// An invalid file is reported as an error of one line.
func TestReloads(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(addr string) string {
		return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + addr + `","seed":"8c1f","settings":` + testSettings + `}`
	}
	getenv := func(name string) string {
		return map[string]string{config.EnvDiscovery: "127.0.0.1:9", "NODE_LISTEN": "127.0.0.1:7"}[name]
	}
	signals := make(chan os.Signal, 1)
	found := Reloads(t.Context(), signals, path, "", getenv)
	for _, bad := range []string{"{", good("nowhere"), ""} {
		if put(bad); bad == "" {
			os.Remove(path)
		}
		signals <- syscall.SIGHUP
		if got := receive(t, found, "the bad file"); got.Err == nil || strings.Contains(got.Err.Error(), "\n") {
			t.Errorf("%q: %v", bad, got.Err)
		}
	}
	put(good("127.0.0.1:5"))
	signals <- syscall.SIGHUP
	got := receive(t, found, "the new configuration")
	if got.Err != nil || got.Config.DiscoveryAddress != "127.0.0.1:5" || got.Config.ListenAddress != "127.0.0.1:7" {
		t.Errorf("%+v", got)
	}
}
