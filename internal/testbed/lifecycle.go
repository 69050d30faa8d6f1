package testbed

import "pollentack.example/pollentack/internal/node"

// Kill ends host i as a crash does. Its name answers no call until Restart.
func (t *Testbed) Kill(i int) {
	t.Nodes[i].Abort()
}

// Leave ends host i gracefully.
func (t *Testbed) Leave(i int) {
	t.Nodes[i].Stop()
}

// Restart starts a new process for host i, whose last one has ended, and waits until it
// has the newest note in force.
func (t *Testbed) Restart(i int) (*node.Node, error) {
	n, err := t.StartNode(i)
	if err != nil {
		return nil, err
	}
	t.Nodes[i] = n
	return n, Await("the restarted host's note", func() bool { return n.Status().Note >= t.number })
}

// HostName returns the published name of host i.
func (t *Testbed) HostName(i int) string { return t.hosts[i].Name }
