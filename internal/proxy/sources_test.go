package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/discovery/membership"
	kvstore "marlreel/internal/discovery/registry"
	"marlreel/internal/process/logs"
	"marlreel/internal/standin"
	"marlreel/internal/stricttoml"
	"marlreel/internal/testutil"
)

const nodesPrefix = "marlreel/nodes/"

// kvStore starts a stand-in registry, and returns an operator's settings that use it.
func kvStore(t *testing.T, kind string) (*standin.Registry, *config.Operator) {
	t.Helper()
	r, err := standin.StartRegistry()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	own := config.DefaultOperator()
	own.Registry.Kind, own.Registry.Endpoints, own.Registry.Prefix = kind, []string{r.URL()}, nodesPrefix
	own.Registry.FailbackDelay, own.Registry.LossTimeout = stricttoml.Duration(50*time.Millisecond), stricttoml.Duration(200*time.Millisecond)
	return r, own
}

// registryNode returns a registry write that stores a node.
func registryNode(t *testing.T, name, addr, state string) standin.RegistryOp {
	t.Helper()
	v, err := kvstore.Value{Address: addr, Zone: "koper", Kind: "mid-2c", State: state}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return standin.RegistryOp{Key: nodesPrefix + name, Value: string(v)}
}

// A proxy whose list is in a registry serves from it and follows its changes without a list from the platform.
// Draining nodes get no new requests, and nodes that stay keep their connections.
func TestServedFromARegistry(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"etcd", "consul"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r, own := kvStore(t, kind)
			kept, conns := testutil.Counting(t, "kept")
			r.Txn(registryNode(t, "s-1", kept, "ready"))
			p := startWith(t, testConfig(t, closedAddr(t)), own)
			servedBy(t, p, "kept")
			before := conns.Load()
			other := named(t, "other")
			r.Txn(registryNode(t, "s-1", kept, "draining"), registryNode(t, "s-2", other, "ready"))
			servedBy(t, p, "other")
			r.Txn(registryNode(t, "s-1", kept, "ready"), standin.RegistryOp{Key: nodesPrefix + "s-2", Delete: true})
			servedBy(t, p, "kept")
			r.CloseWatches()
			r.Compact(r.Revision())
			third := named(t, "third")
			r.Txn(registryNode(t, "s-1", third, "ready")) // the same name at another address
			servedBy(t, p, "third")
			if n := conns.Load() - before; n > 2 {
				t.Errorf("%d new connections to a node that stayed except for one drain", n)
			}
			// An invalid value and one with an unknown zone don't affect the other entries.
			r.Txn(standin.RegistryOp{Key: nodesPrefix + "s-8", Value: "{"}, standin.RegistryOp{Key: nodesPrefix + "s-9", Value: strings.Replace(registryNode(t, "x", kept, "ready").Value, "koper", "triglav", 1)})
			eventually(t, "a log line about both", func() bool {
				log := p.log.String()
				return strings.Contains(log, "entry s-8 can't be read (no JSON") && strings.Contains(log, `unknown zone "triglav"`)
			})
			servedBy(t, p, "third")
		})
	}
}

// A proxy that starts while registry and platform are down serves from its old list, and switches to the
// registry's list once it is reachable.
func TestOldListWithoutARegistry(t *testing.T) {
	t.Parallel()
	r, own := kvStore(t, "etcd")
	r.Txn(registryNode(t, "s-1", named(t, "new"), "ready"))
	r.Cut(true)
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-0", named(t, "old"))), own)
	servedBy(t, p, "old")
	r.Cut(false)
	servedBy(t, p, "new")
}

// If most entries disappear from the registry at once, the proxy keeps using them and logs a warning, until an operator
// confirms the loss in the registry.
func TestMostOfTheListIsLost(t *testing.T) {
	t.Parallel()
	r, own := kvStore(t, "etcd")
	r.Txn(registryNode(t, "s-1", named(t, "one"), "ready"), registryNode(t, "s-2", named(t, "one"), "ready"), registryNode(t, "s-3", named(t, "one"), "ready"))
	cfg := testConfig(t, closedAddr(t))
	cfg.ControlAddress = "127.0.0.1:0"
	p := startWith(t, cfg, own)
	servedBy(t, p, "one")
	r.Txn(standin.RegistryOp{Key: nodesPrefix + "s-1", Delete: true}, standin.RegistryOp{Key: nodesPrefix + "s-2", Delete: true}, standin.RegistryOp{Key: nodesPrefix + "s-3", Delete: true})
	eventually(t, "the warning", func() bool { return strings.Contains(p.log.String(), "WARNING: the list lost most of its entries") })
	servedBy(t, p, "one")
	eventually(t, "the status at the control address", func() bool {
		resp, err := http.Get("http://" + p.control + "/control/discovery")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var s membership.Status
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Source == "registry" && len(s.Retained) == 3 && s.Entries == 3
	})
	r.Txn(registryNode(t, "s-4", named(t, "two"), "ready"), standin.RegistryOp{Key: nodesPrefix + "_confirm", Value: "{}"})
	eventually(t, "the confirmation", func() bool { return strings.Contains(p.log.String(), "an operator confirmed the list: 1 entries") })
	servedBy(t, p, "two")
}

