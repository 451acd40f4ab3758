// Package operatorclient is the operator's side of control's interface: calls that go on until
// one control process has given a clear answer.
package operatorclient

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/transport"
)

const (
	callTimeout = 1500 * time.Millisecond
	callPause   = 200 * time.Millisecond
)

// Client calls control.
type Client struct {
	controls []string
	patience time.Duration
	http     *fasthttp.Client
}

// NewClient makes a client for control processes at these addresses.
func NewClient(controls []string, patience time.Duration, dial transport.DialFunc) *Client {
	return &Client{controls: controls, patience: patience, http: transport.NewHTTPClient(dial)}
}

// NoAnswerError says that no control process gave a clear answer. What was sent may have
// been taken.
type NoAnswerError struct {
	Last error
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no clear answer from control: %v", e.Last)
}

// Unwrap gives the last cause.
func (e *NoAnswerError) Unwrap() error { return e.Last }

// Advice is what can be done about it.
func (e *NoAnswerError) Advice() string {
	return "see whether most control processes run (marlreeld status), and send the same again: it has its effect only once"
}

// call goes on, with another control process each time, until there is a clear answer.
func (c *Client) call(method, path, base string, body []byte) ([]byte, error) {
	last := eris.New("no control process is named")
	for at, end := 0, time.Now().Add(c.patience); len(c.controls) > 0; at++ {
		status, answer, err := c.callOne(c.controls[at%len(c.controls)], method, path, base, body)
		switch {
		case err != nil:
			last = err
		case status == fasthttp.StatusOK:
			return answer, nil
		case status < 500 && status != fasthttp.StatusRequestTimeout && status != fasthttp.StatusTooManyRequests:
			return nil, refusal(status, answer)
		default:
			last = refusal(status, answer)
		}
		if time.Now().Add(callPause).After(end) {
			break
		}
		time.Sleep(callPause)
	}
	return nil, &NoAnswerError{last}
}

func (c *Client) callOne(address, method, path, base string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if base != "" {
		request.Header.Set("Base-Version", base)
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return 0, nil, eris.Wrapf(err, "calling %s", address)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// refusal is control's own word on why it does not do something.
func refusal(status int, answer []byte) error {
	var said struct {
		Code  result.Code `json:"code"`
		Cause string      `json:"error_cause"`
	}
	if err := json.Unmarshal(answer, &said); err != nil || said.Code == 0 {
		return eris.Errorf("status %d", status)
	}
	return &result.Error{Code: said.Code, Detail: said.Cause}
}

// Read gives the newest configuration.
func (c *Client) Read() ([]byte, error) {
	return c.call(fasthttp.MethodGet, "/marlreel/config/read", "", nil)
}

// Replace puts a whole configuration in force on top of a version.
func (c *Client) Replace(base uint64, document []byte) error {
	_, err := c.call(fasthttp.MethodPost, "/marlreel/config/replace", strconv.FormatUint(base, 10), document)
	return err
}

// Modify changes named items on top of a version.
func (c *Client) Modify(base uint64, change []byte) error {
	_, err := c.call(fasthttp.MethodPost, "/marlreel/config/modify", strconv.FormatUint(base, 10), change)
	return err
}

// Evacuate begins or ends the evacuation of a zone.
func (c *Client) Evacuate(zone string, begin bool) error {
	verb := "terminate"
	if begin {
		verb = "begin"
	}
	_, err := c.call(fasthttp.MethodPost, "/marlreel/evacuation/"+zone+"/"+verb, "", nil)
	return err
}

// Status gives how things stand, as JSON, as the first control process that answers sees them.
func (c *Client) Status() ([]byte, error) {
	return c.call(fasthttp.MethodGet, "/marlreel/status", "", nil)
}
