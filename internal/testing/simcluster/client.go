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
