package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
)

// answer is an answer as a client sees it.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool // the body ended as its framing says
}

// requestText returns a request with a length.
func requestText(method, path, host string, headers map[string]string, body string) string {
	var text strings.Builder
	text.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	names := make([]string, 0, len(headers))
	for name := range headers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		text.WriteString(name + ": " + headers[name] + "\r\n")
	}
	if method != "GET" {
		text.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	text.WriteString("\r\n" + body)
	return text.String()
}

// readAnswer reads one answer to its end. An answer whose body breaks off is returned with complete unset.
func readAnswer(conn net.Conn, method string) (*answer, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &answer{response.StatusCode, response.Header, string(body), err == nil}, nil
}
