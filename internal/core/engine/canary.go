package engine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/quarantine"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/target"
)

const (
	// canaryStageShards is the number of shards in the second canary stage, after the
	// first shard has run.
	canaryStageShards = 3
	// canaryAskInterval is the delay before the home is asked again about a body that is
	// running elsewhere or whose home did not answer.
	canaryAskInterval = 10 * time.Millisecond
	// leaseGrace is how much longer a lease lasts than the query that holds it.
	leaseGrace = time.Second
	// maxCanaryHomes is the maximum number of hosts to ask in turn.
	maxCanaryHomes = 9

	defaultQuarantineEntries = 65_536
	defaultCleanFor          = 10 * time.Minute
	defaultSuspectFor        = 10 * time.Minute
	defaultConvictFor        = 10 * time.Minute
)

// canaryState tracks the checks of bodies that may crash targets. A body that is not known
// to be clean runs on one shard first, then on a few more and then on all of them. The home
// host of its fingerprint grants a lease for this to one query at a time.
type canaryState struct {
	registry *quarantine.Registry
	checks   map[quarantine.Fingerprint]*canaryCheck
	// peerStateReceived is set once the state of the peers has been received.
	peerStateReceived bool
}

// canaryCheck is the check of one fingerprint that is not known to be clean.
type canaryCheck struct {
	waiting []query.ID
	homes   []string
	// busy is set while a call to the home is in progress or a local query holds the
	// lease.
	busy bool
}

func newCanaryState(cfg *quarantine.Config) canaryState {
	c := *cfg
	if c.MaxEntries == 0 {
		c = quarantine.Config{MaxEntries: defaultQuarantineEntries, CleanFor: defaultCleanFor, SuspectFor: defaultSuspectFor, ConvictFor: defaultConvictFor}
	}
	return canaryState{registry: quarantine.NewRegistry(c), checks: map[quarantine.Fingerprint]*canaryCheck{}}
}

// Quarantine returns the quarantine records, which status reports may only read.
func (e *Engine) Quarantine() *quarantine.Registry { return e.canary.registry }

// holdForCanary reports whether the query must wait for a decision of its fingerprint's
// home, or has been refused.
func (e *Engine) holdForCanary(now clock.Instant, q *query.Query, fx *Effects) bool {
	if !q.Policy.Canary && e.canary.registry.Len() == 0 {
		return false
	}
	f := quarantine.FingerprintOf(q.Request.Service, q.Request.Body)
	known := e.canary.registry.Verdict(now, f)
	if known == quarantine.Convicted {
		e.refuseQuarantined(now, q, fx)
		return true
	}
	if !q.Policy.Canary || known == quarantine.Clean {
		return false
	}
	q.Canary = query.Canary{Fingerprint: uint64(f), Stage: query.StageWaiting}
	check, ok := e.canary.checks[f]
	if !ok {
		check = &canaryCheck{homes: e.canaryHomes(f)}
		e.canary.checks[f] = check
	}
	check.waiting = append(check.waiting, q.ID)
	if !ok {
		e.askHome(now, f, check, fx)
	}
	return true
}

func (e *Engine) refuseQuarantined(now clock.Instant, q *query.Query, fx *Effects) {
	q.Canary.Refused = true
	e.finish(now, q, fx)
}

// canaryHomes lists the candidate homes of the fingerprint by rendezvous hashing. The
// first one that can be reached is the home.
func (e *Engine) canaryHomes(f quarantine.Fingerprint) []string {
	hosts := slices.Clone(e.state.Hosts)
	weight := func(h *release.Host) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(h.Name), uint64(f)))
	}
	slices.SortFunc(hosts, func(a, b release.Host) int {
		return cmp.Or(cmp.Compare(weight(&a), weight(&b)), cmp.Compare(a.Name, b.Name))
	})
	homes := make([]string, 0, maxCanaryHomes)
	for i := range hosts[:min(len(hosts), maxCanaryHomes)] {
		homes = append(homes, hosts[i].Name)
	}
	if len(homes) == 0 {
		homes = append(homes, e.cfg.Host)
	}
	return homes
}

// askHome asks the first remaining candidate home. If none remains, all are asked again
// after a delay: nothing runs without a decision of the home.
func (e *Engine) askHome(now clock.Instant, f quarantine.Fingerprint, check *canaryCheck, fx *Effects) {
	leaseTime, ok := e.leaseTimeNeeded(now, check)
	if !ok {
		delete(e.canary.checks, f)
		return
	}
	if len(check.homes) == 0 || !e.peerStateSettled(now) {
		e.askLater(now, f)
		return
	}
	if check.homes[0] == e.cfg.Host {
		e.applyCanaryVerdict(now, f, e.cfg.Host, e.canary.registry.RequestLease(now, f, leaseTime), fx)
		return
	}
	check.busy = true
	fx.CanaryCalls = append(fx.CanaryCalls, CanaryCall{Host: check.homes[0], Fingerprint: f, LeaseTime: leaseTime})
}

