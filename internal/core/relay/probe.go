package relay

// maxProbes is the maximum number of probes of an availability zone at a time.
const maxProbes = 64

// zoneProbes limits the requests that probe whether failed targets of an availability zone have
// recovered. When a whole zone falls silent, a query would otherwise probe the target of each of
// its shards and lose them all. The limit doubles with each success and starts again at one
// after a failure.
type zoneProbes struct {
	open  int
	limit int
}

// probesOf returns the probes of an availability zone.
func (e *Engine) probesOf(zone string) *zoneProbes {
	p := e.probes[zone]
	if p == nil {
		p = &zoneProbes{limit: 1}
		e.probes[zone] = p
	}
	return p
}

// allow reports whether another probe may start beside those granted already.
func (p *zoneProbes) allow(granted int) bool { return p.open+granted < p.limit }

func (p *zoneProbes) ended(success bool) {
	p.open--
	if !success {
		p.limit = 1
		return
	}
	p.limit = min(2*p.limit, maxProbes)
}
