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
	// canaryFew is the number of shards that follow the first.
	canaryFew = 3
	// canaryPause is the wait between questions about a body that another host runs.
	canaryPause = 10 * time.Millisecond
	// leaseGrace is what a lease outlasts the query that holds it by.
	leaseGrace = time.Second
	// maxCanaryHomes bounds the hosts that are asked in turn.
	maxCanaryHomes = 9

	quarantineEntries = 65_536
	cleanFor          = 10 * time.Minute
	suspectFor        = 10 * time.Minute
	convictFor        = 10 * time.Minute
)

// canaryState is the engine's part for bodies that may crash targets.
type canaryState struct {
	book *quarantine.Book
	asks map[quarantine.Fingerprint]*canaryAsk
	// settled is set once the peers' knowledge has been heard.
	settled bool
}

// canaryAsk is what this host does about one fingerprint that is not known to be clean.
type canaryAsk struct {
	waiting []query.ID
	hops    []string
	// busy is set while a question is in progress or a query here holds the lease.
	busy bool
}

func newCanaryState(cfg *quarantine.Config) canaryState {
	c := *cfg
	if c.MaxEntries == 0 {
		c = quarantine.Config{MaxEntries: quarantineEntries, CleanFor: cleanFor, SuspectFor: suspectFor, ConvictFor: convictFor}
	}
	return canaryState{book: quarantine.NewBook(c), asks: map[quarantine.Fingerprint]*canaryAsk{}}
}

// Quarantine gives read access to the book for status reports.
func (e *Engine) Quarantine() *quarantine.Book { return e.canary.book }

// holdForCanary reports whether the query waits for the word of its fingerprint's home,
// or has been refused.
func (e *Engine) holdForCanary(now clock.Instant, q *query.Query, fx *Effects) bool {
	if !q.Policy.Canary && e.canary.book.Len() == 0 {
		return false
	}
	f := quarantine.Of(q.Request.Service, q.Request.Body)
	known := e.canary.book.Known(now, f)
	if known == quarantine.Convicted {
		e.bar(now, q, fx)
		return true
	}
	if !q.Policy.Canary || known == quarantine.Clean {
		return false
	}
	q.Canary = query.Canary{Fingerprint: uint64(f), Stage: query.StageWaiting}
	ask, ok := e.canary.asks[f]
	if !ok {
		ask = &canaryAsk{hops: e.canaryHomes(f)}
		e.canary.asks[f] = ask
	}
	ask.waiting = append(ask.waiting, q.ID)
	if !ok {
		e.askHome(now, f, ask, fx)
	}
	return true
}

func (e *Engine) bar(now clock.Instant, q *query.Query, fx *Effects) {
	q.Canary.Barred = true
	e.finish(now, q, fx)
}

// canaryHomes lists the hosts that may be the fingerprint's home, by rendezvous hashing:
// the first that can be reached is.
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

// askHome asks the first of the hosts that are left. Where none is, all are asked again
// after a pause: without a home's word nothing runs.
func (e *Engine) askHome(now clock.Instant, f quarantine.Fingerprint, ask *canaryAsk, fx *Effects) {
	within, ok := e.canaryTime(now, ask)
	if !ok {
		delete(e.canary.asks, f)
		return
	}
	if len(ask.hops) == 0 || !e.settled(now) {
		e.askLater(now, f)
		return
	}
	if ask.hops[0] == e.cfg.Host {
		e.canaryVerdict(now, f, e.cfg.Host, e.canary.book.Ask(now, f, within), fx)
		return
	}
	ask.busy = true
	fx.CanaryCalls = append(fx.CanaryCalls, CanaryCall{Host: ask.hops[0], Fingerprint: f, Within: within})
}

func (e *Engine) askLater(now clock.Instant, f quarantine.Fingerprint) {
	e.timers.arm(timer{due: now.Mono + canaryPause, query: query.ID(f), kind: timerCanary})
}

// canaryTime drops waiting queries that have ended and returns how long the longest of
// the others may still run.
func (e *Engine) canaryTime(now clock.Instant, ask *canaryAsk) (time.Duration, bool) {
	ask.waiting = slices.DeleteFunc(ask.waiting, func(id query.ID) bool { return e.queries[id] == nil })
	var longest time.Duration
	for _, id := range ask.waiting {
		longest = max(longest, e.queries[id].Deadline-now.Mono)
	}
	return longest + leaseGrace, len(ask.waiting) > 0
}

