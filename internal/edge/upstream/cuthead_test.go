package upstream

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"testing"

	"pollentack.example/pollentack/internal/core/relay"
)

// TestReplyCutInItsHead has the target close the connection, in order or by a reset, after each
// prefix of the head of a reply. What arrived must never count as an answer, however the reply
// would have framed its body.
func TestReplyCutInItsHead(t *testing.T) {
	errClose := errors.New("close the connection")
	for framing, fields := range map[string]string{
		"length": "Content-Length: 10\r\n",
		"chunks": "Transfer-Encoding: chunked\r\n",
		"close":  "Connection: close\r\n",
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			for _, end := range []error{errClose, errReset} {
				head := func(id string) string { return interim + "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "\r\n" }
				f := newFixture(t, func(c net.Conn, id string, _ int) error {
					cut, err := strconv.Atoi(id)
					if err != nil {
						return err
					}
					_, _ = c.Write([]byte(head(id)[:cut]))
					return end
				})
				for cut := range len(head("000")) {
					id := fmt.Sprintf("%03d", cut)
					got := f.do(id, longTimeout)
					if got.Outcome != relay.Lost && got.Outcome != relay.Malformed {
						t.Fatalf("%s, %v after %q: outcome %v, response %+v", framing, end, head(id)[:cut], got.Outcome, got.Response)
					}
				}
			}
		}
	}
}
