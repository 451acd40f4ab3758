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

// runWithCluster runs a test on a cluster of three control processes and three proxies.
func runWithCluster(t *testing.T, story func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3, 3)
		defer c.Stop()
		story(t, c)
		for _, b := range c.Backends {
			if faults := b.Violations(); len(faults) > 0 {
				t.Errorf("orders beyond a backend's room: %v", faults)
			}
		}
	})
}

func TestUnloadedModelIsLoadedOnDemand(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m2")
		got, err := c.Send(c.Edges[0], r)
		is.NoErr(err)
		checkStream(t, r, got, 10)
		is.True(got.TimeToHead < 5*time.Second) // the load takes 3 s
	})
}

func TestAdapterIsLoadedOnDemand(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m0/a3")
		got, err := c.Send(c.Edges[1], r)
		is.NoErr(err)
		checkStream(t, r, got, 10)
		is.True(got.TimeToHead < time.Second)
	})
}

// documentWithSlipsAt is the configuration with the plain route at another place.
func documentWithSlipsAt(prefix string) func(version uint64) string {
	return func(version uint64) string {
		return strings.Replace(document(version), `"/slip/"`, `"`+prefix+`"`, 1)
	}
}

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/voucher/"), 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		c.Sleep(2 * time.Second) // config_apply_ms
		for _, edge := range c.Edges {
			r := slipRequest()
			got, err := c.Send(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, 404) // the old place is gone
			r = slipRequest()
			r.Path = "/voucher/1"
			got, err = c.Send(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
	})
}

func TestOperatorRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		replace := func(base string, body string) (int, string) {
			status, answer, err := c.CallOperatorAPI("POST", "/marlreel/config/replace", base, body, 4*time.Second)
			is.NoErr(err)
			return status, answer
		}
		next := documentWithSlipsAt("/voucher/")(5)
		status, _ := replace("1", next)
		is.Equal(status, 200)
		status, _ = replace("1", next)
		is.Equal(status, 200) // the same again
		status, answer := replace("1", documentWithSlipsAt("/other/")(6))
		is.Equal(status, 412) // another one on the same base
		is.True(strings.Contains(answer, `"code":300`))
		status, answer = replace("5", documentWithSlipsAt("/voucher/")(5))
		is.True(status == 400 && strings.Contains(answer, `"code":205`)) // not higher
		status, answer = replace("5", `{"config_version":7,`)
		is.True(status == 400 && strings.Contains(answer, `"code":200`)) // cut short
		status, answer = replace("5", strings.Replace(document(7), `"service":"slips"`, `"service":"none"`, 1))
		is.True(status == 400 && strings.Contains(answer, `"code":201`)) // unknown service

		change := `{"config_version":9,"upsert":{"route_list":[{"name":"slip","host":"b.example","path_prefix":"/s/",` +
			`"route_class":"unsafe","timeout_ms":900,"service":"slips","max_attempts":1,"later_field":{"kept":true}}]},"remove":{"route_list":["chat"]}}`
		status, _, err := c.CallOperatorAPI("POST", "/marlreel/config/modify", "5", change, 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		status, answer, err = c.CallOperatorAPI("GET", "/marlreel/config/read", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		var read struct {
			Version uint64                   `json:"config_version"`
			Routes  []map[string]interface{} `json:"route_list"`
		}
		is.NoErr(json.Unmarshal([]byte(answer), &read))
		is.Equal(read.Version, uint64(9))
		is.Equal(len(read.Routes), 1)
		is.True(read.Routes[0]["later_field"] != nil) // what isn't known here is kept
		status, _ = replace("1", next)
		is.Equal(status, 200) // what was taken once is acknowledged again, whatever came after
	})
}

