package registry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"maps"
	"math/big"
	mrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/discovery/membership"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const prefix = "marlreel/nodes/"

// follower is a model that is kept up to date by a client, as in a proxy.
type follower struct {
	t         *testing.T
	mu        sync.Mutex
	model     *membership.Model
	list      map[string]membership.Entry
	lists     int
	lines     []string
	resync    chan struct{}
	startedAt time.Time
	onEvent   func() // called after each event, under the lock
}

func (f *follower) apply(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.FullList:
			f.list = a.Entries
			f.lists++
		case membership.LogLine:
			f.lines = append(f.lines, string(a))
		case membership.RequestSnapshot:
			select {
			case f.resync <- struct{}{}:
			default:
			}
		}
	}
	if f.onEvent != nil {
		f.onEvent()
	}
}

func (f *follower) now() time.Duration { return time.Second + time.Since(f.startedAt) }

func (f *follower) on(event func() []membership.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(event())
}

func (f *follower) OnSnapshot(w membership.Snapshot) {
	f.on(func() []membership.Action { return f.model.OnSnapshot(f.now(), 0, w) })
}

func (f *follower) OnUpdate(c membership.Update) {
	f.on(func() []membership.Action { return f.model.OnUpdate(f.now(), 0, c) })
}

func (f *follower) OnProgress(r int64) {
	f.on(func() []membership.Action { return f.model.OnProgress(f.now(), 0, r) })
}

func (f *follower) OnCompacted() {
	f.on(func() []membership.Action { return f.model.OnCompacted(f.now(), 0) })
}

func (f *follower) OnLost(reason string) {
	f.on(func() []membership.Action { return f.model.OnSourceLost(f.now(), 0, reason) })
}

func (f *follower) status() membership.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Status(f.now())
}

func (f *follower) hasList(want map[string]membership.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Equal(f.list, want)
}

func (f *follower) logged(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Contains(strings.Join(f.lines, "\n"), text)
}

// follow starts a follower of a registry until the test ends.
func follow(t *testing.T, cfg Config, m membership.Config) *follower {
	t.Helper()
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if e, is := c.(*etcd); is {
		e.checkEvery = 300 * time.Millisecond
	}
	f := &follower{t: t, model: membership.New(m), resync: make(chan struct{}, 1), startedAt: time.Now()}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); Follow(ctx, c, f, f.resync) }()
	t.Cleanup(func() {
		stop()
		<-done
		c.NextEndpoint()
	})
	return f
}

func start(t *testing.T) *standin.Registry {
	t.Helper()
	r, err := standin.StartRegistry()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func config(kind string, r *standin.Registry) Config {
	c := DefaultConfig()
	c.Kind, c.Endpoints, c.Prefix = kind, []string{r.URL()}, prefix
	return c
}

func unguardedConfig() membership.Config {
	return membership.Config{Sources: []string{"registry"}, LossTimeout: time.Minute, MaxLossFraction: 1, MaxEntries: 20000}
}

func node(n, port int, state string) standin.RegistryOp {
	return standin.RegistryOp{Key: fmt.Sprint(prefix, "n", n), Value: fmt.Sprintf(`{"v":1,"address":"127.0.0.1:%d","zone":"koper","state":%q}`, port, state)}
}

func gone(n int) standin.RegistryOp {
	return standin.RegistryOp{Key: fmt.Sprint(prefix, "n", n), Delete: true}
}

// stateOf returns the valid entries of a registry at a revision.
func stateOf(r *standin.Registry, revision int64) map[string]membership.Entry {
	out := map[string]membership.Entry{}
	for k, v := range r.State(revision) {
		if strings.HasPrefix(k, prefix) {
			if i := ParseItem(prefix, k, []byte(v), 1); i.Malformed == "" {
				out[i.Name] = i.Entry
			}
		}
	}
	return out
}

// waitForNewest waits until a follower has the registry's newest state.
func waitForNewest(t *testing.T, f *follower, r *standin.Registry) {
	t.Helper()
	testutil.Eventually(t, "the newest list", func() bool { return f.hasList(stateOf(r, r.Revision())) })
}

func forEachKind(t *testing.T, test func(t *testing.T, kind string)) {
	for _, kind := range []string{"etcd", "consul"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			test(t, kind)
		})
	}
}

