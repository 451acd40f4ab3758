package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/testutil"
)

// procStatus returns a number from /proc/PID/status, in the unit used there.
func procStatus(t *testing.T, pid int, name string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skipf("this system does not report the memory of a process: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("no %s", name)
	return 0
}

func descriptors(t *testing.T, pid int) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Skipf("this system does not report the descriptors of a process: %v", err)
	}
	return len(all)
}

// bulkBackend answers each request with 32 MB, written from one shared buffer.
func bulkBackend(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	piece := make([]byte, 256<<10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if r.URL.Path == "/health" {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 128*len(piece))
					for range 128 {
						if _, err := c.Write(piece); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// 64 concurrent answers of 32 MB to clients that read slowly, through a process with a limit of 64 MB. The whole
// process, not only its heap, must stay within the limit.
func TestLargeAnswersInLittleMemory(t *testing.T) {
	p := newPlatform(t, 1)
	p.list(bulkBackend(t))
	q := p.start(p.dir)
	p.ready(q)
	const readers = 64
	var over sync.WaitGroup
	stop := make(chan struct{})
	for i := range readers {
		// Requests are sent one after the other: the limit of concurrent requests is not tested here.
		c, err := net.Dial("tcp4", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(waitTimeout))
		fmt.Fprintf(c, "GET /lot-list/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: a\r\nX-Time-Left: 1000m\r\nX-Correlation-Id: %016x\r\n\r\n", i+1)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 || resp.ContentLength != 32<<20 {
			t.Fatalf("answer %d: %+v %v", i, resp, err)
		}
		over.Add(1)
		go func() {
			defer over.Done()
			buf := make([]byte, 64<<10)
			for n := int64(0); n < resp.ContentLength; {
				got, err := resp.Body.Read(buf)
				if n += int64(got); err != nil && err != io.EOF {
					t.Error(err)
					return
				}
				select {
				case <-stop: // read the rest at full speed
				case <-time.After(2 * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond) // by now all buffers are full
	close(stop)
	over.Wait()
	if peak := procStatus(t, q.cmd.Process.Pid, "VmHWM"); peak > 64<<10 && !testutil.Race {
		t.Errorf("the process took %d kB", peak)
	} else {
		t.Logf("the process took %d kB at most", peak)
	}
	p.stop(q)
}

// 2,000 connections without a complete request, to a process with 256 descriptors. Requests on new connections are
// served, the platform's calls are answered, and the limit of descriptors is kept.
func TestManySilentConnections(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("needs /proc to count descriptors")
	}
	p := newPlatform(t, 2)
	// The limit is for live memory. With the default GOGC the peak would include as much garbage again.
	q := p.start(p.dir, "GOGC=10")
	p.ready(q)
	pid := q.cmd.Process.Pid
	before := procStatus(t, pid, "VmRSS")
	var most atomic.Int64
	var crowd []net.Conn
	defer func() {
		for _, c := range crowd {
			c.Close()
		}
	}()
	for i := range 2000 {
		c, err := net.Dial("tcp4", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		if i%3 == 1 {
			io.WriteString(c, "GET /lot-list/x HTTP/1.1\r\nHo")
		}
		if crowd = append(crowd, c); i%50 != 49 {
			continue
		}
		most.Store(max(most.Load(), int64(descriptors(t, pid))))
		good, err := net.Dial("tcp4", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		good.SetDeadline(time.Now().Add(waitTimeout))
		fmt.Fprintf(good, "GET /lot-list/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: a\r\nX-Time-Left: 1000m\r\nX-Correlation-Id: %016x\r\n\r\n", i+1)
		resp, err := http.ReadResponse(bufio.NewReader(good), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("a request next to %d silent connections: %+v %v", i+1, resp, err)
		}
		good.Close()
		if resp, err := http.Get("http://" + q.control + "/control/ready"); err != nil || resp.StatusCode != 200 {
			t.Fatalf("the control address: %+v %v", resp, err)
		} else {
			resp.Body.Close()
		}
	}
	if n := most.Load(); n > 256 {
		t.Errorf("%d descriptors were open", n)
	}
	if grown := procStatus(t, pid, "VmHWM") - before; grown > 8<<10 && !testutil.Race {
		t.Errorf("the process grew by %d kB", grown)
	} else {
		t.Logf("the process grew by %d kB", grown)
	}
	p.stop(q)
}

// A truncated or invalid file is rejected at SIGHUP, and counted.
func TestRejectedFilesAreCounted(t *testing.T) {
	p := newPlatform(t, 3)
	q := p.start(p.dir)
	p.ready(q)
	good, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	metric := func(name string) string {
		resp, err := http.Get("http://" + q.control + "/control/counters")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		for line := range strings.Lines(string(text)) {
			if value, found := strings.CutPrefix(line, "proxy."+name+":"); found {
				return strings.TrimSpace(value)
			}
		}
		return ""
	}
	for n, text := range []string{"", string(good[:len(good)/2]), strings.Replace(string(good), `"GiveUp":1000`, `"GiveUp":0`, 1), "{}"} {
		if text == string(good) {
			t.Fatal("nothing was changed")
		}
		temp := filepath.Join(p.dir, "next")
		if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(temp, p.config); err != nil {
			t.Fatal(err)
		}
		q.hup()
		want := fmt.Sprintf("%d|c", n+1)
		for until := time.Now().Add(waitTimeout); metric("sighup_rejected") != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%.40q: %s were rejected, want %s", text, metric("sighup_rejected"), want)
			}
		}
	}
	if got := metric("sighup_applied"); got != "0|c" {
		t.Errorf("%s were applied", got)
	}
	p.stop(q)
}
