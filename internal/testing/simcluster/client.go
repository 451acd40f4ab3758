package simcluster

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request. Fields other than the first three and the timeout may be empty.
type Request struct {
	ID, Host, Path, Model, Tokens, Prompt, LastEventID, Body string
	Timeout                                                  time.Duration
}

// Response is what a client received.
type Response struct {
	Status     int
	Seal       string        // the header Server-Seal
	TimeToHead time.Duration // from when the connection was there
	Body       string
	Events     []string // of a stream; the last one may be cut short unless Complete
	Complete   bool     // the response ended as it should
	Header     http.Header
}

// Send sends a request to an edge machine over a connection of its own, and reads the response to its end. A response
// that breaks off is no error: it is not Complete.
func (c *Cluster) Send(edge *Machine, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	conn, err := c.outside.Dial(ctx, edge.Front())
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
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

// head is the request's head as it is sent.
func (r *Request) head() string {
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
	return head.String() + "\r\n"
}
