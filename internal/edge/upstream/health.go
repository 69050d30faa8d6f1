package upstream

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"pollentack.example/pollentack/internal/core/catalog"
)

// healthTimeout bounds a health check. A target that is busy answers late, and is asked again.
const healthTimeout = 300 * time.Millisecond

// noRequestID is no ID of a request, so that any idle connection will do.
const noRequestID = "\x00"

// Health makes a health check of a target and returns how long it stays cold, 0 if it is warm or did not
// say. refused reports whether its host refuses connections. It uses an idle connection if there is one.
func (c *Client) Health(t *catalog.Target, path string) (cold time.Duration, refused bool, err error) {
	conn := c.pool.take(poolKeyOf(t), noRequestID)
	if conn == nil {
		if conn, err = dial(t.Address, healthTimeout); err != nil {
			return 0, errors.Is(err, syscall.ECONNREFUSED), err
		}
		c.dials.Add(1)
	}
	cold, reuse, err := c.health(conn, t, path)
	if !reuse {
		_ = conn.Close()
		return cold, false, err
	}
	c.pool.put(poolKeyOf(t), conn)
	return cold, false, nil
}

func (c *Client) health(conn *conn, t *catalog.Target, path string) (cold time.Duration, reuse bool, err error) {
	conn.recordID(noRequestID)
	deadline := time.Now().Add(healthTimeout)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return 0, false, err
	}
	complete, err := conn.send(c.codec.AppendHealthCheck(nil, t, path), deadline)
	if err != nil {
		return 0, false, err
	}
	conn.allow("head", maxReplyHeadBytes)
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, false, err
	}
	if _, err := c.readBody(conn, resp); err != nil {
		return 0, false, err
	}
	// A late copy of another reply may come in place of the response.
	cold, ok := c.codec.DecodeHealth(t, resp)
	return cold, ok && complete && c.reusable(conn, resp), nil
}
