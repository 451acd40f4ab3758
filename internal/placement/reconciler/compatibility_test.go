package reconciler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marlreel/internal/placement"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility were recorded with the code of commit 6fb9894 and WRITE_COMPATIBILITY=1. They
// contain formats that other processes, backends and operators rely on, so they must not be recorded again to make a
// test pass. The files named sent-… follow the user documentation.

// recordingBackend records the bytes of requests and sends a fixed response.
type recordingBackend struct {
	seen   []string
	answer string
}

func (b *recordingBackend) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for {
			_, raw, err := recorded.ReadRequest(in)
			if err != nil {
				return
			}
			b.seen = append(b.seen, raw)
			if _, err := io.WriteString(far, b.answer); err != nil {
				return
			}
		}
	}()
	return near, nil
}

func alwaysAuthorized() (time.Time, bool) { return time.Now().Add(time.Minute), true }

// Orders to backends are sent as exactly the recorded bytes.
func TestCompatibilityOfOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		for _, operation := range []placement.Operation{placement.Load, placement.Unload} {
			for _, adapter := range []string{"", "a3"} {
				backend := &recordingBackend{answer: "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"}
				client := newBackendClient(backend.dial)
				outcome := client.order("10.3.0.1:9000", "i-7f3a91c2", orderMessage{
					Operation: operationNames[operation], Model: "m0", Adapter: adapter,
					Revision: 2, Holder: "edge-1/0000002a", FencingToken: 41,
				}, alwaysAuthorized)
				if outcome != orderAccepted {
					t.Errorf("outcome of an order with status 202 is %d, want orderAccepted", outcome)
				}
				fmt.Fprintf(&out, "%s\n\n", strings.Join(backend.seen, "\n--\n"))
				client.closeIdle()
			}
		}
		recorded.Check(t, "orders.txt", out.String())
		time.Sleep(clientGoroutinesEnd)
	})
}

// Each status that backends send in response to an order has the meaning given in the user documentation.
func TestCompatibilityOfAnswersToOrders(t *testing.T) {
	for status, want := range map[int]orderOutcome{
		202: orderAccepted, 200: orderUnnecessary, 409: orderRejected, 412: orderFenced,
		400: orderRejected, 421: orderRejected, 503: orderRejected,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &recordingBackend{answer: fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))}
				client := newBackendClient(backend.dial)
				got := client.order("10.3.0.1:9000", "i-7f3a91c2", orderMessage{Operation: "model_load", Model: "m0", Holder: "edge-1/0000002a", FencingToken: 41}, alwaysAuthorized)
				if got != want {
					t.Errorf("outcome is %d, want %d", got, want)
				}
				client.closeIdle()
				time.Sleep(clientGoroutinesEnd)
			})
		})
	}
}

// The request for a backend's report is sent as recorded, and the documented report is decoded as recorded.
func TestCompatibilityOfReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := recorded.Read(t, "sent-report.json")
		backend := &recordingBackend{answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
		client := newBackendClient(backend.dial)
		report, err := client.report("10.3.0.1:9000", "i-7f3a91c2")
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "%s\nbusy %t\nrevision %d\n", strings.Join(backend.seen, "\n--\n"), report.Busy, report.Revision)
		for _, name := range slices.Sorted(maps.Keys(report.Loaded)) {
			adapters, err := json.Marshal(report.Loaded[name])
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "holds %s %s\n", name, adapters)
		}
		recorded.Check(t, "report.txt", out.String())
		client.closeIdle()
		time.Sleep(clientGoroutinesEnd)
	})
}
