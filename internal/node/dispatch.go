package node

import (
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/targetclient"
	"pollentack.example/pollentack/internal/ring"
)

// dispatchBatchSize is the maximum number of work items that the dispatch duty takes from
// its ring at a time.
const dispatchBatchSize = 256

// dispatch is the duty that runs work items on a bounded pool of workers.
type dispatch struct {
	inbox   *ring.Ring[work]
	workers *duty.Workers
	client  *targetclient.Client
	replies func(engine.Event) bool
	peers   *oncePeers
	canary  *canaryPeers
}

// newDispatch returns a dispatch with one worker per connection.
func newDispatch(connections int, client *targetclient.Client, replies func(engine.Event) bool, onPanic func(error)) (*dispatch, error) {
	workers, err := duty.NewWorkers(connections, onPanic)
	if err != nil {
		return nil, err
	}
	d := &dispatch{
		inbox:   ring.New[work]("dispatch", connections),
		workers: workers,
		client:  client,
		replies: replies,
	}
	return d, nil
}

func (d *dispatch) put(w work) bool { return d.inbox.Put(w) }

func (d *dispatch) duty() duty.Duty {
	return duty.Duty{Name: "dispatch", Run: d.run, Stop: d.inbox.Close}
}

func (d *dispatch) run() {
	defer d.client.Close()
	defer d.workers.Close()
	batch := make([]work, dispatchBatchSize)
	for {
		n, ok := d.inbox.Take(batch, ring.Forever)
		if !ok {
			return
		}
		for _, w := range batch[:n] {
			d.submit(w)
		}
	}
}

// submit runs w on a worker. If all workers are busy, a cancel is dropped, which only lets
// the cancelled attempt run to its end; any other work item is reported as not sent.
func (d *dispatch) submit(w work) {
	if w.cancel != nil {
		_ = d.workers.Submit(func() { d.client.Cancel(w.cancel) })
		return
	}
	err := d.workers.Submit(func() {
		// If the call panics, its outcome is not known.
		result := w.lostEvent()
		defer func() { d.replies(result) }()
		result = d.execute(w)
	})
	if err != nil {
		d.replies(w.unsentEvent())
	}
}

// execute makes the call described by w and returns its result.
func (d *dispatch) execute(w work) engine.Event {
	switch {
	case w.run != nil:
		return d.client.Run(w.run)
	case w.forward != nil:
		return d.peers.forward(w.forward)
	case w.canary != nil:
		return d.canary.callHome(w.canary)
	case w.handover != nil:
		return d.peers.handOver(w.handover)
	}
	return d.client.Search(w.send)
}
