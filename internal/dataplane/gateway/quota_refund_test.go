package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// closeUnanswered answers health checks on a connection, and closes it without an answer at the first other request.
func closeUnanswered(conn net.Conn, received chan<- string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method != http.MethodGet {
			received <- request.URL.Path
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nBackend-Id: i-2\r\nContent-Length: 0\r\n\r\n"))
	}
}

// Guards against exceeding a quota by refunds for requests that ran: a safe request whose backend closed the connection
// may be refused, but counts.
func TestRefusedRequestThatMayHaveRunIsNotRefunded(t *testing.T) {
	gate := &fakeGate{}
	document := documentOf(t, limitedTenants)
	for i := range document.Routes {
		document.Routes[i].Class = "safe"
	}
	runGateway(t, document, gate, func(h *harness) {
		is := is.New(h.t)
		const address = "10.2.0.2:9000"
		listener, err := h.net.Machine("10.2.0.2").Listen(address)
		is.NoErr(err)
		defer listener.Close()
		received := make(chan string, 8)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go closeUnanswered(conn, received)
			}
		}()
		h.service.setBackends([]*api.Backend{{Id: "i-2", Service: "s", Address: address, Zone: "z", Slots: 6}}, h.gateway.identity, nil)
		time.Sleep(time.Second)
		status, _ := h.send("/keyed/1", harborCredentials)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.HasPrefix(<-received, "/keyed/")) // it has reached a backend
		is.Equal(len(gate.refunded()), 0)
	})
}
