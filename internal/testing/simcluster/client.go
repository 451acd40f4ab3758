package simcluster

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request. Fields other than the first three and the timeout may be empty.
type Request struct {
	ID, Host, Path, Model, Tokens, Prompt, LastEventID, Body string
	Key                                                      string // sent as Bearer credentials
	OtherHeaders                                             string // header lines, each terminated by \r\n
	Timeout                                                  time.Duration
}

// Response is the response that a client received.
type Response struct {
	Status     int
	Seal       string        // value of the Server-Seal header
	TimeToHead time.Duration // measured from when the connection was open
	Body       string
	Events     []string // of a stream; the last one may be truncated unless Complete
	Complete   bool     // the whole response was received
	Header     http.Header
}

// Send sends a request to an edge machine over a new connection, and reads the response to its end. A truncated response
// is not an error, but is not Complete.
func (c *Cluster) Send(edge *Machine, r Request) (Response, error) {
	conn, err := c.DialFront(edge, r.Timeout)
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	return SendOver(conn, r)
}

// DialFront opens a client's connection to an edge machine. The caller closes it.
func (c *Cluster) DialFront(edge *Machine, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.outside.Dial(ctx, edge.Front())
}

// SendOver is like Send, but uses an open connection. The connection can be reused as long as responses are Complete.
func SendOver(conn net.Conn, r Request) (Response, error) {
	began := time.Now()
	if err := conn.SetDeadline(began.Add(r.Timeout)); err != nil {
		return Response{}, err
	}
	if _, err := io.WriteString(conn, r.head()+r.Body); err != nil {
		return Response{}, err
	}
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Response{}, err
	}
	defer reply.Body.Close()
	response := Response{Status: reply.StatusCode, Seal: reply.Header.Get("Server-Seal"), TimeToHead: time.Since(began), Header: reply.Header}
	body, err := io.ReadAll(reply.Body)
	response.Body, response.Complete = string(body), err == nil
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		if len(event) > 0 {
			response.Events = append(response.Events, string(event))
		}
	}
	return response, nil
}

// head returns the request line and headers as sent on the wire.
func (r *Request) head() string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n", r.Path,
		r.Host, r.ID, r.Timeout.Milliseconds(), len(r.Body))
	for name, value := range map[string]string{
		"Model": r.Model, "Token-Count": r.Tokens, "Prompt-Prefix": r.Prompt,
		"Last-Event-Id": r.LastEventID, "Authorization": r.credentials(),
	} {
		if value != "" {
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	return head.String() + r.OtherHeaders + "\r\n"
}

// credentials returns the value of the Authorization header, which is empty if the request has no key.
func (r *Request) credentials() string {
	if r.Key == "" {
		return ""
	}
	return "Bearer " + r.Key
}
