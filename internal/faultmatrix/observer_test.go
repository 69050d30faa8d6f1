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

// check names a guarantee that the observer verifies. The names appear in
// docs/FAULT-MATRIX.md.
type check string

// The ten checks, in the order of the guarantees.
const (
	checkSnapshot check = "one snapshot"
	checkCoverage check = "true coverage"
	checkCold     check = "cold budget"
	checkZone     check = "zone out"
	checkAnswer   check = "own whole answer"
	checkNotRun   check = "true not run"
	checkOnce     check = "at most once"
	checkLeaving  check = "target leaving"
	checkStop     check = "graceful stop"
	checkConfig   check = "configuration"
)

var checks = []check{
	checkSnapshot, checkCoverage, checkCold, checkZone, checkAnswer,
	checkNotRun, checkOnce, checkLeaving, checkStop, checkConfig,
}

// Time limits of the checks. The guarantees say "a few seconds", which the checks take as
// 3 s; answerSlack is allowed after the service's deadline.
const (
	stopNewWorkLimit = 3 * time.Second
	answerSlack      = 100 * time.Millisecond
	activationLimit  = 3 * time.Second
)

type violation struct {
	check check
	text  string
}

// receivedReply identifies a complete reply that reached a host.
type receivedReply struct {
	snapshot release.SnapshotKey
	shard    int32
	body     string
}

// requestRecord is what the observer has recorded about one request.
type requestRecord struct {
	caller            *caller
	generation        int
	runsStarted       int
	replies           map[receivedReply]bool
	answers           int
	submittedDraining bool
}

// observer verifies the guarantees from what crosses the cores' interfaces. It reads no
// counter or state of the cores.
type observer struct {
	sim        *simulation
	requests   map[uint64]*requestRecord
	byBody     map[string]*requestRecord
	tickets    map[once.Ref]*ticketRecord
	violations []violation
	// crashedTargets counts the crashes caused by the crash body.
	crashedTargets int
	coldSince      map[string]time.Duration
	leavingSince   map[string]time.Duration
	zoneOutSince   map[string]time.Duration
	// informedHosts holds, by target, the hosts that have received a sign of its current
	// cold start.
	informedHosts map[string]map[int]bool
	// informedAttempts holds, by target, the attempts that informed hosts sent to it.
	informedAttempts map[string]map[runKey]bool
	// notRun holds the attempts that ended with an outcome that means not run.
	notRun      map[runKey]bool
	activeNotes map[int]uint64
	publishedAt map[uint64]time.Duration
}

func newObserver(sim *simulation) *observer {
	return &observer{
		sim:              sim,
		requests:         map[uint64]*requestRecord{},
		byBody:           map[string]*requestRecord{},
		tickets:          map[once.Ref]*ticketRecord{},
		coldSince:        map[string]time.Duration{},
		leavingSince:     map[string]time.Duration{},
		zoneOutSince:     map[string]time.Duration{},
		informedHosts:    map[string]map[int]bool{},
		informedAttempts: map[string]map[runKey]bool{},
		notRun:           map[runKey]bool{},
		activeNotes:      map[int]uint64{},
		publishedAt:      map[uint64]time.Duration{},
	}
}

func (o *observer) fail(c check, format string, args ...any) {
	o.violations = append(o.violations, violation{check: c, text: fmt.Sprintf("%s: ", o.sim.now) + fmt.Sprintf(format, args...)})
}

func (o *observer) requestSubmitted(c *caller, h *host) {
	if o.requests[c.key] != nil {
		return
	}
	r := &requestRecord{caller: c, generation: h.generation, replies: map[receivedReply]bool{}, submittedDraining: h.stopping}
	o.requests[c.key] = r
	if c.body != crashBody {
		o.byBody[c.body] = r
	}
}

