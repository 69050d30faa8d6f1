package intake

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var testLimits = Limits{HeadBytes: 1 << 10, FieldBytes: 512, BodyBytes: 4 << 10}

// feed gives a request to q in pieces, and returns what is kept of it and what lies behind it.
func feed(q *Request, sent []byte, piece func(left int) int) (kept, behind []byte, refusal *Refusal) {
	var buf []byte
	for len(sent) > 0 && !q.Whole() {
		n := piece(len(sent))
		buf = append(buf, sent[:n]...)
		sent = sent[n:]
		end, processed, refusal := q.Advance(buf)
		if refusal != nil {
			return nil, nil, refusal
		}
		if q.Whole() {
			behind = bytes.Clone(buf[processed:])
		}
		buf = buf[:end]
	}
	return buf, append(behind, sent...), nil
}

// TestRequestEndsWhereItsHeadStates guards against a part of a body that is taken for the next request, in
// whatever pieces it arrives.
func TestRequestEndsWhereItsHeadStates(t *testing.T) {
	const line, rest = "POST / HTTP/1.1\r\n", "GET /next"
	tests := map[string]struct{ sent, want string }{
		"no body":        {line + "\r\n", line + "\r\n"},
		"line feeds":     {"GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\nHost: h\n\n"},
		"empty lines":    {"\r\n\n" + line + "\r\n", line + "\r\n"},
		"length":         {line + "content-length: 5\r\n\r\nGET /", line + "content-length: 5\r\n\r\nGET /"},
		"chunks":         {line + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nGET\r\n00B\r\n / HTTP/1.1\r\n0 \r\nA: b\r\n\r\n", line + "Content-Length:         14\r\n\r\nGET / HTTP/1.1"},
		"interim answer": {line + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", line + "Expect:             \r\nContent-Length: 1\r\n\r\nx"},
	}
	for name, tt := range tests {
		rapid.Check(t, func(t *rapid.T) {
			var q Request
			q.Begin(testLimits)
			kept, behind, refusal := feed(&q, []byte(tt.sent+rest), func(left int) int { return rapid.IntRange(1, left).Draw(t, "piece") })
			if refusal != nil || !q.Whole() || string(kept) != tt.want || string(behind) != rest {
				t.Fatalf("%s: kept %q, behind %q, refusal %v", name, kept, behind, refusal)
			}
		})
	}
}

// TestRequestsOverLimitsAreRefused guards against bytes without end that are no whole request.
func TestRequestsOverLimitsAreRefused(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	endless := strings.Repeat("x", 64<<10)
	tests := map[string]struct {
		sent string
		want Reason
	}{
		"request line":        {"GET /" + endless, HeadTooLarge},
		"field":               {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 506) + "\r\n\r\n", HeadTooLarge},
		"many fields":         {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100), HeadTooLarge},
		"empty lines":         {strings.Repeat("\r\n", 100), Malformed},
		"announced":           {"POST / HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", BodyTooLarge},
		"announced far":       {"POST / HTTP/1.1\r\nContent-Length: 9223372036854775807\r\n\r\n", Malformed},
		"chunk":               {chunked + "1001\r\n", BodyTooLarge},
		"chunks":              {chunked + strings.Repeat("1\r\nx\r\n", 4097), BodyTooLarge},
		"size without end":    {chunked + strings.Repeat("0", 64), Malformed},
		"blanks":              {chunked + "1" + strings.Repeat(" ", 128<<10), Malformed},
		"extensions":          {chunked + strings.Repeat("1;"+endless[:1024]+"\r\nx\r\n", 100), Malformed},
		"trailers":            {chunked + "0\r\n" + strings.Repeat("A: b\r\n", 1000), HeadTooLarge},
		"two lengths":         {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", Malformed},
		"length and chunks":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed},
		"other encoding":      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", Malformed},
		"chunks in HTTP/1.0":  {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Malformed},
		"continued encoding":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n , gzip\r\n\r\n", Malformed},
		"size ends with LF":   {chunked + "1\nx", Malformed},
		"no end of the chunk": {chunked + "1\r\nxx", Malformed},
	}
	for name, tt := range tests {
		var q Request
		q.Begin(testLimits)
		_, _, refusal := feed(&q, []byte(tt.sent), func(left int) int { return min(left, 100) })
		if refusal == nil || refusal.Reason != tt.want {
			t.Errorf("%s: refusal %v, want %v", name, refusal, tt.want)
		}
	}
}

// TestBodyInChunksOfOneByte checks that a body up to the limit may come in chunks of any size, and that
// their framing is not kept.
func TestBodyInChunksOfOneByte(t *testing.T) {
	var q Request
	q.Begin(testLimits)
	head := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	kept, _, refusal := feed(&q, []byte(head+strings.Repeat("1\r\nx\r\n", testLimits.BodyBytes)+"0\r\n\r\n"), func(left int) int { return min(left, 7) })
	if want := fmt.Sprintf("Content-Length:%11d\r\n\r\n%s", testLimits.BodyBytes, strings.Repeat("x", testLimits.BodyBytes)); refusal != nil || !strings.HasSuffix(string(kept), want) {
		t.Errorf("kept %d bytes, refusal %v", len(kept), refusal)
	}
}

// FuzzRequest checks that the end of a request does not depend on the pieces in which it arrives.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET"), uint8(3))
	f.Fuzz(func(t *testing.T, sent []byte, n uint8) {
		var one, many Request
		one.Begin(testLimits)
		many.Begin(testLimits)
		kept, behind, refusal := feed(&one, sent, func(left int) int { return left })
		kept2, behind2, refusal2 := feed(&many, sent, func(left int) int { return min(left, int(n)+1) })
		if (refusal == nil) != (refusal2 == nil) || one.Whole() != many.Whole() || !bytes.Equal(kept, kept2) || !bytes.Equal(behind, behind2) {
			t.Errorf("at once: %q, %q, %v; in pieces: %q, %q, %v", kept, behind, refusal, kept2, behind2, refusal2)
		}
	})
}
