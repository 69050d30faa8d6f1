package engine

import (
	"maps"
	"slices"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quantile"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// lackingFor is how long a target that denied a snapshot is not asked for it again.
	lackingFor = 2 * time.Second
	// maxRestarts bounds how often a query begins again on another snapshot.
	maxRestarts = 3
	// restartMargin times the service's P95 must be left for a query to begin again.
	restartMargin = 2
)

// planKey identifies a plan across notes.
type planKey struct {
	service string
	key     release.Key
	shards  int
}

func keyOf(snap *release.Snapshot) planKey {
	return planKey{service: snap.Service, key: snap.Key(), shards: len(snap.Shards)}
}

// release puts a state in force. Plans of snapshots that stay keep what was learned;
// plans of withdrawn snapshots stay as long as a query is pinned to them.
func (e *Engine) release(now clock.Instant, s *release.State, fx *Effects) {
	e.state = s
	e.targets.Apply(s)
	old := e.plans
	e.plans = make(map[planKey]*query.Plan, len(old))
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		svc := s.Services[name]
		fanOut := 0
		for _, snap := range svc.Snapshots {
			key := keyOf(snap)
			e.plans[key] = e.planOf(snap, old[key])
			fanOut = max(fanOut, len(snap.Shards))
		}
		e.service(name).Budget.Configure(&svc.Policy, fanOut)
	}
	for key, plan := range old {
		if e.plans[key] == nil && plan.Pinned > 0 {
			e.withdrawn = append(e.withdrawn, plan)
		}
	}
	e.withdrawn = slices.DeleteFunc(e.withdrawn, func(p *query.Plan) bool { return p.Pinned == 0 })
	e.indexGroups()
	e.planRuns(s)
	e.gate.release(s, e.targets.Hosts())
	e.wakeAll(now, fx)
}

func (e *Engine) service(name string) *query.Service {
	svc, ok := e.services[name]
	if !ok {
		svc = &query.Service{Latency: quantile.Estimator{Fine: true}}
		e.services[name] = svc
	}
	return svc
}

// planOf returns the plan of the snapshot: the one that was there, brought up to date,
// so that pinned queries see replicas that were added.
func (e *Engine) planOf(snap *release.Snapshot, plan *query.Plan) *query.Plan {
	if plan == nil {
		plan = e.takeWithdrawn(snap)
	}
	if plan == nil {
		plan = query.NewPlan(snap)
		for i := range plan.Groups {
			e.nextGroup++
			plan.Groups[i].Serial = e.nextGroup
		}
	}
	plan.Snapshot = snap
	for i := range snap.Shards {
		g := &plan.Groups[i]
		g.Replicas = g.Replicas[:0]
		for _, name := range snap.Shards[i].Replicas {
			g.Replicas = append(g.Replicas, e.targets.Lookup(name))
		}
	}
	return plan
}

// takeWithdrawn returns the plan of a snapshot that was withdrawn and comes back.
func (e *Engine) takeWithdrawn(snap *release.Snapshot) *query.Plan {
	at := slices.IndexFunc(e.withdrawn, func(p *query.Plan) bool { return keyOf(p.Snapshot) == keyOf(snap) })
	if at < 0 {
		return nil
	}
	plan := e.withdrawn[at]
	e.withdrawn = slices.Delete(e.withdrawn, at, at+1)
	return plan
}

// indexGroups lists for each target the groups that it is a replica of.
func (e *Engine) indexGroups() {
	e.groupsOf = make([][]*query.Group, e.targets.Len())
	for _, plan := range e.plansInOrder() {
		for i := range plan.Groups {
			g := &plan.Groups[i]
			for _, id := range g.Replicas {
				e.groupsOf[id] = append(e.groupsOf[id], g)
			}
		}
	}
}

// plansInOrder lists all plans, withdrawn ones included, in the order of their groups.
func (e *Engine) plansInOrder() []*query.Plan {
	plans := slices.Concat(slices.Collect(maps.Values(e.plans)), e.withdrawn)
	plans = slices.DeleteFunc(plans, func(p *query.Plan) bool { return len(p.Groups) == 0 })
	slices.SortFunc(plans, func(a, b *query.Plan) int { return int(a.Groups[0].Serial) - int(b.Groups[0].Serial) })
	return plans
}

// wakeAll lets every waiter look for a replica again.
func (e *Engine) wakeAll(now clock.Instant, fx *Effects) {
	if e.waiting == 0 {
		return
	}
	for _, plan := range e.plansInOrder() {
		for i := range plan.Groups {
			e.resumeGroup(now, &plan.Groups[i], fx)
		}
	}
}

