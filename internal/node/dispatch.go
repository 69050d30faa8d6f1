package node

import (
	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/targetclient"
	"pollentack.example/pollentack/internal/ring"
)

// dispatchBatch is how many sends the dispatch duty takes at a time.
const dispatchBatch = 256

// dispatch is the duty that hands sends and cancels to the workers.
type dispatch struct {
	inbox   *ring.Ring[work]
	workers *duty.Workers
	client  *targetclient.Client
	replies func(engine.Event) bool
	peers   *oncePeers
	canary  *canaryPeers
}

// newDispatch returns a dispatch with a worker for each of connections.
func newDispatch(connections int, client *targetclient.Client, replies func(engine.Event) bool) (*dispatch, error) {
	workers, err := duty.NewWorkers(connections)
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
	batch := make([]work, dispatchBatch)
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

// submit runs w on a worker. With all workers busy a cancel is dropped, which costs
// only the loser's work, and a send is reported as not run.
func (d *dispatch) submit(w work) {
	if w.cancel != nil {
		_ = d.workers.Submit(func() { d.client.Cancel(w.cancel) })
		return
	}
	if err := d.workers.Submit(func() { d.replies(d.carryOut(w)) }); err != nil {
		d.replies(w.unsent())
	}
}

// carryOut makes the call of w and returns how it ended.
func (d *dispatch) carryOut(w work) engine.Event {
	switch {
	case w.run != nil:
		return d.client.Run(w.run)
	case w.forward != nil:
		return d.peers.forward(w.forward)
	case w.canary != nil:
		return d.canary.ask(w.canary)
	case w.handover != nil:
		return d.peers.handOver(w.handover)
	}
	return d.client.Do(w.send)
}
