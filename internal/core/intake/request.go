// Package intake makes the decisions about requests while they arrive: where one ends, whether it is too
// long, and which connection gives way when there is no room for all.
package intake

import (
	"bytes"
	"fmt"
)

// Reason is why a request is refused before it is whole.
type Reason int

// Reasons.
const (
	// Malformed is a request whose end cannot be found.
	Malformed Reason = iota
	HeadTooLarge
	BodyTooLarge
	// TooSlow is a request that did not arrive in time.
	TooSlow
	// NoRoom is a request that there is no memory for.
	NoRoom
	ReasonCount
)

var reasonNames = [ReasonCount]string{"malformed", "head_too_large", "body_too_large", "too_slow", "no_room"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Refusal is the error for a request that is refused before it is whole.
type Refusal struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Detail }

func refuse(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Limits bound a request.
type Limits struct {
	// HeadBytes bounds the request line and the fields together, and the trailers.
	HeadBytes int
	// FieldBytes bounds the fields, 0 for no bound beside HeadBytes.
	FieldBytes int
	// BodyBytes bounds the content of the body.
	BodyBytes int
}

const (
	// maxLeadingBytes bounds the empty lines before a request.
	maxLeadingBytes = 16
	// The framing of a chunked body may take maxFramingBytes and framingFactor times the content. A chunk
	// of one byte has five bytes of framing.
	maxFramingBytes = 64 << 10
	framingFactor   = 8
	// maxSizeDigits bounds the digits of a length.
	maxSizeDigits = 15
)

// stage is the part of a request that is next.
type stage int

const (
	leadingLines stage = iota
	head
	body
	chunkSize
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataEnd
	chunkDataEndLF
	trailer
	whole
)

// Request finds the end of a request in the bytes that arrive. It removes the framing of a chunked body and
// gives the request a Content-Length instead, so that each byte of the content is held once.
type Request struct {
	limits Limits
	stage  stage
	// kept is the length of the request without the bytes that were removed.
	kept int
	// line is the offset of the current line of the head; lines counts those that have ended.
	line, lines int
	// fields is the size of the fields, 0 until the request line has ended.
	fields int
	// sized and chunked state how the body is framed; encoding[0:1] is the field that says chunked.
	sized, chunked bool
	encoding       [2]int
	// inFraming states that the last field frames the body, so that it must not continue on the next line.
	inFraming bool
	expects   bool
	// current states that the request is in HTTP/1.1, not in an older version.
	current   bool
	headBytes int
	// left is what is missing of the body or the chunk, content the size of the chunks so far.
	left, content int
	// digits counts those of the chunk size, framing the bytes of the framing, trailers those of the trailers.
	digits, framing, trailers int
	// emptyLine states that the current line of the trailers has no byte yet.
	emptyLine bool
}

// Begin prepares for the next request.
func (q *Request) Begin(l Limits) { *q = Request{limits: l} }

// Whole reports whether the request has arrived.
func (q *Request) Whole() bool { return q.stage == whole }

// HeadWhole reports whether the head has arrived, and its size.
func (q *Request) HeadWhole() (bool, int) { return q.stage >= body, q.headBytes }

// AwaitsContinue reports whether the caller may wait for an interim response before it sends the body.
func (q *Request) AwaitsContinue() bool { return q.expects && q.stage >= body && q.stage != whole }

const (
	// firstBodyBytes and bodyGrowth are the first size of the buffer of a body with a length and the
	// factor by which it grows: a caller that announces a body has to send it before it occupies memory.
	firstBodyBytes = 256 << 10
	bodyGrowth     = 4
	// firstGrownBytes is the least size of a buffer that has grown.
	firstGrownBytes = 16 << 10
)

// Capacity returns the size that a full buffer of size bytes grows to for the rest of the request.
func (q *Request) Capacity(size int) int {
	switch {
	case q.stage == body:
		return min(q.kept+q.left, max(bodyGrowth*size, firstBodyBytes))
	case q.stage > body:
		return min(max(2*size, firstGrownBytes), q.headBytes+q.limits.BodyBytes+firstGrownBytes)
	}
	return max(2*size, firstGrownBytes)
}

// Advance processes received bytes. buf has what was kept of the request so far, and behind it what has
// arrived since. It returns the length of what is kept now, and of what was processed: if the request is
// whole, the rest belongs to the next one.
func (q *Request) Advance(buf []byte) (kept, processed int, refusal *Refusal) {
	at := q.kept
	for at < len(buf) && q.stage != whole && refusal == nil {
		switch q.stage {
		case leadingLines:
			at, refusal = q.skipLeading(buf, at)
		case head:
			at, refusal = q.advanceHead(buf, at)
		case body, chunkData:
			at = q.advanceContent(buf, at)
		default:
			refusal = q.advanceFraming(buf[at])
			at++
		}
	}
	if refusal == nil && q.stage == whole && q.chunked {
		q.setLength(buf)
	}
	return q.kept, at, refusal
}

// keep keeps buf[from:to].
func (q *Request) keep(buf []byte, from, to int) {
	if from != q.kept {
		copy(buf[q.kept:], buf[from:to])
	}
	q.kept += to - from
}

func (q *Request) skipLeading(buf []byte, at int) (int, *Refusal) {
	if buf[at] != '\r' && buf[at] != '\n' {
		q.stage = head
		return at, nil
	}
	if q.framing++; q.framing > maxLeadingBytes {
		return at, refuse(Malformed, "more than %d bytes of empty lines before the request", maxLeadingBytes)
	}
	return at + 1, nil
}

func (q *Request) advanceHead(buf []byte, at int) (int, *Refusal) {
	end := bytes.IndexByte(buf[at:], '\n')
	ended := end >= 0
	if !ended {
		end = len(buf) - at - 1
	}
	n := end + 1
	if q.lines > 0 {
		q.fields += n
	}
	if q.kept+n > q.limits.HeadBytes {
		return at, refuse(HeadTooLarge, "head of more than %d bytes", q.limits.HeadBytes)
	}
	if q.limits.FieldBytes > 0 && q.fields > q.limits.FieldBytes {
		return at, refuse(HeadTooLarge, "header of more than %d bytes", q.limits.FieldBytes)
	}
	q.keep(buf, at, at+n)
	if !ended {
		return at + n, nil
	}
	line := bytes.TrimSuffix(buf[q.line:q.kept-1], []byte("\r"))
	begin := q.line
	q.line = q.kept
	q.lines++
	if i := bytes.IndexFunc(line, q.isForbidden); i >= 0 {
		return at + n, refuse(Malformed, "control character %q in line %d of the head", line[i], q.lines)
	}
	switch {
	case q.lines == 1:
		q.current = bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		return at + n, nil
	case len(line) == 0:
		return at + n, q.endHead()
	}
	return at + n, q.field(line, begin)
}

// isForbidden reports whether a character must not be in the last line of the head: another parser might
// take it for the end of the line or of a word.
func (q *Request) isForbidden(c rune) bool {
	return c < ' ' && (c != '\t' || q.lines == 1) || c == 0x7f
}

// field examines a line of the head that begins at an offset.
func (q *Request) field(line []byte, begin int) *Refusal {
	if line[0] == ' ' || line[0] == '\t' {
		if q.inFraming {
			return refuse(Malformed, "a field that frames the body continues on another line")
		}
		return nil
	}
	q.inFraming = false
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return nil
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		q.inFraming = true
		return q.setBody(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		q.inFraming = true
		// HTTP/1.0 has no transfer encodings: some parsers read on behind the head.
		if !q.current || q.sized || q.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return refuse(Malformed, "transfer encoding %.32q, want one in HTTP/1.1 that is %q and no length", value, "chunked")
		}
		q.chunked, q.encoding = true, [2]int{begin, begin + len(line)}
	case bytes.EqualFold(name, []byte("Expect")):
		q.inFraming = true
		if bytes.EqualFold(value, []byte("100-continue")) {
			q.expects = q.current
			// The interim response is sent by whoever reads the request.
			for i := range value {
				value[i] = ' '
			}
		}
	}
	return nil
}