// Each transaction is applied as a whole and gives one list, despite keys outside the prefix, repeated events, fragments
// and malformed values.
func TestTransactions(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		r := start(t)
		r.Txn(node(0, 1000, "ready"), node(1, 1001, "ready"), standin.RegistryOp{Key: "marlreel/other", Value: "x"})
		f := follow(t, config(kind, r), unguardedConfig())
		waitForNewest(t, f, r)
		r.Repeat(true)
		r.Fragment(1)
		f.mu.Lock()
		f.onEvent = func() {
			if len(f.list) == 3 || len(f.list) == 1 {
				t.Errorf("half a transaction was applied: %v", f.list)
			}
		}
		f.mu.Unlock()
		// In one transaction, an address moves from one node to another, and a third node is added.
		r.Txn(node(0, 1005, "ready"), node(2, 1000, "ready"), node(3, 1003, "draining"))
		waitForNewest(t, f, r)
		r.Txn(gone(0), gone(1))
		waitForNewest(t, f, r)
		r.Txn(standin.RegistryOp{Key: prefix + "n2", Value: "{"}, standin.RegistryOp{Key: prefix + "n9", Value: `{"v":2}`}, node(3, 1003, "ready"))
		testutil.Eventually(t, "the malformed values", func() bool { return len(f.status().Sources[0].Malformed) == 2 })
		if s := f.status(); s.Entries != 2 || s.Age < 0 {
			t.Errorf("%+v", s)
		}
		r.Txn(node(2, 1002, "ready"), standin.RegistryOp{Key: prefix + "n9", Delete: true})
		waitForNewest(t, f, r)
		if s := f.status(); len(s.Sources[0].Malformed) != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// Five thousand nodes are read page by page at one revision, even while they change.
func TestPages(t *testing.T) {
	t.Parallel()
	r := start(t)
	var all []standin.RegistryOp
	for i := range 5000 {
		all = append(all, node(i, 1000+i, "ready"))
	}
	r.Txn(all...)
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				r.Txn(gone(i), node(5000+i, 10000+i, "ready"))
			}
		}
	})
	f := follow(t, config("etcd", r), unguardedConfig())
	testutil.Eventually(t, "the list", func() bool { return f.status().Entries > 0 })
	if s := f.status(); s.Entries != 5000 {
		t.Errorf("%d nodes, want 5000, as at any revision", s.Entries)
	}
	close(stop)
	writer.Wait()
	waitForNewest(t, f, r)
	if n := r.Calls("/v3/kv/range"); n < 10 {
		t.Errorf("%d pages", n)
	}
}

// Changes made while a client is disconnected are caught up on: from the watch if they are still available, otherwise,
// after a compaction or with another history, by a snapshot.
func TestChangesWhileDisconnected(t *testing.T) {
	t.Parallel()
	for name, meanwhile := range map[string]func(r *standin.Registry){
		"changes":            func(r *standin.Registry) { r.Txn(gone(0)); r.Txn(node(7, 1007, "ready")) },
		"compacted":          func(r *standin.Registry) { r.Txn(gone(0)); r.Txn(node(7, 1007, "ready")); r.Compact(r.Revision()) },
		"restored":           func(r *standin.Registry) { r.Restore(2, false) },
		"restored, and more": func(r *standin.Registry) { r.Restore(2, false); r.Txn(gone(1)); r.Txn(node(8, 1008, "ready")) },
		"set up anew":        func(r *standin.Registry) { r.Restore(2, true); r.Txn(gone(0)); r.Txn(node(9, 1009, "ready")) },
	} {
		forEachKind(t, func(t *testing.T, kind string) {
			t.Run(name, func(t *testing.T) {
				r := start(t)
				r.Txn(node(0, 1000, "ready"), node(1, 1001, "ready"))
				r.Txn(node(2, 1002, "ready"))
				r.Txn(node(3, 1003, "ready"))
				r.Txn(node(4, 1004, "ready"))
				f := follow(t, config(kind, r), unguardedConfig())
				waitForNewest(t, f, r)
				r.Cut(true)
				r.CloseWatches()
				meanwhile(r)
				r.Cut(false)
				waitForNewest(t, f, r)
				r.Txn(node(5, 1005, "ready")) // later changes still arrive
				waitForNewest(t, f, r)
			})
		})
	}
}

