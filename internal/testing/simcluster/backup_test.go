package simcluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// docs/CONTROL.md: all disks are lost for good, and a configuration that was read before is put back into a system
// that is founded anew. Agents and proxies are restarted, and serve by it.
func TestABackupIsPutBack(t *testing.T) {
	play(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for range 3 { // sequence numbers of the lost system are higher
			status, _, err := c.Configure(moved("/voucher/"), 4*time.Second)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		}
		status, backup, err := c.Call(http.MethodGet, "/marlreel/config/read", "", "", 4*time.Second)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		for _, m := range c.Controls {
			m.Kill()
		}
		for _, m := range c.Controls {
			m.Wipe()
			m.first = true
			m.Start()
		}
		c.Pass(2 * time.Second)
		status, answer, err := c.Call(http.MethodPost, "/marlreel/config/replace", "0", backup, 4*time.Second)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(answer != "")
		for _, m := range c.Edges {
			m.Kill()
			m.Start()
		}
		c.Pass(4 * time.Second)
		for _, edge := range c.Edges {
			r := slip()
			r.Path = "/voucher/1"
			got, err := c.Ask(edge, r)
			is.NoErr(err)
			is.Equal(got.Status, http.StatusOK)
		}
	})
}