func (q *Request) setBody(value []byte) *Refusal {
	if q.sized || q.chunked || len(value) == 0 || len(value) > maxSizeDigits {
		return refuse(Malformed, "content length %.32q, want one with 1 to %d digits and no transfer encoding", value, maxSizeDigits)
	}
	q.sized = true
	for _, b := range value {
		if b < '0' || b > '9' {
			return refuse(Malformed, "content length %.32q, want digits", value)
		}
		q.left = 10*q.left + int(b-'0')
	}
	return nil
}

func (q *Request) endHead() *Refusal {
	q.headBytes = q.kept
	switch {
	case q.chunked:
		q.stage = chunkSize
	case q.left > q.limits.BodyBytes:
		return refuse(BodyTooLarge, "body of %d bytes exceeds the limit of %d", q.left, q.limits.BodyBytes)
	case q.left > 0:
		q.stage = body
	default:
		q.stage = whole
	}
	return nil
}

// advanceContent keeps what has arrived of the body or of a chunk.
func (q *Request) advanceContent(buf []byte, at int) int {
	n := min(q.left, len(buf)-at)
	q.keep(buf, at, at+n)
	if q.left -= n; q.left == 0 {
		if q.stage == body {
			q.stage = whole
		} else {
			q.stage = chunkDataEnd
		}
	}
	return at + n
}

