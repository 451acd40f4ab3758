package reconciler

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/placement"
	"marlreel/internal/process/transport"
)

const (
	pathReport = "/marlreel/report"
	pathOrder  = "/marlreel/order"

	headerExpectedBackend = "Expected-Backend"

	// backendTimeout limits a call to a backend. Raising it leaves the outcome of an order to a failed backend unknown for
	// longer; lowering it makes calls to busy backends time out.
	backendTimeout = 700 * time.Millisecond
	// maxBackendConnections limits the connections to one backend, separately for reports and orders. Calls of one kind
	// are sent one at a time.
	maxBackendConnections = 1
	// maxBackendIdle is how long an idle connection for reports is kept open. Raising it costs connections; lowering it
	// adds a handshake to reports.
	maxBackendIdle = 4 * time.Second
	maxReportBytes = 1 << 20
)

// backendClient requests reports from backends and sends them orders.
//
// Responses carry no request id. On a shared connection, a surplus response that arrives after the next request was
// written would count as the response to that one: a rejected order would count as accepted, or a lease would be dropped
// because of an old fencing token. Each order therefore has its own connection. Reports share one: a mismatched response
// is an earlier report, and the planner's OnReport ignores reports from before the last order.
type backendClient struct {
	reports *fasthttp.Client
	orders  *fasthttp.Client // keeps no connection
}

func newBackendClient(dial transport.DialFunc) *backendClient {
	return &backendClient{reports: newHTTPClient(dial), orders: newHTTPClient(dial)}
}

func newHTTPClient(dial transport.DialFunc) *fasthttp.Client {
	client := transport.NewHTTPClient(dial)
	client.MaxConnsPerHost, client.MaxIdleConnDuration = maxBackendConnections, maxBackendIdle
	client.MaxConnWaitTimeout, client.MaxResponseBodySize = backendTimeout, maxReportBytes
	return client
}

// closeIdle closes the connections that no call uses.
func (c *backendClient) closeIdle() {
	c.reports.CloseIdleConnections()
	c.orders.CloseIdleConnections()
}

// reportMessage is the wire format of a backend's report.
type reportMessage struct {
	Models []struct {
		Name     string   `json:"name"`
		Version  uint64   `json:"config_version"`
		Adapters []string `json:"adapter_list"`
	} `json:"model_list"`
	Busy     bool   `json:"occupied"`
	Sequence uint64 `json:"call_seq"`
}

// errReportRejected means that a backend responded without a report: it may be another one at the same address.
var errReportRejected = eris.New("report rejected")

// report requests a backend's report.
func (c *backendClient) report(address, id string) (placement.Report, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + pathReport)
	request.Header.Set(headerExpectedBackend, id)
	if err := c.reports.DoTimeout(request, response, backendTimeout); err != nil {
		return placement.Report{}, eris.Wrapf(err, "requesting the report of backend %s at %s", id, address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return placement.Report{}, eris.Wrapf(errReportRejected, "backend %s at %s: status %d", id, address, status)
	}
	var message reportMessage
	if err := json.Unmarshal(response.Body(), &message); err != nil {
		return placement.Report{}, eris.Wrapf(err, "decoding the report of backend %s at %s", id, address)
	}
	report := placement.Report{Busy: message.Busy, Revision: message.Sequence, Loaded: map[string][]string{}}
	for _, model := range message.Models {
		report.Loaded[model.Name] = model.Adapters
	}
	return report, nil
}

// orderMessage is the wire format of an order.
type orderMessage struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Revision     uint64 `json:"if_revision"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence_number"`
}

// operationNames are the wire names of the operations.
var operationNames = map[placement.Operation]string{placement.Load: "model_load", placement.Unload: "model_unload"}

// orderOutcome is the outcome of sending an order.
type orderOutcome int

const (
	orderAccepted    orderOutcome = iota // the backend is carrying it out
	orderUnnecessary                     // the backend is already in the requested state
	orderRejected                        // the backend will not carry it out
	orderFenced                          // the backend has seen a higher fencing token
	orderUnknown                         // the backend may or may not have accepted it
)

// authorization reports whether an order may be sent now, and the deadline for writing it.
type authorization func() (deadline time.Time, authorized bool)

// order sends an order to a backend. It calls authorize immediately before sending. An order that waits for a connection
// until the deadline of its authorization is not written.
func (c *backendClient) order(address, id string, message orderMessage, authorize authorization) orderOutcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, _ := json.Marshal(message) // a struct of plain fields always marshals
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + pathOrder)
	request.Header.Set(headerExpectedBackend, id)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	leaseExpiry, authorized := authorize()
	if !authorized {
		return orderRejected
	}
	deadline := time.Now().Add(backendTimeout)
	if leaseExpiry.Before(deadline) {
		deadline = leaseExpiry
	}
	defer c.orders.CloseIdleConnections() // that of this order, and those of other completed orders
	err := c.orders.DoDeadline(request, response, deadline)
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, transport.ErrUnexpectedData):
		return orderRejected // nothing was written
	case err != nil:
		return orderUnknown
	}
	return outcomeOf(response.StatusCode())
}

// outcomeOf returns the meaning of a backend's response to an order.
func outcomeOf(status int) orderOutcome {
	switch status {
	case fasthttp.StatusAccepted:
		return orderAccepted
	case fasthttp.StatusOK:
		return orderUnnecessary
	case fasthttp.StatusPreconditionFailed:
		return orderFenced
	}
	return orderRejected
}
