// Package callerclient is the client of the HTTP interface for callers. It is used by the
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

	"pollentack.example/pollentack/internal/edge/callerapi"
)

const (
	dialTimeout     = 2 * time.Second
	callTimeout     = time.Minute
	maxConnsPerHost = 8192
)

// Client calls the HTTP interfaces of hosts.
type Client struct{ http *client.Client }

// New returns a client that reuses its connections.
func New() (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPerHost),
	)
	if err != nil {
		return nil, fmt.Errorf("create caller client: %w", err)
	}
	return &Client{http: c}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query sends one query to the host at address and returns the decoded answer and its raw
// bytes.
func (c *Client) Query(address, key, service string, body *callerapi.QueryRequest) (*callerapi.QueryResponse, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, fmt.Errorf("encode query: %w", err)
	}
	raw, err := c.send("POST", fmt.Sprintf("http://%s/v1/services/%s/query", address, service), key, data)
	if err != nil {
		return nil, nil, err
	}
	answer := &callerapi.QueryResponse{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, nil, fmt.Errorf("decode answer from %s: %w", address, err)
	}
	return answer, raw, nil
}

// Get requests path from the operator listener of the host at address and decodes the JSON
// response into value.
func (c *Client) Get(address, path string, value any) error {
	raw, err := c.send("GET", "http://"+address+path, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decode %s from %s: %w", path, address, err)
	}
	return nil
}

// Post sends body to path on the operator listener of a host, or on a stand-in. It does not
// check the status of the response.
func (c *Client) Post(address, path string, body []byte) error {
	_, err := c.send("POST", "http://"+address+path, "", body)
	return err
}

func (c *Client) send(method, url, key string, body []byte) ([]byte, error) {
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