func (e *Engine) canaryDue(now clock.Instant, t timer, fx *Effects) {
	f := quarantine.Fingerprint(t.query)
	ask, ok := e.canary.asks[f]
	if !ok || ask.busy {
		return
	}
	ask.hops = e.canaryHomes(f)
	e.askHome(now, f, ask, fx)
}

// canaryAnswered takes a home's word. A home that may have got the question is asked
// again and never replaced by another, which would give a second lease.
func (e *Engine) canaryAnswered(now clock.Instant, ev *CanaryAnswered, fx *Effects) {
	f := ev.Call.Fingerprint
	ask, ok := e.canary.asks[f]
	if ev.Call.Lease != 0 || !ok {
		return
	}
	ask.busy = false
	switch {
	case ev.Answer != nil:
		e.canaryVerdict(now, f, ev.Call.Host, *ev.Answer, fx)
	case ev.NeverSent && len(ask.hops) > 0:
		ask.hops = ask.hops[1:]
		e.askHome(now, f, ask, fx)
	default:
		e.askLater(now, f)
	}
}

func (e *Engine) canaryVerdict(now clock.Instant, f quarantine.Fingerprint, home string, a quarantine.Answer, fx *Effects) {
	ask := e.canary.asks[f]
	switch a.Verdict {
	case quarantine.Clean:
		e.canary.book.MarkClean(now, f)
		e.releaseCanary(now, f, fx)
	case quarantine.Convicted:
		e.canary.book.Convict(now, f, a.Until)
		delete(e.canary.asks, f)
		for _, id := range ask.waiting {
			if q := e.queries[id]; q != nil {
				e.bar(now, q, fx)
			}
		}
	case quarantine.Granted:
		e.beginCanary(now, f, home, a.Lease, fx)
	default:
		e.askLater(now, f)
	}
}

// beginCanary lets the first waiting query send its first shard under the lease.
func (e *Engine) beginCanary(now clock.Instant, f quarantine.Fingerprint, home string, lease uint64, fx *Effects) {
	ask := e.canary.asks[f]
	if _, ok := e.canaryTime(now, ask); !ok {
		delete(e.canary.asks, f)
		e.endLease(now, f, home, lease, ending{end: quarantine.NotRun}, fx)
		return
	}
	q := e.queries[ask.waiting[0]]
	ask.waiting = ask.waiting[1:]
	ask.busy = true
	q.Canary.Stage, q.Canary.Home, q.Canary.Lease = query.StageOne, home, lease
	// Two deaths of one body then seldom take both replicas of a shard.
	q.Canary.First = int((uint64(f) + lease) % uint64(len(q.Slots)))
	e.place(now, q, shardAt(q, 0), fx)
	if e.queries[q.ID] == q {
		e.settle(now, q, fx)
	}
}

// heldBack reports whether the query's stage does not reach the shard yet.
func heldBack(q *query.Query, shard int32) bool {
	n := len(q.Slots)
	place := (int(shard) - q.Canary.First + n) % n
	switch q.Canary.Stage {
	case query.StageWaiting:
		return true
	case query.StageOne:
		return place > 0
	case query.StageFew:
		return place > canaryFew
	}
	return false
}

// shardAt returns the shard at a place of the query's order.
func shardAt(q *query.Query, place int) int32 {
	return int32((q.Canary.First + place) % len(q.Slots))
}

// advanceCanary goes on to the next stage once the shards of this one have settled.
func (e *Engine) advanceCanary(now clock.Instant, q *query.Query, fx *Effects) {
	if e.queries[q.ID] != q || q.Canary.Lease == 0 {
		return
	}
	few := min(1+canaryFew, len(q.Slots))
	first := &q.Slots[q.Canary.First]
	if q.Canary.Stage == query.StageOne && first.Settled() && !first.Done {
		// Nothing has run clean: what lost the shard may be the body itself.
		e.report(now, q, ending{end: quarantine.NotRun}, fx)
		e.finish(now, q, fx)
		return
	}
	if q.Canary.Stage == query.StageOne && first.Done {
		q.Canary.Stage = query.StageFew
		for place := 1; place < few && e.queries[q.ID] == q; place++ {
			e.place(now, q, shardAt(q, place), fx)
		}
	}
	for place := range few {
		if !q.Slots[shardAt(q, place)].Settled() {
			return
		}
	}
	q.Canary.Stage = query.StageAll
	e.report(now, q, ranEnd(q), fx)
	e.scatterFrom(now, q, few, fx)
}

