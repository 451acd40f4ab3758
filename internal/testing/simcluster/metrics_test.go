package simcluster

import (
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/process/bootstrap"
)

// metricsAddress returns the address of the metrics server of one of a machine's processes.
func (m *Machine) metricsAddress(endpoint bootstrap.MetricsEndpoint) string {
	return net.JoinHostPort(m.IP, strconv.Itoa(peerPort+15-int(endpoint)))
}

// fetchMetrics reads the metrics of one of a machine's processes.
func (c *Cluster) fetchMetrics(m *Machine, endpoint bootstrap.MetricsEndpoint) (status int, text string) {
	status, text, err := c.callHTTP(m.metricsAddress(endpoint), "GET", "/metrics", "", "")
	if err != nil {
		return 0, err.Error()
	}
	return status, text
}

// checkLines checks that metrics contain each of the lines.
func checkLines(t *testing.T, metrics string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		if !strings.Contains("\n"+metrics, "\n"+line+"\n") {
			t.Errorf("the line %q is missing in\n%s", line, metrics)
		}
	}
}

func TestEachProcessServesItsMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 2)
		edge := c.Edges[0]
		got, err := c.Send(edge, chatRequest("m0"))
		is.NoErr(err)
		is.Equal(got.Status, 200)
		unloaded := chatRequest("m2") // no backend has it loaded: the request waits for a load
		got, err = c.Send(edge, unloaded)
		is.NoErr(err)
		is.Equal(got.Status, 200)

		status, metrics := c.fetchMetrics(edge, bootstrap.ProxyMetrics)
		is.Equal(status, 200)
		checkLines(t, metrics, `marlreel_ready 1`, `marlreel_feed_fresh 1`, `marlreel_backends 4`, `marlreel_nodes 2`, `marlreel_config_version 1`,
			`marlreel_attempts_total{service="llm",result="ok"} 2`,
			`marlreel_requests_total{service="llm",kind="streaming",repeatable="true",aim_ms="800",outcome="in_time"} 1`,
			`marlreel_requests_total{service="llm",kind="streaming",repeatable="true",aim_ms="800",outcome="no_holder"} 1`,
			`marlreel_first_byte_seconds_count{service="llm",kind="streaming",repeatable="true",aim_ms="800"} 2`)

		status, metrics = c.fetchMetrics(edge, bootstrap.AgentMetrics)
		is.Equal(status, 200)
		checkLines(t, metrics, `marlreel_feed_fresh 1`, `marlreel_backends 4`, `marlreel_nodes 2`)

		status, metrics = c.fetchMetrics(c.Controls[1], bootstrap.ControlMetrics)
		is.Equal(status, 200)
		checkLines(t, metrics, `marlreel_chain_connected 1`, `marlreel_chain_members 3`, `marlreel_store_failed 0`, `marlreel_config_version 1`)
	})
}

// docs/METRICS.md lists each metric and each outcome that a process exports, and no other metrics.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 1)
		_, err := c.Send(c.Edges[0], chatRequest("m0"))
		is.NoErr(err)
		served := map[string]bool{}
		name := regexp.MustCompile(`marlreel_[a-z_]+|outcome="[a-z_]+"`)
		for endpoint, m := range map[bootstrap.MetricsEndpoint]*Machine{bootstrap.ProxyMetrics: c.Edges[0], bootstrap.AgentMetrics: c.Edges[0], bootstrap.ControlMetrics: c.Controls[0]} {
			_, metrics := c.fetchMetrics(m, endpoint)
			for _, found := range name.FindAllString(metrics, -1) {
				for _, suffix := range []string{"_bucket", "_sum", "_count"} {
					found = strings.TrimSuffix(found, suffix)
				}
				served[strings.Trim(strings.TrimPrefix(found, "outcome="), `"`)] = true
			}
		}
		for found := range served {
			if !strings.Contains(string(page), "`"+found+"`") {
				t.Errorf("docs/METRICS.md does not list %s", found)
			}
		}
		for _, written := range regexp.MustCompile("`(marlreel_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
			if !served[written[1]] {
				t.Errorf("docs/METRICS.md lists %s, which no process exports", written[1])
			}
		}
	})
}

// A machine whose metrics server can't listen because its port is in use still serves requests.
func TestServesWithoutAMetricsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 2)
		edge := c.Edges[0]
		edge.Kill()
		c.reconnect(edge.IP)
		taken, err := c.network(edge.IP).Listen(edge.metricsAddress(bootstrap.ProxyMetrics))
		is.NoErr(err)
		edge.Start()
		c.Sleep(3 * time.Second)
		got, err := c.Send(edge, slipRequest())
		is.NoErr(err)
		is.Equal(got.Status, 200)
		is.NoErr(taken.Close())
	})
}
