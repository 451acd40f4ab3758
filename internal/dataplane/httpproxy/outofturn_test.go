package httpproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/sockets"
)

// identifiedDialect returns a dialect in which answers carry the id of their request.
func identifiedDialect() *Dialect {
	d := platformDialect()
	d.Matches = func(m *Message, resp *http.Response) bool { return resp.Header.Get("Request-Id") == m.ID }
	d.Answers = d.Matches
	return d
}

func identifiedAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

func identifiedMessage(id string, body []byte) *Message {
	head := fmt.Sprintf("POST /bid HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", id, len(body))
	return &Message{Method: http.MethodPost, Head: []byte(head), Body: body, ID: id}
}

// surplusMoment is when the backend sends the answer to the first request again.
type surplusMoment int

const (
	whileIdle surplusMoment = iota
	betweenTakeAndWrite
	afterHead
	amidBody
	duringHoldback
	beforeOwnAnswer
)

// outOfTurnBackend answers two requests on a connection, and repeats its answer to the first one at the given moment.
func outOfTurnBackend(t *testing.T, moment surplusMoment, surplus chan struct{}, bodyLength int) string {
	return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		first, ok := readRequest(in)
		if !ok {
			return
		}
		again := func() { // fails where the proxy has already closed the connection, as it does with a second one
			_, _ = io.WriteString(c, identifiedAnswer(first.Header.Get("Request-Id")))
		}
		send(t, c, identifiedAnswer(first.Header.Get("Request-Id")))
		if moment == whileIdle || moment == betweenTakeAndWrite {
			<-surplus
			again()
		}
		second, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch moment {
		case afterHead, duringHoldback:
			again()
		case amidBody:
			if _, err := io.CopyN(io.Discard, second.Body, int64(bodyLength/2)); err != nil {
				return
			}
			again()
		}
		if _, err := io.Copy(io.Discard, second.Body); err != nil {
			return
		}
		if moment == beforeOwnAnswer {
			again()
		}
		_, _ = io.WriteString(c, identifiedAnswer(second.Header.Get("Request-Id"))) // the connection may be closed
		_, _ = in.ReadByte()
	})
}

// outOfTurnCase is a moment, and the result of the second request.
type outOfTurnCase struct {
	name     string
	moment   surplusMoment
	body     int
	holdback time.Duration
	want     balancer.Result
}

var outOfTurnCases = []outOfTurnCase{
	{"while the connection is idle", whileIdle, 10, 0, balancer.OK},
	{"between the check and the write", betweenTakeAndWrite, 10, 0, balancer.OK},
	{"between the check and the write, held back", betweenTakeAndWrite, 10, 50 * time.Millisecond, balancer.NotSent},
	{"after the head", afterHead, 3 * maxSingleWrite, 0, balancer.OK},
	{"amid the body", amidBody, 3 * maxSingleWrite, 0, balancer.OK},
	{"while the last byte is held back", duringHoldback, 10, time.Second, balancer.NotSent},
	{"in the place of its own answer", beforeOwnAnswer, 10, 0, balancer.OK},
}

// bodyOf returns the whole body of a reply.
func bodyOf(t *testing.T, r *Reply) string {
	t.Helper()
	if r.stream == nil {
		return string(r.body)
	}
	rest, err := io.ReadAll(r.stream.body)
	if err != nil {
		t.Fatal(err)
	}
	return string(r.stream.first) + string(rest)
}

// If answers carry ids, a surplus answer must never be taken for the answer to the next request, whenever it comes: the
// request gets its own answer, or is known not to have run. So also if its own answer is streamed: such a request failed
// though its answer followed.
func TestAnswersOutOfTurnAreDropped(t *testing.T) {
	t.Parallel()
	for _, c := range outOfTurnCases {
		for _, streaming := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streaming %t", c.name, streaming), func(t *testing.T) { checkOutOfTurn(t, c, streaming) })
		}
	}
}

// checkOutOfTurn checks the second request on a connection on which the first one is answered twice.
func checkOutOfTurn(t *testing.T, c outOfTurnCase, streaming bool) {
	t.Parallel()
	surplus := make(chan struct{})
	addr := outOfTurnBackend(t, c.moment, surplus, c.body)
	backend := engine.NewBackend("s-1", addr, true)
	run := func(id string, conn *backendConn, beforeWrite func()) Reply {
		message := identifiedMessage(id, bytes.Repeat([]byte("x"), c.body))
		message.Streaming = streaming && conn != nil
		x := &exchange{
			backend: backend, permit: new(engine.Permit), conn: conn, dialect: identifiedDialect(), holdback: c.holdback,
			message: message, deadline: time.Now().Add(waitTimeout),
			clientConnected: func() bool { beforeWrite(); return true },
		}
		if conn == nil {
			x.holdback = 0
		}
		return x.run(t.Context(), waitTimeout, nil)
	}
	first := run("first", nil, func() {})
	if first.result != balancer.OK || first.conn == nil {
		t.Fatalf("%v: the connection is not kept", first.result)
	}
	arrived := func() { eventually(t, "the surplus", func() bool { return !sockets.Idle(first.conn.Conn) }) }
	beforeWrite := func() {}
	switch c.moment {
	case whileIdle:
		close(surplus)
		arrived()
	case betweenTakeAndWrite:
		beforeWrite = func() { close(surplus); arrived() }
	}
	second := run("second", first.conn, beforeWrite)
	if second.result != c.want || second.result == balancer.OK && bodyOf(t, &second) != "second" {
		t.Errorf("%v, want %v and the request's own answer", second.result, c.want)
	}
	if !second.surplus {
		t.Error("the surplus is not noticed")
	}
	if second.conn != nil { // also the connection of a stream
		second.conn.Close()
	}
}

// A connection is not reused after an answer with Connection: close, even if the backend leaves it open.
func TestAnnouncedEndIsRespected(t *testing.T) {
	t.Parallel()
	addr := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			send(t, c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")
			_, _ = in.ReadByte()
		}
	})
	x := &exchange{
		backend: engine.NewBackend("s-1", addr, true), permit: new(engine.Permit), dialect: platformDialect(),
		message: probeMessage(addr), deadline: time.Now().Add(waitTimeout),
	}
	if r := x.run(t.Context(), waitTimeout, nil); r.result != balancer.OK || r.conn != nil {
		t.Errorf("%v, the connection is kept: %t", r.result, r.conn != nil)
	}
}