// eventDelivered records an event that reaches a host's engine. The deadline of a request
// counts from its delivery, since a paused host reads nothing.
func (o *observer) eventDelivered(h *host, ev engine.Event) {
	switch ev := ev.(type) {
	case *engine.Submit:
		if r := o.requests[ev.Request.Key]; r != nil {
			r.caller.deadline = o.sim.now + queryDeadline
		}
	case *engine.Release:
		o.noteActivated(h, ev.State)
	}
}

// workReceived checks that the host may still send work to the target.
func (o *observer) workReceived(h *host, t *fakeTarget) {
	if at, ok := o.leavingSince[t.name]; ok && o.sim.now > at+stopNewWorkLimit && o.hasRunLongEnough(h) {
		o.fail(checkLeaving, "%s sent to %s, which has been leaving since %s", hostName(h.index), t.name, at)
	}
	if at, ok := o.zoneOutSince[t.zone]; ok && o.sim.now > at+stopNewWorkLimit && o.reachesPlatform(h) {
		o.fail(checkZone, "%s sent to %s, whose zone has been out since %s", hostName(h.index), t.name, at)
	}
}

// attemptSent records an attempt to a target that the host knows to be cold.
func (o *observer) attemptSent(h *host, t *fakeTarget, s *engine.Send) {
	if o.informedHosts[t.name][h.index] {
		o.informedAttempts[t.name][keyOf(h, s.Attempt)] = true
	}
}

// reachesPlatform reports whether the platform serves current notes and the host has had
// the time to read them.
func (o *observer) reachesPlatform(h *host) bool {
	p := &o.sim.platform
	return !p.down && !p.stale && o.hasRunLongEnough(h)
}

// hasRunLongEnough reports whether the host has run for longer than stopNewWorkLimit since
// its start and its last pause, so that it must know which targets and zones to avoid.
func (o *observer) hasRunLongEnough(h *host) bool {
	return max(h.pausedUntil, h.started)+stopNewWorkLimit < o.sim.now
}

// tryStep returns the step of an attempt after the first: a retry if the attempt before it
// did not run, else a hedge.
func (o *observer) tryStep(h *host, s *engine.Send) step {
	before := s.Attempt
	before.Try--
	if o.notRun[keyOf(h, before)] {
		return stepRetry
	}
	return stepHedge
}

// attemptStarted records that a target starts to run an attempt, and checks the cold
// budget.
func (o *observer) attemptStarted(t *fakeTarget, s *engine.Send) {
	if r := o.byBody[string(s.Request.Body)]; r != nil {
		r.runsStarted++
	}
	if !t.cold {
		return
	}
	n := 0
	for key := range t.running {
		if o.informedAttempts[t.name][key] {
			n++
		}
	}
	if n > coldBudget {
		o.fail(checkCold, "%s runs %d requests from hosts that know it is cold; the budget is %d", t.name, n, coldBudget)
	}
}

func (o *observer) targetTurnedCold(t *fakeTarget) {
	o.coldSince[t.name] = o.sim.now
	o.informedHosts[t.name] = map[int]bool{}
	o.informedAttempts[t.name] = map[runKey]bool{}
}

// replyReceived records that the end of an attempt reaches its host.
func (o *observer) replyReceived(h *host, t *fakeTarget, r *engine.AttemptResult) {
	key := keyOf(h, r.Attempt)
	if r.Outcome.NotRun() {
		o.notRun[key] = true
	}
	if t.cold && o.informedHosts[t.name] != nil && (r.Cold || r.Outcome == engine.Unreachable || r.Outcome == engine.Lost) {
		o.informedHosts[t.name][h.index] = true
	}
	if r.Outcome != engine.Answered || len(r.Hits) != hitsPerShard {
		return
	}
	got, ok := parseDoc(r.Hits[0].Doc)
	if got.shard != r.Attempt.Shard {
		return
	}
	// A reply read at the deadline or later does not count towards coverage.
	if record := o.byBody[got.body]; ok && record != nil && o.sim.now < record.caller.deadline {
		record.replies[got] = true
	}
}