// Of two changes on one base one is taken, whoever they reach.
func TestOneOfTwoChangesOnABaseIsCommitted(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for round := range 5 {
			base := fmt.Sprint(1 + round)
			var taken []string
			var mu sync.Mutex
			var both sync.WaitGroup
			for i := range 2 {
				both.Go(func() {
					body := documentWithSlipsAt(fmt.Sprintf("/r%d-%d/", round, i))(uint64(2 + round))
					for at := i; ; at++ {
						status, _, err := c.callControl(c.Controls[at%3], "POST", "/marlreel/config/replace", base, body)
						if err != nil || status >= 500 {
							c.Sleep(50 * time.Millisecond)
							continue
						}
						mu.Lock()
						defer mu.Unlock()
						if status == 200 {
							taken = append(taken, body)
						}
						return
					}
				})
			}
			both.Wait()
			is.Equal(len(taken), 1)
			_, answer, err := c.CallOperatorAPI("GET", "/marlreel/config/read", "", "", 4*time.Second)
			is.NoErr(err)
			is.Equal(answer, taken[0])
		}
	})
}

func TestAcknowledgedChangesSurviveControlFaults(t *testing.T) {
	faults := map[string]func(c *Cluster){
		"each process dies in turn": func(c *Cluster) {
			for _, m := range c.Controls {
				m.Kill()
				c.Sleep(2 * time.Second)
				m.Start()
				c.Sleep(2 * time.Second)
			}
		},
		"all die at once": func(c *Cluster) {
			for _, m := range c.Controls {
				m.Kill()
			}
			c.Sleep(500 * time.Millisecond)
			for _, m := range c.Controls {
				m.Start()
			}
		},
		"one disk is lost and all die": func(c *Cluster) {
			for _, m := range c.Controls {
				m.Kill()
			}
			c.Controls[0].EraseDisk()
			for _, m := range c.Controls {
				m.Start()
			}
		},
		"a disk is lost, then all die with another one": func(c *Cluster) {
			c.Controls[1].Kill()
			c.Controls[1].EraseDisk()
			c.Controls[1].Start()
			c.Sleep(4 * time.Second)
			for _, m := range c.Controls {
				m.Kill()
			}
			c.Controls[0].EraseDisk()
			for _, m := range c.Controls {
				m.Start()
			}
		},
		"one is cut off, the others die": func(c *Cluster) {
			ips := []string{"10.1.0.1", "10.1.0.2", "10.1.0.3"}
			c.Net.Isolate(ips[0], ips, true)
			c.Sleep(2 * time.Second)
			c.Controls[1].Kill()
			c.Controls[2].Kill()
			c.Net.Isolate(ips[0], ips, false)
			c.Sleep(500 * time.Millisecond)
			c.Controls[1].Start()
			c.Controls[2].Start()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/kept/"), 4*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				fault(c)
				_, answer, err := c.CallOperatorAPI("GET", "/marlreel/config/read", "", "", 10*time.Second)
				is.NoErr(err)
				is.Equal(answer, documentWithSlipsAt("/kept/")(2))
				status, _, err = c.ReplaceConfiguration(documentWithSlipsAt("/after/"), 10*time.Second) // and changes go on
				is.NoErr(err)
				is.Equal(status, 200)
				c.Sleep(2 * time.Second)
				r := slipRequest()
				r.Path = "/after/1"
				got, err := c.Send(c.Edges[0], r)
				is.NoErr(err)
				is.Equal(got.Status, 200)
			})
		})
	}
}

func TestDrainingBackendGetsNoNewRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		leaving := c.Backends[2] // one of two that take slips
		leaving.Drain()
		for !leaving.DrainAcknowledged() {
			c.Sleep(50 * time.Millisecond)
		}
		c.Sleep(2 * time.Second) // drain_ms
		before := len(leaving.Executions())
		for range 10 {
			for _, edge := range c.Edges {
				got, err := c.Send(edge, slipRequest())
				is.NoErr(err)
				is.Equal(got.Status, 200)
			}
		}
		is.Equal(len(leaving.Executions()), before)
	})
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		status, _, err := c.CallOperatorAPI("POST", "/marlreel/evacuation/west/begin", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		c.Sleep(2 * time.Second)
		before := len(c.Backends[2].Executions())
		for range 10 {
			got, err := c.Send(c.Edges[2], slipRequest())
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
		is.Equal(len(c.Backends[2].Executions()), before)
		status, _, err = c.CallOperatorAPI("POST", "/marlreel/evacuation/west/terminate", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		c.Sleep(2 * time.Second)
		for range 10 {
			_, err := c.Send(c.Edges[2], slipRequest())
			is.NoErr(err)
		}
		is.True(len(c.Backends[2].Executions()) > before) // it is near
	})
}

