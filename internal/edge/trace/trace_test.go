package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/settings"
)

const callerTraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// TestFileExporterWritesOneLinePerSpan checks the JSON Lines exporter, and that spans continue
// the caller's trace and pass their own context to the next hop.
func TestFileExporterWritesOneLinePerSpan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tracer, err := New(&settings.Trace{Exporter: "file", File: path})
	if err != nil {
		t.Fatal(err)
	}
	query := tracer.Start(callerTraceParent, "query")
	attempt := tracer.Start(query.TraceParent(), "attempt")
	next := attempt.TraceParent()
	attempt.End()
	query.End()
	if err := tracer.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(next, callerTraceParent[:35]) || next == callerTraceParent {
		t.Errorf("the next hop gets %q, want another span of the caller's trace", next)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); lines++ {
		if !json.Valid(scanner.Bytes()) {
			t.Errorf("line %d is not JSON", lines+1)
		}
	}
	if lines != 2 {
		t.Errorf("%d lines for 2 spans", lines)
	}
}

func TestOTLPExporterSendsSpans(t *testing.T) {
	got := make(chan string, 1)
	collector, err := httpd.Start("127.0.0.1:0", httpd.Options{MaxBodyBytes: 1 << 20}, func(h *server.Hertz) {
		h.POST("/v1/traces", func(_ context.Context, c *app.RequestContext) {
			got <- string(c.Request.Header.ContentType())
			c.Status(http.StatusOK)
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	tracer, err := New(&settings.Trace{Exporter: "otlp", Address: collector.Address()})
	if err != nil {
		t.Fatal(err)
	}
	tracer.Start("", "query").End()
	if err := tracer.Close(); err != nil {
		t.Fatal(err)
	}
	if kind := <-got; kind != "application/x-protobuf" {
		t.Errorf("the collector received content type %q", kind)
	}
}

func TestDisabledTracerForwardsTraceContext(t *testing.T) {
	if next := NewDisabled().Start(callerTraceParent, "query").TraceParent(); next != callerTraceParent {
		t.Errorf("the next hop gets %q, want the caller's context", next)
	}
}