// advanceFraming processes a byte of the framing of a chunked body.
func (q *Request) advanceFraming(b byte) *Refusal {
	q.framing++
	if q.framing > maxFramingBytes+framingFactor*q.content {
		return refuse(Malformed, "%d bytes of framing for a body of %d bytes", q.framing, q.content)
	}
	switch q.stage {
	case chunkSize:
		return q.sizeByte(b)
	case chunkExtension:
		switch b {
		case '\r':
			q.stage = chunkSizeEnd
		case '\n':
			return refuse(Malformed, "chunk size ends without a carriage return")
		}
	case chunkSizeEnd:
		if b != '\n' {
			return refuse(Malformed, "chunk size ends with %q, want a line feed", b)
		}
		q.beginChunk()
	case chunkDataEnd, chunkDataEndLF:
		if want := "\r\n"[q.stage-chunkDataEnd]; b != want {
			return refuse(Malformed, "%q behind a chunk, want %q", b, want)
		}
		if q.stage++; q.stage == trailer {
			q.stage = chunkSize
		}
	default:
		return q.trailerByte(b)
	}
	return nil
}

func (q *Request) sizeByte(b byte) *Refusal {
	var digit byte
	switch {
	case '0' <= b && b <= '9':
		digit = b - '0'
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		digit = b | 0x20 - 'a' + 10
	case q.digits == 0:
		return refuse(Malformed, "chunk size begins with %q, want a hexadecimal digit", b)
	case b == '\r':
		q.stage = chunkSizeEnd
		return nil
	case b == ';' || b == ' ' || b == '\t':
		q.stage = chunkExtension
		return nil
	default:
		return refuse(Malformed, "%q in a chunk size", b)
	}
	if q.digits++; q.digits > maxSizeDigits {
		return refuse(Malformed, "chunk size of more than %d digits", maxSizeDigits)
	}
	q.left = q.left<<4 | int(digit)
	if q.content+q.left > q.limits.BodyBytes {
		return refuse(BodyTooLarge, "body of more than %d bytes", q.limits.BodyBytes)
	}
	return nil
}

func (q *Request) beginChunk() {
	q.digits = 0
	if q.left == 0 {
		q.stage, q.emptyLine = trailer, true
		return
	}
	q.stage = chunkData
	q.content += q.left
}

// trailerByte processes a byte of the trailers, which are discarded.
func (q *Request) trailerByte(b byte) *Refusal {
	if q.trailers++; q.trailers > q.limits.HeadBytes {
		return refuse(HeadTooLarge, "trailers of more than %d bytes", q.limits.HeadBytes)
	}
	switch {
	case b == '\n' && q.emptyLine:
		q.stage = whole
	case b != '\r':
		q.emptyLine = b == '\n'
	}
	return nil
}

// setLength replaces the field that says chunked by one with the length, which takes no more bytes.
func (q *Request) setLength(buf []byte) {
	field := buf[q.encoding[0]:q.encoding[1]]
	const name = "Content-Length:"
	copy(field, fmt.Appendf(nil, "%s%*d", name, len(field)-len(name), q.content))
}
