package simcluster

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoClearAnswer reports that no control process gave a definite response in time: the call may or may not have taken
// effect.
var ErrNoClearAnswer = errors.New("no control process gave a definite response in time")

const (
	// operatorCallTimeout limits a single call of the operator, and operatorBackoff is the delay after a call without a
	// definite response.
	operatorCallTimeout = time.Second
	operatorBackoff     = 100 * time.Millisecond
)

// CallOperatorAPI makes a call to control as the operator does: it tries one control process after the other until one
// gives a definite response, and returns that response's status and body. base is the version that a change is based on,
// or empty. The error is nil or ErrNoClearAnswer.
func (c *Cluster) CallOperatorAPI(method, path, base, body string, timeout time.Duration) (status int, answer string, err error) {
	deadline := time.Now().Add(timeout)
	for next := 0; time.Now().Before(deadline); next++ {
		status, answer, err := c.callControl(c.Controls[next%len(c.Controls)], method, path, base, body)
		if err == nil && isClear(status) {
			return status, answer, nil
		}
		time.Sleep(operatorBackoff)
	}
	return 0, "", ErrNoClearAnswer
}

// isClear reports whether a status says definitely whether a call took effect.
func isClear(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// callControl makes one call to one control process.
func (c *Cluster) callControl(m *Machine, method, path, base, body string) (int, string, error) {
	return c.callHTTP(m.ControlAddress(), method, path, base, body)
}

// callHTTP makes one HTTP call to an address from the operator's network.
func (c *Cluster) callHTTP(address, method, path, base, body string) (int, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if base != "" {
		request.Header.Set("Base-Version", base)
	}
	request.SetBodyString(body)
	if err := c.client.DoTimeout(request, response, operatorCallTimeout); err != nil {
		return 0, "", err
	}
	return response.StatusCode(), string(response.Body()), nil
}

// ReplaceConfiguration replaces the configuration with the next version of a document. It retries and returns as
// CallOperatorAPI does.
func (c *Cluster) ReplaceConfiguration(document func(version uint64) string, timeout time.Duration) (status int, answer string, err error) {
	base := c.version
	status, answer, err = c.CallOperatorAPI(http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(base, 10), document(base+1), timeout)
	if err == nil && status == http.StatusOK {
		c.version = base + 1
	}
	return status, answer, err
}