// ending is how a run under a lease ended, and who died of it, if anyone.
type ending struct {
	end    quarantine.End
	victim quarantine.Victim
}

func ranEnd(q *query.Query) ending {
	if q.Answered > 0 {
		return ending{end: quarantine.RanClean}
	}
	return ending{end: quarantine.NotRun}
}

// canaryFailed ends a query whose attempt under a lease may have run and gave no answer.
// It is not retried or hedged: another target could die of it.
func (e *Engine) canaryFailed(now clock.Instant, q *query.Query, r *Reply, fx *Effects) bool {
	if q.Canary.Lease == 0 || r.Outcome == Answered || r.Outcome.NotRun() {
		return false
	}
	e.report(now, q, e.lossEnd(r), fx)
	e.finish(now, q, fx)
	return true
}

func (e *Engine) lossEnd(r *Reply) ending {
	if !r.Disconnected {
		return ending{end: quarantine.Unclear}
	}
	died := ending{end: quarantine.TargetDied}
	if t := e.targets.Entry(r.Target); t.Spec != nil {
		died.victim = quarantine.VictimOf(t.Spec.Name, t.Incarnation)
	}
	return died
}

// lateCanary takes the end of an attempt whose query has ended while it held a lease.
func (e *Engine) lateCanary(now clock.Instant, q *query.Query, r *Reply, fx *Effects) {
	switch {
	case r.Outcome == Answered && q.Open == 0:
		e.report(now, q, ending{end: quarantine.RanClean}, fx)
	case r.Outcome != Answered && !r.Outcome.NotRun():
		e.report(now, q, e.lossEnd(r), fx)
	case q.Open == 0:
		e.report(now, q, ranEnd(q), fx)
	}
}

// leaveCanary gives the lease of an ending query back, unless an attempt is in progress
// whose end decides.
func (e *Engine) leaveCanary(now clock.Instant, q *query.Query, fx *Effects) {
	if q.Open == 0 {
		e.report(now, q, ranEnd(q), fx)
	}
}

// report ends the query's lease, if it holds one, and lets others of the body go on.
func (e *Engine) report(now clock.Instant, q *query.Query, end ending, fx *Effects) {
	c := &q.Canary
	if c.Lease == 0 {
		return
	}
	f := quarantine.Fingerprint(c.Fingerprint)
	lease := c.Lease
	c.Lease = 0
	e.endLease(now, f, c.Home, lease, end, fx)
	ask, ok := e.canary.asks[f]
	if !ok {
		return
	}
	ask.busy = false
	if end.end == quarantine.RanClean {
		e.canary.book.MarkClean(now, f)
		e.releaseCanary(now, f, fx)
		return
	}
	e.askLater(now, f)
}

func (e *Engine) endLease(now clock.Instant, f quarantine.Fingerprint, home string, lease uint64, end ending, fx *Effects) {
	if home != e.cfg.Host {
		e.tellDeath(now, f, end.end, fx)
		fx.CanaryCalls = append(fx.CanaryCalls, CanaryCall{Host: home, Fingerprint: f, Lease: lease, End: end.end, Victim: end.victim})
		return
	}
	e.judge(now, f, lease, end, fx)
}

// releaseCanary sends everything that waited for a body found clean.
func (e *Engine) releaseCanary(now clock.Instant, f quarantine.Fingerprint, fx *Effects) {
	ask := e.canary.asks[f]
	delete(e.canary.asks, f)
	for _, id := range ask.waiting {
		q := e.queries[id]
		if q == nil {
			continue
		}
		q.Canary.Stage = query.StageAll
		e.scatterFrom(now, q, 0, fx)
	}
}

// noChoice is the choice of a shard that its query's stage holds back.
var noChoice = target.Choice{ID: target.None, Usable: true}
