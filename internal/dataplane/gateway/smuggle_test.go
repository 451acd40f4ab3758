package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against header smuggling by heads that servers parse differently: whatever bytes a client sends, backends get
// one tenant and no key.
func TestOddHeadersNameNoOtherTenant(t *testing.T) {
	runGateway(t, documentOf(t, limitedTenants), nil, func(h *harness) {
		is := is.New(h.t)
		h.addBackend()
		for name, headers := range map[string]string{
			"space before the colon":   "Subscriber : spoofed\r\n",
			"tab before the colon":     "Subscriber\t: spoofed\r\n",
			"folded line":              "X-Other: a\r\n Subscriber: spoofed\r\n",
			"folded value":             "Subscriber:\r\n spoofed\r\n",
			"bare line feed":           "X-Other: a\nSubscriber: spoofed\r\n",
			"bare carriage return":     "X-Other: a\rSubscriber: spoofed\r\n",
			"underscore":               "Sub_scriber: spoofed\r\n",
			"folded key":               "X-Other: a\r\n Authorization: Bearer k1\r\n",
			"named by Connection":      "Connection: Subscriber, Authorization\r\nSubscriber: spoofed\r\n",
			"proxy's credentials":      "Proxy-Authorization: Bearer other\r\n",
			"trailer":                  "Trailer: Subscriber\r\nSubscriber: spoofed\r\n",
			"in upper case, twice":     "SUBSCRIBER: spoofed\r\nsUbScRiBeR: spoofed\r\n",
			"empty":                    "Subscriber:\r\n",
			"line feed and key":        "X-Other: a\nAuthorization: Bearer k1\r\n",
			"null in the name":         "Subscriber\x00: spoofed\r\n",
			"control character before": "\x0bSubscriber: spoofed\r\n",
		} {
			before := len(h.backend.Executions())
			conn := h.dial()
			h.write(conn, "/keyed/1", "Authorization: Bearer k2\r\n"+headers)
			status, _ := h.read(conn)
			is.NoErr(conn.Close())
			ran := h.backend.Executions()[before:]
			h.t.Logf("%s: status %d", name, status)
			if status != http.StatusOK {
				is.Equal(len(ran), 0)
				continue
			}
			is.Equal(len(ran), 1)
			is.Equal(ran[0].Header.Values("Subscriber"), []string{"quay"})
			is.Equal(ran[0].Header.Values("Authorization"), nil)
		}
	})
}
