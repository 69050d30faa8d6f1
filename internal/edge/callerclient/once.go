package callerclient

import (
	"encoding/json"
	"fmt"

	"pollentack.example/pollentack/internal/edge/front"
)

// Ticket asks the front at address for a ticket.
func (c *Client) Ticket(address, key, service string) (*front.OnceAnswerBody, error) {
	return c.once(fmt.Sprintf("http://%s/v1/services/%s/tickets", address, service), key, nil)
}

// Once sends a request that runs at most once. After an error its outcome is unknown,
// and the same call, also to another host, is safe.
func (c *Client) Once(address, key, service string, body *front.OnceBody) (*front.OnceAnswerBody, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return c.once(fmt.Sprintf("http://%s/v1/services/%s/once", address, service), key, text)
}

func (c *Client) once(url, key string, body []byte) (*front.OnceAnswerBody, error) {
	raw, err := c.call("POST", url, key, body)
	if err != nil {
		return nil, err
	}
	answer := &front.OnceAnswerBody{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return answer, nil
}
