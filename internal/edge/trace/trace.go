// Package trace makes a span for each hop of a request with OpenTelemetry. It carries
// the W3C trace context from the caller to the target.
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

// Header is the HTTP header of the W3C trace context.
const Header = "traceparent"

const scope = "pollentack"

// Tracer starts spans. Its zero value is not usable; New and Off return one.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdk.TracerProvider
	file     *os.File
}

// Span is one hop in progress.
type Span struct {
	span   oteltrace.Span
	parent string
}

// Off returns a tracer that makes no spans and passes the caller's context on.
func Off() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(scope)}
}

// New returns the tracer that the settings ask for.
func New(s *settings.Trace) (*Tracer, error) {
	switch s.Exporter {
	case "otlp":
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Address), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("otlp exporter for %s: %w", s.Address, err)
		}
		return withProcessor(sdk.NewBatchSpanProcessor(exporter)), nil
	case "file":
		return newFile(s.File)
	}
	return Off(), nil
}

// WithExporter returns a tracer that hands each ended span to exporter at once.
func WithExporter(exporter sdk.SpanExporter) *Tracer {
	return withProcessor(sdk.NewSimpleSpanProcessor(exporter))
}

func withProcessor(p sdk.SpanProcessor) *Tracer {
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(p))
	return &Tracer{tracer: provider.Tracer(scope), provider: provider}
}

func newFile(path string) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, fmt.Errorf("trace file %s: %w", path, err)
	}
	t := withProcessor(sdk.NewBatchSpanProcessor(exporter))
	t.file = file
	return t, nil
}

// Close sends what has not been sent and ends the exporter.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("stop tracing: %w", err)
	}
	if t.file == nil {
		return nil
	}
	if err := t.file.Close(); err != nil {
		return fmt.Errorf("close trace file: %w", err)
	}
	return nil
}

// Start begins a span under the trace context parent, which may be empty.
func (t *Tracer) Start(parent, name string, attrs ...attribute.KeyValue) Span {
	carrier := propagation.MapCarrier{Header: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	_, span := t.tracer.Start(ctx, name, oteltrace.WithAttributes(attrs...))
	return Span{span: span, parent: parent}
}

// Context returns the trace context to pass to the next hop.
func (s Span) Context() string {
	if !s.span.SpanContext().IsValid() {
		return s.parent
	}
	carrier := propagation.MapCarrier{}
	ctx := oteltrace.ContextWithSpan(context.Background(), s.span)
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header]
}

// End ends the span with what became known during the hop.
func (s Span) End(attrs ...attribute.KeyValue) {
	s.span.SetAttributes(attrs...)
	s.span.End()
}