// A stream that may be resumed goes on elsewhere within one answer, with every event once.
func TestBrokenStreamIsResumed(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m0")
		r.Tokens = "1000,200"
		var got Response
		var err error
		var asked sync.WaitGroup
		asked.Go(func() { got, err = c.Send(c.Edges[0], r) })
		c.Sleep(time.Second)
		first := c.runsOf(r.ID)
		is.Equal(len(first), 1)
		c.backend(first[0].Backend).Kill()
		asked.Wait()
		is.NoErr(err)
		checkStream(t, r, got, 100)
		runs := c.runsOf(r.ID)
		is.Equal(len(runs), 2)
		is.True(runs[1].LastEventID > 0) // it did not begin anew
		is.Equal(got.Seal, "seal."+first[0].Backend+"."+r.ID)
	})
}

// What can't be repeated runs once at most, and its failure promises nothing.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for i := range 20 {
			r := slipRequest()
			var got Response
			var err error
			var asked sync.WaitGroup
			asked.Go(func() { got, err = c.Send(c.Edges[i%3], r) })
			c.Sleep(10 * time.Millisecond)
			if runs := c.runsOf(r.ID); i == 7 && len(runs) == 1 {
				c.backend(runs[0].Backend).Kill()
			}
			asked.Wait()
			is.NoErr(err)
			runs := len(c.runsOf(r.ID))
			is.True(runs <= 1)
			if got.Status == 503 || got.Status == 429 {
				is.Equal(runs, 0) // a promise
			}
			if got.Status == 200 {
				is.Equal(runs, 1)
			}
		}
	})
}

func TestDrainingProxyAnswersAllRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		long, waits := chatRequest("m0"), chatRequest("m2")
		long.Tokens = "1000,100" // a second
		var streamed, refused Response
		var asked sync.WaitGroup
		asked.Go(func() {
			var err error
			streamed, err = c.Send(c.Edges[0], long)
			is.NoErr(err)
		})
		c.Sleep(200 * time.Millisecond)
		asked.Go(func() {
			var err error
			refused, err = c.Send(c.Edges[0], waits)
			is.NoErr(err)
		})
		c.Sleep(50 * time.Millisecond)
		c.Edges[0].Terminate()
		asked.Wait()
		checkStream(t, long, streamed, 50)
		is.True(refused.Status == 200 || refused.Status == 503) // an answer, whichever
		if refused.Status == 503 {
			is.Equal(len(c.runsOf(waits.ID)), 0)
		}
	})
}

// The role of placing models passes on when its holder dies, and orders go on under a
// higher token.
func TestPlacementContinuesAfterItsHolderDies(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for victim := range c.Edges {
			c.Edges[victim].Kill()
			c.Sleep(4 * time.Second)
			r := chatRequest("m2")
			r.Timeout = 14 * time.Second
			got, err := c.Send(c.Edges[(victim+1)%3], r)
			is.NoErr(err)
			is.Equal(got.Status, 200)
			c.Edges[victim].Start()
			c.Sleep(3 * time.Second)
		}
	})
}

// A proxy whose control is gone serves on by what it has.
func TestProxiesServeWithoutControl(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Sleep(20 * time.Second)
		for _, edge := range c.Edges {
			got, err := c.Send(edge, slipRequest())
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
		for _, m := range c.Controls {
			m.Start()
		}
		c.Sleep(5 * time.Second)
		status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/back/"), 5*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
	})
}
