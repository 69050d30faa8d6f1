// Package httpd starts the HTTP servers of a host, all with the same hertz configuration.
package httpd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"pollentack.example/pollentack/internal/core/intake"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/memory"
)

// Options configure a server.
type Options struct {
	// MaxBodyBytes is the maximum size of a request body; 0 means defaultMaxBodyBytes.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of a request line and header; 0 means defaultMaxHeaderBytes.
	MaxHeaderBytes int
	// Limits returns the current limits of requests, which apply beside the maximum sizes; nil means none.
	Limits func() RequestLimits
	// DetectDisconnect cancels the context of a handler when its caller closes the connection.
	DetectDisconnect bool
	// OmitDefaults omits the header fields that hertz adds by default.
	OmitDefaults bool
	// IdleTimeout returns the current idle timeout of connections. It may change while a
	// connection is idle. nil means defaultIdleTimeout.
	IdleTimeout func() time.Duration
	// Budget bounds the memory of the connections and of the requests on them; nil means
	// defaultBudgetBytes. A connection that finds no room takes the place of one that sends no request,
	// or waits.
	Budget *memory.Budget
	// MaxConnections bounds the connections, 0 for no bound beside the budget.
	MaxConnections int
	// Displaced is called when a connection has to make room for a new one; nil means not. It must not
	// block.
	Displaced func()
	// Refuse returns the bytes of the response to a request that is refused before it is whole, after
	// which its connection is closed; nil means a response without a body.
	Refuse func(*intake.Refusal) []byte
	// OnPanic receives the panics that ended a request or a connection, with their stacks; nil ignores
	// them.
	OnPanic func(error)
}

const (
	// operatorBytes bounds what the connections of a listener for operators or a balancer hold, apart
	// from those of callers. It is enough for 48 connections.
	operatorBytes = 2 << 20
	// operatorMessageBytes bounds the head and the body of a request to it.
	operatorMessageBytes = 16 << 10
)

// OperatorOptions returns the options of a listener for operators or a balancer, whose requests are small
// and are answered however busy that for callers is.
func OperatorOptions() Options {
	return Options{MaxBodyBytes: operatorMessageBytes, MaxHeaderBytes: operatorMessageBytes, Budget: memory.NewBudget(operatorBytes)}
}

// RequestLimits bound a request. Zero values mean no limit beside the maximum sizes and
// defaultHeaderTimeout.
type RequestLimits struct {
	// FieldBytes bounds the header without the request line.
	FieldBytes int
	BodyBytes  int
	// HeaderTimeout is the time in which a header has to arrive from its first byte on.
	HeaderTimeout time.Duration
}

// Limits are those of the next request on a connection.
type Limits struct {
	intake.Limits
	HeaderTimeout time.Duration
	idleTimeout   time.Duration
}

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultBudgetBytes    = 256 << 20
)

