package httpd

import (
	"io"
	"net/http"
	"testing"
)

// TestControlCharactersInHeadAreRefused guards against a body that is framed in another way behind the
// server: hertz takes "Transfer\rEncoding" for the field with a hyphen, and some targets end a line at "\r".
func TestControlCharactersInHeadAreRefused(t *testing.T) {
	s, _ := startBudgeted(t, 1<<30, closed())
	for _, head := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer\rEncoding: chunked\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent\rLength: 2\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX\rTransfer-Encoding: chunked\r\n",
		"POST /\rX HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n",
		"POST /\tX HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n",
		"POST\x00 / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n",
	} {
		c := dial(t, s)
		_, _ = io.WriteString(c, head+"\r\n0\r\n\r\n")
		if status := responseTo(t, c); status != http.StatusBadRequest {
			t.Errorf("%q: status %d, want %d", head, status, http.StatusBadRequest)
		}
	}
	c := dial(t, s)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nX:\ta\r\n\tb\r\nContent-Length: 0\r\n\r\n")
	if status := responseTo(t, c); status != http.StatusOK {
		t.Errorf("tabs in a field: status %d", status)
	}
}
