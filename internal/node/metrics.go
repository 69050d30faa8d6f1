package node

import "expvar"

// metrics has an entry for each host of the process, by its name.
var metrics = expvar.NewMap("hosts")

// publishMetrics shows the host's status among the process's metrics until unpublish.
func (n *Node) publishMetrics() {
	metrics.Set(n.settings.Host.Name, expvar.Func(func() any { return n.Status() }))
}

func (n *Node) unpublishMetrics() { metrics.Delete(n.settings.Host.Name) }
