package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marlreel/internal/config"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/process/logs"
	"marlreel/internal/standin"
)

// benchEngine is the engine of the proxy that benchProxy started last.
var benchEngine *engine.Engine

// benchProxy starts a proxy whose backends are one server that speaks both protocols and answers with 512 bytes.
func benchProxy(b *testing.B, answers bool, backends int) (httpAddr, rpcAddr string, clients func() (http, rpc net.Conn)) {
	b.Helper()
	addr, backendRPC, err := standin.AddressPair(rpcOffset)
	if err != nil {
		b.Fatal(err)
	}
	listen := func(addr string, serve func(c net.Conn)) {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
	}
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n" + string(make([]byte, 512)))
	listen(addr, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			c.Write(answer)
		}
	})
	result := make([]byte, 512)
	listen(backendRPC, func(c net.Conn) {
		defer c.Close()
		d := msgpack.NewDecoder(c)
		for {
			v, err := d.DecodeSlice()
			if err != nil {
				return
			}
			if id, _ := asUint(v[1]); answers {
				answerCall(c, id, nil, result)
			}
		}
	})
	// The concurrency limit of a backend starts low and grows only with its answers, so a
	// thousand open calls need many backends.
	var instances []string
	for i := range backends {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"koper","machineType":"mid-2c","lifecycle":"Ready","weight":1}`, i, addr))
	}
	cfg, err := config.ParsePlatform([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f",
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":%s}`, strings.Join(instances, ","), testSettings)), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	in := listeners{}
	for _, l := range []*net.Listener{&in.http, &in.rpc} {
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
	}
	own := rpcSettings()
	own.RPC.Backend.MaxTotalConnections = 512
	p, err := assemble(cfg, own, nil, logs.Discard())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go p.engine.Run(ctx)
	go p.front.Serve(in.http)
	go p.rpcFront.Serve(in.rpc)
	b.Cleanup(func() {
		in.close()
		p.rpcFront.Close()
		stop()
		p.source.Close()
		p.carrier.Close()
		p.rpcCarrier.Close()
		<-p.engine.Done()
	})
	benchEngine = p.engine
	return in.http.Addr().String(), in.rpc.Addr().String(), func() (net.Conn, net.Conn) {
		var two [2]net.Conn
		for i, a := range []net.Addr{in.http.Addr(), in.rpc.Addr()} {
			c, err := net.Dial("tcp", a.String())
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { c.Close() })
			two[i] = c
		}
		return two[0], two[1]
	}
}

func cpu() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Sends sequential requests through one proxy over each protocol. The cost includes client and backend, so only the
// ratio of the two protocols within one run is meaningful.
func BenchmarkProtocols(b *testing.B) {
	_, _, clients := benchProxy(b, true, 1)
	overHTTP, overRPC := clients()
	n := 0
	measure := func(b *testing.B, one func() error) {
		if err := one(); err != nil { // establishes the connections
			b.Fatal(err)
		}
		b.ReportAllocs()
		before := cpu()
		for b.Loop() {
			if err := one(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/op")
	}
	b.Run("http", func(b *testing.B) {
		in := bufio.NewReader(overHTTP)
		measure(b, func() error {
			n++
			fmt.Fprintf(overHTTP, "GET /lot-list/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: obala\r\nX-Time-Left: 9000m\r\n\r\n", n)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	})
	b.Run("rpc", func(b *testing.B) {
		d := msgpack.NewDecoder(overRPC)
		measure(b, func() error {
			n++
			data, err := msgpack.Marshal([]any{0, uint32(n), "list", []any{7, map[string]any{"$id": fmt.Sprintf("%016x", n), "$house": "obala", "$left_ms": 9000}}})
			if err != nil {
				return err
			}
			if _, err := overRPC.Write(data); err != nil {
				return err
			}
			v, err := d.DecodeSlice()
			if err == nil && v[2] != nil {
				err = fmt.Errorf("%v", v[2])
			}
			return err
		})
	})
}

// Measures the memory per open call, with 1,000 open calls on 10 connections.
func BenchmarkOpenCalls(b *testing.B) {
	_, rpcAddr, _ := benchProxy(b, false, 200)
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		before := heap()
		var conns []net.Conn
		for range 10 {
			c, err := net.Dial("tcp", rpcAddr)
			if err != nil {
				b.Fatal(err)
			}
			conns = append(conns, c)
			var all bytes.Buffer
			for i := range 100 {
				// Bids wait when the concurrency limit is reached, so these calls stay open.
				data, _ := msgpack.Marshal([]any{0, uint32(i + 1), "post.bid", []any{make([]byte, 256), map[string]any{"$id": fmt.Sprintf("%016x", lastRequestID.Add(1)), "$house": "obala", "$left_ms": 30000}}})
				all.Write(data)
			}
			c.Write(all.Bytes())
		}
		time.Sleep(50 * time.Millisecond)
		b.ReportMetric((heap()-before)/1000, "B/open-call")
		open := make(chan int, 1)
		benchEngine.Post(func() { open <- benchEngine.OpenCalls() })
		b.ReportMetric(float64(<-open), "open")
		for _, c := range conns {
			c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}
