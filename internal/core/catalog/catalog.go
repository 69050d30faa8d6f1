// Package catalog defines what operators and targets publish: routes, services, limits,
// targets and evacuated availability zones.
//
// A View must not be modified once it is shared, so that readers need no lock.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// WeightedService is one service of a route that splits its requests by weight.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route configures how requests with a given host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent allows requests to be executed more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value.
	LatencyObjective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of attempts at each shard of a request. Attempts
	// that certainly did not run are not counted.
	MaxAttempts int
	// Exactly one of Service, Split and ShardServices is set.
	Service string
	Split   []WeightedService
	// ShardServices names the service of each shard of a query.
	ShardServices []string
	// TopK is the number of records in the answer to a gathered query.
	TopK int
	// MinCoverage is the least fraction of shards, 0 to 1, that an answer must cover.
	MinCoverage float64
	// Regions restricts where requests may be served; empty allows all.
	Regions []string
}

// AllowsRegion reports whether the route's requests may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all hosts
	// together, 0 for no limit.
	MaxConnections int
	// MaxColdRate is the number of requests per second that a cold target accepts from
	// all hosts together, 0 for no limit.
	MaxColdRate float64
}

// Limits bounds what a caller may send. Zero values mean no limit.
type Limits struct {
	// MaxHeaderBytes bounds the header without the request line.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the time in which a header has to arrive.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a published configuration. It is created with NewConfig.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	routesByHost map[string][]*Route
}

// NewConfig returns a configuration with its routes indexed by host.
func NewConfig(version uint64, routes []*Route, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, routesByHost: map[string][]*Route{}}
	for _, r := range routes {
		host := normalizeHost(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that matches the path, or
// nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns the host name of a Host header in lower case, without the port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Target is a back end as it describes itself.
type Target struct {
	// Instance identifies the target.
	Instance string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// ColdRemaining is how long the target stays cold after its entry is applied.
	ColdRemaining time.Duration
	// StartTime is the start of the target as wall-clock time since the Unix epoch. A target
	// that restarts under the same instance has a later one.
	StartTime time.Duration
	// Sequence counts the target's reports since its start. The entry has that of the report that
	// changed it last.
	Sequence uint64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// NewerThan reports whether t describes a later state of the instance than o does.
func (t *Target) NewerThan(o *Target) bool {
	return cmp.Or(cmp.Compare(t.StartTime, o.StartTime), cmp.Compare(t.Sequence, o.Sequence)) > 0
}

// View is the state of the catalog that is active on a host.
type View struct {
	// Era is the era of the store's data, 0 if it is not known. It rises when the store comes back
	// from an older copy; revisions of different eras cannot be compared.
	Era uint64
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Config is nil before the first configuration.
	Config *Config
	// ConfigRevision is the store's revision of Config.
	ConfigRevision uint64
	Targets        map[string]*Target
	EvacuatedZones map[string]bool
}

// Clone returns a copy whose maps may be modified.
func (v *View) Clone() *View {
	c := *v
	c.Targets = maps.Clone(v.Targets)
	c.EvacuatedZones = maps.Clone(v.EvacuatedZones)
	return &c
}

// NewView returns an empty view.
func NewView() *View {
	return &View{Targets: map[string]*Target{}, EvacuatedZones: map[string]bool{}}
}
