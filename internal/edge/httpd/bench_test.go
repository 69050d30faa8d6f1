package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/memory"
)

const (
	benchBodyBytes = 1 << 20
	// benchMaxHeaderBytes and benchMaxBodyBytes let every request of the benchmark in.
	benchMaxHeaderBytes = 128 << 10
	benchMaxBodyBytes   = 4 << 20
	benchBudgetBytes    = 256 << 20
)

// benchHead returns a request whose head has about n bytes.
func benchHead(n int) string {
	const start = "GET / HTTP/1.1\r\nHost: h\r\nCookie: "
	return start + strings.Repeat("x", n-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
}

// benchChunks returns a request with a body in chunks of n bytes.
func benchChunks(n int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, benchBodyBytes/n) + "0\r\n\r\n"
}

// BenchmarkRequest sends requests on one connection. It reports the processor time of a request,
// that of its caller included, the heap that is held while it is handled and that which its
// connection keeps afterwards.
func BenchmarkRequest(b *testing.B) {
	for _, bm := range []struct{ name, request string }{
		{"head=100", benchHead(100)},
		{"head=4000", benchHead(4000)},
		{"head=8000", benchHead(8000)},
		{"head=15000", benchHead(15000)},
		{"head=64000", benchHead(64000)},
		{"body=whole", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", benchBodyBytes, strings.Repeat("x", benchBodyBytes))},
		{"body=chunks_of_64_KB", benchChunks(64 << 10)},
		{"body=chunks_of_1_byte", benchChunks(1)},
	} {
		b.Run(bm.name, func(b *testing.B) { benchRequest(b, []byte(bm.request)) })
	}
}

func benchRequest(b *testing.B, request []byte) {
	handled := func() {}
	options := Options{MaxBodyBytes: benchMaxBodyBytes, MaxHeaderBytes: benchMaxHeaderBytes, DetectDisconnect: true, OmitDefaults: true, Budget: memory.NewBudget(benchBudgetBytes)}
	s, err := Start("127.0.0.1:0", options, func(h *server.Hertz) {
		h.Use(func(_ context.Context, c *app.RequestContext) {
			handled()
			c.SetStatusCode(http.StatusOK)
		})
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	exchange := func() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v, want 200", resp.StatusCode, err)
		}
	}
	idle := liveHeap()
	var held int64
	handled = func() { held = liveHeap() - idle }
	exchange()
	handled = func() {}
	kept := liveHeap() - idle
	b.ReportAllocs()
	begin := processorTime(b)
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(processorTime(b)-begin)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(held), "held-B")
	b.ReportMetric(float64(kept), "kept-B")
}

// liveHeap returns the number of bytes in use on the heap after a collection.
func liveHeap() int64 {
	// The first collection empties the pools into their victims, the second those.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// processorTime returns the processor time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
