package logs

import (
	"io"
	"sync/atomic"
	"time"

	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/ring"
)

const (
	// asyncBatch is the maximum number of lines in one write.
	asyncBatch = 64
	// maxQueuedBytes is the maximum size of all lines that wait or are being written.
	maxQueuedBytes = 4 << 20
)

// AsyncWriter is a writer that queues lines for a duty that writes them out, so that a slow
// reader of the log does not block the threads that log. If the queue is full, lines are
// dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	// bytes is the size of the lines that wait or are being written.
	bytes   atomic.Int64
	dropped atomic.Uint64
	// ended is closed when the duty has written all lines.
	ended chan struct{}
}

// NewAsyncWriter returns a writer to out that queues at most capacity lines, of maxQueuedBytes
// together.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New[[]byte]("log", capacity), ended: make(chan struct{})}
}

// Write queues a copy of one line. It always reports success, also for a dropped line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if a.bytes.Add(size) > maxQueuedBytes || !a.lines.Put(append([]byte(nil), line...)) {
		a.bytes.Add(-size)
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Duty returns the duty that writes the lines. Once stopped, it writes the lines that are
// still queued and ends.
func (a *AsyncWriter) Duty() duty.Duty {
	return duty.Duty{Name: "log", Run: a.run, Stop: a.lines.Close}
}

// Flush ends the duty once it has written the queued lines, and waits for that at most the
// timeout. It returns false if the reader of the log has not taken them by then: the duty may
// never end, and must not be waited for.
func (a *AsyncWriter) Flush(timeout time.Duration) bool {
	a.lines.Close()
	select {
	case <-a.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	batch := make([][]byte, asyncBatch)
	var buf []byte
	for {
		n, ok := a.lines.Take(batch, ring.Forever)
		if !ok {
			return
		}
		buf = buf[:0]
		for _, line := range batch[:n] {
			buf = append(buf, line...)
		}
		if _, err := a.out.Write(buf); err != nil {
			a.dropped.Add(uint64(n))
		}
		clear(batch)
		a.bytes.Add(-int64(len(buf)))
	}
}
