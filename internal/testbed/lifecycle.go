package testbed

import "pollentack.example/pollentack/internal/node"

// KillHost ends host i at once, as a crash does. No process answers calls to the host until
// RestartHost.
func (t *Testbed) KillHost(i int) {
	t.Nodes[i].Abort()
}

// StopHost stops host i gracefully.
func (t *Testbed) StopHost(i int) {
	t.Nodes[i].Stop()
}

// RestartHost starts a new node for host i, whose previous one has ended, and waits until
// the newest note is active on it.
func (t *Testbed) RestartHost(i int) (*node.Node, error) {
	n, err := t.StartNode(i)
	if err != nil {
		return nil, err
	}
	t.Nodes[i] = n
	return n, Await("the newest note on the restarted host", func() bool { return n.Status().Note >= t.lastNote })
}

// HostName returns the published name of host i.
func (t *Testbed) HostName(i int) string { return t.hosts[i].Name }
