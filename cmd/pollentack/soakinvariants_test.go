package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// The bounds are those of the users' documentation.
const (
	soakDrainBound      = 4 * time.Second
	soakEvacuateBound   = 5 * time.Second
	soakConfigBound     = 4 * time.Second
	soakRollbackSlack   = 250 * time.Millisecond
	soakLossSlack       = 200 * time.Millisecond
	soakDeadlineSlack   = 500 * time.Millisecond
	soakRetryWindow     = 10 * time.Second
	soakRecoveryTimeout = 12 * time.Second
	// Once a request has crashed soakCrashesAllowed targets, it may do so that often again later
	// than soakCrashWindow after.
	soakCrashesAllowed = 3
	soakCrashWindow    = 5 * time.Second
)

// requestRecord is one request of a caller with its outcome.
type requestRecord struct {
	id, path    string
	host        int
	sent, ended time.Time
	// version is the configuration version that a probe asks for; 0 for other requests.
	version int
	// incarnation is that of the host's process, or 0 if the host was stopped or restarted
	// during the request.
	incarnation int
	// hostHealthy means that the host had no recent fault through which requests may be lost.
	hostHealthy bool
	answer      *platformtest.Answer
	err         error
}

// targetRecord is what one target observed.
type targetRecord struct {
	instance, service, zone, body string
	runs                          []platformtest.Run
	arrivals, crashes             []platformtest.Arrival
	peakConnections               int
}

// interval is a period in which a target, or all targets of a zone, must receive no new
// requests.
type interval struct {
	name     string
	from, to time.Time
}

// publishedVersion is a configuration version that the store has confirmed.
type publishedVersion struct {
	version int
	at      time.Time
	// undisturbedUntil is the time until which no fault prevents hosts from receiving the
	// version.
	undisturbedUntil time.Time
}

// observations are what callers and targets observed in one run of the soak test.
type observations struct {
	requests  []requestRecord
	targets   []targetRecord
	drained   []interval
	evacuated []interval
	published []publishedVersion
	// unrecovered are the hosts that did not serve within soakRecoveryTimeout after the
	// last fault.
	unrecovered []int
}

// soakInvariants are the invariants that must hold in every run of the soak test.
var soakInvariants = []struct {
	name  string
	check func(*observations) []string
}{
	{"gathered answers match the replies that they list", (*observations).checkGathered},
	{"plain answers come from a target that ran the request", (*observations).checkPlain},
	{"non-idempotent requests run at most once", (*observations).checkAtMostOnce},
	{"refused requests have not run", (*observations).checkRefusals},
	{"graceful stops lose no requests", (*observations).checkLosses},
	{"draining targets receive no requests", (*observations).checkDrainingTargets},
	{"evacuated zones receive no requests", (*observations).checkEvacuatedZones},
	{"the configuration takes effect in time", (*observations).checkTakesEffect},
	{"the configuration is never rolled back", (*observations).checkNoRollback},
	{"retries stay within the budget", (*observations).checkRetryBudget},
	{"connections stay under the limit", (*observations).checkConnections},
	{"targets receive at most the remaining time", (*observations).checkDeadlines},
	{"requests that crash targets are held back", (*observations).checkCrashes},
	{"all hosts recover", (*observations).checkRecovery},
}

// violations returns the violations found, by the name of the invariant.
func (o *observations) violations() map[string][]string {
	found := map[string][]string{}
	for _, c := range soakInvariants {
		if list := c.check(o); len(list) > 0 {
			found[c.name] = list
		}
	}
	return found
}

func (r *requestRecord) succeeded() bool {
	return r.err == nil && r.answer != nil && r.answer.Status == http.StatusOK
}

func (o *observations) checkGathered() []string {
	var found []string
	targetsByStamp := map[string]*targetRecord{}
	for i := range o.targets {
		for _, run := range o.targets[i].runs {
			targetsByStamp[run.Proof+" "+run.ID] = &o.targets[i]
		}
	}
	for i := range o.requests {
		if req := &o.requests[i]; req.succeeded() && strings.HasPrefix(req.path, "/search/") {
			if mismatch := gatheredMismatch(req, targetsByStamp); mismatch != "" {
				found = append(found, req.id+": "+mismatch)
			}
		}
	}
	return found
}

