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

	// backendTimeout bounds a call to a backend. Raising it leaves the outcome of an order to a dead backend open for
	// longer, lowering it gives up on backends that are busy.
	backendTimeout = 700 * time.Millisecond
	// maxBackendConnections bounds the connections to one backend for reports, and for orders: each go out one after the
	// other.
	maxBackendConnections = 1
	// maxBackendIdle is how long an unused connection for reports is kept. Raising it costs connections, lowering it adds a
	// handshake to reports.
	maxBackendIdle = 4 * time.Second
	maxReportBytes = 1 << 20
)

// backendClient asks backends what they have loaded, and gives them orders.
//
// Answers bear no id. An answer too many that comes after the next call was written would be taken for that one's: a refused
// order would count as accepted, or a lease would be dropped for an old fence. So each order has a connection of its own. Reports
// share one: the wrong one is an earlier report, and OnReport of the planner heeds none from before the last order.
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

// reportMessage is a backend's report as it is sent.
type reportMessage struct {
	Models []struct {
		Name     string   `json:"name"`
		Version  uint64   `json:"config_version"`
		Adapters []string `json:"adapter_list"`
	} `json:"model_list"`
	Busy     bool   `json:"occupied"`
	Sequence uint64 `json:"call_seq"`
}

// errReportRejected says that a backend answers, and gives no report: it may be another one at the same address.
var errReportRejected = eris.New("report rejected")

// report asks a backend what it has loaded.
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

// orderMessage is an order as it is sent.
type orderMessage struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Revision     uint64 `json:"if_revision"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence_number"`
}

// operationNames are the operations as they are sent.
var operationNames = map[placement.Operation]string{placement.Load: "model_load", placement.Unload: "model_unload"}

// orderOutcome is how sending an order ended.
type orderOutcome int

const (
	orderAccepted    orderOutcome = iota // the backend carries it out
	orderUnnecessary                     // the backend is in the ordered state already
	orderRejected                        // the backend will not carry it out
	orderFenced                          // the backend has seen a higher fencing token
	orderUnknown                         // the backend may or may not have accepted it
)

// authorization reports whether an order may be given at this moment, and up to when it may be written.
type authorization func() (deadline time.Time, authorized bool)

// order gives a backend an order. authorize is asked at the last instant; an order that then waits for a connection is
// not written after its deadline.
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
	defer c.orders.CloseIdleConnections() // this order's, and those of others that are over
	err := c.orders.DoDeadline(request, response, deadline)
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, transport.ErrUnexpectedData):
		return orderRejected // nothing was written
	case err != nil:
		return orderUnknown
	}
	return outcomeOf(response.StatusCode())
}

// outcomeOf is what a backend's answer to an order means.
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
