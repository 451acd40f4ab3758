package agent

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

	headerExpected = "Expected-Backend"
	// backendTimeout bounds a call to a backend.
	backendTimeout = 700 * time.Millisecond
	// backendConnections bounds the connections to one backend.
	backendConnections = 1
	// backendIdle is how long a connection to a backend is kept.
	backendIdle = 4 * time.Second
	// largestReport bounds a report.
	largestReport = 1 << 20
)

// backendClient calls backends for what they hold, and gives them orders.
type backendClient struct {
	http *fasthttp.Client
}

func newBackendClient(dial transport.DialFunc) *backendClient {
	client := transport.NewHTTPClient(dial)
	client.MaxConnsPerHost, client.MaxIdleConnDuration = backendConnections, backendIdle
	client.MaxConnWaitTimeout, client.MaxResponseBodySize = backendTimeout, largestReport
	return &backendClient{client}
}

// report is a backend's word on itself.
type report struct {
	Models []struct {
		Name     string   `json:"name"`
		Version  uint64   `json:"config_version"`
		Adapters []string `json:"adapter_list"`
	} `json:"model_list"`
	Busy     bool   `json:"occupied"`
	Sequence uint64 `json:"call_seq"`
}

var errNoReport = eris.New("the backend gives no report")

// report asks a backend what it holds.
func (c *backendClient) report(address, id string) (placement.Report, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + pathReport)
	request.Header.Set(headerExpected, id)
	if err := c.http.DoTimeout(request, response, backendTimeout); err != nil {
		return placement.Report{}, eris.Wrap(err, "asking for a report")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return placement.Report{}, errNoReport
	}
	var r report
	if err := json.Unmarshal(response.Body(), &r); err != nil {
		return placement.Report{}, eris.Wrap(err, "reading a report")
	}
	out := placement.Report{Busy: r.Busy, Revision: r.Sequence, Loaded: map[string][]string{}}
	for _, m := range r.Models {
		out.Loaded[m.Name] = m.Adapters
	}
	return out, nil
}

// order is what is sent to a backend.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Revision  uint64 `json:"if_revision"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence_number"`
}

// The words of operations.
var operationWords = map[placement.Operation]string{placement.Load: "model_load", placement.Unload: "model_unload"}

// orderOutcome is how an order ended.
type orderOutcome int

const (
	orderTaken    orderOutcome = iota // it is being carried out
	orderNeedless                     // the backend holds that already
	orderRefused                      // it was not taken
	orderFenced                       // another holder has a higher token
	orderUnclear                      // it may have been taken
)

// permit tells whether an order may be given at this moment, and until when it may be written.
type permit func() (until time.Time, allowed bool)

// order gives a backend an order. permit is asked at the instant before; what then has to wait for a connection is
// not written once the permit has run out.
func (c *backendClient) order(address, id string, o order, permit permit) orderOutcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, _ := json.Marshal(o) // a struct of plain fields always marshals
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + pathOrder)
	request.Header.Set(headerExpected, id)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	until, allowed := permit()
	if !allowed {
		return orderRefused
	}
	deadline := time.Now().Add(backendTimeout)
	if until.Before(deadline) {
		deadline = until
	}
	err := c.http.DoDeadline(request, response, deadline)
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, transport.ErrUnexpectedData):
		return orderRefused // nothing was written
	case err != nil:
		return orderUnclear
	}
	switch response.StatusCode() {
	case fasthttp.StatusAccepted:
		return orderTaken
	case fasthttp.StatusOK:
		return orderNeedless
	case fasthttp.StatusPreconditionFailed:
		return orderFenced
	}
	return orderRefused
}
