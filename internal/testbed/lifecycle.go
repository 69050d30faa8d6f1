package testbed

import "pollentack.example/pollentack/internal/node"

// Kill ends host i at once, as a crash does. No process answers calls to the host until
// Restart.
func (t *Testbed) Kill(i int) {
	t.Nodes[i].Abort()
}

// Leave stops host i gracefully.
func (t *Testbed) Leave(i int) {
	t.Nodes[i].Stop()
}

// Restart starts a new node for host i, whose previous one has ended, and waits until the
// newest note is active on it.
func (t *Testbed) Restart(i int) (*node.Node, error) {
	n, err := t.StartNode(i)
	if err != nil {
		return nil, err
	}
	t.Nodes[i] = n
	return n, Await("the newest note on the restarted host", func() bool { return n.Status().Note >= t.lastNote })
}

// HostName returns the published name of host i.
func (t *Testbed) HostName(i int) string { return t.hosts[i].Name }
