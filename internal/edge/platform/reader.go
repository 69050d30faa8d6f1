// Package platform reads release notes from the platform's configuration service.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/inifile"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/platformapi"
)

const (
	callTimeout = 2 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = 500 * time.Millisecond
)

// Reader is the duty that watches the head and reads each note after the last.
type Reader struct {
	base   string
	poll   time.Duration
	client *client.Client
	emit   func(control.Event) bool
	stop   chan struct{}
	calls  atomic.Uint64
}

// NewReader returns a reader that hands each note to emit, which reports whether it
// was taken; one that was not is read again.
func NewReader(address string, poll time.Duration, emit func(control.Event) bool) (*Reader, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(callTimeout))
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	return &Reader{base: "http://" + address, poll: poll, client: c, emit: emit, stop: make(chan struct{})}, nil
}

// Calls returns the number of calls made.
func (r *Reader) Calls() uint64 { return r.calls.Load() }

// Stop makes Run return after the call in progress.
func (r *Reader) Stop() { close(r.stop) }

// Run watches until Stop.
func (r *Reader) Run() {
	var last uint64
	for !r.stopped(0) {
		head, err := r.head(last)
		if err != nil {
			r.stopped(retryPause)
			continue
		}
		if head.Baseline > last {
			last = head.Baseline - 1
		}
		for number := last + 1; number <= head.Number; number++ {
			if !r.read(number) {
				r.stopped(retryPause)
				break
			}
			last = number
		}
	}
	r.client.CloseIdleConnections()
}

// stopped waits and reports whether the reader has been stopped.
func (r *Reader) stopped(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.stop:
		return true
	case <-timer.C:
		return false
	}
}

func (r *Reader) head(last uint64) (platformapi.Head, error) {
	var head platformapi.Head
	url := fmt.Sprintf("%s%s?after=%d&wait=%d", r.base, platformapi.PathHead, last, r.poll.Milliseconds())
	body, err := r.get(url, r.poll+callTimeout)
	if err != nil {
		return head, err
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return head, fmt.Errorf("decode head: %w", err)
	}
	return head, nil
}

var errNotFound = errors.New("not found")

func (r *Reader) read(number uint64) bool {
	body, err := r.get(fmt.Sprintf("%s%s/%d", r.base, platformapi.PathNote, number), callTimeout)
	if errors.Is(err, errNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	parsed, err := note.Parse(fmt.Sprintf("note %d", number), body)
	ev := &control.NoteRead{Number: number, Note: parsed}
	var faults inifile.Faults
	if errors.As(err, &faults) {
		ev.Faults = note.CoreFaults(faults)
	}
	return r.emit(ev)
}

func (r *Reader) get(url string, timeout time.Duration) ([]byte, error) {
	r.calls.Add(1)
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := r.client.DoTimeout(context.Background(), req, resp, timeout); err != nil {
		return nil, fmt.Errorf("get %s: %w", url, err)
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case http.StatusNotFound:
		return nil, errNotFound
	}
	return nil, fmt.Errorf("get %s: status %d", url, resp.StatusCode())
}
