package node

import "expvar"

// metrics is the expvar map of host statuses, keyed by host name.
var metrics = expvar.NewMap("hosts")

// publishMetrics adds the status of the host to the metrics of the process until
// unpublishMetrics is called.
func (n *Node) publishMetrics() {
	metrics.Set(n.settings.Host.Name, expvar.Func(func() any { return n.Status() }))
}

func (n *Node) unpublishMetrics() { metrics.Delete(n.settings.Host.Name) }