// chooseSnapshot returns the newest snapshot whose every shard has a usable replica,
// else the one that can answer most, or nil where none can answer anything.
func (e *Engine) chooseSnapshot(now clock.Instant, svc *release.Service, other *query.Plan) *query.Plan {
	var best *query.Plan
	bestWeight := 0.0
	for _, snap := range svc.Snapshots {
		plan := e.plans[keyOf(snap)]
		if plan == other {
			continue
		}
		weight, whole := e.prospect(now, plan)
		if whole {
			return plan
		}
		if weight > bestWeight {
			best, bestWeight = plan, weight
		}
	}
	return best
}

// prospect returns the share of the snapshot's weight that usable replicas hold, and
// whether that is every shard.
func (e *Engine) prospect(now clock.Instant, plan *query.Plan) (share float64, whole bool) {
	lacking := lackingOf(plan, now)
	missing := 0.0
	whole = true
	for i := range plan.Groups {
		if !e.targets.AnyUsable(plan.Groups[i].Replicas, lacking) {
			whole = false
			missing += plan.Snapshot.Shards[i].Weight
		}
	}
	if plan.Snapshot.Weight == 0 {
		return 0, whole
	}
	return 1 - missing/plan.Snapshot.Weight, whole
}

// lackingOf returns nil where no target is known to lack the plan's snapshot.
func lackingOf(plan *query.Plan, now clock.Instant) target.Lacking {
	if !plan.LacksAny() {
		return nil
	}
	return func(id target.ID) bool { return plan.Lacks(id, now.Mono) }
}

// denied takes a target's word that it does not hold the query's snapshot.
func (e *Engine) denied(now clock.Instant, plan *query.Plan, id target.ID) {
	e.counters.SnapshotsDenied++
	plan.SetLacking(id, now.Mono+lackingFor)
}

// loseShard gives a shard up for the pinned snapshot. Where the snapshot is gone the
// query begins again on another that can answer more, if its deadline allows.
func (e *Engine) loseShard(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	if e.snapshotGone(now, q.Plan, shard) {
		q.Retired = true
		if e.beginAgain(now, q, fx) {
			return
		}
	}
	e.counters.ShardsLost++
	q.Lose(shard)
}

// snapshotGone reports whether the shard has usable replicas and all lack the snapshot.
func (e *Engine) snapshotGone(now clock.Instant, plan *query.Plan, shard int32) bool {
	lacking := lackingOf(plan, now)
	if lacking == nil {
		return false
	}
	replicas := plan.Groups[shard].Replicas
	return e.targets.AnyUsable(replicas, nil) && !e.targets.AnyUsable(replicas, lacking)
}

// claimed takes a target's claim that it holds a snapshot. A false claim costs one
// request that the target denies.
func (e *Engine) claimed(service string, key release.Key, id target.ID) {
	for k, plan := range e.plans {
		if k.service == service && k.key == key {
			plan.ClearLacking(id)
		}
	}
}

// beginAgain moves the query to a snapshot that can answer more than its own. Nothing
// that it gathered goes along.
func (e *Engine) beginAgain(now clock.Instant, q *query.Query, fx *Effects) bool {
	if q.Restarts >= maxRestarts || q.Deadline-now.Mono < restartMargin*e.usual(q.Service) {
		return false
	}
	svc, ok := e.state.Services[q.Request.Service]
	if !ok {
		return false
	}
	next := e.chooseSnapshot(now, svc, q.Plan)
	if next == nil {
		return false
	}
	share, _ := e.prospect(now, next)
	if current, _ := e.prospect(now, q.Plan); share <= current {
		return false
	}
	e.counters.Restarts++
	old := *q
	e.detach(now, q, fx)
	fresh := e.newQuery(old.Request, next)
	fresh.Policy, fresh.Service = old.Policy, old.Service
	fresh.Started, fresh.Deadline = old.Started, old.Deadline
	fresh.Attempts, fresh.Restarts, fresh.Ran = old.Attempts, old.Restarts+1, old.Ran || old.Open > 0
	e.enter(now, fresh, fx)
	return true
}

// usual is a service's P95, 0 while it is not known.
func (e *Engine) usual(svc *query.Service) time.Duration {
	d, ok := svc.Latency.Value()
	if !ok {
		return 0
	}
	return d
}

// retiredCode is the code of a query whose snapshot went away under it.
func retiredCode(q *query.Query) result.Code {
	if q.Retired {
		return result.SnapshotRetired
	}
	return result.CoverageTooLow
}
