package simcluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// docs/CONTROL.md: all disks are lost for good, and a configuration that was read before is put back into a system
// that is founded anew. Agents and proxies are restarted, and serve by it.
func TestBackupIsRestored(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for range 3 { // sequence numbers of the lost system are higher
			status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/voucher/"), 4*time.Second)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		}
		status, backup, err := c.CallOperatorAPI(http.MethodGet, "/marlreel/config/read", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
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
		for _, edge := range c.Edges {
			r := slipRequest()
			r.Path = "/voucher/1"
			got, err := c.Send(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, http.StatusOK)
		}
	})
}