// gatheredMismatch compares a gathered answer with the replies whose stamps it lists, and
// describes the first difference. It returns an empty string if they agree.
func gatheredMismatch(req *requestRecord, targetsByStamp map[string]*targetRecord) string {
	var records []string
	services := map[string]bool{}
	for _, stamp := range req.answer.Proofs {
		target := targetsByStamp[stamp+" "+req.id]
		if target == nil || services[target.service] {
			return fmt.Sprintf("stamp %q is not that of a reply to this request, or the answer has two replies of one service", stamp)
		}
		services[target.service] = true
		records = append(records, target.body[:16], target.body[16:])
	}
	if req.answer.Missing != soakShards-len(services) {
		return fmt.Sprintf("%d of %d parts reported missing with stamps of %d parts", req.answer.Missing, soakShards, len(services))
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(soakTopK, len(records))], ""); req.answer.Body != want {
		return fmt.Sprintf("body %q, want %q", req.answer.Body, want)
	}
	return ""
}

func (o *observations) checkPlain() []string {
	var found []string
	for i := range o.requests {
		req := &o.requests[i]
		if !req.succeeded() || strings.HasPrefix(req.path, "/search/") {
			continue
		}
		fromTarget := slices.ContainsFunc(o.targets, func(target targetRecord) bool {
			return target.body == req.answer.Body && slices.ContainsFunc(target.runs, func(r platformtest.Run) bool { return r.ID == req.id })
		})
		if !fromTarget {
			found = append(found, fmt.Sprintf("%s: body %q was not sent by a target that ran the request", req.id, req.answer.Body))
		}
	}
	return found
}

// nonIdempotentRuns counts the runs of each request that may run at most once, by request ID.
func (o *observations) nonIdempotentRuns() map[string]int {
	runs := map[string]int{}
	for i := range o.targets {
		for _, run := range o.targets[i].runs {
			if run.Method == http.MethodPost {
				runs[run.ID]++
			}
		}
	}
	return runs
}

func (o *observations) checkAtMostOnce() []string {
	var found []string
	runs := o.nonIdempotentRuns()
	if len(runs) == 0 {
		return []string{"no non-idempotent request ran, so that the check is void"}
	}
	for id, n := range runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return found
}

func (o *observations) checkRefusals() []string {
	var found []string
	runs := o.nonIdempotentRuns()
	for i := range o.requests {
		req := &o.requests[i]
		if req.answer == nil || runs[req.id] == 0 {
			continue
		}
		switch req.answer.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			found = append(found, fmt.Sprintf("%s: refused with status %d, but a target ran it", req.id, req.answer.Status))
		}
	}
	return found
}

func (o *observations) checkLosses() []string {
	var found []string
	arrived := map[string]bool{}
	for i := range o.targets {
		for _, arrival := range o.targets[i].arrivals {
			arrived[arrival.ID] = true
		}
	}
	for i := range o.requests {
		req := &o.requests[i]
		var op *net.OpError
		if req.err == nil || !req.hostHealthy || errors.As(req.err, &op) && op.Op == "dial" {
			continue
		}
		// A request sent while the host closes its connection fails at once and reaches no
		// target.
		if elapsed := req.ended.Sub(req.sent); arrived[req.id] || elapsed > soakLossSlack {
			found = append(found, fmt.Sprintf("%s to host %d failed after %v, reached a target: %v: %v", req.id, req.host, elapsed, arrived[req.id], req.err))
		}
	}
	return found
}

func (o *observations) checkDrainingTargets() []string {
	return o.checkIntervals(o.drained, soakDrainBound, func(s *targetRecord) string { return s.instance })
}

func (o *observations) checkEvacuatedZones() []string {
	return o.checkIntervals(o.evacuated, soakEvacuateBound, func(s *targetRecord) string { return s.zone })
}

func (o *observations) checkIntervals(intervals []interval, bound time.Duration, name func(*targetRecord) string) []string {
	var found []string
	for _, iv := range intervals {
		for i := range o.targets {
			target := &o.targets[i]
			if name(target) != iv.name {
				continue
			}
			for _, arrival := range target.arrivals {
				if arrival.At.After(iv.from.Add(bound)) && arrival.At.Before(iv.to) {
					found = append(found, fmt.Sprintf("%s reached %s %v after the change was confirmed", arrival.ID, target.instance, arrival.At.Sub(iv.from)))
				}
			}
		}
	}
	return found
}

