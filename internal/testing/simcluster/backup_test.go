package simcluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The procedure of docs/CONTROL.md: all disks are lost permanently, and a configuration that was read earlier is restored
// into a new system. Agents and proxies are restarted, and serve that configuration.
func TestBackupIsRestored(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for range 3 { // the lost system reaches higher sequence numbers than the new one
			c.replaceConfiguration(t, documentWithSlipsAt("/voucher/"), 4*time.Second)
		}
		backup := c.readDocument(t, 4*time.Second)
		for _, m := range c.Controls {
			m.Kill()
		}
		for _, m := range c.Controls {
			m.EraseDisk()
			m.firstStart = true
			m.Start()
		}
		c.Sleep(2 * time.Second)
		status, answer, err := c.CallOperatorAPI(http.MethodPost, "/marlreel/config/replace", "0", backup, 4*time.Second)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(answer != "")
		for _, m := range c.Edges {
			m.Kill()
			m.Start()
		}
		c.Sleep(4 * time.Second)
		c.checkServed(t, c.Edges, "/voucher/1", http.StatusOK)
	})
}