func (e *Engine) askLater(now clock.Instant, f quarantine.Fingerprint) {
	e.timers.arm(timer{due: now.Mono + canaryAskInterval, query: query.ID(f), kind: timerCanary})
}

// leaseTimeNeeded removes waiting queries that have ended. It returns how long a lease
// for the remaining ones must last, and false if there are none.
func (e *Engine) leaseTimeNeeded(now clock.Instant, check *canaryCheck) (time.Duration, bool) {
	check.waiting = slices.DeleteFunc(check.waiting, func(id query.ID) bool { return e.queries[id] == nil })
	var longest time.Duration
	for _, id := range check.waiting {
		longest = max(longest, e.queries[id].Deadline-now.Mono)
	}
	return longest + leaseGrace, len(check.waiting) > 0
}

func (e *Engine) canaryDue(now clock.Instant, t timer, fx *Effects) {
	f := quarantine.Fingerprint(t.query)
	check, ok := e.canary.checks[f]
	if !ok || check.busy {
		return
	}
	check.homes = e.canaryHomes(f)
	e.askHome(now, f, check, fx)
}

// canaryAnswered handles the result of a call to the home. A home that may have received
// the call is asked again and not replaced by another, which could grant a second lease.
func (e *Engine) canaryAnswered(now clock.Instant, ev *CanaryCallDone, fx *Effects) {
	f := ev.Call.Fingerprint
	check, ok := e.canary.checks[f]
	if ev.Call.Lease != 0 || !ok {
		return
	}
	check.busy = false
	switch {
	case ev.Answer != nil:
		e.applyCanaryVerdict(now, f, ev.Call.Host, *ev.Answer, fx)
	case ev.NeverSent && len(check.homes) > 0:
		check.homes = check.homes[1:]
		e.askHome(now, f, check, fx)
	default:
		e.askLater(now, f)
	}
}

func (e *Engine) applyCanaryVerdict(now clock.Instant, f quarantine.Fingerprint, home string, a quarantine.LeaseAnswer, fx *Effects) {
	check := e.canary.checks[f]
	switch a.Verdict {
	case quarantine.Clean:
		e.canary.registry.MarkClean(now, f)
		e.scatterWaiting(now, f, fx)
	case quarantine.Convicted:
		e.canary.registry.MarkConvicted(now, f, a.Until)
		delete(e.canary.checks, f)
		for _, id := range check.waiting {
			if q := e.queries[id]; q != nil {
				e.refuseQuarantined(now, q, fx)
			}
		}
	case quarantine.Granted:
		e.beginCanary(now, f, home, a.Lease, fx)
	default:
		e.askLater(now, f)
	}
}

// beginCanary sends the first shard of the first waiting query under the lease.
func (e *Engine) beginCanary(now clock.Instant, f quarantine.Fingerprint, home string, lease uint64, fx *Effects) {
	check := e.canary.checks[f]
	if _, ok := e.leaseTimeNeeded(now, check); !ok {
		delete(e.canary.checks, f)
		e.endLease(now, f, home, lease, leaseEnd{outcome: quarantine.NotRun}, fx)
		return
	}
	q := e.queries[check.waiting[0]]
	check.waiting = check.waiting[1:]
	check.busy = true
	q.Canary.Stage, q.Canary.Home, q.Canary.Lease = query.StageOne, home, lease
	// Varies the first shard with the lease, so that two deaths caused by the same body
	// rarely take down both replicas of a shard.
	q.Canary.FirstShard = int((uint64(f) + lease) % uint64(len(q.Shards)))
	e.sendOrPark(now, q, shardAt(q, 0), fx)
	if e.queries[q.ID] == q {
		e.finishIfSettled(now, q, fx)
	}
}

// heldByCanary reports whether the query's canary stage does not include the shard yet.
func heldByCanary(q *query.Query, shard int32) bool {
	n := len(q.Shards)
	position := (int(shard) - q.Canary.FirstShard + n) % n
	switch q.Canary.Stage {
	case query.StageWaiting:
		return true
	case query.StageOne:
		return position > 0
	case query.StageFew:
		return position > canaryStageShards
	}
	return false
}

// shardAt returns the shard at a position of the query's order.
func shardAt(q *query.Query, position int) int32 {
	return int32((q.Canary.FirstShard + position) % len(q.Shards))
}

