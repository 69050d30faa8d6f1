package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/node"
	"pollentack.example/pollentack/internal/settings"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

// TestDemo runs the demo command with --json: its output is one JSON object, and every
// query is answered.
func TestDemo(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := run([]string{"demo", "--hosts", "3", "--queries", "20", "--json"}, &stdout, &stderr); code != 0 {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
	var report struct {
		Queries  int `json:"queries"`
		Answered int `json:"answered"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &report); err != nil {
		t.Fatalf("%v:\n%s", err, stdout.String())
	}
	if report.Queries != 20 || report.Answered != 20 {
		t.Errorf("report is %s", stdout.String())
	}
}

// copyExampleWithFreePorts copies the named files of an example to a temporary folder,
// replaces the port of each loopback address by a free one, and returns the folder.
func copyExampleWithFreePorts(t *testing.T, dir string, names ...string) string {
	t.Helper()
	dest := t.TempDir()
	ports := map[string]string{}
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for i, line := range lines {
			key, address, found := strings.Cut(line, "127.0.0.1:")
			if !found || strings.Contains(address, ",") {
				continue
			}
			if ports[address] == "" {
				ports[address] = loopbackAddress(freePortRange(t, 1))
			}
			lines[i] = key + ports[address]
		}
		if err := os.WriteFile(filepath.Join(dest, name), []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dest
}

// TestFirstExample starts the stand-in and the hosts of examples/first in this process and
// sends a query to each host.
func TestFirstExample(t *testing.T) {
	hostFiles := []string{"host-1.ini", "host-2.ini", "host-3.ini"}
	dir := copyExampleWithFreePorts(t, "../../examples/first", slices.Concat(hostFiles, []string{"note-1.ini", "standin.ini"})...)
	config, err := standin.LoadConfig(filepath.Join(dir, "standin.ini"))
	if err != nil {
		t.Fatal(err)
	}
	environment, err := standin.StartEnvironment(config)
	if err != nil {
		t.Fatal(err)
	}
	defer environment.Stop()
	client, err := callerclient.New()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for _, name := range hostFiles {
		s, err := settings.Load(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		s.Stop.BalancerLag = 0
		n, err := node.Start(s, node.Options{Log: zerolog.Nop(), Tracer: trace.NewDisabled()})
		if err != nil {
			t.Fatal(err)
		}
		defer n.Stop()
		if err := testbed.Await("note 1", func() bool { return n.Status().Note == 1 }); err != nil {
			t.Fatal(err)
		}
		answer, _, err := client.Query(n.FrontAddress(), "demo-key", "licences", &callerapi.QueryRequest{Query: "DK 4821"})
		if err != nil {
			t.Fatal(err)
		}
		if answer.Code != result.OK || answer.Shards != 2 || answer.Version != 41 {
			t.Errorf("%s answers %+v", name, answer)
		}
	}
}
