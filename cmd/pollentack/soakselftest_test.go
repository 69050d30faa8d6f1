package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

// passingObservations returns a run that satisfies all invariants, with one query over all
// shards, one non-idempotent request and one probe of the configuration.
func passingObservations(start time.Time) *observations {
	o := &observations{published: []publishedVersion{{version: 1, at: start, undisturbedUntil: start.Add(time.Minute)}}}
	query := requestRecord{id: "q", path: "/search/x", sent: start, ended: start.Add(time.Millisecond), incarnation: 1, hostHealthy: true, answer: &platformtest.Answer{Status: 200}}
	const deadline = "1400"
	records := make([]string, 0, soakShards)
	for i := range soakShards {
		target := targetRecord{instance: fmt.Sprintf("s%d-a", i), service: fmt.Sprintf("s%d", i), zone: "a", body: fmt.Sprintf("%-16s%-16s", fmt.Sprintf("b%d", i), fmt.Sprintf("a%d", i))}
		stamp := target.instance + ".1"
		target.runs = []platformtest.Run{{ID: "q", Method: http.MethodGet, Proof: stamp, Deadline: deadline, At: start}}
		target.arrivals = []platformtest.Arrival{{ID: "q", At: start}}
		o.targets = append(o.targets, target)
		query.answer.Proofs = append(query.answer.Proofs, stamp)
		records = append(records, target.body[:16])
	}
	for i := range soakTopK {
		query.answer.Body += records[soakShards-1-i]
	}
	desk := targetRecord{instance: "desk-a", service: "desk", zone: "a", body: "desk", runs: []platformtest.Run{
		{ID: "f", Method: http.MethodPost, Proof: "desk-a.1", Deadline: deadline, At: start},
	}, arrivals: []platformtest.Arrival{{ID: "f", At: start}}}
	file := query
	file.id, file.path, file.answer = "f", "/file/x", &platformtest.Answer{Status: 200, Body: "desk"}
	probe := query
	probe.id, probe.path, probe.version = "p", platformtest.ProbePath(1)+"x", 1
	probe.answer = &platformtest.Answer{Status: 200, Body: "desk"}
	desk.runs = append(desk.runs, platformtest.Run{ID: "p", Method: http.MethodGet, Proof: "desk-a.2", Deadline: deadline, At: start})
	o.targets = append(o.targets, desk)
	o.requests = []requestRecord{query, file, probe}
	return o
}

// TestSoakInvariantsDetectViolations violates one invariant at a time: its check must find
// the violation, and no other check may find one.
func TestSoakInvariantsDetectViolations(t *testing.T) {
	start := time.Now()
	deskIndex := soakShards
	violations := map[string]func(o *observations){
		"gathered answers match the replies that they list":     func(o *observations) { o.requests[0].answer.Body = strings.ToUpper(o.requests[0].answer.Body) },
		"plain answers come from a target that ran the request": func(o *observations) { o.requests[1].answer.Body = o.targets[0].body },
		"non-idempotent requests run at most once": func(o *observations) {
			o.targets[deskIndex].runs = append(o.targets[deskIndex].runs, o.targets[deskIndex].runs[0])
		},
		"refused requests have not run":   func(o *observations) { o.requests[1].answer.Status = http.StatusServiceUnavailable },
		"graceful stops lose no requests": func(o *observations) { o.requests[0].answer, o.requests[0].err = nil, io.ErrUnexpectedEOF },
		"draining targets receive no requests": func(o *observations) {
			o.drained = []interval{{name: "desk-a", from: start.Add(-soakDrainBound - time.Second), to: start.Add(time.Second)}}
		},
		"evacuated zones receive no requests": func(o *observations) {
			o.evacuated = []interval{{name: "a", from: start.Add(-soakEvacuateBound - time.Second), to: start.Add(time.Second)}}
		},
		"requests that crash targets are held back": func(o *observations) {
			for i := range 2*soakCrashesAllowed + 1 {
				at := start.Add(time.Duration(i/soakCrashesAllowed) * 2 * soakCrashWindow)
				o.targets[0].crashes = append(o.targets[0].crashes, platformtest.Arrival{ID: soakCrashMarker, At: at})
			}
		},
		"the configuration takes effect in time": func(o *observations) {
			o.published = append(o.published, publishedVersion{version: 2, at: start.Add(-soakConfigBound - time.Second), undisturbedUntil: start.Add(time.Minute)})
		},
		"the configuration is never rolled back": func(o *observations) {
			later := o.requests[2]
			later.version = 2
			o.requests = append(o.requests, later)
			o.requests[2].sent, o.requests[2].ended = start.Add(time.Second), start.Add(2*time.Second)
		},
		"retries stay within the budget": func(o *observations) {
			for range platformtest.RetrySlack + 2 {
				o.targets[0].arrivals = append(o.targets[0].arrivals, o.targets[0].arrivals[0])
			}
		},
		"connections stay under the limit": func(o *observations) { o.targets[0].peakConnections = platformtest.MaxConnections + 1 },
		"targets receive at most the remaining time": func(o *observations) {
			o.targets[0].runs[0].Deadline = "2100"
		},
		"all hosts recover": func(o *observations) { o.unrecovered = []int{2} },
	}
	if found := passingObservations(start).violations(); len(found) != 0 {
		t.Fatalf("a run without violations fails %v", found)
	}
	for _, invariant := range soakInvariants {
		violate := violations[invariant.name]
		if violate == nil {
			t.Errorf("%s: no case violates it", invariant.name)
			continue
		}
		o := passingObservations(start)
		violate(o)
		if found := o.violations(); len(found) != 1 || len(found[invariant.name]) == 0 {
			t.Errorf("%s: found %v, want only a violation of this invariant", invariant.name, found)
		}
	}
}

// TestSoakInvariantsAllowPermittedLosses has losses that the documentation permits and the
// checks must accept: a request sent while its connection closes, and requests to a host
// with a recent fault.
func TestSoakInvariantsAllowPermittedLosses(t *testing.T) {
	start := time.Now()
	o := passingObservations(start)
	closeRace := o.requests[0]
	closeRace.id, closeRace.answer, closeRace.err = "close-race", nil, io.EOF
	killed := closeRace
	killed.id, killed.hostHealthy, killed.ended = "f", false, start.Add(time.Second)
	lost := o.requests[1]
	lost.answer, lost.err = nil, errors.New("502")
	lost.hostHealthy = false
	o.requests = append(o.requests, closeRace, killed, lost)
	if found := o.violations(); len(found) != 0 {
		t.Errorf("permitted losses are reported as %v", found)
	}
}
