// Package httpd starts the HTTP servers of a host, all with the same hertz configuration.
package httpd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/memory"
)

// Options configure a server.
type Options struct {
	// MaxBodyBytes is the maximum size of a request body; 0 means defaultMaxBodyBytes.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of a request header; 0 means the default of hertz.
	MaxHeaderBytes int
	// DetectDisconnect cancels the context of a handler when its caller closes the connection.
	DetectDisconnect bool
	// OmitDefaults omits the header fields that hertz adds by default and disables the parsing
	// of multipart bodies.
	OmitDefaults bool
	// IdleTimeout returns the current idle timeout of connections. It may change while a
	// connection is idle. nil means defaultIdleTimeout.
	IdleTimeout func() time.Duration
	// Budget bounds the memory of the connections and of the requests on them; nil means no bound. A
	// connection that finds no room waits to be accepted, and a request is answered with Overloaded,
	// the bytes of a response, after which its connection is closed.
	Budget     *memory.Budget
	Overloaded []byte
	// OnPanic receives the panics that ended a request or a connection, with their stacks; nil ignores
	// them.
	OnPanic func(error)
}

// Server is an HTTP server with one listener.
type Server struct {
	address  string
	listener *listener
	hertz    *server.Hertz
	group    *duty.Group
}

const (
	// defaultMaxBodyBytes is far above what a request to a server without an own limit has. hertz takes 0
	// for no limit, and makes room for what a request announces.
	defaultMaxBodyBytes = 64 << 10

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
	listener := newListener(socket, options.IdleTimeout)
	listener.budget = options.Budget
	silenceHertzLog()
	if options.OnPanic == nil {
		options.OnPanic = func(error) {}
	}
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	hertzOptions := []config.Option{
		server.WithListener(listener),
		server.WithTransport(recoverConnections(newTransporter(options.Budget, options.Overloaded), options.OnPanic)),
		server.WithOnAccept(withAccepted),
		server.WithMaxRequestBodySize(options.MaxBodyBytes),
		server.WithMaxKeepBodySize(BlockBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(defaultIdleTimeout),
		server.WithExitWaitTime(CloseTimeout),
		server.WithDisablePrintRoute(true),
	}
	if options.MaxHeaderBytes > 0 {
		hertzOptions = append(hertzOptions, server.WithMaxHeaderBytes(options.MaxHeaderBytes))
	}
	if options.OmitDefaults {
		hertzOptions = append(hertzOptions, server.WithDisableDefaultDate(true), server.WithDisableDefaultContentType(true),
			server.WithDisablePreParseMultipartForm(true), config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }})
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