// Without a quorum, the stale list of a lagging member does not bring removed nodes back: the current list stays in
// force until there is a quorum again.
func TestStaleMembers(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		r := start(t)
		r.Txn(node(0, 1000, "ready"), node(1, 1001, "ready"))
		f := follow(t, config(kind, r), unguardedConfig())
		waitForNewest(t, f, r)
		r.Txn(gone(0))
		waitForNewest(t, f, r)
		r.Lag(1)
		r.Quorum(false)
		f.resync <- struct{}{} // request a snapshot
		testutil.Eventually(t, "the log line about the stale list", func() bool { return f.logged("ignoring a stale list") })
		if !f.hasList(stateOf(r, r.Revision())) {
			t.Errorf("%v", f.status())
		}
		r.Quorum(true)
		r.Txn(node(4, 1004, "ready"))
		waitForNewest(t, f, r)
		// A client that starts now can only get the stale list of the lagging member.
		r.Quorum(false)
		late := follow(t, config(kind, r), unguardedConfig())
		testutil.Eventually(t, "the stale list", func() bool { return late.hasList(stateOf(r, r.Revision()-1)) })
	})
}

// A registry that becomes unreachable without closing connections is noticed, and its list stays in force. If there are
// several endpoints, the next one is tried.
func TestUnreachableRegistry(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		r := start(t)
		r.Txn(node(0, 1000, "ready"))
		cfg := config(kind, r)
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		closed.Close()
		cfg.Endpoints = []string{"http://" + closed.Addr().String(), r.URL()}
		f := follow(t, cfg, unguardedConfig())
		waitForNewest(t, f, r)
		if !f.logged("lost (") || !f.logged("reachable again") && f.status().Sources[0].Unreachable {
			t.Errorf("%v", f.lines)
		}
		if kind == "consul" {
			return // a blocking query that is cut off only ends with its timeout of a minute
		}
		r.Cut(true)
		testutil.Eventually(t, "the loss", func() bool { return f.status().Sources[0].Unreachable })
		if f.status().Entries != 1 {
			t.Error("the list was dropped when the registry became unreachable")
		}
		r.Txn(node(1, 1001, "ready"))
		r.Cut(false)
		waitForNewest(t, f, r)
	})
}

// A user logs in, and again when the token is no longer accepted. Consul's token is read from its file for each call.
func TestAuthentication(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		r := start(t)
		r.Txn(node(0, 1000, "ready"))
		r.RequireLogin("proxy", "s3cret")
		cfg := config(kind, r)
		cfg.PasswordFile = filepath.Join(t.TempDir(), "password")
		if err := os.WriteFile(cfg.PasswordFile, []byte("wrong\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if kind == "etcd" {
			cfg.User = "proxy"
		}
		f := follow(t, cfg, unguardedConfig())
		testutil.Eventually(t, "the refusal", func() bool { return f.logged("lost (") })
		if err := os.WriteFile(cfg.PasswordFile, []byte("s3cret\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		waitForNewest(t, f, r)
		r.RequireLogin("proxy", "s3cret") // invalidates all tokens
		r.CloseWatches()
		r.Txn(node(1, 1001, "ready"))
		waitForNewest(t, f, r)
	})
}

// Over real connections and with random faults, the list is always the registry's at some revision between the last one
// reported and the newest, and never goes back.
func TestHistoriesOverSockets(t *testing.T) {
	t.Parallel()
	forEachKind(t, func(t *testing.T, kind string) {
		for seed := range uint64(4) {
			r := start(t)
			rng := mrand.New(mrand.NewPCG(seed, 5))
			r.Txn(node(0, 1000, "ready"))
			f := follow(t, config(kind, r), unguardedConfig())
			waitForNewest(t, f, r)
			last := int64(0)
			f.mu.Lock()
			f.onEvent = func() {
				s := f.model.Status(f.now())
				if s.Revision < last || s.Revision > r.Revision() {
					t.Errorf("seed %d: revision %d after %d, newest %d", seed, s.Revision, last, r.Revision())
				}
				last = s.Revision
				if want := stateOf(r, s.Revision); !maps.Equal(f.list, want) {
					t.Errorf("seed %d: at revision %d\n%v\nwant %v", seed, s.Revision, f.list, want)
				}
			}
			f.mu.Unlock()
			for range 60 {
				switch rng.IntN(10) {
				case 0:
					r.CloseWatches()
				case 1:
					r.Compact(r.Revision() - int64(rng.IntN(2)))
				case 2:
					r.Repeat(rng.IntN(2) == 0)
				case 3:
					r.Fragment(rng.IntN(3))
				case 4:
					r.Delay(time.Duration(rng.IntN(10)) * time.Millisecond)
				default:
					n := rng.IntN(8)
					ops := []standin.RegistryOp{node(n, 2000+10*n+rng.IntN(3), []string{"ready", "draining"}[rng.IntN(2)])}
					if m := rng.IntN(8); m != n {
						ops = append(ops, gone(m))
					}
					r.Txn(ops...)
				}
				time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
			}
			r.Delay(0)
			waitForNewest(t, f, r)
		}
	})
}

// certificates makes a self-signed certificate that serves as CA, server and client certificate.
func certificates(t *testing.T) (ca, cert, key string, pair tls.Certificate, pool *x509.CertPool) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "registry"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	ca, cert, key = write("ca.pem", "CERTIFICATE", der), write("cert.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", secret)
	if pair, err = tls.LoadX509KeyPair(cert, key); err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AddCert(parsed)
	return ca, cert, key, pair, pool
}

