package logs

import (
	"bytes"
	"testing"

	"pollentack.example/pollentack/internal/duty"
)

// stalledOutput blocks in each write until it is released, and counts the bytes.
type stalledOutput struct {
	release chan struct{}
	written int
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	o.written += len(p)
	return len(p), nil
}

// TestLongLinesBeforeStalledReaderAreDropped guards against a queue of few but long lines that takes
// more memory than the process has, while nobody reads the log.
func TestLongLinesBeforeStalledReaderAreDropped(t *testing.T) {
	const lines, lineBytes, maxHeldBytes = 200, 1 << 20, 8 << 20
	out := &stalledOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out, lines)
	group, err := duty.NewGroup(1, func(string, error) {})
	if err == nil {
		err = group.Start(w.Duty())
	}
	if err != nil {
		t.Fatal(err)
	}
	for range lines {
		_, _ = w.Write(bytes.Repeat([]byte("x"), lineBytes))
	}
	held := (lines - int(w.Dropped())) * lineBytes
	close(out.release)
	group.Stop()
	if held > maxHeldBytes || out.written != held || held == 0 {
		t.Errorf("%d bytes of lines were held and %d written, want the same, at most %d", held, out.written, maxHeldBytes)
	}
}
