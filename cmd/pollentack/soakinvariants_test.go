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

// The bounds are those of the users' pages.
const (
	soakDrainBound    = 4 * time.Second
	soakEvacuateBound = 5 * time.Second
	soakConfigBound   = 4 * time.Second
	soakRollbackSlack = 250 * time.Millisecond
	soakLossSlack     = 200 * time.Millisecond
	soakDeadlineSlack = 500 * time.Millisecond
	soakRetryWindow   = 10 * time.Second
	soakRecovery      = 12 * time.Second
)

// asked is one request of a caller and how it ended.
type asked struct {
	id, path  string
	host      int
	at, ended time.Time
	// version is that of a probe of the configuration, 0 for other requests.
	version int
	// life counts the starts of the host's process; 0 where the host started anew meanwhile.
	life int
	// sound tells that the host had no fault that may cost a request.
	sound  bool
	answer *platformtest.Answer
	err    error
}

// served is what one target saw.
type served struct {
	instance, service, zone, body string
	runs                          []platformtest.Run
	arrivals                      []platformtest.Arrival
	mostOpen                      int
}

// span is a time in which a target or the targets of a zone get nothing new.
type span struct {
	name     string
	from, to time.Time
}

// published is one version of the configuration that the store confirmed.
type published struct {
	version int
	at      time.Time
	// calmTo is until when no fault keeps hosts from learning it.
	calmTo time.Time
}

// facts are what callers and targets saw in one run of the soak.
type facts struct {
	asked     []asked
	served    []served
	drained   []span
	evacuated []span
	published []published
	// unrecovered are the hosts that did not serve in time after the last fault.
	unrecovered []int
}

// soakChecks are the promises that the soak checks.
var soakChecks = []struct {
	name  string
	check func(*facts) []string
}{
	{"gathered answers are whole and of their own parts", (*facts).checkGathered},
	{"plain answers are a target's own", (*facts).checkPlain},
	{"nothing runs twice that may not", (*facts).checkOnce},
	{"what is refused has not run", (*facts).checkRefusals},
	{"planned stops lose nothing", (*facts).checkLosses},
	{"draining targets get nothing", (*facts).checkDrained},
	{"evacuated zones get nothing", (*facts).checkEvacuated},
	{"the configuration comes into force", (*facts).checkInForce},
	{"the configuration never goes back", (*facts).checkNeverBack},
	{"the retry budget holds", (*facts).checkBudget},
	{"connections stay under the limit", (*facts).checkConnections},
	{"targets get the time that is left", (*facts).checkDeadlines},
	{"all hosts serve again", (*facts).checkRecovery},
}

// violations returns what broke a promise, by the check that found it.
func (f *facts) violations() map[string][]string {
	found := map[string][]string{}
	for _, c := range soakChecks {
		if list := c.check(f); len(list) > 0 {
			found[c.name] = list
		}
	}
	return found
}

func (a *asked) succeeded() bool {
	return a.err == nil && a.answer != nil && a.answer.Status == http.StatusOK
}

func (f *facts) checkGathered() []string {
	var found []string
	ran := map[string]*served{}
	for i := range f.served {
		for _, run := range f.served[i].runs {
			ran[run.Proof+" "+run.ID] = &f.served[i]
		}
	}
	for i := range f.asked {
		if a := &f.asked[i]; a.succeeded() && strings.HasPrefix(a.path, "/search/") {
			if fault := judgeGathered(a, ran); fault != "" {
				found = append(found, a.id+": "+fault)
			}
		}
	}
	return found
}

// judgeGathered compares an answer with the replies that bear its proofs.
func judgeGathered(a *asked, ran map[string]*served) string {
	var records []string
	services := map[string]bool{}
	for _, proof := range a.answer.Proofs {
		target := ran[proof+" "+a.id]
		if target == nil || services[target.service] {
			return fmt.Sprintf("%q is no proof of a reply to it, or stands twice", proof)
		}
		services[target.service] = true
		records = append(records, target.body[:16], target.body[16:])
	}
	if a.answer.Missing != soakShards-len(services) {
		return fmt.Sprintf("%d parts missing of %d with %d proofs", a.answer.Missing, soakShards, len(services))
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(soakTop, len(records))], ""); a.answer.Body != want {
		return fmt.Sprintf("body %q, want %q", a.answer.Body, want)
	}
	return ""
}

func (f *facts) checkPlain() []string {
	var found []string
	for i := range f.asked {
		a := &f.asked[i]
		if !a.succeeded() || strings.HasPrefix(a.path, "/search/") {
			continue
		}
		own := slices.ContainsFunc(f.served, func(s served) bool {
			return s.body == a.answer.Body && slices.ContainsFunc(s.runs, func(r platformtest.Run) bool { return r.ID == a.id })
		})
		if !own {
			found = append(found, fmt.Sprintf("%s: body %q is of no target that ran it", a.id, a.answer.Body))
		}
	}
	return found
}

// onceRuns counts the runs of requests that may run once at most.
func (f *facts) onceRuns() map[string]int {
	runs := map[string]int{}
	for i := range f.served {
		for _, run := range f.served[i].runs {
			if run.Method == http.MethodPost {
				runs[run.ID]++
			}
		}
	}
	return runs
}

func (f *facts) checkOnce() []string {
	var found []string
	runs := f.onceRuns()
	if len(runs) == 0 {
		return []string{"no such request ran: the check says nothing"}
	}
	for id, n := range runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return found
}

