package simcluster

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoClearAnswer says that nobody gave a clear answer in time.
var ErrNoClearAnswer = errors.New("no clear answer")

// CallOperatorAPI makes a call to control as the operator does: to one process after the other until
// one gives a clear answer.
func (c *Cluster) CallOperatorAPI(method, path, base, body string, patience time.Duration) (status int, answer string, err error) {
	end := time.Now().Add(patience)
	for at := 0; time.Now().Before(end); at++ {
		status, answer, err := c.callControl(c.Controls[at%len(c.Controls)], method, path, base, body)
		if err == nil && status < 500 && status != fasthttp.StatusRequestTimeout && status != fasthttp.StatusTooManyRequests {
			return status, answer, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, "", ErrNoClearAnswer
}

func (c *Cluster) callControl(m *Machine, method, path, base, body string) (int, string, error) {
	return c.callHTTP(m.ControlAddress(), method, path, base, body)
}

// callHTTP makes one call from outside to an address.
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
	if err := c.client.DoTimeout(request, response, time.Second); err != nil {
		return 0, "", err
	}
	return response.StatusCode(), string(response.Body()), nil
}

// ReplaceConfiguration has a whole configuration taken, on top of the one before.
func (c *Cluster) ReplaceConfiguration(document func(version uint64) string, patience time.Duration) (status int, answer string, err error) {
	base := c.version
	status, answer, err = c.CallOperatorAPI(http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(base, 10), document(base+1), patience)
	if err == nil && status == http.StatusOK {
		c.version = base + 1
	}
	return status, answer, err
}
