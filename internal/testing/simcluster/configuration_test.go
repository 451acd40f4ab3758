package simcluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