// withDefaults returns the options with the default of each that is not set.
func (o *Options) withDefaults() *Options {
	out := *o
	if out.MaxBodyBytes <= 0 {
		out.MaxBodyBytes = defaultMaxBodyBytes
	}
	if out.MaxHeaderBytes == 0 {
		out.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if out.Budget == nil {
		out.Budget = memory.NewBudget(defaultBudgetBytes)
	}
	if out.OnPanic == nil {
		out.OnPanic = func(error) {}
	}
	return &out
}

// limits returns the limits of the next request.
func (l *listener) limits() Limits {
	o := l.options
	out := Limits{
		Limits:        intake.Limits{HeadBytes: o.MaxHeaderBytes, BodyBytes: o.MaxBodyBytes},
		HeaderTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout,
	}
	if o.IdleTimeout != nil {
		out.idleTimeout = o.IdleTimeout()
	}
	if o.Limits == nil {
		return out
	}
	current := o.Limits()
	out.FieldBytes = current.FieldBytes
	if current.BodyBytes > 0 {
		out.BodyBytes = min(out.BodyBytes, current.BodyBytes)
	}
	if current.HeaderTimeout > 0 {
		out.HeaderTimeout = current.HeaderTimeout
	}
	return out
}

// statuses are those of the responses to refused requests.
var statuses = [intake.ReasonCount]int{
	intake.Malformed:    http.StatusBadRequest,
	intake.HeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	intake.BodyTooLarge: http.StatusRequestEntityTooLarge,
	intake.TooSlow:      http.StatusRequestTimeout,
	intake.NoRoom:       http.StatusServiceUnavailable,
}

// response returns the response to a refused request.
func (l *listener) response(r *intake.Refusal) []byte {
	if l.options.Refuse != nil {
		return l.options.Refuse(r)
	}
	status := statuses[r.Reason]
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// Server is an HTTP server with one listener.
type Server struct {
	address  string
	listener *listener
	hertz    *server.Hertz
	group    *duty.Group
}

const (
	readTimeout        = 30 * time.Second
	defaultIdleTimeout = 90 * time.Second
	// CloseTimeout is how long Close waits for the requests in progress.
	CloseTimeout = 2 * time.Second
)

// silenceHertzLog keeps the log lines of hertz out of the JSON log. SetLevel is not
// synchronized with the threads of hertz, so it is called once, before the first server starts.
var silenceHertzLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Start listens on address and serves the routes that register adds.
func Start(address string, options Options, register func(*server.Hertz)) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return Serve(socket, options, register)
}

// Serve serves the routes that register adds on socket, which the server closes when it stops.
func Serve(socket net.Listener, options Options, register func(*server.Hertz)) (*Server, error) {
	address := socket.Addr().String()
	options = *options.withDefaults()
	listener := newListener(socket, &options)
	silenceHertzLog()
	hertzOptions := []config.Option{
		server.WithListener(listener),
		server.WithTransport(recoverConnections(newTransporter, options.OnPanic)),
		server.WithOnAccept(withAccepted),
		server.WithMaxRequestBodySize(options.MaxBodyBytes),
		server.WithMaxKeepBodySize(BlockBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(defaultIdleTimeout),
		server.WithExitWaitTime(CloseTimeout),
		server.WithDisablePrintRoute(true),
		server.WithMaxHeaderBytes(options.MaxHeaderBytes),
		// Forms would be copied to memory and files beside the budget.
		server.WithDisablePreParseMultipartForm(true),
	}
	if options.OmitDefaults {
		hertzOptions = append(hertzOptions, server.WithDisableDefaultDate(true), server.WithDisableDefaultContentType(true),
			config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }})
	}
	hertzOptions = append(hertzOptions, server.WithSenseClientDisconnection(options.DetectDisconnect))
	h := server.New(hertzOptions...)
	h.PanicHandler = recoverRequest(options.OnPanic)
	register(h)
	group, err := duty.NewGroup(1, func(string, error) {})
	if err != nil {
		return nil, fmt.Errorf("serve %s: %w", address, err)
	}
	s := &Server{address: address, listener: listener, hertz: h, group: group}
	err = group.Start(duty.Duty{
		Name: "http " + s.address,
		Run:  func() { _ = h.Run() },
		Stop: s.shutdown,
	})
	if err != nil {
		return nil, fmt.Errorf("serve %s: %w", address, err)
	}
	return s, nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Stats returns the counters of the server.
func (s *Server) Stats() Stats { return s.listener.stats() }

// Close stops listening and waits at most CloseTimeout for the requests in progress.
func (s *Server) Close() { s.group.Stop() }

// CloseConnections closes every connection without waiting for its request, as if the process
// had been killed. Close must follow.
func (s *Server) CloseConnections() { s.listener.closeAll() }

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), CloseTimeout)
	defer cancel()
	s.listener.interruptReads()
	_ = s.hertz.Shutdown(ctx)
	// A server that has not begun to listen yet ignores Shutdown.
	_ = s.listener.Close()
}
