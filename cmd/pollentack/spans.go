package main

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const microsPerMilli = 1000

// printSpans prints spans as a tree, with the children of each span in order of their start
// time.
func printSpans(w io.Writer, spans tracetest.SpanStubs) {
	slices.SortFunc(spans, func(a, b tracetest.SpanStub) int { return a.StartTime.Compare(b.StartTime) })
	known := map[oteltrace.SpanID]bool{}
	children := map[oteltrace.SpanID][]tracetest.SpanStub{}
	for i := range spans {
		known[spans[i].SpanContext.SpanID()] = true
		parent := spans[i].Parent.SpanID()
		children[parent] = append(children[parent], spans[i])
	}
	for parent, roots := range children {
		if known[parent] {
			continue
		}
		for i := range roots {
			printSpan(w, &roots[i], children, 1)
		}
	}
}

func printSpan(w io.Writer, s *tracetest.SpanStub, children map[oteltrace.SpanID][]tracetest.SpanStub, depth int) {
	attrs := make([]string, 0, len(s.Attributes))
	for _, a := range s.Attributes {
		attrs = append(attrs, fmt.Sprintf("%s=%s", a.Key, a.Value.String()))
	}
	elapsed := float64(s.EndTime.Sub(s.StartTime).Microseconds()) / microsPerMilli
	fmt.Fprintf(w, "%s%s  %.1f ms  %s\n", strings.Repeat("  ", depth), s.Name, elapsed, strings.Join(attrs, " "))
	nested := children[s.SpanContext.SpanID()]
	for i := range nested {
		printSpan(w, &nested[i], children, depth+1)
	}
}
