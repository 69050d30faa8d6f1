package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/app"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/result"
)

const (
	maxHeaderBytes = 16 << 10
	// bodyReadFactor is the size up to which the server reads a body, as a multiple of the body
	// limit. A body over the limit that is read gets an answer with a result code; for a larger
	// one the HTTP server closes the connection.
	bodyReadFactor = 4
)

// limitBody refuses requests whose body exceeds the limit.
func (s *Server) limitBody(ctx context.Context, c *app.RequestContext) {
	if n := len(c.Request.Body()); n > s.maxBodyBytes {
		writeAnswer(c, &engine.Answer{
			Code:   result.BadRequest,
			Detail: fmt.Sprintf("the body has %d bytes; allowed are %d", n, s.maxBodyBytes),
		})
		c.Abort()
		return
	}
	c.Next(ctx)
}

// decodeQuery decodes and validates the body of a query and applies defaults. The text of the
// error is returned to the caller.
func decodeQuery(data []byte) (*QueryRequest, error) {
	body := &QueryRequest{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, fmt.Errorf("the body is not a query in JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("the body has more than one JSON value")
	}
	if body.Limit < 0 || body.Limit > maxLimit {
		return nil, fmt.Errorf("limit is %d; allowed are 0 to %d", body.Limit, maxLimit)
	}
	if body.TimeoutMS < 0 || body.TimeoutMS > maxTimeoutMS {
		return nil, fmt.Errorf("timeout_ms is %d; allowed are 0 to %d", body.TimeoutMS, maxTimeoutMS)
	}
	if body.Limit == 0 {
		body.Limit = defaultLimit
	}
	return body, nil
}
