package front

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
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// readFactor is how many times the body limit is read: up to there a body that is too
	// large gets an answer with its code, above it the connection is closed.
	readFactor = 4
)

// limitBody refuses a request whose body is above the limit.
func (f *Front) limitBody(ctx context.Context, c *app.RequestContext) {
	if n := len(c.Request.Body()); n > f.bodyBytes {
		write(c, &engine.Answer{
			Code:   result.BadRequest,
			Detail: fmt.Sprintf("the body has %d bytes; allowed are %d", n, f.bodyBytes),
		})
		c.Abort()
		return
	}
	c.Next(ctx)
}

// decodeQuery reads a query's body; the error says what is wrong with it.
func decodeQuery(text []byte) (*QueryBody, error) {
	body := &QueryBody{}
	decoder := json.NewDecoder(bytes.NewReader(text))
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
