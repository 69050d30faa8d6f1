package logs

import (
	"bytes"
	"testing"

	"pollentack.example/pollentack/internal/duty"
)

// stalledOutput takes one write and blocks until it is released.
type stalledOutput struct {
	reached, release chan struct{}
	written          bytes.Buffer
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	o.reached <- struct{}{}
	<-o.release
	return o.written.Write(p)
}

// TestLongLinesBeforeStalledReaderAreDropped guards against a queue of few but long lines that takes
// more memory than the process has, while nobody reads the log.
func TestLongLinesBeforeStalledReaderAreDropped(t *testing.T) {
	const lines, lineBytes, maxHeldBytes = 200, 1 << 20, 8 << 20
	out := &stalledOutput{reached: make(chan struct{}, lines), release: make(chan struct{})}
	w := NewAsyncWriter(out, lines)
	group, err := duty.NewGroup(1, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Start(w.Duty()); err != nil {
		t.Fatal(err)
	}
	line := bytes.Repeat([]byte("x"), lineBytes)
	for range lines {
		if n, err := w.Write(line); n != lineBytes || err != nil {
			t.Fatalf("write of %d bytes returned %d, %v", lineBytes, n, err)
		}
	}
	<-out.reached
	if held := (lines - int(w.Dropped())) * lineBytes; held > maxHeldBytes {
		t.Errorf("%d bytes of lines are held, want at most %d", held, maxHeldBytes)
	}
	close(out.release)
	group.Stop()
	if want := (lines - int(w.Dropped())) * lineBytes; out.written.Len() != want || want == 0 {
		t.Errorf("%d bytes written, want the %d of the lines that were not dropped", out.written.Len(), want)
	}
}
