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

// soundFacts is a run in which each promise is kept: one query over all shards and one
// request that runs once.
func soundFacts(begin time.Time) *facts {
	f := &facts{published: []published{{version: 1, at: begin, calmTo: begin.Add(time.Minute)}}}
	query := asked{id: "q", path: "/search/x", at: begin, ended: begin.Add(time.Millisecond), life: 1, sound: true, answer: &platformtest.Answer{Status: 200}}
	const deadline = "1400"
	records := make([]string, 0, soakShards)
	for i := range soakShards {
		s := served{instance: fmt.Sprintf("s%d-a", i), service: fmt.Sprintf("s%d", i), zone: "a", body: fmt.Sprintf("%-16s%-16s", fmt.Sprintf("b%d", i), fmt.Sprintf("a%d", i))}
		proof := s.instance + ".1"
		s.runs = []platformtest.Run{{ID: "q", Method: http.MethodGet, Proof: proof, Deadline: deadline, At: begin}}
		s.arrivals = []platformtest.Arrival{{ID: "q", At: begin}}
		f.served = append(f.served, s)
		query.answer.Proofs = append(query.answer.Proofs, proof)
		records = append(records, s.body[:16])
	}
	for i := range soakTop {
		query.answer.Body += records[soakShards-1-i]
	}
	desk := served{instance: "desk-a", service: "desk", zone: "a", body: "desk", runs: []platformtest.Run{
		{ID: "f", Method: http.MethodPost, Proof: "desk-a.1", Deadline: deadline, At: begin},
	}, arrivals: []platformtest.Arrival{{ID: "f", At: begin}}}
	file := query
	file.id, file.path, file.answer = "f", "/file/x", &platformtest.Answer{Status: 200, Body: "desk"}
	probe := query
	probe.id, probe.path, probe.version = "p", platformtest.ProbePath(1)+"x", 1
	probe.answer = &platformtest.Answer{Status: 200, Body: "desk"}
	desk.runs = append(desk.runs, platformtest.Run{ID: "p", Method: http.MethodGet, Proof: "desk-a.2", Deadline: deadline, At: begin})
	f.served = append(f.served, desk)
	f.asked = []asked{query, file, probe}
	return f
}

// TestSoakChecksCanFail breaks one promise at a time: the check of it finds that, and no
// other does.
func TestSoakChecksCanFail(t *testing.T) {
	begin := time.Now()
	desk := soakShards
	tests := map[string]func(f *facts){
		"gathered answers are whole and of their own parts": func(f *facts) { f.asked[0].answer.Body = strings.ToUpper(f.asked[0].answer.Body) },
		"plain answers are a target's own":                  func(f *facts) { f.asked[1].answer.Body = f.served[0].body },
		"nothing runs twice that may not":                   func(f *facts) { f.served[desk].runs = append(f.served[desk].runs, f.served[desk].runs[0]) },
		"what is refused has not run":                       func(f *facts) { f.asked[1].answer.Status = http.StatusServiceUnavailable },
		"planned stops lose nothing":                        func(f *facts) { f.asked[0].answer, f.asked[0].err = nil, io.ErrUnexpectedEOF },
		"draining targets get nothing": func(f *facts) {
			f.drained = []span{{name: "desk-a", from: begin.Add(-soakDrainBound - time.Second), to: begin.Add(time.Second)}}
		},
		"evacuated zones get nothing": func(f *facts) {
			f.evacuated = []span{{name: "a", from: begin.Add(-soakEvacuateBound - time.Second), to: begin.Add(time.Second)}}
		},
		"the configuration comes into force": func(f *facts) {
			f.published = append(f.published, published{version: 2, at: begin.Add(-soakConfigBound - time.Second), calmTo: begin.Add(time.Minute)})
		},
		"the configuration never goes back": func(f *facts) {
			later := f.asked[2]
			later.version = 2
			f.asked = append(f.asked, later)
			f.asked[2].at, f.asked[2].ended = begin.Add(time.Second), begin.Add(2*time.Second)
		},
		"the retry budget holds": func(f *facts) {
			for range platformtest.RetrySlack + 2 {
				f.served[0].arrivals = append(f.served[0].arrivals, f.served[0].arrivals[0])
			}
		},
		"connections stay under the limit": func(f *facts) { f.served[0].mostOpen = platformtest.MaxConnections + 1 },
		"targets get the time that is left": func(f *facts) {
			f.served[0].runs[0].Deadline = "2100"
		},
		"all hosts serve again": func(f *facts) { f.unrecovered = []int{2} },
	}
	if found := soundFacts(begin).violations(); len(found) != 0 {
		t.Fatalf("a sound run breaks %v", found)
	}
	for _, c := range soakChecks {
		breakIt := tests[c.name]
		if breakIt == nil {
			t.Errorf("%s: nothing breaks it", c.name)
			continue
		}
		f := soundFacts(begin)
		breakIt(f)
		if found := f.violations(); len(found) != 1 || len(found[c.name]) == 0 {
			t.Errorf("%s: found %v", c.name, found)
		}
	}
}

// TestSoakAllowsWhatThePagesAllow has what looks like a fault and is none.
func TestSoakAllowsWhatThePagesAllow(t *testing.T) {
	begin := time.Now()
	f := soundFacts(begin)
	crossing := f.asked[0]
	crossing.id, crossing.answer, crossing.err = "crossing", nil, io.EOF
	killed := crossing
	killed.id, killed.sound, killed.ended = "f", false, begin.Add(time.Second)
	lost := f.asked[1]
	lost.answer, lost.err = nil, errors.New("502")
	lost.sound = false
	f.asked = append(f.asked, crossing, killed, lost)
	if found := f.violations(); len(found) != 0 {
		t.Errorf("found %v", found)
	}
}