// Switches from the platform's list to the registry's by SIGHUP, and back. If the registry is unreachable for longer
// than its timeout, the platform's list is used.
func TestMovesToTheRegistryAndBack(t *testing.T) {
	t.Parallel()
	r, own := kvStore(t, "etcd")
	r.Txn(registryNode(t, "s-1", named(t, "registry"), "ready"))
	g := newRegistry(t)
	cfg := testConfig(t, g.Addr, ready("s-0", named(t, "known")))
	p := start(t, cfg)
	w := g.next(t)
	w.Lines <- line(t, 4, true, ready("s-0", named(t, "platform")))
	servedBy(t, p, "platform")
	p.reloads <- Reload{Config: cfg, Own: own}
	servedBy(t, p, "registry")
	// The platform still sends lists, but they are used only after the registry has been lost for LossTimeout.
	w.Lines <- line(t, 5, false, ready("s-0", named(t, "platform now")))
	servedBy(t, p, "registry")
	r.Cut(true)
	r.CloseWatches()
	servedBy(t, p, "platform now")
	r.Cut(false)
	servedBy(t, p, "registry")
	p.reloads <- Reload{Config: cfg, Own: config.DefaultOperator()}
	servedBy(t, p, "platform now")
	r.Txn(registryNode(t, "s-1", named(t, "nobody's"), "ready"))
	w.Lines <- line(t, 6, false, ready("s-0", named(t, "platform at last")))
	servedBy(t, p, "platform at last")
	bad := config.DefaultOperator()
	bad.Registry.Kind, bad.Registry.Endpoints, bad.Registry.CA = "etcd", []string{r.URL()}, "/nowhere/ca.pem"
	p.reloads <- Reload{Config: cfg, Own: bad}
	eventually(t, "the refusal", func() bool {
		return strings.Contains(p.log.String(), "not reloaded: registry.ca: open /nowhere/ca.pem")
	})
}

// A registry list of 3,001 nodes, of which 3,000 drain, is taken completely and shows in the metrics.
func TestALargeRegistry(t *testing.T) {
	t.Parallel()
	r, own := kvStore(t, "etcd")
	one := named(t, "one")
	var ops []standin.RegistryOp
	for i := range 3000 {
		ops = append(ops, registryNode(t, fmt.Sprint("far-", i), fmt.Sprintf("127.0.0.2:%d", 1000+i), "draining"))
	}
	r.Txn(append(ops, registryNode(t, "s-1", one, "ready"))...)
	cfg := testConfig(t, closedAddr(t))
	cfg.ControlAddress = "127.0.0.1:0"
	p := startWith(t, cfg, own)
	servedBy(t, p, "one")
	eventually(t, "all nodes in the metrics", func() bool { return metric(t, p, "discovered") == "3001|g" })
}

// Measures the cost of following a registry. MARLREEL_MEASURE=1 go test -v -run TestMeasureRegistry ./internal/proxy
// prints the figures for docs/design/registry.md.
func TestMeasureRegistry(t *testing.T) {
	if os.Getenv("MARLREEL_MEASURE") == "" {
		t.Skip("a measurement; set MARLREEL_MEASURE=1 to run it")
	}
	for _, kind := range []string{"etcd", "consul"} {
		for _, n := range []int{12, 5000} {
			for _, every := range []time.Duration{time.Second, 10 * time.Millisecond} {
				r, own := kvStore(t, kind)
				var ops []standin.RegistryOp
				for i := range n {
					ops = append(ops, registryNode(t, fmt.Sprint("s-", i), fmt.Sprintf("127.0.0.2:%d", 1000+i), "ready"))
				}
				r.Txn(ops...)
				p, err := assemble(testConfig(t, closedAddr(t)), own, nil, logs.Discard())
				if err != nil {
					t.Fatal(err)
				}
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				heap := m.HeapAlloc
				ctx, stop := context.WithCancel(t.Context())
				go p.engine.Run(ctx)
				p.engine.Post(func() { p.source.SetRegistry(own.Registry) })
				size := func(addr string) (list int, there bool) {
					done := make(chan struct{})
					p.engine.Post(func() {
						b := p.engine.Backend("s-0")
						list, there = p.engine.BackendCount(), b != nil && b.Addr == addr
						close(done)
					})
					<-done
					return list, there
				}
				eventually(t, "the list", func() bool { l, _ := size(""); return l == n })
				runtime.GC()
				runtime.ReadMemStats(&m)
				held := m.HeapAlloc - heap
				var took []time.Duration
				sent, before, began := r.Sent(), cpu(), time.Now()
				changes := 0
				for ; time.Since(began) < 4*time.Second; changes++ {
					addr := fmt.Sprintf("127.0.0.3:%d", 1000+changes)
					at := time.Now()
					r.Txn(registryNode(t, "s-0", addr, "ready"))
					for {
						if _, there := size(addr); there || time.Since(at) > 2*time.Second {
							break
						}
						time.Sleep(100 * time.Microsecond)
					}
					took = append(took, time.Since(at))
					time.Sleep(max(0, every-time.Since(at)))
				}
				seconds := time.Since(began).Seconds()
				slices.Sort(took)
				t.Logf("| %s | %d | %.0f | %.1f | %.1f | %.1f | %.0f | %.3f | %.1f |", kind, n, float64(changes)/seconds, float64(took[len(took)/2])/1e6,
					float64(took[len(took)*99/100])/1e6, float64(took[len(took)-1])/1e6, float64(r.Sent()-sent)/float64(changes), (cpu()-before).Seconds()/seconds, float64(held)/1e6)
				stop()
				<-p.engine.Done()
				p.source.Close()
				p.carrier.Close()
			}
		}
	}
}
