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
	// snapshotDenialTTL is how long a target is not asked for a snapshot that it has
	// denied.
	snapshotDenialTTL = 2 * time.Second
	// maxRestarts is the maximum number of restarts of a query on another snapshot.
	maxRestarts = 3
	// restartP95Factor times the P95 latency of the service must be left for a restart.
	restartP95Factor = 2
)

// planKey identifies the plan of a snapshot across configuration changes.
type planKey struct {
	service string
	key     release.SnapshotKey
	shards  int
}

func keyOf(snap *release.Snapshot) planKey {
	return planKey{service: snap.Service, key: snap.Key(), shards: len(snap.Shards)}
}

// release puts a configuration in force. Plans of remaining snapshots keep their
// statistics. Plans of withdrawn snapshots are kept while a query is pinned to them.
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
			e.plans[key] = e.updatePlan(snap, old[key])
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
	e.indexOnceTargets(s)
	e.gate.applyState(s, e.targets.Hosts())
	e.resumeAll(now, fx)
}

func (e *Engine) service(name string) *query.Service {
	svc, ok := e.services[name]
	if !ok {
		svc = &query.Service{Latency: quantile.Estimator{SmallSteps: true}}
		e.services[name] = svc
	}
	return svc
}

// updatePlan returns the plan of the snapshot with the current replicas. An existing plan
// is updated in place, so that pinned queries use added replicas too.
func (e *Engine) updatePlan(snap *release.Snapshot, plan *query.Plan) *query.Plan {
	if plan == nil {
		plan = e.reviveWithdrawn(snap)
	}
	if plan == nil {
		plan = query.NewPlan(snap)
		for i := range plan.Groups {
			e.nextGroup++
			plan.Groups[i].Order = e.nextGroup
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

// reviveWithdrawn removes and returns the plan of a withdrawn snapshot that is published
// again, or nil.
func (e *Engine) reviveWithdrawn(snap *release.Snapshot) *query.Plan {
	at := slices.IndexFunc(e.withdrawn, func(p *query.Plan) bool { return keyOf(p.Snapshot) == keyOf(snap) })
	if at < 0 {
		return nil
	}
	plan := e.withdrawn[at]
	e.withdrawn = slices.Delete(e.withdrawn, at, at+1)
	return plan
}

// indexGroups lists, for each target, the groups in which it is a replica.
func (e *Engine) indexGroups() {
	e.groupsOf = make([][]*query.ReplicaGroup, e.targets.Len())
	for _, plan := range e.plansInOrder() {
		for i := range plan.Groups {
			g := &plan.Groups[i]
			for _, id := range g.Replicas {
				e.groupsOf[id] = append(e.groupsOf[id], g)
			}
		}
	}
}

// plansInOrder lists all plans, including withdrawn ones, by the Order of their groups.
func (e *Engine) plansInOrder() []*query.Plan {
	plans := slices.Concat(slices.Collect(maps.Values(e.plans)), e.withdrawn)
	plans = slices.DeleteFunc(plans, func(p *query.Plan) bool { return len(p.Groups) == 0 })
	slices.SortFunc(plans, func(a, b *query.Plan) int { return int(a.Groups[0].Order) - int(b.Groups[0].Order) })
	return plans
}

// resumeAll retries all parked shards.
func (e *Engine) resumeAll(now clock.Instant, fx *Effects) {
	if e.parkedCount == 0 {
		return
	}
	for _, plan := range e.plansInOrder() {
		for i := range plan.Groups {
			e.resumeGroup(now, &plan.Groups[i], fx)
		}
	}
}

// chooseSnapshot returns the newest snapshot with a usable replica for every shard, or
// else the one with the largest usable share of its weight, or nil if no snapshot is
// usable. It ignores exclude.
func (e *Engine) chooseSnapshot(now clock.Instant, svc *release.Service, exclude *query.Plan) *query.Plan {
	var best *query.Plan
	bestWeight := 0.0
	for _, snap := range svc.Snapshots {
		plan := e.plans[keyOf(snap)]
		if plan == exclude {
			continue
		}
		weight, whole := e.usableShare(now, plan)
		if whole {
			return plan
		}
		if weight > bestWeight {
			best, bestWeight = plan, weight
		}
	}
	return best
}

// usableShare returns the share of the snapshot's weight for which there are usable
// replicas, and whether they cover every shard.
func (e *Engine) usableShare(now clock.Instant, plan *query.Plan) (share float64, whole bool) {
	isMissing := missingFilter(plan, now)
	missing := 0.0
	whole = true
	for i := range plan.Groups {
		if !e.targets.AnyUsable(plan.Groups[i].Replicas, isMissing) {
			whole = false
			missing += plan.Snapshot.Shards[i].Weight
		}
	}
	if plan.Snapshot.Weight == 0 {
		return 0, whole
	}
	return 1 - missing/plan.Snapshot.Weight, whole
}

// missingFilter returns a filter for the targets that lack the plan's snapshot, or nil if
// none is known to lack it.
func missingFilter(plan *query.Plan, now clock.Instant) target.MissingFunc {
	if !plan.HasMissing() {
		return nil
	}
	return func(id target.ID) bool { return plan.IsMissing(id, now.Mono) }
}

// snapshotDenied records that a target denied holding the plan's snapshot.
func (e *Engine) snapshotDenied(now clock.Instant, plan *query.Plan, id target.ID) {
	e.counters.SnapshotsDenied++
	plan.MarkMissing(id, now.Mono+snapshotDenialTTL)
}

// loseShard marks a shard as lost for the pinned snapshot. If all replicas lack the
// snapshot, the query restarts on one with a larger usable share, if there is one and
// enough time is left.
func (e *Engine) loseShard(now clock.Instant, q *query.Query, shard int32, fx *Effects) {
	if e.snapshotGone(now, q.Plan, shard) {
		q.SnapshotRetired = true
		if e.restart(now, q, fx) {
			return
		}
	}
	e.counters.ShardsLost++
	q.MarkLost(shard)
}

// snapshotGone reports whether the shard has usable replicas but all of them lack the
// snapshot.
func (e *Engine) snapshotGone(now clock.Instant, plan *query.Plan, shard int32) bool {
	missing := missingFilter(plan, now)
	if missing == nil {
		return false
	}
	replicas := plan.Groups[shard].Replicas
	return e.targets.AnyUsable(replicas, nil) && !e.targets.AnyUsable(replicas, missing)
}

// snapshotClaimed records a target's claim that it holds a snapshot. A false claim costs
// one request, which the target denies.
func (e *Engine) snapshotClaimed(service string, key release.SnapshotKey, id target.ID) {
	for k, plan := range e.plans {
		if k.service == service && k.key == key {
			plan.ClearMissing(id)
		}
	}
}

// restart restarts the query on a snapshot with a larger usable share than its own, and
// reports whether it did. The results gathered so far are discarded.
func (e *Engine) restart(now clock.Instant, q *query.Query, fx *Effects) bool {
	if q.Restarts >= maxRestarts || q.Deadline-now.Mono < restartP95Factor*e.p95(q.Service) {
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
	share, _ := e.usableShare(now, next)
	if current, _ := e.usableShare(now, q.Plan); share <= current {
		return false
	}
	e.counters.Restarts++
	old := *q
	e.detach(now, q, fx)
	restarted := e.newQuery(old.Request, next)
	restarted.Policy, restarted.Service = old.Policy, old.Service
	restarted.Started, restarted.Deadline = old.Started, old.Deadline
	restarted.Attempts, restarted.Restarts, restarted.MayHaveRun = old.Attempts, old.Restarts+1, old.MayHaveRun || old.OpenAttempts > 0
	e.activate(now, restarted, fx)
	return true
}

// p95 returns the P95 latency of a service, 0 while it is unknown.
func (e *Engine) p95(svc *query.Service) time.Duration {
	d, ok := svc.Latency.Value()
	if !ok {
		return 0
	}
	return d
}

// retiredCode returns the code of an incomplete query: SnapshotRetired if a shard was
// lost because no replica holds the snapshot, else CoverageTooLow.
func retiredCode(q *query.Query) result.Code {
	if q.SnapshotRetired {
		return result.SnapshotRetired
	}
	return result.CoverageTooLow
}