// TLS with certificates on both sides. A client without a certificate gets no list.
func TestTLS(t *testing.T) {
	t.Parallel()
	ca, cert, key, pair, pool := certificates(t)
	r, err := standin.StartRegistryTLS(&tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Txn(node(0, 1000, "ready"))
	cfg := config("etcd", r)
	cfg.Endpoints, cfg.CA = []string{"https://" + r.Addr}, ca
	withoutCert := follow(t, cfg, unguardedConfig())
	testutil.Eventually(t, "the refusal", func() bool { return withoutCert.logged("lost (") })
	cfg.Cert, cfg.Key = cert, key
	f := follow(t, cfg, unguardedConfig())
	waitForNewest(t, f, r)
	r.Txn(node(1, 1001, "ready"))
	waitForNewest(t, f, r)
	if withoutCert.status().Entries != 0 {
		t.Error("a client without a certificate got a list")
	}
}

func TestBadConfig(t *testing.T) {
	t.Parallel()
	good := func() Config {
		c := DefaultConfig()
		c.Kind, c.Endpoints = "etcd", []string{"http://127.0.0.1:2379"}
		return c
	}
	if c := good(); c.Validate() != nil {
		t.Error(c.Validate())
	}
	off := DefaultConfig()
	if off.Enabled() || off.Validate() != nil {
		t.Error("the default settings, without a registry, are rejected")
	}
	for want, change := range map[string]func(c *Config){
		`registry.kind = "ectd": etcd or consul is needed (did you mean etcd?)`: func(c *Config) { c.Kind = "ectd" },
		"registry.kind is missing":                     func(c *Config) { c.Kind = "" },
		"registry.endpoints: 1 to 16 are needed":       func(c *Config) { c.Endpoints = nil },
		`registry.endpoints: "127.0.0.1:2379"`:         func(c *Config) { c.Endpoints = []string{"127.0.0.1:2379"} },
		`registry.endpoints: "http://u:p@h:1"`:         func(c *Config) { c.Endpoints = []string{"http://u:p@h:1"} },
		"registry.prefix":                              func(c *Config) { c.Prefix = "" },
		"registry.cert and registry.key":               func(c *Config) { c.Cert = "x" },
		"registry.password-file is missing":            func(c *Config) { c.User = "x" },
		"registry.user: Consul only uses tokens":       func(c *Config) { c.Kind, c.User, c.PasswordFile = "consul", "x", "y" },
		"registry.ca: open /nowhere":                   func(c *Config) { c.CA = "/nowhere" },
		"registry.guard = 0":                           func(c *Config) { c.MaxLossFraction = 0 },
		"registry.flaps = -1":                          func(c *Config) { c.MaxFlaps = -1 },
		"registry.patience, settle and guard-over can": func(c *Config) { c.LossTimeout = -1 },
	} {
		c := good()
		change(&c)
		err := c.Validate()
		if err == nil {
			err = c.CheckFiles()
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func FuzzItem(f *testing.F) {
	for _, s := range []string{`{"v":1,"address":"127.0.0.1:80","zone":"koper","state":"ready"}`, `{"v":1}`, "{", `[]`, `{"v":1,"address":"127.0.0.1:80","zone":"z","state":"ready","weight":1e300}`} {
		f.Add("marlreel/nodes/n1", []byte(s))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		i := ParseItem(prefix, key, value, 3)
		if i.Malformed == "" && (i.Name == "" || prefix+i.Name != key || i.Entry.Addr == "" || i.Entry.Zone == "" || !(i.Entry.Weight > 0) || i.ModRevision != 3) {
			t.Errorf("%q: %+v", value, i)
		}
		if strings.Contains(i.Malformed, "\n") {
			t.Errorf("%q", i.Malformed)
		}
	})
}
