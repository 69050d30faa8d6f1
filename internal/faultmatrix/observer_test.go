package faultmatrix

import (
	"fmt"
	"math"
	"strings"
	"time"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/once"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// check is one line of "What must always hold".
type check string

// The ten checks, in the brief's order.
const (
	checkSnapshot check = "one snapshot"
	checkCoverage check = "true coverage"
	checkCold     check = "cold budget"
	checkZone     check = "zone out"
	checkWhole    check = "own whole answer"
	checkNotRun   check = "true not run"
	checkOnce     check = "at most once"
	checkLeaving  check = "target leaving"
	checkStop     check = "graceful stop"
	checkConfig   check = "configuration"
)

var checks = []check{
	checkSnapshot, checkCoverage, checkCold, checkZone, checkWhole,
	checkNotRun, checkOnce, checkLeaving, checkStop, checkConfig,
}

// Bounds, from the brief's "a few seconds" and from the service's deadline.
const (
	stopNewWorkWithin = 3 * time.Second
	answerSlack       = 100 * time.Millisecond
	inForceWithin     = 3 * time.Second
)

type violation struct {
	check check
	text  string
}

// heard is one whole reply as it reached a host.
type heard struct {
	snapshot release.Key
	shard    int32
	body     string
}

// watched is what the observer knows of one request.
type watched struct {
	caller  *caller
	life    int
	began   int
	replies map[heard]bool
	answers int
	drained bool
}

// observer judges the promises from what crosses the cores' interfaces. It reads no
// counter and no state of the cores.
type observer struct {
	w          *world
	requests   map[uint64]*watched
	byBody     map[string]*watched
	fees       map[once.Ref]*fee
	violations []violation
	// damage counts the targets that one body has crashed.
	damage    int
	cold      map[string]time.Duration
	leavingAt map[string]time.Duration
	zoneOutAt map[string]time.Duration
	// knows holds the hosts that have had a sign of a target's present cold start.
	knows map[string]map[int]bool
	// informed counts the attempts in progress at a cold target from hosts that knew.
	informed map[string]map[runKey]bool
	// notRun holds the attempts that a target declined, by query and shard.
	notRun    map[runKey]bool
	inForceAt map[int]uint64
	published map[uint64]time.Duration
}

func newObserver(w *world) *observer {
	return &observer{
		w:         w,
		requests:  map[uint64]*watched{},
		byBody:    map[string]*watched{},
		fees:      map[once.Ref]*fee{},
		cold:      map[string]time.Duration{},
		leavingAt: map[string]time.Duration{},
		zoneOutAt: map[string]time.Duration{},
		knows:     map[string]map[int]bool{},
		informed:  map[string]map[runKey]bool{},
		notRun:    map[runKey]bool{},
		inForceAt: map[int]uint64{},
		published: map[uint64]time.Duration{},
	}
}

func (o *observer) fail(c check, format string, args ...any) {
	o.violations = append(o.violations, violation{check: c, text: fmt.Sprintf("%s: ", o.w.now) + fmt.Sprintf(format, args...)})
}

func (o *observer) submitted(c *caller, h *host) {
	if o.requests[c.key] != nil {
		return
	}
	r := &watched{caller: c, life: h.life, replies: map[heard]bool{}, drained: h.stopping}
	o.requests[c.key] = r
	if c.body != crashBody {
		o.byBody[c.body] = r
	}
}

// taken sees an event reach a host's engine. A host that was paused has read nothing
// while it was, so the deadline of a request counts from when it is read.
func (o *observer) taken(h *host, ev engine.Event) {
	switch ev := ev.(type) {
	case *engine.Submit:
		if r := o.requests[ev.Request.Key]; r != nil {
			r.caller.deadline = o.w.now + queryDeadline
		}
	case *engine.Release:
		o.inForce(h, ev.State)
	}
}

// received sees work reach a target that is up.
func (o *observer) received(h *host, t *fakeTarget) {
	if at, ok := o.leavingAt[t.name]; ok && o.w.now > at+stopNewWorkWithin && o.upToDate(h) {
		o.fail(checkLeaving, "%s sends to %s, leaving since %s", hostName(h.index), t.name, at)
	}
	if at, ok := o.zoneOutAt[t.zone]; ok && o.w.now > at+stopNewWorkWithin && o.reachesPlatform(h) {
		o.fail(checkZone, "%s sends to %s, whose zone is out since %s", hostName(h.index), t.name, at)
	}
}

// sent sees an attempt leave a host.
func (o *observer) sent(h *host, t *fakeTarget, s *engine.Send) {
	if o.knows[t.name][h.index] {
		o.informed[t.name][keyOf(h, s.Attempt)] = true
	}
}

// reachesPlatform reports whether the host has had the time to hear of a note.
func (o *observer) reachesPlatform(h *host) bool {
	p := &o.w.platform
	return !p.down && !p.stale && o.upToDate(h)
}

// upToDate reports whether the host has run for long enough, since its start and its
// last pause, to have heard what it must know.
func (o *observer) upToDate(h *host) bool {
	return max(h.pausedUntil, h.started)+stopNewWorkWithin < o.w.now
}

// tryStep tells whether a further attempt is a hedge or a retry.
func (o *observer) tryStep(h *host, s *engine.Send) step {
	before := s.Attempt
	before.Try--
	if o.notRun[keyOf(h, before)] {
		return stepRetry
	}
	return stepHedge
}

// began sees a target begin to run an attempt.
func (o *observer) began(t *fakeTarget, s *engine.Send) {
	if r := o.byBody[string(s.Request.Body)]; r != nil {
		r.began++
	}
	if !t.cold {
		return
	}
	n := 0
	for key := range t.running {
		if o.informed[t.name][key] {
			n++
		}
	}
	if n > coldBudget {
		o.fail(checkCold, "%s runs %d requests of hosts that knew it cold, budget %d", t.name, n, coldBudget)
	}
}

func (o *observer) turnedCold(t *fakeTarget) {
	o.cold[t.name] = o.w.now
	o.knows[t.name] = map[int]bool{}
	o.informed[t.name] = map[runKey]bool{}
}

// replied sees the end of an attempt reach its host.
func (o *observer) replied(h *host, t *fakeTarget, r *engine.Reply) {
	key := keyOf(h, r.Attempt)
	if r.Outcome.NotRun() {
		o.notRun[key] = true
	}
	if t.cold && o.knows[t.name] != nil && (r.Cold || r.Outcome == engine.Unreachable || r.Outcome == engine.Lost) {
		o.knows[t.name][h.index] = true
	}
	if r.Outcome != engine.Answered || len(r.Hits) != hitsWanted {
		return
	}
	got, ok := parseDoc(r.Hits[0].Doc)
	if got.shard != r.Attempt.Shard {
		return
	}
	// A reply that is read at the deadline or later comes too late to count.
	if w := o.byBody[got.body]; ok && w != nil && o.w.now < w.caller.deadline {
		w.replies[got] = true
	}
}

// parseDoc reads where a document comes from: "BODY VERSION/LAYOUT SHARD NUMBER".
func parseDoc(doc string) (heard, bool) {
	var g heard
	fields := strings.Fields(doc)
	if len(fields) != 4 {
		return g, false
	}
	g.body = fields[0]
	version, layout, _ := strings.Cut(fields[1], "/")
	g.snapshot.Layout = layout
	_, err := fmt.Sscan(version, &g.snapshot.Version)
	if err != nil {
		return g, false
	}
	_, err = fmt.Sscan(fields[2], &g.shard)
	return g, err == nil
}

func (o *observer) answered(h *host, a *engine.Answer) {
	r := o.requests[a.Key]
	if r == nil {
		o.fail(checkWhole, "answer to a request that nobody sent")
		return
	}
	r.answers++
	if r.answers > 1 {
		o.fail(checkWhole, "request %s is answered %d times", r.caller.body, r.answers)
	}
	if a.Code.Kind() == result.NotRun && r.began > 0 {
		o.fail(checkNotRun, "request %s is refused with %s and began at %d targets", r.caller.body, a.Code, r.began)
	}
	if a.Code == result.OK {
		o.judgeHits(r, a)
		o.judgeCoverage(r, a)
	}
	if late := o.w.now - r.caller.deadline; late > answerSlack && h.pausedUntil+answerSlack < o.w.now {
		o.fail(checkWhole, "request %s is answered %s after its deadline", r.caller.body, late)
	}
}

func (o *observer) judgeHits(r *watched, a *engine.Answer) {
	for _, hit := range a.Hits {
		got, ok := parseDoc(hit.Doc)
		if !ok || got.body != r.caller.body {
			o.fail(checkWhole, "request %s is answered with %q", r.caller.body, hit.Doc)
		}
		if got.snapshot != a.Snapshot {
			o.fail(checkSnapshot, "an answer of snapshot %v holds %q", a.Snapshot, hit.Doc)
		}
	}
}

// judgeCoverage compares with the distinct shards whose whole reply of the snapshot came.
func (o *observer) judgeCoverage(r *watched, a *engine.Answer) {
	n := 0
	for got := range r.replies {
		if got.snapshot == a.Snapshot {
			n++
		}
	}
	want := float64(n) / float64(a.Shards)
	if math.Abs(want-a.Coverage) > 1e-9 {
		o.fail(checkCoverage, "request %s reports coverage %.3f and has %.3f", r.caller.body, a.Coverage, want)
	}
	if len(a.Missing) != a.Shards-n {
		o.fail(checkCoverage, "request %s names %d missing shards of %d", r.caller.body, len(a.Missing), a.Shards-n)
	}
}

func (o *observer) inForce(h *host, s *release.State) {
	if s.Number < o.inForceAt[h.index] {
		o.fail(checkConfig, "%s goes back from note %d to %d", hostName(h.index), o.inForceAt[h.index], s.Number)
	}
	o.inForceAt[h.index] = s.Number
	if _, ok := o.published[s.Number]; !ok {
		o.fail(checkConfig, "%s has note %d in force, which must be refused", hostName(h.index), s.Number)
	}
}

// killed forgets what a host that restarts with nothing had in force.
func (o *observer) killed(h *host) {
	delete(o.inForceAt, h.index)
	for _, r := range o.requests {
		if r.caller.host == h && r.answers == 0 {
			r.caller.gone = true
		}
	}
}

// finish judges what must have happened by the end.
func (o *observer) finish() {
	for _, r := range o.requests {
		if r.answers == 0 && !r.caller.gone {
			c := checkWhole
			if r.caller.host.stopping {
				c = checkStop
			}
			o.fail(c, "request %s has no answer", r.caller.body)
		}
	}
	if o.w.platform.down || o.w.platform.stale {
		return
	}
	for number, at := range o.published {
		for _, h := range o.w.hosts {
			if o.w.now > at+inForceWithin && o.reachesPlatform(h) && o.inForceAt[h.index] < number {
				o.fail(checkConfig, "%s has note %d in force, not %d", hostName(h.index), o.inForceAt[h.index], number)
			}
		}
	}
}
