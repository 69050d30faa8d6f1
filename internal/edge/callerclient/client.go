// Package callerclient is the caller's side of the front's HTTP interface, for the
// command line, the load generator and the experiments.
package callerclient

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollentack.example/pollentack/internal/edge/front"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = time.Minute
	maxConns    = 8192
)

// Client calls hosts.
type Client struct{ http *client.Client }

// New returns a client that keeps its connections.
func New() (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConns),
	)
	if err != nil {
		return nil, fmt.Errorf("caller client: %w", err)
	}
	return &Client{http: c}, nil
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query sends one query to the front at address and returns the answer, also as the
// bytes that came.
func (c *Client) Query(address, key, service string, body *front.QueryBody) (*front.AnswerBody, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, nil, fmt.Errorf("encode query: %w", err)
	}
	raw, err := c.call("POST", fmt.Sprintf("http://%s/v1/services/%s/query", address, service), key, text)
	if err != nil {
		return nil, nil, err
	}
	answer := &front.AnswerBody{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, nil, fmt.Errorf("decode answer of %s: %w", address, err)
	}
	return answer, raw, nil
}

// Get decodes the JSON at a path of a host's operator listener into value.
func (c *Client) Get(address, path string, value any) error {
	raw, err := c.call("GET", "http://"+address+path, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decode %s of %s: %w", path, address, err)
	}
	return nil
}

// Post sends body to a path of a host's operator listener, or of a stand-in.
func (c *Client) Post(address, path string, body []byte) error {
	_, err := c.call("POST", "http://"+address+path, "", body)
	return err
}

func (c *Client) call(method, url, key string, body []byte) ([]byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(url)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(context.Background(), req, resp, callTimeout); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return append([]byte(nil), resp.Body()...), nil
}
