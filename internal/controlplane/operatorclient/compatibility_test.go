package operatorclient

import (
	"archive/tar"
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be rewritten to make a test pass (package recorded).

// byteReader reads one byte at a time, so that no bytes after the end of a request are recorded with it.
type byteReader struct{ from *bufio.Reader }

// Read implements io.Reader.
func (r *byteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return r.from.Read(p[:1])
}

// recorder is a fake control process that records the bytes of requests and gives predefined responses.
type recorder struct {
	requests []string
	answer   func(path string) string
}

func (r *recorder) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for {
			var raw strings.Builder
			request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(&byteReader{in}, &raw)))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			r.requests = append(r.requests, strings.ReplaceAll(raw.String(), "\r\n", "\n"))
			if _, err := io.WriteString(far, r.answer(request.URL.Path)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// Guards against calls whose bytes differ from those that were recorded.
func TestCompatibilityOfCalls(t *testing.T) {
	control := &recorder{answer: func(string) string { return httpAnswer(200, "{}") }}
	client := NewClient([]string{"10.1.0.1:8082"}, time.Second, control.dial)
	ctx := t.Context()
	var out strings.Builder
	for _, call := range []struct {
		name string
		make func() error
	}{
		{"read", func() error { _, err := client.ReadConfiguration(ctx); return err }},
		{"replace", func() error { return client.ReplaceConfiguration(ctx, 3, []byte(`{"config_version":4}`)) }},
		{"replace the first", func() error { return client.ReplaceConfiguration(ctx, 0, []byte(`{"config_version":1}`)) }},
		{"modify", func() error { return client.ModifyConfiguration(ctx, 4, []byte(`{"config_version":5,"upsert":{}}`)) }},
		{"evacuate", func() error { return client.BeginEvacuation(ctx, "east") }},
		{"restore", func() error { return client.EndEvacuation(ctx, "east") }},
		{"status", func() error { _, err := client.Status(ctx); return err }},
	} {
		control.requests = nil
		if err := call.make(); err != nil {
			t.Errorf("%s: %v", call.name, err)
		}
		fmt.Fprintf(&out, "== %s\n%s\n", call.name, strings.Join(control.requests, "\n--\n"))
	}
	recorded.Check(t, "calls.txt", out.String())
}

// Guards against reading the responses of a control process of the recorded version differently.
func TestCompatibilityOfAnswers(t *testing.T) {
	for _, answer := range []struct {
		name   string
		status int
		body   string
		want   result.Code
		detail string
	}{
		{"another version", 412, `{"code":300,"result":"version conflict","error_cause":"version 7 is current","advice":"read the configuration and build on it"}`, 300, "version 7 is current"},
		{"invalid", 400, `{"code":206,"result":"invalid field","error_cause":"route chat","advice":"mend the field that the error names"}`, 206, "route chat"},
		{"no such path", 404, `{"code":209,"result":"unknown path","error_cause":"x","advice":""}`, 209, "x"},
		{"unavailable", 503, `{"code":400,"result":"unavailable","error_cause":"no majority","advice":""}`, 400, "no majority"},
		{"unclear", 504, `{"code":401,"result":"unclear","error_cause":"no answer","advice":""}`, 401, "no answer"},
	} {
		t.Run(answer.name, func(t *testing.T) {
			control := &recorder{answer: func(string) string { return httpAnswer(answer.status, answer.body) }}
			err := NewClient([]string{"10.1.0.1:8082"}, time.Millisecond, control.dial).ReplaceConfiguration(t.Context(), 1, []byte(`{}`))
			var rejected *result.Error
			if !errors.As(err, &rejected) || rejected.Code != answer.want || rejected.Detail != answer.detail {
				t.Errorf("response is read as %v", err)
			}
		})
	}
}

// Guards against a support bundle whose files or manifest differ from those that were recorded.
func TestCompatibilityOfBundle(t *testing.T) {
	control := &recorder{answer: func(path string) string {
		if path == "/metrics" {
			return httpAnswer(503, "")
		}
		return httpAnswer(200, `{"at":"`+path+`"}`)
	}}
	client := NewClient([]string{"10.1.0.1:8082"}, time.Second, control.dial)
	var packed bytes.Buffer
	_, err := client.WriteBundle(t.Context(), &packed, BundleOptions{MetricsAddresses: []string{"10.2.0.1:7675"}, Now: time.Unix(1_700_000_000, 0)})
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := gzip.NewReader(&packed)
	if err != nil {
		t.Fatal(err)
	}
	archive := tar.NewReader(compressed)
	program := regexp.MustCompile(`"program": "[^"]*"`)
	var out strings.Builder
	for {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(archive)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "== %s %o\n%s\n", header.Name, header.Mode, program.ReplaceAll(body, []byte(`"program": (varies)`)))
	}
	recorded.Check(t, "bundle.txt", out.String())
}
