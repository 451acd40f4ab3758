package simcluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		c.replaceConfiguration(t, documentWithSlipsAt("/voucher/"), 4*time.Second)
		c.Sleep(applyTime)
		c.checkServed(t, c.Edges, "/slip/1", 404) // the old prefix has no route any more
		c.checkServed(t, c.Edges, "/voucher/1", 200)
	})
}

// replaceOn requests a replacement of the configuration based on a version, and returns the response.
func (c *Cluster) replaceOn(t *testing.T, base, body string) (status int, answer string) {
	t.Helper()
	status, answer, err := c.CallOperatorAPI("POST", "/marlreel/config/replace", base, body, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return status, answer
}

// readDocument reads the configuration.
func (c *Cluster) readDocument(t *testing.T, timeout time.Duration) string {
	t.Helper()
	status, answer, err := c.CallOperatorAPI("GET", "/marlreel/config/read", "", "", timeout)
	if err != nil || status != 200 {
		t.Fatalf("reading the configuration: %d %s %v", status, answer, err)
	}
	return answer
}

func TestOperatorRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		next := documentWithSlipsAt("/voucher/")(5)
		status, _ := c.replaceOn(t, "1", next)
		is.Equal(status, 200)
		status, _ = c.replaceOn(t, "1", next)
		is.Equal(status, 200) // a repeated request is acknowledged again
		for name, rejected := range map[string]struct {
			base, body string
			status     int
			code       string
		}{
			"another change on the same base": {"1", documentWithSlipsAt("/other/")(6), 412, `"code":300`},
			"version is not higher":           {"5", documentWithSlipsAt("/voucher/")(5), 400, `"code":205`},
			"truncated JSON":                  {"5", `{"config_version":7,`, 400, `"code":200`},
			"unknown service":                 {"5", strings.Replace(document(7), `"service":"slips"`, `"service":"none"`, 1), 400, `"code":201`},
		} {
			status, answer := c.replaceOn(t, rejected.base, rejected.body)
			if status != rejected.status || !strings.Contains(answer, rejected.code) {
				t.Errorf("%s: %d %s, want %d with %s", name, status, answer, rejected.status, rejected.code)
			}
		}

		change := `{"config_version":9,"upsert":{"route_list":[{"name":"slip","host":"b.example","path_prefix":"/s/",` +
			`"route_class":"unsafe","timeout_ms":900,"service":"slips","max_attempts":1,"later_field":{"kept":true}}]},"remove":{"route_list":["chat"]}}`
		status, _, err := c.CallOperatorAPI("POST", "/marlreel/config/modify", "5", change, 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		var read struct {
			Version uint64           `json:"config_version"`
			Routes  []map[string]any `json:"route_list"`
		}
		is.NoErr(json.Unmarshal([]byte(c.readDocument(t, 4*time.Second)), &read))
		is.Equal(read.Version, uint64(9))
		is.Equal(len(read.Routes), 1)
		is.True(read.Routes[0]["later_field"] != nil) // unknown fields are preserved
		status, _ = c.replaceOn(t, "1", next)
		is.Equal(status, 200) // a committed change is acknowledged again, even after later changes
	})
}

// replaceUntilClear sends a replacement to one control process after the other until one gives a definite response, and
// reports whether it was committed.
func (c *Cluster) replaceUntilClear(first int, base, body string) bool {
	for next := first; ; next++ {
		status, _, err := c.callControl(c.control(next), "POST", "/marlreel/config/replace", base, body)
		if err == nil && status < 500 {
			return status == 200
		}
		c.Sleep(50 * time.Millisecond)
	}
}

// Exactly one of two concurrent changes on the same base is committed, regardless of which control process each reaches.
func TestOneOfTwoChangesOnABaseIsCommitted(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for round := range 5 {
			base := fmt.Sprint(1 + round)
			var mu sync.Mutex
			var committed []string
			var both sync.WaitGroup
			for i := range 2 {
				both.Go(func() {
					body := documentWithSlipsAt(fmt.Sprintf("/r%d-%d/", round, i))(uint64(2 + round))
					if c.replaceUntilClear(i, base, body) {
						mu.Lock()
						defer mu.Unlock()
						committed = append(committed, body)
					}
				})
			}
			both.Wait()
			is.Equal(len(committed), 1)
			is.Equal(c.readDocument(t, 4*time.Second), committed[0])
		}
	})
}

// controlFaults are control faults that the system must tolerate according to fault_tolerance.
var controlFaults = map[string]func(c *Cluster){
	"each process is killed in turn": func(c *Cluster) {
		for _, m := range c.Controls {
			m.Kill()
			c.Sleep(2 * time.Second)
			m.Start()
			c.Sleep(2 * time.Second)
		}
	},
	"all are killed at once": func(c *Cluster) {
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Sleep(500 * time.Millisecond)
		c.startControls()
	},
	"one disk is lost and all are killed": func(c *Cluster) {
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Controls[0].EraseDisk()
		c.startControls()
	},
	"one disk is lost, then all are killed and another disk is lost": func(c *Cluster) {
		c.Controls[1].Kill()
		c.Controls[1].EraseDisk()
		c.Controls[1].Start()
		c.Sleep(4 * time.Second)
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Controls[0].EraseDisk()
		c.startControls()
	},
	"one is partitioned, the others are killed": func(c *Cluster) {
		addresses := []string{"10.1.0.1", "10.1.0.2", "10.1.0.3"}
		c.Net.Isolate(addresses[0], addresses, true)
		c.Sleep(2 * time.Second)
		c.Controls[1].Kill()
		c.Controls[2].Kill()
		c.Net.Isolate(addresses[0], addresses, false)
		c.Sleep(500 * time.Millisecond)
		c.Controls[1].Start()
		c.Controls[2].Start()
	},
}

func (c *Cluster) startControls() {
	for _, m := range c.Controls {
		m.Start()
	}
}

func TestAcknowledgedChangesSurviveControlFaults(t *testing.T) {
	for name, fault := range controlFaults {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				c.replaceConfiguration(t, documentWithSlipsAt("/kept/"), 4*time.Second)
				fault(c)
				is.Equal(c.readDocument(t, 10*time.Second), documentWithSlipsAt("/kept/")(2))
				c.replaceConfiguration(t, documentWithSlipsAt("/after/"), 10*time.Second) // further changes are committed
				c.Sleep(applyTime)
				c.checkServed(t, c.Edges[:1], "/after/1", 200)
			})
		})
	}
}

// Guards against requests that are aborted while their backend executes them because a configuration change removes their
// service.
func TestRequestsOutliveTheirService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startMachines(t, controls, 1)
		slow := slipBackend("i-3", "west")
		slow.RequestTime = 1500 * time.Millisecond
		c.AddBackend(slow)
		c.configureFirst(t, document)
		c.Sleep(3 * time.Second)
		r := slipRequest()
		await := c.sendAsync(t, c.Edges[0], r)
		c.Sleep(100 * time.Millisecond)
		is.Equal(len(c.executionsOf(r.ID)), 1)
		c.replaceConfiguration(t, func(version uint64) string {
			return strings.NewReplacer(`"service":"slips"`, `"service":"llm"`, `,
  {"name":"slips","health_path":"/health","conn_limit":100}`, "").Replace(document(version))
		}, 5*time.Second)
		is.Equal(await().Status, 200)
		got, err := c.Send(c.Edges[0], slipRequest()) // the route's new service has no backend
		is.NoErr(err)
		is.Equal(got.Status, 503)
	})
}
