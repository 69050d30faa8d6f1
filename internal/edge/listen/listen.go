// Package listen opens the listening sockets of a host. An address that is in use, as by an
// earlier process that is still ending, is tried again until it is free.
package listen

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// retryInterval is the time between two attempts to listen on an address.
	retryInterval = 200 * time.Millisecond
	// logInterval is the time between two log lines about the same address.
	logInterval = 30 * time.Second
)

// Listener is a TCP listener that may not be listening yet. Accept opens its socket.
type Listener struct {
	address net.Addr
	log     zerolog.Logger
	closed  chan struct{}

	mu       sync.Mutex
	socket   net.Listener
	isClosed bool
}

// TCP listens on address. If that fails for a reason that may pass, the returned listener tries
// again in Accept until it is closed. Other failures, as of an invalid address, are returned.
func TCP(address string, log zerolog.Logger) (*Listener, error) {
	l := &Listener{log: log, closed: make(chan struct{})}
	var err error
	if l.socket, err = net.Listen("tcp", address); err == nil {
		l.address = l.socket.Addr()
		return l, nil
	}
	if !mayPass(err) {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if l.address, err = net.ResolveTCPAddr("tcp", address); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// mayPass reports whether a failure to listen may pass without a change of the settings: the
// address is in use or not there yet, or the process or the machine lacks resources.
func mayPass(err error) bool {
	for _, cause := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Addr returns the address that the listener listens on or is to listen on.
func (l *Listener) Addr() net.Addr { return l.address }

// Listening reports whether connections to the address are accepted.
func (l *Listener) Listening() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket != nil && !l.isClosed
}

// Accept returns the next connection. Until the listener listens, it tries to at intervals. Once
// the listener is closed, it returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	socket, err := l.open()
	if err != nil {
		return nil, err
	}
	return socket.Accept() //nolint:wrapcheck // stands for the socket's
}

// open returns the socket, as soon as it can be opened.
func (l *Listener) open() (net.Listener, error) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	var loggedAt time.Time
	for {
		socket, err := l.tryOpen()
		if err == nil && !loggedAt.IsZero() {
			l.log.Info().Str("event", "listening").Str("address", l.address.String()).Send()
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return socket, err
		}
		if time.Since(loggedAt) >= logInterval {
			loggedAt = time.Now()
			l.log.Error().Str("event", "listen_failed").Str("address", l.address.String()).Err(err).Dur("retry_interval", retryInterval).Send()
		}
		select {
		case <-retry.C:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

func (l *Listener) tryOpen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil, net.ErrClosed
	}
	if l.socket != nil {
		return l.socket, nil
	}
	socket, err := net.Listen("tcp", l.address.String())
	if err == nil {
		l.socket = socket
	}
	return socket, err //nolint:wrapcheck // names the address
}

// Close stops listening, or trying to.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return net.ErrClosed
	}
	l.isClosed = true
	close(l.closed)
	if l.socket == nil {
		return nil
	}
	return l.socket.Close() //nolint:wrapcheck // stands for the socket's
}
