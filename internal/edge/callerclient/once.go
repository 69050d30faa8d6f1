package callerclient

import (
	"encoding/json"
	"fmt"

	"pollentack.example/pollentack/internal/edge/callerapi"
)

// Ticket requests a ticket from the host at address.
func (c *Client) Ticket(address, key, service string) (*callerapi.OnceResponse, error) {
	return c.postOnce(fmt.Sprintf("http://%s/v1/services/%s/tickets", address, service), key, nil)
}

// Once sends a request that is executed at most once. After an error the outcome is unknown,
// and it is safe to repeat the call, also to another host.
func (c *Client) Once(address, key, service string, body *callerapi.OnceRequest) (*callerapi.OnceResponse, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return c.postOnce(fmt.Sprintf("http://%s/v1/services/%s/once", address, service), key, data)
}

func (c *Client) postOnce(url, key string, body []byte) (*callerapi.OnceResponse, error) {
	raw, err := c.send("POST", url, key, body)
	if err != nil {
		return nil, err
	}
	answer := &callerapi.OnceResponse{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, fmt.Errorf("decode answer from %s: %w", url, err)
	}
	return answer, nil
}