// advanceCanary starts the next canary stage once all shards of the current stage have
// settled.
func (e *Engine) advanceCanary(now clock.Instant, q *query.Query, fx *Effects) {
	if e.queries[q.ID] != q || q.Canary.Lease == 0 {
		return
	}
	stageEnd := min(1+canaryStageShards, len(q.Shards))
	first := &q.Shards[q.Canary.FirstShard]
	if q.Canary.Stage == query.StageOne && first.Settled() && !first.Answered {
		// No shard has run without failure: the body itself may have caused the loss.
		e.endQueryLease(now, q, leaseEnd{outcome: quarantine.NotRun}, fx)
		e.finish(now, q, fx)
		return
	}
	if q.Canary.Stage == query.StageOne && first.Answered {
		q.Canary.Stage = query.StageFew
		for position := 1; position < stageEnd && e.queries[q.ID] == q; position++ {
			e.sendOrPark(now, q, shardAt(q, position), fx)
		}
	}
	for position := range stageEnd {
		if !q.Shards[shardAt(q, position)].Settled() {
			return
		}
	}
	q.Canary.Stage = query.StageAll
	e.endQueryLease(now, q, endWithoutLoss(q), fx)
	e.scatterFrom(now, q, stageEnd, fx)
}

// leaseEnd is the result of a run under a lease, with the target that died, if any.
type leaseEnd struct {
	outcome     quarantine.RunOutcome
	incarnation quarantine.IncarnationHash
}

func endWithoutLoss(q *query.Query) leaseEnd {
	if q.Answered > 0 {
		return leaseEnd{outcome: quarantine.RanClean}
	}
	return leaseEnd{outcome: quarantine.NotRun}
}

// endFailedCanary ends a query whose attempt under a lease may have run and was not
// answered. The attempt is not retried or hedged, because another target could crash.
func (e *Engine) endFailedCanary(now clock.Instant, q *query.Query, r *AttemptResult, fx *Effects) bool {
	if q.Canary.Lease == 0 || r.Outcome == Answered || r.Outcome.NotRun() {
		return false
	}
	e.endQueryLease(now, q, e.endAfterLoss(r), fx)
	e.finish(now, q, fx)
	return true
}

func (e *Engine) endAfterLoss(r *AttemptResult) leaseEnd {
	if !r.Disconnected {
		return leaseEnd{outcome: quarantine.Unclear}
	}
	died := leaseEnd{outcome: quarantine.TargetDied}
	if t := e.targets.Entry(r.Target); t.Spec != nil {
		died.incarnation = quarantine.IncarnationHashOf(t.Spec.Name, t.Incarnation)
	}
	return died
}

// lateCanaryReply handles the end of an attempt whose query ended while it held a lease.
func (e *Engine) lateCanaryReply(now clock.Instant, q *query.Query, r *AttemptResult, fx *Effects) {
	switch {
	case r.Outcome == Answered && q.OpenAttempts == 0:
		e.endQueryLease(now, q, leaseEnd{outcome: quarantine.RanClean}, fx)
	case r.Outcome != Answered && !r.Outcome.NotRun():
		e.endQueryLease(now, q, e.endAfterLoss(r), fx)
	case q.OpenAttempts == 0:
		e.endQueryLease(now, q, endWithoutLoss(q), fx)
	}
}

// releaseLease ends the lease of an ending query, unless an attempt is still open. The
// lease then ends with that attempt.
func (e *Engine) releaseLease(now clock.Instant, q *query.Query, fx *Effects) {
	if q.OpenAttempts == 0 {
		e.endQueryLease(now, q, endWithoutLoss(q), fx)
	}
}

// endQueryLease ends the lease of the query, if it holds one, and lets other queries with
// the same body continue.
func (e *Engine) endQueryLease(now clock.Instant, q *query.Query, end leaseEnd, fx *Effects) {
	c := &q.Canary
	if c.Lease == 0 {
		return
	}
	f := quarantine.Fingerprint(c.Fingerprint)
	lease := c.Lease
	c.Lease = 0
	e.endLease(now, f, c.Home, lease, end, fx)
	check, ok := e.canary.checks[f]
	if !ok {
		return
	}
	check.busy = false
	if end.outcome == quarantine.RanClean {
		e.canary.registry.MarkClean(now, f)
		e.scatterWaiting(now, f, fx)
		return
	}
	e.askLater(now, f)
}

func (e *Engine) endLease(now clock.Instant, f quarantine.Fingerprint, home string, lease uint64, end leaseEnd, fx *Effects) {
	if home != e.cfg.Host {
		e.publishDeath(now, f, end.outcome, fx)
		fx.CanaryCalls = append(fx.CanaryCalls, CanaryCall{Host: home, Fingerprint: f, Lease: lease, Outcome: end.outcome, Incarnation: end.incarnation})
		return
	}
	e.recordLeaseEnd(now, f, lease, end, fx)
}

// scatterWaiting sends all queries that waited for a body that has run clean.
func (e *Engine) scatterWaiting(now clock.Instant, f quarantine.Fingerprint, fx *Effects) {
	check := e.canary.checks[f]
	delete(e.canary.checks, f)
	for _, id := range check.waiting {
		q := e.queries[id]
		if q == nil {
			continue
		}
		q.Canary.Stage = query.StageAll
		e.scatterFrom(now, q, 0, fx)
	}
}

// heldChoice is returned for a shard that the query's canary stage holds back.
var heldChoice = target.Choice{ID: target.None, Usable: true}
