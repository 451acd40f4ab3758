package simcluster

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane"
	"marlreel/internal/distribution/relay"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/testing/simnet"
)

var zones = []string{"east", "north", "west"}

const (
	// controls is how many control processes a cluster has.
	controls = 3
	// relayEdges is a number of proxies that gives each of the three zones both relays and other proxies.
	relayEdges = 12
	// startTimeout limits the wait until the first configuration is committed.
	startTimeout = 10 * time.Second
)

// startMachines starts control processes and proxies on a simulated network, without a configuration. They are stopped
// when the test ends.
func startMachines(t *testing.T, controls, edges int) *Cluster {
	t.Helper()
	log := logr.Discard()
	if testing.Verbose() {
		log = testr.New(t)
	}
	c := New(Config{
		Controls: controls, Edges: edges, Zones: zones, Log: log,
		Net: simnet.Config{Delay: time.Millisecond, Jitter: time.Millisecond, Seed: 1},
	})
	t.Cleanup(c.Stop)
	return c
}

// startControlPlane starts control processes only, without a configuration.
func startControlPlane(t *testing.T) *Cluster {
	t.Helper()
	return startMachines(t, controls, 0)
}

// startCluster starts a cluster with two backends for each route, and returns once it is ready.
func startCluster(t *testing.T, controls, edges int) *Cluster {
	t.Helper()
	c := startMachines(t, controls, edges)
	c.AddBackend(llmBackend("i-1", "east", "m0", "m1"))
	c.AddBackend(llmBackend("i-2", "north", "m0"))
	c.AddBackend(slipBackend("i-3", "west"))
	c.AddBackend(slipBackend("i-4", "east"))
	c.configureFirst(t, document)
	c.Sleep(3 * time.Second)
	return c
}

// configureFirst sets the first configuration.
func (c *Cluster) configureFirst(t *testing.T, document func(version uint64) string) {
	t.Helper()
	status, answer, err := c.ReplaceConfiguration(document, startTimeout)
	if err != nil || status != 200 {
		t.Fatalf("setting the first configuration: %d %s %v", status, answer, err)
	}
}

// runWithCluster runs a test on a cluster of three control processes and three proxies.
func runWithCluster(t *testing.T, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, controls, 3)
		test(t, c)
		for _, b := range c.Backends {
			if violations := b.Violations(); len(violations) > 0 {
				t.Errorf("orders that exceed a backend's capacity: %v", violations)
			}
		}
	})
}

// runWithRelays runs a test on a cluster with several proxies in each zone.
func runWithRelays(t *testing.T, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, controls, relayEdges)
		test(t, c)
	})
}

// runWithControlPlane runs a test on control processes only, with a configuration.
func runWithControlPlane(t *testing.T, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := startControlPlane(t)
		c.configureFirst(t, document)
		c.Sleep(time.Second)
		test(t, c)
	})
}

// fetchStatus returns the status of a control process, or nil if it returns none.
func (c *Cluster) fetchStatus(m *Machine) *controlplane.Status {
	code, answer, err := c.callControl(m, "GET", "/marlreel/status", "", "")
	if err != nil || code != 200 {
		return nil
	}
	var status controlplane.Status
	if json.Unmarshal([]byte(answer), &status) != nil {
		return nil
	}
	return &status
}

// status returns the status of a control process, and fails the test if it returns none.
func (c *Cluster) status(t *testing.T, m *Machine) *controlplane.Status {
	t.Helper()
	status := c.fetchStatus(m)
	if status == nil {
		t.Fatalf("%s returned no status", m.Name)
	}
	return status
}

// replaceConfiguration replaces the configuration, and fails the test if the change is not committed.
func (c *Cluster) replaceConfiguration(t *testing.T, document func(version uint64) string, timeout time.Duration) {
	t.Helper()
	status, answer, err := c.ReplaceConfiguration(document, timeout)
	if err != nil || status != 200 {
		t.Fatalf("replacing the configuration: %d %s %v", status, answer, err)
	}
}

// modifyConfiguration makes a small change based on the newest version, and returns how long it took.
func (c *Cluster) modifyConfiguration(t *testing.T, timeout time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	body := fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[{"name":"r","host":"r.example","path_prefix":"/r%d/",`+
		`"route_class":"unsafe","timeout_ms":900,"service":"slips","max_attempts":1}]}}`, c.version+1, c.version)
	status, answer, err := c.CallOperatorAPI("POST", "/marlreel/config/modify", fmt.Sprint(c.version), body, timeout)
	if err != nil || status != 200 {
		t.Fatalf("modifying the configuration: after %v: %d %s %v", time.Since(began), status, answer, err)
	}
	c.version++
	return time.Since(began)
}

// relayOf returns the relay of a topic in a zone, and the zone's other proxies.
func (c *Cluster) relayOf(topic watch.Topic, zone string) (relayMachine *Machine, others []*Machine) {
	var nodes []*api.Node
	for _, m := range c.Edges {
		nodes = append(nodes, &api.Node{Name: m.Name, Address: m.IP, Zone: m.Zone})
	}
	for i, m := range c.Edges {
		switch {
		case m.Zone != zone:
		case relay.Select(topic, nodes[i], nodes).Name == m.Name:
			relayMachine = m
		default:
			others = append(others, m)
		}
	}
	return relayMachine, others
}

// isolate partitions a machine from all others. Its connections stay open, so that no peer is notified.
func (c *Cluster) isolate(m *Machine) {
	var others []string
	for _, other := range c.Machines() {
		if other != m {
			others = append(others, other.IP)
		}
	}
	c.Net.Isolate(m.IP, others, true)
}

// isolateFromControl partitions a machine from the control processes only.
func (c *Cluster) isolateFromControl(m *Machine) {
	var addresses []string
	for _, control := range c.Controls {
		addresses = append(addresses, control.IP)
	}
	c.Net.Isolate(m.IP, addresses, true)
}