// parseDoc parses the origin of a document: "BODY VERSION/LAYOUT SHARD NUMBER".
func parseDoc(doc string) (receivedReply, bool) {
	var g receivedReply
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

func (o *observer) requestAnswered(h *host, a *engine.Answer) {
	r := o.requests[a.Key]
	if r == nil {
		o.fail(checkAnswer, "answer to unknown request %d", a.Key)
		return
	}
	r.answers++
	if r.answers > 1 {
		o.fail(checkAnswer, "request %s was answered %d times", r.caller.body, r.answers)
	}
	if a.Code.Kind() == result.NotRun && r.runsStarted > 0 {
		o.fail(checkNotRun, "request %s was refused as not run with %s, but started at %d targets", r.caller.body, a.Code, r.runsStarted)
	}
	if a.Code == result.OK {
		o.verifyHits(r, a)
		o.verifyCoverage(r, a)
	}
	if late := o.sim.now - r.caller.deadline; late > answerSlack && h.pausedUntil+answerSlack < o.sim.now {
		o.fail(checkAnswer, "request %s was answered %s after its deadline", r.caller.body, late)
	}
}

func (o *observer) verifyHits(record *requestRecord, a *engine.Answer) {
	for _, hit := range a.Hits {
		got, ok := parseDoc(hit.Doc)
		if !ok || got.body != record.caller.body {
			o.fail(checkAnswer, "the answer to request %s holds %q", record.caller.body, hit.Doc)
		}
		if got.snapshot != a.Snapshot {
			o.fail(checkSnapshot, "an answer from snapshot %v holds %q", a.Snapshot, hit.Doc)
		}
	}
}

// verifyCoverage compares the answer's coverage with the distinct shards from which the
// host received a complete reply of the answer's snapshot.
func (o *observer) verifyCoverage(r *requestRecord, a *engine.Answer) {
	n := 0
	for got := range r.replies {
		if got.snapshot == a.Snapshot {
			n++
		}
	}
	want := float64(n) / float64(a.Shards)
	if math.Abs(want-a.Coverage) > 1e-9 {
		o.fail(checkCoverage, "request %s reports coverage %.3f, want %.3f", r.caller.body, a.Coverage, want)
	}
	if len(a.Missing) != a.Shards-n {
		o.fail(checkCoverage, "request %s names %d missing shards, want %d", r.caller.body, len(a.Missing), a.Shards-n)
	}
}

func (o *observer) noteActivated(h *host, s *release.State) {
	if s.Number < o.activeNotes[h.index] {
		o.fail(checkConfig, "%s reverted from note %d to note %d", hostName(h.index), o.activeNotes[h.index], s.Number)
	}
	o.activeNotes[h.index] = s.Number
	if _, ok := o.publishedAt[s.Number]; !ok {
		o.fail(checkConfig, "%s activated note %d, which it must reject", hostName(h.index), s.Number)
	}
}

// hostKilled clears the active note of the host, and its callers that still wait no longer
// expect an answer.
func (o *observer) hostKilled(h *host) {
	delete(o.activeNotes, h.index)
	for _, r := range o.requests {
		if r.caller.host == h && r.answers == 0 {
			r.caller.gone = true
		}
	}
}

// finish checks, at the end of the scenario, that every request has an answer and that
// every host that reaches the platform has activated the published notes.
func (o *observer) finish() {
	for _, r := range o.requests {
		if r.answers == 0 && !r.caller.gone {
			c := checkAnswer
			if r.caller.host.stopping {
				c = checkStop
			}
			o.fail(c, "request %s has no answer", r.caller.body)
		}
	}
	if o.sim.platform.down || o.sim.platform.stale {
		return
	}
	for number, at := range o.publishedAt {
		for _, h := range o.sim.hosts {
			if o.sim.now > at+activationLimit && o.reachesPlatform(h) && o.activeNotes[h.index] < number {
				o.fail(checkConfig, "the active note of %s is %d, want %d", hostName(h.index), o.activeNotes[h.index], number)
			}
		}
	}
}
