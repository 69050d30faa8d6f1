// Package catalog holds what operators and targets publish: routes, services, limits,
// targets and the availability zones that were taken out.
//
// A View is immutable once it is handed out, so that readers share it without a lock.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Share is one part of a route whose requests are split.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route tells where requests go whose host and path it matches.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts bounds the targets that one request may run at, for each shard.
	MaxAttempts int
	// Exactly one of Service, Split and Gather is set.
	Service string
	Split   []Share
	// Gather names one service for each shard of a query.
	Gather []string
	// TopK is the number of records in the answer to a gathered query.
	TopK int
	// MinCoverage is the least share of shards, 0 to 1, of an answer.
	MinCoverage float64
	// Regions restricts where requests may be served; empty allows all.
	Regions []string
}

// AllowsRegion reports whether the route's requests may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service is one group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one target accepts from all hosts together, 0 for no limit.
	MaxConnections int
	// ColdPerSecond is the rate of requests that a cold target bears from all hosts
	// together, 0 for no limit.
	ColdPerSecond float64
}

// Limits bound what a caller may send. Zero values set no bound.
type Limits struct {
	// HeaderBytes bounds the header without the request line.
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Config is one published configuration.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route
}

// NewConfig returns a configuration with its index of routes.
func NewConfig(version uint64, routes []*Route, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for _, r := range routes {
		host := hostName(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host whose prefix is the longest that begins the path,
// or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName folds a Host header to the name that routes are kept under.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Target is one back end as it describes itself.
type Target struct {
	// Instance names one start of a target.
	Instance string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// ColdFor is how long the target stays cold from the time of the entry on.
	ColdFor time.Duration
	// Born is the wall-clock start of the target since the Unix epoch. A target that
	// starts again under its instance has a later one.
	Born time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// View is what is in force on a host at one moment.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Config is nil before the first configuration.
	Config *Config
	// ConfigRevision is the store's revision of Config.
	ConfigRevision uint64
	Targets        map[string]*Target
	ZonesOut       map[string]bool
}

// Clone returns a copy whose maps may be changed.
func (v *View) Clone() *View {
	c := *v
	c.Targets = maps.Clone(v.Targets)
	c.ZonesOut = maps.Clone(v.ZonesOut)
	return &c
}

// NewView returns a view with nothing in it.
func NewView() *View {
	return &View{Targets: map[string]*Target{}, ZonesOut: map[string]bool{}}
}
