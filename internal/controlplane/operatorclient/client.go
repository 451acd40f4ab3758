package operatorclient

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
)

const (
	// attemptTimeout bounds one attempt at one control process.
	attemptTimeout = 1500 * time.Millisecond
	// retryBackoff is the time between two attempts.
	retryBackoff = 200 * time.Millisecond
)

// Client calls control. Its methods may be called by several goroutines at once.
type Client struct {
	controls []string
	timeout  time.Duration
	http     *fasthttp.Client
}

// NewClient returns a client for the control processes at the given addresses, HOST:PORT. The timeout bounds the time in
// which one call is retried; its first attempt is always made.
func NewClient(controls []string, timeout time.Duration, dial transport.DialFunc) *Client {
	return &Client{controls: controls, timeout: timeout, http: transport.NewHTTPClient(dial)}
}

// ReadConfiguration returns the newest committed configuration as JSON.
func (c *Client) ReadConfiguration(ctx context.Context) ([]byte, error) {
	return c.call(ctx, operation{method: http.MethodGet, path: "/marlreel/config/read"})
}

// ReplaceConfiguration commits a complete configuration on top of the version base, which is 0 for the first one. It
// fails with a *result.Error if control rejects it, and with a *NoAnswerError if it may have been committed.
func (c *Client) ReplaceConfiguration(ctx context.Context, base uint64, document []byte) error {
	_, err := c.call(ctx, operation{method: http.MethodPost, path: "/marlreel/config/replace", base: formatVersion(base), body: document})
	return err
}

// ModifyConfiguration commits a change of named items on top of the version base. It fails as ReplaceConfiguration does.
func (c *Client) ModifyConfiguration(ctx context.Context, base uint64, change []byte) error {
	_, err := c.call(ctx, operation{method: http.MethodPost, path: "/marlreel/config/modify", base: formatVersion(base), body: change})
	return err
}

// BeginEvacuation makes the proxies stop sending requests to the backends of a zone.
func (c *Client) BeginEvacuation(ctx context.Context, zone string) error {
	_, err := c.call(ctx, operation{method: http.MethodPost, path: "/marlreel/evacuation/" + zone + "/begin"})
	return err
}

// EndEvacuation reverses BeginEvacuation.
func (c *Client) EndEvacuation(ctx context.Context, zone string) error {
	_, err := c.call(ctx, operation{method: http.MethodPost, path: "/marlreel/evacuation/" + zone + "/terminate"})
	return err
}

// Status returns the status of the first control process that responds, as JSON (controlplane.Status).
func (c *Client) Status(ctx context.Context) ([]byte, error) {
	return c.call(ctx, operation{method: http.MethodGet, path: "/marlreel/status"})
}

// Quotas returns the tenants' quotas as their owners count them, as JSON (controlplane.QuotaReport).
func (c *Client) Quotas(ctx context.Context) ([]byte, error) {
	return c.call(ctx, operation{method: http.MethodGet, path: "/marlreel/quotas"})
}

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }

// operation is an HTTP call to control.
type operation struct {
	method string
	path   string
	base   string // the version that a change builds on; empty for other calls
	body   []byte // nil: the call has no body
}

// call tries the control processes in turn until one gives a definite response, the client's timeout expires, or ctx is
// done.
func (c *Client) call(ctx context.Context, op operation) ([]byte, error) {
	last := eris.New("no address of a control process was given")
	deadline := time.Now().Add(c.timeout)
	for attempt := 0; len(c.controls) > 0; attempt++ {
		status, answer, err := c.attempt(c.controls[attempt%len(c.controls)], op)
		switch {
		case err != nil:
			last = err
		case status == http.StatusOK:
			return answer, nil
		case isDefinite(status):
			return nil, rejection(status, answer)
		default:
			last = rejection(status, answer)
		}
		if time.Now().Add(retryBackoff).After(deadline) {
			break
		}
		timing.Sleep(ctx, retryBackoff)
		if ctx.Err() != nil {
			return nil, &NoAnswerError{Last: ctx.Err()}
		}
	}
	return nil, &NoAnswerError{Last: last}
}

// isDefinite reports whether a status ends the call, because another attempt would have the same result.
func isDefinite(status int) bool {
	return status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// attempt makes one HTTP request and returns the status and body of the response.
func (c *Client) attempt(address string, op operation) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(op.method)
	request.SetRequestURI("http://" + address + op.path)
	if op.base != "" {
		request.Header.Set("Base-Version", op.base)
	}
	if op.body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(op.body)
	}
	if err := c.http.DoTimeout(request, response, attemptTimeout); err != nil {
		return 0, nil, eris.Wrapf(err, "calling %s", address)
	}
	return response.StatusCode(), slices.Clone(response.Body()), nil
}

// rejection returns the error in control's response, or an error with only the status if the response has none.
func rejection(status int, answer []byte) error {
	var body struct {
		Code  result.Code `json:"code"`
		Cause string      `json:"error_cause"`
	}
	if err := json.Unmarshal(answer, &body); err != nil || body.Code == 0 {
		return eris.Errorf("response has status %d and no result code", status)
	}
	return &result.Error{Code: body.Code, Detail: body.Cause}
}