// checkTakesEffect checks the probes that were sent more than soakConfigBound after a
// version was published, while it was the newest version and no fault prevented hosts from
// receiving it.
func (o *observations) checkTakesEffect() []string {
	var found []string
	for i, p := range o.published {
		until := p.undisturbedUntil
		if i+1 < len(o.published) && o.published[i+1].at.Before(until) {
			until = o.published[i+1].at
		}
		for j := range o.requests {
			req := &o.requests[j]
			if req.answer == nil || req.version == 0 || !req.sent.After(p.at.Add(soakConfigBound)) || !req.ended.Before(until) {
				continue
			}
			outdated := req.version < p.version && req.answer.Status == http.StatusOK
			missing := req.version == p.version && req.answer.Status == http.StatusNotFound
			if outdated || missing {
				found = append(found, fmt.Sprintf("%s: host %d answered %d for version %d, %v after version %d was published",
					req.id, req.host, req.answer.Status, req.version, req.sent.Sub(p.at), p.version))
			}
		}
	}
	return found
}

// checkNoRollback checks that no process serves a probe of an older version after it has
// served one of a newer version.
func (o *observations) checkNoRollback() []string {
	var found []string
	for i := range o.requests {
		shown := &o.requests[i]
		if !shown.succeeded() || shown.version == 0 || shown.incarnation == 0 {
			continue
		}
		for j := range o.requests {
			req := &o.requests[j]
			if req.version == 0 || req.version >= shown.version || req.host != shown.host || req.incarnation != shown.incarnation || !req.succeeded() {
				continue
			}
			if req.sent.After(shown.ended.Add(soakRollbackSlack)) {
				found = append(found, fmt.Sprintf("%s: host %d served version %d after version %d", req.id, req.host, req.version, shown.version))
			}
		}
	}
	return found
}

// checkRetryBudget counts the extra arrivals at each service, those of a request that
// arrived there before, in each window of soakRetryWindow that begins with one of them. The
// bound depends on the number of requests in that window or in the one before it, whichever
// is greater.
func (o *observations) checkRetryBudget() []string {
	extras, requests := map[string][]time.Time{}, map[string][]time.Time{}
	seen := map[string]bool{}
	for i := range o.targets {
		target := &o.targets[i]
		for _, arrival := range target.arrivals {
			if key := target.service + " " + arrival.ID; seen[key] {
				extras[target.service] = append(extras[target.service], arrival.At)
			} else {
				seen[key] = true
				requests[target.service] = append(requests[target.service], arrival.At)
			}
		}
	}
	var found []string
	for service, arrivals := range extras {
		for _, start := range arrivals {
			extraCount, requestCount := countInRetryWindow(arrivals, start), countInRetryWindow(requests[service], start)
			precedingCount := countInRetryWindow(requests[service], start.Add(-soakRetryWindow))
			if bound := platformtest.RetryRatio*float64(max(requestCount, precedingCount)) + platformtest.RetrySlack; float64(extraCount) > bound {
				found = append(found, fmt.Sprintf("%s received %d extra arrivals for %d requests", service, extraCount, requestCount))
				break
			}
		}
	}
	return found
}

func countInRetryWindow(times []time.Time, start time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(start) && t.Before(start.Add(soakRetryWindow)) {
			n++
		}
	}
	return n
}

func (o *observations) checkConnections() []string {
	var found []string
	for i := range o.targets {
		if target := &o.targets[i]; target.peakConnections > platformtest.MaxConnections {
			found = append(found, fmt.Sprintf("%s had %d connections open at once", target.instance, target.peakConnections))
		}
	}
	return found
}

func (o *observations) checkDeadlines() []string {
	var found []string
	for i := range o.targets {
		for _, run := range o.targets[i].runs {
			ms, err := strconv.Atoi(run.Deadline)
			if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > soakDeadline+soakDeadlineSlack {
				found = append(found, fmt.Sprintf("%s arrived with the deadline %q", run.ID, run.Deadline))
			}
		}
	}
	return found
}

// checkCrashes counts the crashes later than soakCrashWindow after the third, through hosts without
// recent faults.
func (o *observations) checkCrashes() []string {
	var crashes []platformtest.Arrival
	for i := range o.targets {
		crashes = append(crashes, o.targets[i].crashes...)
	}
	slices.SortFunc(crashes, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	if len(crashes) <= soakCrashesAllowed {
		return nil
	}
	var found []string
	known := crashes[soakCrashesAllowed-1].At.Add(soakCrashWindow)
	for _, c := range crashes {
		if c.At.After(known) && strings.HasPrefix(c.ID, soakCrashMarker) {
			found = append(found, fmt.Sprintf("%s crashed a target %v after the third crash", c.ID, c.At.Sub(known)+soakCrashWindow))
		}
	}
	if len(found) <= soakCrashesAllowed {
		return nil
	}
	return found
}

func (o *observations) checkRecovery() []string {
	if len(o.unrecovered) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("hosts %v did not serve within %v after the last fault", o.unrecovered, soakRecoveryTimeout)}
}
