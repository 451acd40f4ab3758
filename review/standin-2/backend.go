package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// receiveBuffer is the size of a server's receive buffers in bytes: its links have small windows.
const receiveBuffer = 8 << 10

// backend is a server of the users' protocol (PROTOCOL.md). It prints "run ID" when it begins work on a request.
type backend struct {
	id, service, at string
	controls        []string
	how             string // what it does besides
	work            time.Duration
	beats           uint64
}

// serveBackend runs a server until the process is killed.
func serveBackend(args []string) {
	b := &backend{}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&b.id, "id", "", "its id")
	flags.StringVar(&b.service, "service", "", "its service")
	flags.StringVar(&b.at, "at", "", "its address")
	flags.StringVar(&b.how, "how", "", "what it does besides")
	flags.DurationVar(&b.work, "work", 30*time.Millisecond, "the work of a request")
	known := flags.String("controls", "", "the control processes")
	_ = flags.Parse(args) // it exits on an error
	b.controls = strings.Split(*known, ",")
	listening := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := listening.Listen(context.Background(), "tcp", b.at)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go b.sendBeats()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// startBackend starts a server as a process of its own.
func (s *system) startBackend(id, service, how string, host int, work time.Duration) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	at := make([]string, 0, controls)
	for i := 1; i <= controls; i++ {
		at = append(at, address(s.ip(i), portControl))
	}
	command := exec.Command(program, "server", "-id", id, "-service", service, "-at", address(s.ip(host), portServer), "-how", how,
		"-work", work.String(), "-controls", strings.Join(at, ","))
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.start(id, command); err != nil {
		return err
	}
	s.waiting.Go(func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			s.record.addServerLine(id, lines.Text())
		}
	})
	return nil
}

// sendBeats sends heartbeats to the control processes.
func (b *backend) sendBeats() {
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; {
		b.beats++
		body, _ := json.Marshal(map[string]any{ // plain values always marshal
			"service": b.service, "address": b.at, "zone": zoneName, "config_version": "v1", "slots": b.slots(), "state": "in_service",
			"cold_left_ms": 0, "phase": "both", "model_list": b.models(), "call_seq": b.beats,
		})
		url := "http://" + b.controls[at%len(b.controls)] + "/marlreel/backends/" + b.id + "/heartbeat"
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			at++
			time.Sleep(120 * time.Millisecond)
			continue
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// slots returns how many requests it works on at once.
func (b *backend) slots() int {
	if b.service == modelService {
		return 64
	}
	return 6
}

// models returns the loaded models: one, for a server of models.
func (b *backend) models() []map[string]any {
	if b.service != modelService {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "config_version": 1, "adapter_list": []string{}}}
}

// serve answers the requests of one connection, one at a time.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch request.URL.Path {
		case "/health":
			err = write(conn, http.StatusOK, []string{"Backend-Id: " + b.id}, "")
		case "/marlreel/report":
			err = b.answerReport(conn)
		case "/marlreel/order":
			err = write(conn, http.StatusOK, nil, "")
		default:
			err = b.answer(conn, request)
		}
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// write writes an answer.
func write(conn net.Conn, status int, headers []string, body string) error {
	lines := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_, err := io.WriteString(conn, lines+strings.Join(append(headers, "\r\n"), "\r\n")+body)
	return err
}

func (b *backend) answerReport(conn net.Conn) error {
	body, _ := json.Marshal(map[string]any{ // plain values always marshal
		"phase": "both", "model_list": b.models(), "occupied": false, "call_seq": 0, "queued": 0, "active": 0,
		"kv_in_use": 0, "kv_limit": 100000, "served_models": 0,
	})
	return write(conn, http.StatusOK, nil, string(body))
}

// answer runs a client's request.
func (b *backend) answer(conn net.Conn, request *http.Request) error {
	id := request.Header.Get("Request-Id")
	own := []string{"Request-Id: " + id}
	if expected := request.Header.Get("Expected-Backend"); expected != "" && expected != b.id {
		fmt.Println("rejects", id, "which is for", expected)
		return write(conn, http.StatusMisdirectedRequest, append(own, "Not-Executed: 1"), "")
	}
	sealed := append(own, "Server-Seal: "+b.id+"."+id)
	fmt.Println("run", id)
	switch b.how {
	case "early":
		return b.answerEarly(conn, request, sealed)
	case "chunks":
		return b.streamChunks(conn, sealed)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	time.Sleep(b.work)
	if b.how == "shed" && rand.IntN(5) < 2 {
		fmt.Println("answers", id, "with 503, after it has run")
		return write(conn, http.StatusServiceUnavailable, sealed, "failed")
	}
	fmt.Println("answers", id)
	return write(conn, http.StatusOK, sealed, "done "+id)
}

// answerEarly begins work on a request with its head, answers before it has read its long body, and reads on later.
func (b *backend) answerEarly(conn net.Conn, request *http.Request, sealed []string) error {
	if b.work > 0 {
		time.Sleep(b.work)
	}
	id := request.Header.Get("Request-Id")
	fmt.Println("answers", id)
	if err := write(conn, http.StatusOK, sealed, "done "+id); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, request.Body)
	return err
}

// The stream of a server of models.
const (
	modelService = "lm"
	modelName    = "daka510000"
	events       = 10
	eventGap     = 100 * time.Millisecond
)

// streamChunks answers with a stream of events in chunks: it reads the prompt first.
func (b *backend) streamChunks(conn net.Conn, sealed []string) error {
	time.Sleep(b.work)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	if _, err := io.WriteString(conn, head+strings.Join(append(sealed, "\r\n"), "\r\n")); err != nil {
		return err
	}
	for i := 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(eventGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
