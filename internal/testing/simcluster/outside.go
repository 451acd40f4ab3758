package simcluster

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/testing/fakesystem"
)

// ErrNoClearAnswer says that nobody gave a clear answer in time.
var ErrNoClearAnswer = errors.New("no clear answer")

// Sleep lets time pass: on a simulated clock that costs none.
func (c *Cluster) Sleep(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

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

// Request is a client's request.
type Request struct {
	ID, Host, Path, Model, Tokens, Prompt, LastEventID, Body string
	Timeout                                                  time.Duration
}

// Response is what a client got.
type Response struct {
	Status     int
	Seal       string
	TimeToHead time.Duration // until the head
	Body       string
	Events     []string // whole events, of a stream
	Complete   bool     // the answer ended as it should
	Header     http.Header
}

// Send sends a request to an edge machine and reads the answer to its end.
func (c *Cluster) Send(edge *Machine, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	conn, err := c.outside.Dial(ctx, edge.Front())
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	began := time.Now()
	conn.SetDeadline(began.Add(r.Timeout))
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n", r.Path,
		r.Host, r.ID, r.Timeout.Milliseconds(), len(r.Body))
	for name, value := range map[string]string{
		"Model": r.Model, "Token-Count": r.Tokens, "Prompt-Prefix": r.Prompt,
		"Last-Event-Id": r.LastEventID,
	} {
		if value != "" {
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+r.Body); err != nil {
		return Response{}, err
	}
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	got := Response{Status: response.StatusCode, Seal: response.Header.Get("Server-Seal"), TimeToHead: time.Since(began), Header: response.Header}
	body, err := io.ReadAll(response.Body)
	got.Body, got.Complete = string(body), err == nil
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		if len(event) > 0 {
			got.Events = append(got.Events, string(event))
		}
	}
	return got, nil
}

// runsOf are the runs of a request, in the order of their beginnings.
func (c *Cluster) runsOf(id string) []fakesystem.Execution {
	var runs []fakesystem.Execution
	for _, b := range c.Backends {
		for _, run := range b.Executions() {
			if run.Request == id {
				runs = append(runs, run)
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b fakesystem.Execution) int { return cmp.Compare(a.LastEventID, b.LastEventID) })
	return runs
}

// backend is the backend of an id.
func (c *Cluster) backend(id string) *Backend {
	for _, b := range c.Backends {
		if b.ID() == id {
			return b
		}
	}
	return nil
}