func (f *facts) checkRefusals() []string {
	var found []string
	runs := f.onceRuns()
	for i := range f.asked {
		a := &f.asked[i]
		if a.answer == nil || runs[a.id] == 0 {
			continue
		}
		switch a.answer.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			found = append(found, fmt.Sprintf("%s: status %d and it ran", a.id, a.answer.Status))
		}
	}
	return found
}

func (f *facts) checkLosses() []string {
	var found []string
	arrived := map[string]bool{}
	for i := range f.served {
		for _, x := range f.served[i].arrivals {
			arrived[x.ID] = true
		}
	}
	for i := range f.asked {
		a := &f.asked[i]
		var op *net.OpError
		if a.err == nil || !a.sound || errors.As(a.err, &op) && op.Op == "dial" {
			continue
		}
		// A request that crosses the close of its connection is lost at once and goes nowhere.
		if took := a.ended.Sub(a.at); arrived[a.id] || took > soakLossSlack {
			found = append(found, fmt.Sprintf("%s at host %d after %v, passed on %v: %v", a.id, a.host, took, arrived[a.id], a.err))
		}
	}
	return found
}

func (f *facts) checkDrained() []string {
	return f.checkSpans(f.drained, soakDrainBound, func(s *served) string { return s.instance })
}

func (f *facts) checkEvacuated() []string {
	return f.checkSpans(f.evacuated, soakEvacuateBound, func(s *served) string { return s.zone })
}

func (f *facts) checkSpans(spans []span, bound time.Duration, name func(*served) string) []string {
	var found []string
	for _, sp := range spans {
		for i := range f.served {
			s := &f.served[i]
			if name(s) != sp.name {
				continue
			}
			for _, x := range s.arrivals {
				if x.At.After(sp.from.Add(bound)) && x.At.Before(sp.to) {
					found = append(found, fmt.Sprintf("%s reached %s %v after it was confirmed", x.ID, s.instance, x.At.Sub(sp.from)))
				}
			}
		}
	}
	return found
}

// checkInForce looks at probes sent after the bound of a version, while it is the newest
// and nothing keeps hosts from learning it.
func (f *facts) checkInForce() []string {
	var found []string
	for i, p := range f.published {
		until := p.calmTo
		if i+1 < len(f.published) && f.published[i+1].at.Before(until) {
			until = f.published[i+1].at
		}
		for j := range f.asked {
			a := &f.asked[j]
			if a.answer == nil || a.version == 0 || !a.at.After(p.at.Add(soakConfigBound)) || !a.ended.Before(until) {
				continue
			}
			old := a.version < p.version && a.answer.Status == http.StatusOK
			missing := a.version == p.version && a.answer.Status == http.StatusNotFound
			if old || missing {
				found = append(found, fmt.Sprintf("%s: host %d gives %d for version %d, %v after %d",
					a.id, a.host, a.answer.Status, a.version, a.at.Sub(p.at), p.version))
			}
		}
	}
	return found
}

// checkNeverBack looks at probes of one process: none is served by a version before one
// that the process has shown.
func (f *facts) checkNeverBack() []string {
	var found []string
	for i := range f.asked {
		shown := &f.asked[i]
		if !shown.succeeded() || shown.version == 0 || shown.life == 0 {
			continue
		}
		for j := range f.asked {
			a := &f.asked[j]
			if a.version == 0 || a.version >= shown.version || a.host != shown.host || a.life != shown.life || !a.succeeded() {
				continue
			}
			if a.at.After(shown.ended.Add(soakRollbackSlack)) {
				found = append(found, fmt.Sprintf("%s: host %d serves version %d after %d", a.id, a.host, a.version, shown.version))
			}
		}
	}
	return found
}

// checkBudget counts the extra arrivals at each service in each window that begins with
// one of them.
func (f *facts) checkBudget() []string {
	extras, requests := map[string][]time.Time{}, map[string][]time.Time{}
	first := map[string]bool{}
	for i := range f.served {
		s := &f.served[i]
		for _, x := range s.arrivals {
			if key := s.service + " " + x.ID; first[key] {
				extras[s.service] = append(extras[s.service], x.At)
			} else {
				first[key] = true
				requests[s.service] = append(requests[s.service], x.At)
			}
		}
	}
	var found []string
	for service, list := range extras {
		for _, from := range list {
			n, of := within(list, from), within(requests[service], from)
			before := within(requests[service], from.Add(-soakRetryWindow))
			if bound := platformtest.RetryRatio*float64(max(of, before)) + platformtest.RetrySlack; float64(n) > bound {
				found = append(found, fmt.Sprintf("%s got %d extra arrivals for %d requests", service, n, of))
				break
			}
		}
	}
	return found
}

func within(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(soakRetryWindow)) {
			n++
		}
	}
	return n
}

func (f *facts) checkConnections() []string {
	var found []string
	for i := range f.served {
		if s := &f.served[i]; s.mostOpen > platformtest.MaxConnections {
			found = append(found, fmt.Sprintf("%s had %d connections", s.instance, s.mostOpen))
		}
	}
	return found
}

func (f *facts) checkDeadlines() []string {
	var found []string
	for i := range f.served {
		for _, run := range f.served[i].runs {
			ms, err := strconv.Atoi(run.Deadline)
			if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > soakDeadline+soakDeadlineSlack {
				found = append(found, fmt.Sprintf("%s came with the deadline %q", run.ID, run.Deadline))
			}
		}
	}
	return found
}

func (f *facts) checkRecovery() []string {
	if len(f.unrecovered) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("hosts %v do not serve %v after the last fault", f.unrecovered, soakRecovery)}
}
