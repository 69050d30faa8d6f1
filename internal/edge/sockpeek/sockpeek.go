// Package sockpeek looks at the input of a connection without reading it.
package sockpeek

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek checks for received bytes. It returns nil if there are some, EAGAIN if the connection is
// open and there are none or it is not a socket, and io.EOF if the peer closed it. Read deadlines
// don't matter.
func Peek(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var recvErr error
	var b [1]byte
	// RawConn.Read would fail with an expired deadline.
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case recvErr != nil:
		return recvErr
	case n == 0:
		return io.EOF
	}
	return nil
}
