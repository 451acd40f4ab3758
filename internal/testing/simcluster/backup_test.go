package simcluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// docs/CONTROL.md: all disks are lost for good, and a configuration that was read before is restored into a new system.
// Agents and proxies are restarted, and serve by it.
func TestBackupIsRestored(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for range 3 { // sequence numbers of the lost system are higher
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
