package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/platform/platformtest"
)

// misuse is what each caller of a crowd sends to an HTTP listener.
type misuse struct {
	name string
	// callers is the number of callers, 0 for crowdCallers.
	callers int
	// method is that of the request, of which a head without its end is sent first; "" for none.
	method string
	// open is sent next, then repeated count times, each time after pause.
	open, repeated string
	count          int
	pause          time.Duration
}

// flood returns how often a text is sent that comes without end.
func flood(text string) int { return floodBytes / len(text) }

// chunk returns a chunk of a body.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

const (
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
	expect  = "Expect: 100-continue\r\n"
	// almostBody is the size of a body that stops just short of its end.
	almostBody = crowdBodyBytes - 1
)

func contentLength(size int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", size) }

var endlessHeads = []misuse{
	{name: "line_over_the_limit", method: http.MethodGet, open: "X-Long: ", repeated: "x", count: crowdHeaderBytes + 1},
	{name: "line_without_end", method: http.MethodGet, open: "X-Long: ", repeated: "x", count: floodBytes},
	{name: "lines_without_end", method: http.MethodGet, repeated: "A: b\r\n", count: flood("A: b\r\n")},
	{name: "method_without_end", repeated: "G", count: floodBytes},
	{name: "path_without_end", open: "GET /", repeated: "x", count: floodBytes},
	{name: "no_HTTP", repeated: "\xff\x00", count: flood("\xff\x00")},
}

var emptyLines = []misuse{
	{name: "CRLF", repeated: "\r\n", count: flood("\r\n")},
	{name: "LF", repeated: "\n", count: flood("\n")},
	{name: "CR", repeated: "\r", count: flood("\r")},
	{name: "blanks", repeated: " ", count: flood(" ")},
	{name: "after_a_request", method: http.MethodGet, open: "\r\n", repeated: "\r\n", count: flood("\r\n")},
}

var unfinishedChunks = []misuse{
	{name: "chunks_of_64_KB", method: http.MethodPost, open: chunked + "3ffff\r\n", repeated: "x", count: almostBody},
	{name: "chunks_of_4000_bytes", method: http.MethodPost, open: chunked, repeated: chunk(4000), count: almostBody / 4000},
	{name: "chunks_of_1_byte", method: http.MethodPost, open: chunked, repeated: chunk(1), count: almostBody},
	{name: "blanks_behind_a_chunk_size", method: http.MethodPost, open: chunked + "1", repeated: " ", count: floodBytes},
	{name: "chunk_extension_without_end", method: http.MethodPost, open: chunked + "1;", repeated: "x", count: floodBytes},
	{name: "chunk_size_without_end", method: http.MethodPost, open: chunked, repeated: "0", count: floodBytes},
	{name: "trailers_without_end", method: http.MethodPost, open: chunked + "0\r\n", repeated: "A: b\r\n", count: flood("A: b\r\n")},
	{name: "trailer_line_without_end", method: http.MethodPost, open: chunked + "0\r\nA: ", repeated: "x", count: floodBytes},
}

var oversizeBodies = []misuse{
	{name: "announced", method: http.MethodPost, open: contentLength(1 << 40), repeated: "x", count: floodBytes},
	{name: "announced_beyond_an_int", method: http.MethodPost, open: contentLength(1<<63 - 1), repeated: "x", count: 1},
	{name: "announced_of_4_MB", method: http.MethodPost, open: contentLength(4 << 20), repeated: "x", count: 4<<20 - 1},
	{name: "announced_and_expecting", method: http.MethodPost, open: expect + contentLength(4<<20), repeated: "x", count: 4<<20 - 1},
	{name: "chunk_announced", method: http.MethodPost, open: chunked + "fffffffffffffff\r\n", repeated: "x", count: 1},
	{name: "chunks_of_64_KB", method: http.MethodPost, open: chunked, repeated: chunk(64 << 10), count: flood(chunk(64 << 10))},
	{name: "chunks_of_1000_bytes", method: http.MethodPost, open: chunked, repeated: chunk(1000), count: flood(chunk(1000))},
	{name: "chunks_expected", method: http.MethodPost, open: expect + chunked, repeated: chunk(1000), count: flood(chunk(1000))},
}

var unfinishedBodies = []misuse{
	{name: "plain", callers: 4 * crowdCallers, method: http.MethodPost, open: contentLength(crowdBodyBytes), repeated: "x", count: almostBody},
	{name: "expecting", callers: 4 * crowdCallers, method: http.MethodPost, open: expect + contentLength(crowdBodyBytes), repeated: "x", count: almostBody},
	{
		name: "multipart", callers: 4 * crowdCallers, method: http.MethodPost,
		open:     "Content-Type: multipart/form-data; boundary=b\r\n" + contentLength(crowdBodyBytes) + "--b\r\nContent-Disposition: form-data; name=\"f\"; filename=\"f\"\r\n\r\n",
		repeated: "x", count: almostBody - 200,
	},
}

var idleConnections = []misuse{
	{name: "silent", callers: crowdConnections},
	{name: "one_byte", callers: crowdConnections, open: "G"},
	{name: "head_byte_by_byte", callers: crowdConnections, open: "GET / HTTP/1.1\r\nX-Slow: ", repeated: "x", count: crowdHeaderBytes / 2, pause: 200 * time.Millisecond},
	{name: "body_byte_by_byte", callers: crowdConnections, method: http.MethodPost, open: contentLength(crowdBodyBytes), repeated: "x", count: almostBody, pause: 200 * time.Millisecond},
}

// httpListener is a listener of the process, with a path of its own and one that an ordinary caller
// asks for, "" for a query on the front.
type httpListener struct {
	address          func(*platformtest.Site) string
	path, ordinaryTo string
}

var (
	frontListener   = httpListener{func(s *platformtest.Site) string { return s.FrontAddresses[0] }, "/file/x", ""}
	readyListener   = httpListener{func(s *platformtest.Site) string { return s.ReadyAddresses[0] }, platformtest.ReadyPath, platformtest.ReadyPath}
	metricsListener = httpListener{func(s *platformtest.Site) string { return s.AdminAddresses[0] }, admin.PathMetrics, admin.PathMetrics}
)

// bears has a crowd misuse the listener in each of the ways, and verifies the process.
func (l *httpListener) bears(t *testing.T, ways []misuse) {
	for _, m := range ways {
		t.Run(m.name, func(t *testing.T) {
			c := startCrowd(t)
			address, callers := l.address(c.site), cmp.Or(m.callers, crowdCallers)
			c.join(callers, address, func(conn net.Conn, caller int) { m.send(c, conn, l.path, caller) })
			var ask func() error
			if l.ordinaryTo != "" {
				ask = askPath(address, l.ordinaryTo)
			}
			c.verify(callers, ask)
		})
	}
}

func (m *misuse) send(c *crowd, conn net.Conn, path string, caller int) {
	open := m.open
	if m.method != "" {
		open = platformtest.RequestHead(m.method, path, fmt.Sprintf("crowd-%d", caller), time.Second) + open
	}
	if !write(conn, []byte(open)) {
		return
	}
	if m.pause == 0 {
		write(conn, []byte(strings.Repeat(m.repeated, m.count)))
		return
	}
	c.members.Go(func() {
		pause := time.NewTicker(m.pause)
		defer pause.Stop()
		for range m.count {
			select {
			case <-c.left:
				return
			case <-pause.C:
			}
			if !write(conn, []byte(m.repeated)) {
				return
			}
		}
	})
}

// The tests below guard against callers that stay connected and end the process through its memory,
// take all its descriptors, or keep ordinary callers from being answered.

func TestFrontBearsEndlessHeads(t *testing.T)       { frontListener.bears(t, endlessHeads) }
func TestFrontBearsEmptyLines(t *testing.T)         { frontListener.bears(t, emptyLines) }
func TestFrontBearsUnfinishedChunks(t *testing.T)   { frontListener.bears(t, unfinishedChunks) }
func TestFrontBearsOversizeBodies(t *testing.T)     { frontListener.bears(t, oversizeBodies) }
func TestFrontBearsUnfinishedBodies(t *testing.T)   { frontListener.bears(t, unfinishedBodies) }
func TestFrontBearsIdleConnections(t *testing.T)    { frontListener.bears(t, idleConnections) }
func TestReadyBearsEndlessHeads(t *testing.T)       { readyListener.bears(t, endlessHeads[1:3]) }
func TestReadyBearsUnfinishedChunks(t *testing.T)   { readyListener.bears(t, unfinishedChunks[2:4]) }
func TestReadyBearsTrailers(t *testing.T)           { readyListener.bears(t, unfinishedChunks[6:]) }
func TestReadyBearsIdleConnections(t *testing.T)    { readyListener.bears(t, idleConnections[:2]) }
func TestMetricsBearsEndlessHeads(t *testing.T)     { metricsListener.bears(t, endlessHeads[1:3]) }
func TestMetricsBearsUnfinishedChunks(t *testing.T) { metricsListener.bears(t, unfinishedChunks[2:4]) }
func TestMetricsBearsOversizeBodies(t *testing.T)   { metricsListener.bears(t, oversizeBodies) }
func TestMetricsBearsMultipart(t *testing.T)        { metricsListener.bears(t, unfinishedBodies[2:]) }

func TestMetricsBearsIdleConnections(t *testing.T) { metricsListener.bears(t, idleConnections[:2]) }

// TestFrontBearsUnreadAnswers guards against answers that pile up since their callers don't read them.
func TestFrontBearsUnreadAnswers(t *testing.T) {
	const largeAnswer, pipelined = 1 << 20, 100
	for _, tt := range []struct {
		name           string
		answer, number int
	}{{"large", largeAnswer, 1}, {"pipelined", 16 << 10, pipelined}} {
		t.Run(tt.name, func(t *testing.T) {
			c := startCrowd(t)
			for _, target := range c.site.Targets {
				if target.Service == "desk" {
					target.Body = make([]byte, tt.answer)
				}
			}
			c.join(2*crowdCallers, c.site.FrontAddresses[0], func(conn net.Conn, caller int) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				for i := range tt.number {
					id := fmt.Sprintf("crowd-%d-%d", caller, i)
					if !write(conn, []byte(platformtest.RequestHead(http.MethodGet, platformtest.ProbePath(1), id, 10*time.Second)+"\r\n")) {
						return
					}
				}
			})
			c.verify(2*crowdCallers, nil)
		})
	}
}

// TestFrontBearsBytesBehindRequests guards against what callers send while their requests wait for
// their answers.
func TestFrontBearsBytesBehindRequests(t *testing.T) {
	c := startCrowd(t)
	for _, target := range c.site.Targets {
		if target.Service == "desk" {
			target.SetBehavior(platformtest.BehaviorHang)
		}
	}
	c.join(crowdCallers, c.site.FrontAddresses[0], func(conn net.Conn, caller int) {
		request := platformtest.RequestHead(http.MethodGet, platformtest.ProbePath(1), fmt.Sprintf("crowd-%d", caller), 10*time.Second)
		write(conn, []byte(request+"\r\n"+strings.Repeat("GET /", floodBytes/len("GET /"))))
	})
	c.verify(crowdCallers, nil)
}
