package callerapi

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"pollentack.example/pollentack/internal/core/engine"
	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/httpd"
	"pollentack.example/pollentack/internal/edge/trace"
)

// TestBadRequestsAreRefused sends invalid queries. Each must be refused with code 114 and a
// reason, and none may reach the engine.
func TestBadRequestsAreRefused(t *testing.T) {
	const bodyBytes = 1024
	submitted := 0
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(socket, httpd.Options{MaxBodyBytes: bodyBytes}, trace.NewDisabled(), func(*engine.Submit) bool {
		submitted++
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	post := func(body string) (int, QueryResponse) {
		resp, err := http.Post("http://"+s.Address()+"/v1/services/s/query", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var answer QueryResponse
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
			t.Fatalf("body of %d bytes: status %s, decode answer: %v", len(body), resp.Status, err)
		}
		return resp.StatusCode, answer
	}
	tests := map[string]struct{ body, want string }{
		"empty":         {"", "the body is not a query in JSON: EOF"},
		"not JSON":      {"query=x", "the body is not a query in JSON: invalid character"},
		"wrong type":    {`{"query": 7}`, "cannot unmarshal number"},
		"unknown field": {`{"qeury": "x"}`, `unknown field "qeury"`},
		"two values":    {`{"query": "x"} {}`, "more than one JSON value"},
		"limit":         {`{"query": "x", "limit": 1001}`, "limit is 1001; allowed are 0 to 1000"},
		"timeout":       {`{"query": "x", "timeout_ms": -1}`, "timeout_ms is -1; allowed are 0 to 60000"},
		"too large":     {`{"query": "` + strings.Repeat("x", bodyBytes) + `"}`, "bytes; allowed are 1024"},
	}
	for name, tt := range tests {
		status, answer := post(tt.body)
		if status != http.StatusBadRequest || answer.Code != result.BadRequest || !strings.Contains(answer.Detail, tt.want) {
			t.Errorf("%s: status %d, answer %+v; want 114 with %q", name, status, answer, tt.want)
		}
	}
	if submitted != 0 {
		t.Errorf("%d bad requests reached the engine", submitted)
	}
	if _, answer := post(`{"query": "x"}`); answer.Code != result.QueueFull || submitted != 1 {
		t.Errorf("valid query: %+v, %d submitted", answer, submitted)
	}
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(socket, httpd.Options{MaxBodyBytes: 1024}, trace.NewDisabled(), func(*engine.Submit) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/healthz", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Long", strings.Repeat("x", 2*maxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %s, want %d", resp.Status, http.StatusRequestHeaderFieldsTooLarge)
	}
}
