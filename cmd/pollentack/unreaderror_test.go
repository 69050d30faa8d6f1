package main

import (
	"errors"
	"io"
	"testing"
	"time"
)

// TestUnreadErrorDoesNotKeepProcess guards against a host that neither serves nor ends, and so is not
// started again, since nobody reads the error that it ends with.
func TestUnreadErrorDoesNotKeepProcess(t *testing.T) {
	unread, stderr := io.Pipe()
	defer func() { _ = unread.Close() }()
	code := make(chan int, 1)
	go func() { code <- exitCode(errors.New("duty panicked"), stderr) }()
	select {
	case got := <-code:
		if got != exitFailed {
			t.Errorf("exit code %d, want %d", got, exitFailed)
		}
	case <-time.After(10 * time.Second):
		t.Error("the process is kept")
	}
}
