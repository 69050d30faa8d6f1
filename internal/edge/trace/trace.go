// Package trace creates an OpenTelemetry span for each hop of a request and propagates the
// W3C trace context from the caller to the target.
package trace

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"pollentack.example/pollentack/internal/settings"
)

// TraceParentHeader is the HTTP header of the W3C trace context.
const TraceParentHeader = "traceparent"

const scopeName = "pollentack"

// Tracer starts spans. Its zero value is not usable: use New, NewDisabled or NewWithExporter.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdk.TracerProvider
	file     *os.File
}

// Span is the span of one hop.
type Span struct {
	span   oteltrace.Span
	parent string
}

// NewDisabled returns a tracer that records no spans and forwards the caller's trace context.
func NewDisabled() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(scopeName)}
}

// New returns the tracer for the exporter in the settings, or NewDisabled if there is none.
func New(s *settings.Trace) (*Tracer, error) {
	switch s.Exporter {
	case "otlp":
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Address), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("create OTLP exporter for %s: %w", s.Address, err)
		}
		return newWithProcessor(sdk.NewBatchSpanProcessor(exporter)), nil
	case "file":
		return newFileTracer(s.File)
	}
	return NewDisabled(), nil
}

// NewWithExporter returns a tracer that passes each ended span to exporter synchronously.
func NewWithExporter(exporter sdk.SpanExporter) *Tracer {
	return newWithProcessor(sdk.NewSimpleSpanProcessor(exporter))
}

func newWithProcessor(p sdk.SpanProcessor) *Tracer {
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(p))
	return &Tracer{tracer: provider.Tracer(scopeName), provider: provider}
}

func newFileTracer(path string) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, fmt.Errorf("create exporter for trace file %s: %w", path, err)
	}
	t := newWithProcessor(sdk.NewBatchSpanProcessor(exporter))
	t.file = file
	return t, nil
}

// Close exports the remaining spans and shuts the exporter down.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("shut down tracing: %w", err)
	}
	if t.file == nil {
		return nil
	}
	if err := t.file.Close(); err != nil {
		return fmt.Errorf("close trace file: %w", err)
	}
	return nil
}

// Start starts a span. parent is a traceparent header value, or empty for a new trace.
func (t *Tracer) Start(parent, name string, attrs ...attribute.KeyValue) Span {
	carrier := propagation.MapCarrier{TraceParentHeader: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	_, span := t.tracer.Start(ctx, name, oteltrace.WithAttributes(attrs...))
	return Span{span: span, parent: parent}
}

// TraceParent returns the traceparent header value to send to the next hop.
func (s Span) TraceParent() string {
	if !s.span.SpanContext().IsValid() {
		return s.parent
	}
	carrier := propagation.MapCarrier{}
	ctx := oteltrace.ContextWithSpan(context.Background(), s.span)
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[TraceParentHeader]
}

// End adds attributes to the span and ends it.
func (s Span) End(attrs ...attribute.KeyValue) {
	s.span.SetAttributes(attrs...)
	s.span.End()
}
