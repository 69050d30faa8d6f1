// Package platform calls the platform's configuration service, which supports only reads and
// watches. Package callschedule decides when to call.
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
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollentack.example/pollentack/internal/core/callschedule"
	"pollentack.example/pollentack/internal/core/control"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/sysclock"
	"pollentack.example/pollentack/internal/inifile"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/platformapi"
	"pollentack.example/pollentack/internal/ring"
)

const (
	callTimeout = 2 * time.Second
	// callRingCapacity is the capacity of each ring of calls. The core has at most one watch
	// and one short call in progress.
	callRingCapacity = 1
	// maxReplyBytes bounds the body of a response. A note has at most note.MaxBytes.
	maxReplyBytes = note.MaxBytes + 1
)

// Reader makes the calls that the control core requests. It has two duties, so that a
// pending watch does not delay a short call.
type Reader struct {
	base    string
	clock   sysclock.Clock
	client  *client.Client
	dialer  *trackingDialer
	emit    func(control.Event) bool
	watches *ring.Ring[callschedule.Call]
	calls   *ring.Ring[callschedule.Call]
	total   atomic.Uint64
	failed  atomic.Uint64
}

// NewReader returns a reader that passes the result of each call to emit.
func NewReader(address string, clk sysclock.Clock, emit func(control.Event) bool) (*Reader, error) {
	d := newTrackingDialer()
	c, err := client.NewClient(
		client.WithDialer(d),
		client.WithDialTimeout(callTimeout),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxReplyBytes }},
	)
	if err != nil {
		return nil, fmt.Errorf("create platform client: %w", err)
	}
	return &Reader{
		base:    "http://" + address,
		clock:   clk,
		client:  c,
		dialer:  d,
		emit:    emit,
		watches: ring.New[callschedule.Call]("platform watch", callRingCapacity),
		calls:   ring.New[callschedule.Call]("platform call", callRingCapacity),
	}, nil
}

// TotalCalls returns the number of calls made, including failed ones.
func (r *Reader) TotalCalls() uint64 { return r.total.Load() }

// FailedCalls returns the number of calls that failed.
func (r *Reader) FailedCalls() uint64 { return r.failed.Load() }

// Rings returns the counters of the reader's rings.
func (r *Reader) Rings() []ring.Stats { return []ring.Stats{r.watches.Stats(), r.calls.Stats()} }

// Duties returns the duties that make the calls, one for short calls and one for watches.
func (r *Reader) Duties() []duty.Duty {
	return []duty.Duty{
		{Name: "platform call", Run: func() { r.process(r.calls) }, Stop: func() { r.stop(r.calls) }},
		{Name: "platform watch", Run: func() { r.process(r.watches) }, Stop: func() { r.stop(r.watches) }},
	}
}

// stop closes a ring of calls and all connections, which ends the calls in progress.
func (r *Reader) stop(calls *ring.Ring[callschedule.Call]) {
	calls.Close()
	r.dialer.closeAll()
}

// Put queues a call and reports whether it was queued. It is not after a stop, or if the
// ring is full.
func (r *Reader) Put(c callschedule.Call) bool {
	if c.Kind == callschedule.KindWatch {
		return r.watches.Put(c)
	}
	return r.calls.Put(c)
}

func (r *Reader) process(calls *ring.Ring[callschedule.Call]) {
	batch := make([]callschedule.Call, callRingCapacity)
	for {
		n, ok := calls.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, c := range batch[:n] {
			r.emit(r.execute(c))
		}
	}
}

func (r *Reader) execute(call callschedule.Call) *control.CallResult {
	ended := &control.CallResult{Result: callschedule.Result{Call: call}, Began: r.clock.Now().Mono}
	r.total.Add(1)
	var err error
	switch call.Kind {
	case callschedule.KindHead, callschedule.KindWatch:
		err = r.fetchHead(call, &ended.Result)
	case callschedule.KindNote:
		ended.Note, err = r.fetchNote(call.Number)
	case callschedule.KindHosts:
		ended.Hosts, err = r.fetchHosts()
	}
	if err != nil {
		r.failed.Add(1)
		ended.Result.Failed = true
	}
	return ended
}

// fetchHead reads or watches the head, depending on the kind of call.
func (r *Reader) fetchHead(c callschedule.Call, result *callschedule.Result) error {
	url := r.base + platformapi.PathHead
	if c.Kind == callschedule.KindWatch {
		url += fmt.Sprintf("?after=%d&wait=%d", c.After, c.Wait.Milliseconds())
	}
	var head platformapi.Head
	if err := r.getJSON(url, c.Wait+callTimeout, &head); err != nil {
		return err
	}
	result.Head = head.Number
	result.Baseline = head.Baseline
	return nil
}

// fetchNote returns nil without an error if there is no note with this number. A note that
// exceeds note.MaxBytes is returned with a fault, not as an error.
func (r *Reader) fetchNote(number uint64) (*control.NoteRead, error) {
	body, err := r.get(fmt.Sprintf("%s%s/%d", r.base, platformapi.PathNotes, number), callTimeout)
	switch {
	case errors.Is(err, errNotFound):
		return nil, nil
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		reason := fmt.Sprintf("note has more than %d bytes", note.MaxBytes)
		return &control.NoteRead{Number: number, Note: &release.Note{}, Faults: []release.Fault{{Reason: reason}}}, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseNote(number, body), nil
}

// ParseNote parses the text of a note that was read from the platform or from a peer. Syntax
// errors are returned as Faults.
func ParseNote(number uint64, text []byte) *control.NoteRead {
	parsed, err := note.Parse(fmt.Sprintf("note %d", number), text)
	read := &control.NoteRead{Number: number, Note: parsed}
	var faults inifile.Faults
	if errors.As(err, &faults) {
		read.Faults = note.ReleaseFaults(faults)
	}
	return read
}

func (r *Reader) fetchHosts() ([]control.HostEntry, error) {
	var entries []platformapi.HostEntry
	if err := r.getJSON(r.base+platformapi.PathHosts, callTimeout, &entries); err != nil {
		return nil, err
	}
	hosts := make([]control.HostEntry, len(entries))
	for i, e := range entries {
		hosts[i] = control.HostEntry{Name: e.Name, Leaving: e.Leaving}
	}
	return hosts, nil
}

func (r *Reader) getJSON(url string, timeout time.Duration, value any) error {
	body, err := r.get(url, timeout)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}
	return nil
}

var errNotFound = errors.New("not found")

func (r *Reader) get(url string, timeout time.Duration) ([]byte, error) {
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
